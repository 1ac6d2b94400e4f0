/* Splits a JSON text into its members and elements.  */

#include "jsn/jsn.h"

#include <string.h>

static const char *
skip_space (const char *at, const char *end)
{
  while (at < end && strchr (" \t\r\n", *at) != NULL && *at != '\0')
    at++;
  return at;
}

/* Returns the end of the string that starts at AT, null when it has none.  */
static const char *
skip_string (const char *at, const char *end)
{
  for (at++; at < end; at++)
    if (*at == '\\')
      at++;
    else if (*at == '"')
      return at + 1;
  return NULL;
}

/* Returns the end of the number or word that starts at AT.  */
static const char *
skip_word (const char *at, const char *end)
{
  const char *start = at;

  while (at < end && strchr (",[]{}:\" \t\r\n", *at) == NULL)
    at++;
  return at > start ? at : NULL;
}

/* Returns the end of the value that starts at AT, null when it has none.  */
static const char *
skip_value (const char *at, const char *end)
{
  size_t depth = 0;

  while (at != NULL && at < end)
    {
      if (*at == '"')
        at = skip_string (at, end);
      else if (*at == '{' || *at == '[')
        {
          depth++;
          at++;
        }
      else if (*at == '}' || *at == ']')
        {
          if (depth == 0)
            return NULL;
          depth--;
          at++;
        }
      else if (depth > 0)
        at++;
      else
        return skip_word (at, end);
      if (depth == 0)
        return at;
    }
  return NULL;
}

/* Returns the first character in the brackets of a value that starts with
   OPEN, null when it does not.  */
static const char *
enter (struct jsn_text value, char open)
{
  const char *end;
  const char *at;

  if (value.start == NULL)
    return NULL;
  end = value.start + value.length;
  at = skip_space (value.start, end);
  return at < end && *at == open ? skip_space (at + 1, end) : NULL;
}

/* Returns the start of what follows the comma after a value that ends at AT,
   null when no comma follows.  */
static const char *
skip_comma (const char *at, const char *end)
{
  at = skip_space (at, end);
  return at < end && *at == ',' ? skip_space (at + 1, end) : NULL;
}

bool
jsn_find_member (struct jsn_text object, const char *key,
                 struct jsn_text *value)
{
  const char *at = enter (object, '{');
  size_t length = strlen (key);
  const char *end = at != NULL ? object.start + object.length : NULL;

  while (at != NULL && at < end && *at == '"')
    {
      const char *name = at + 1;
      const char *name_end = skip_string (at, end);
      const char *start;

      if (name_end == NULL)
        return false;
      at = skip_space (name_end, end);
      if (at == end || *at != ':')
        return false;
      start = skip_space (at + 1, end);
      at = skip_value (start, end);
      if (at == NULL)
        return false;
      if ((size_t)(name_end - 1 - name) == length
          && memcmp (name, key, length) == 0)
        {
          *value = (struct jsn_text){ start, (size_t)(at - start) };
          return true;
        }
      at = skip_comma (at, end);
    }
  return false;
}

bool
jsn_next_element (struct jsn_text array, struct jsn_text *element)
{
  const char *end;
  const char *start;
  const char *at;

  if (array.start == NULL)
    return false;
  end = array.start + array.length;
  if (element->start == NULL)
    start = enter (array, '[');
  else
    start = skip_comma (element->start + element->length, end);
  at = start != NULL ? skip_value (start, end) : NULL;
  if (at == NULL)
    return false;
  *element = (struct jsn_text){ start, (size_t)(at - start) };
  return true;
}

bool
jsn_is_array (struct jsn_text array)
{
  const char *at = enter (array, '[');
  struct jsn_text element = { 0 };
  const char *end;

  if (at == NULL)
    return false;
  end = array.start + array.length;
  while (jsn_next_element (array, &element))
    at = skip_space (element.start + element.length, end);
  return at < end && *at == ']';
}
