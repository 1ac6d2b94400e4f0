/* Checks that documents and settings have in common.  */

#include "toml/toml_report.h"

#include <string.h>

/* Longest word that is compared for a suggestion, in bytes.  */
#define MAX_WORD 32

static size_t
smallest (size_t a, size_t b, size_t c)
{
  size_t least = a < b ? a : b;

  return least < c ? least : c;
}

/* Returns the edits (insert, delete, replace) that turn A into B.  */
static size_t
edit_distance (const char *a, const char *b)
{
  size_t row[MAX_WORD + 1];
  size_t length = strlen (b);

  for (size_t j = 0; j <= length; j++)
    row[j] = j;
  for (size_t i = 0; a[i] != '\0'; i++)
    {
      size_t diagonal = row[0];

      row[0] = i + 1;
      for (size_t j = 0; j < length; j++)
        {
          size_t above = row[j + 1];

          row[j + 1] = smallest (above + 1, row[j] + 1,
                                 diagonal + (a[i] == b[j] ? 0 : 1));
          diagonal = above;
        }
    }
  return row[length];
}

const char *
toml_suggest (const char *text, const char *const *known, size_t count)
{
  const char *best = NULL;
  size_t best_distance = 3;

  if (strlen (text) > MAX_WORD)
    return NULL;
  for (size_t i = 0; i < count; i++)
    if (strlen (known[i]) <= MAX_WORD)
      {
        size_t distance = edit_distance (text, known[i]);

        /* A short word may differ by less than half of its letters.  */
        if (distance < best_distance && distance * 2 < strlen (known[i]))
          {
            best = known[i];
            best_distance = distance;
          }
      }
  return best;
}

static bool
is_name_character (char character)
{
  return (character >= 'a' && character <= 'z')
         || (character >= 'A' && character <= 'Z')
         || (character >= '0' && character <= '9') || character == '-'
         || character == '_' || character == '.';
}

bool
toml_check_name (struct toml_report *report, const struct toml_node *value,
                 const char *name, const char *what)
{
  size_t length = strlen (name);
  char quoted[TOML_QUOTE_SIZE];

  if (length == 0)
    {
      toml_add_error (report, value->line, value->column,
                      "%s is empty; write at least one letter or digit", what);
      return false;
    }
  if (length > TOML_MAX_NAME_LENGTH)
    {
      toml_add_error (report, value->line, value->column,
                      "%s is %zu characters long; shorten it to at most %d",
                      what, length, TOML_MAX_NAME_LENGTH);
      return false;
    }
  for (size_t i = 0; i < length; i++)
    if (!is_name_character (name[i]))
      {
        toml_add_error (report, value->line, value->column,
                        "%s %s has a character that is not allowed; use only "
                        "the letters a to z and A to Z, digits, \"-\", \"_\" "
                        "and \".\"",
                        what, toml_quote (name, quoted));
        return false;
      }
  return true;
}

void
toml_check_keys (struct toml_report *report, const struct toml_node *table,
                 const char *where, const char *const *known, size_t count)
{
  for (size_t i = 0; i < table->child_count; i++)
    {
      const struct toml_node *child = &table->children[i];
      const char *suggestion;
      char quoted[TOML_QUOTE_SIZE];
      bool found = false;

      for (size_t j = 0; j < count && !found; j++)
        found = strcmp (known[j], child->key) == 0;
      if (found)
        continue;
      suggestion = toml_suggest (child->key, known, count);
      toml_quote (child->key, quoted);
      if (suggestion != NULL)
        toml_add_error (report, child->key_line, child->key_column,
                        "%s has no key %s; did you mean \"%s\"? Correct the "
                        "name or remove the line",
                        where, quoted, suggestion);
      else
        toml_add_error (report, child->key_line, child->key_column,
                        "%s has no key %s; remove the line or correct the "
                        "name",
                        where, quoted);
    }
}
