/* Reads and checks the tenants and the class preference of a document.  */

#include "base/mem.h"
#include "doc/doc_reader.h"

#include <stdlib.h>
#include <string.h>

#define MAX_IN_PROGRESS 100000

static void
read_tenant (struct doc_reader *reader, const struct toml_node *node)
{
  static const char *const keys[] = { "name", "max_in_progress" };
  struct doc_table table = { node, "[[tenant]]" };
  struct doc_tenant *tenant
      = &reader->document->tenants[reader->document->tenant_count++];

  toml_check_keys (&reader->report, node, table.where, keys, DOC_COUNT (keys));
  tenant->line = node->line;
  tenant->name = doc_read_name (reader, table);
  tenant->max_in_progress = doc_read_number (reader, table, "max_in_progress",
                                             true, 1, MAX_IN_PROGRESS, 1);
}

static int
compare_tenants (const void *left, const void *right, void *context)
{
  const struct doc_document *document = context;
  uint32_t a = *(const uint32_t *)left;
  uint32_t b = *(const uint32_t *)right;
  int order = strcmp (document->tenants[a].name, document->tenants[b].name);

  if (order != 0)
    return order;
  return a < b ? -1 : a > b;
}

static void
report_duplicates (struct doc_reader *reader, const struct toml_node *tables)
{
  const struct doc_tenant *tenants = reader->document->tenants;
  size_t count = reader->document->tenant_count;
  uint32_t *sorted = mem_alloc (count, sizeof *sorted);
  size_t first = 0;

  for (size_t i = 0; i < count; i++)
    sorted[i] = (uint32_t)i;
  qsort_r (sorted, count, sizeof *sorted, compare_tenants, reader->document);
  for (size_t i = 1; i < count; i++)
    {
      const char *name = tenants[sorted[i]].name;

      if (strcmp (name, tenants[sorted[first]].name) != 0)
        first = i;
      else if (name[0] != '\0')
        {
          const struct toml_node *value
              = toml_get (&tables[sorted[i]], "name");
          char quoted[TOML_QUOTE_SIZE];

          toml_add_error (&reader->report, value->line, value->column,
                          "tenant %s exists already in line %u; remove one "
                          "of them or give it another name",
                          toml_quote (name, quoted),
                          tenants[sorted[first]].line);
        }
    }
  free (sorted);
}

/* Returns whether LIST has each class exactly once, and stores the order.  */
static bool
store_order (const struct toml_node *list, enum doc_class *preference)
{
  bool found[DOC_CLASS_COUNT] = { false };

  if (list->child_count != DOC_CLASS_COUNT)
    return false;
  for (size_t i = 0; i < DOC_CLASS_COUNT; i++)
    {
      const struct toml_node *entry = &list->children[i];
      enum doc_class call_class = DOC_CLASS_COUNT;

      for (int j = 0; j < DOC_CLASS_COUNT && entry->kind == TOML_STRING; j++)
        if (strcmp (entry->string, doc_class_name ((enum doc_class)j)) == 0)
          call_class = (enum doc_class)j;
      if (call_class == DOC_CLASS_COUNT || found[call_class])
        return false;
      found[call_class] = true;
      preference[i] = call_class;
    }
  return true;
}

static void
read_preference (struct doc_reader *reader, const struct toml_node *root)
{
  static const char *const keys[] = { "order" };
  static const char example[] = "[\"once\", \"repeatable\"]";
  struct doc_table table = { toml_get (root, "preference"), "[preference]" };
  enum doc_class order[DOC_CLASS_COUNT];
  const struct toml_node *list;

  if (table.node == NULL)
    return;
  if (table.node->kind != TOML_TABLE)
    {
      toml_add_error (&reader->report, table.node->line, table.node->column,
                      "preference must be one block; write [preference] on a "
                      "line of its own and below it order = %s",
                      example);
      return;
    }
  toml_check_keys (&reader->report, table.node, table.where, keys, 1);
  list = doc_read (reader, table, "order", TOML_ARRAY, true, example);
  if (list == NULL)
    return;
  if (store_order (list, order))
    memcpy (reader->document->preference, order, sizeof order);
  else
    toml_add_error (&reader->report, list->line, list->column,
                    "order must have each class exactly once, the most "
                    "important first; write for example order = %s",
                    example);
}

void
doc_read_limits (struct doc_reader *reader, const struct toml_node *root)
{
  const struct toml_node *tables;
  size_t count
      = doc_read_list (reader, root, "tenant", DOC_MAX_TENANTS, &tables);

  reader->document->tenants = mem_alloc (count, sizeof (struct doc_tenant));
  for (size_t i = 0; i < count; i++)
    read_tenant (reader, &tables[i]);
  report_duplicates (reader, tables);
  read_preference (reader, root);
}
