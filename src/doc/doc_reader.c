/* Reads the fields of a document's tables and reports faults.  */

#include "doc/doc_reader.h"

#include "base/mem.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
report_missing (struct doc_reader *reader, struct doc_table table,
                const char *key, const char *example)
{
  if (!reader->report.incomplete)
    toml_add_error (&reader->report, table.node->line, table.node->column,
                    "%s has no %s; add a line such as %s = %s", table.where,
                    key, key, example);
}

const struct toml_node *
doc_read (struct doc_reader *reader, struct doc_table table, const char *key,
          enum toml_kind kind, bool mandatory, const char *example)
{
  const struct toml_node *value = toml_get (table.node, key);

  if (value != NULL && value->kind == kind)
    return value;
  if (value != NULL)
    toml_add_error (&reader->report, value->line, value->column,
                    "%s is %s, but must be %s; write for example %s = %s", key,
                    toml_kind_name (value->kind), toml_kind_name (kind), key,
                    example);
  else if (mandatory)
    report_missing (reader, table, key, example);
  return NULL;
}

uint32_t
doc_read_number (struct doc_reader *reader, struct doc_table table,
                 const char *key, bool mandatory, uint32_t minimum,
                 uint32_t maximum, uint32_t fallback)
{
  const struct toml_node *value
      = doc_read (reader, table, key, TOML_INTEGER, mandatory, "100");

  if (value == NULL)
    return fallback;
  if (value->integer >= minimum && value->integer <= maximum)
    return (uint32_t)value->integer;
  toml_add_error (&reader->report, value->line, value->column,
                  "%s is %lld, which is out of range; write a whole number "
                  "from %u to %u",
                  key, (long long)value->integer, minimum, maximum);
  return fallback;
}

/* Reports a text that is none of the choices, naming all of them.  */
static void
report_choice (struct doc_reader *reader, const struct toml_node *value,
               const char *key, const char *const *choices, unsigned count)
{
  struct buf list = { 0 };
  char quoted[TOML_QUOTE_SIZE];

  for (unsigned i = 0; i < count; i++)
    buf_printf (&list, "%s\"%s\"",
                i == 0           ? ""
                : i + 1 == count ? " or "
                                 : ", ",
                choices[i]);
  toml_add_error (&reader->report, value->line, value->column,
                  "%s is %s, which is not known; write %s", key,
                  toml_quote (value->string, quoted), buf_text (&list));
  buf_close (&list);
}

unsigned
doc_read_choice (struct doc_reader *reader, struct doc_table table,
                 const char *key, bool mandatory, const char *const *choices,
                 unsigned count, unsigned fallback)
{
  const struct toml_node *value;
  char example[64];

  snprintf (example, sizeof example, "\"%s\"", choices[0]);
  value = doc_read (reader, table, key, TOML_STRING, mandatory, example);
  if (value == NULL)
    return fallback;
  for (unsigned i = 0; i < count; i++)
    if (strcmp (choices[i], value->string) == 0)
      return i;
  report_choice (reader, value, key, choices, count);
  return fallback;
}

char *
doc_read_name (struct doc_reader *reader, struct doc_table table)
{
  const struct toml_node *value
      = doc_read (reader, table, "name", TOML_STRING, true, "\"stock\"");

  if (value == NULL)
    return mem_copy_string ("");
  toml_check_name (&reader->report, value, value->string, "the name");
  return mem_copy_string (value->string);
}

size_t
doc_read_list (struct doc_reader *reader, const struct toml_node *root,
               const char *key, size_t maximum,
               const struct toml_node **tables)
{
  const struct toml_node *list = toml_get (root, key);
  size_t count;

  *tables = NULL;
  if (list == NULL)
    return 0;
  if (list->kind == TOML_TABLE)
    {
      toml_add_error (&reader->report, list->line, list->column,
                      "[%s] has one pair of brackets; write [[%s]], as there "
                      "may be several",
                      key, key);
      return 0;
    }
  if (list->kind != TOML_ARRAY)
    {
      toml_add_error (&reader->report, list->key_line, list->key_column,
                      "%s is %s, but must start a block; write [[%s]] on a "
                      "line of its own",
                      key, toml_kind_name (list->kind), key);
      return 0;
    }
  count = list->child_count;
  if (count > maximum)
    {
      toml_add_error (&reader->report, list->children[maximum].line,
                      list->children[maximum].column,
                      "there are %zu [[%s]] blocks, but at most %zu are "
                      "allowed; remove those from here on",
                      count, key, maximum);
      count = maximum;
    }
  for (size_t i = 0; i < count; i++)
    if (list->children[i].kind != TOML_TABLE)
      {
        toml_add_error (&reader->report, list->children[i].line,
                        list->children[i].column,
                        "%s has an entry that is %s; write [[%s]] on a line "
                        "of its own and the keys below it",
                        key, toml_kind_name (list->children[i].kind), key);
        return 0;
      }
  *tables = list->children;
  return count;
}
