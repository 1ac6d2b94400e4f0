/* Strict reading of the fields of a platform object's JSON.  */

#include "plt/plt_json.h"

#include "base/err.h"

#include <stdlib.h>
#include <string.h>

json_t *
plt_json_parse (const char *what, const char *text, size_t length)
{
  json_t *root = json_loadb (text, length, JSON_REJECT_DUPLICATES, NULL);

  if (json_is_object (root))
    return root;
  json_decref (root);
  err_set ("the %s is not in the expected form", what);
  return NULL;
}

static bool
copy_text (const json_t *value, char *place, size_t size)
{
  size_t length = json_string_length (value);

  if (!json_is_string (value) || length >= size
      || strlen (json_string_value (value)) != length)
    return false;
  memcpy (place, json_string_value (value), length + 1);
  return true;
}

bool
plt_json_text (const json_t *root, const char *key, char *place, size_t size)
{
  return copy_text (json_object_get (root, key), place, size);
}

bool
plt_json_number (const json_t *root, const char *key, uint64_t minimum,
                 uint64_t maximum, uint64_t *place)
{
  const json_t *value = json_object_get (root, key);
  json_int_t number = json_integer_value (value);

  if (!json_is_integer (value) || number < 0 || (uint64_t)number < minimum
      || (uint64_t)number > maximum)
    return false;
  *place = (uint64_t)number;
  return true;
}

bool
plt_json_boolean (const json_t *root, const char *key, bool *place)
{
  const json_t *value = json_object_get (root, key);

  *place = json_is_true (value);
  return json_is_boolean (value);
}

bool
plt_json_texts (const json_t *root, const char *key, char *rows, size_t size,
                size_t limit, size_t *count)
{
  const json_t *array = json_object_get (root, key);

  if (!json_is_array (array) || json_array_size (array) > limit)
    return false;
  for (size_t i = 0; i < json_array_size (array); i++)
    if (!copy_text (json_array_get (array, i), rows + i * size, size))
      return false;
  *count = json_array_size (array);
  return true;
}

json_t *
plt_json_rows (const char *rows, size_t size, size_t count)
{
  json_t *array = json_array ();

  for (size_t i = 0; i < count; i++)
    json_array_append_new (array, json_string (rows + i * size));
  return array;
}

void
plt_json_write (json_t *root, struct buf *output)
{
  char *text = root != NULL ? json_dumps (root, JSON_COMPACT) : NULL;

  if (text != NULL)
    buf_append (output, text, strlen (text));
  free (text);
  json_decref (root);
}

enum plt_status
plt_json_finish (json_t *root, bool valid, const char *what)
{
  json_decref (root);
  if (valid)
    return PLT_OK;
  err_set ("the %s is not in the expected form", what);
  return PLT_INVALID;
}
