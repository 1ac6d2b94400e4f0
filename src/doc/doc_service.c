/* Reads and checks the services of a document.  */

#include "base/mem.h"
#include "doc/doc_reader.h"

#include <stdlib.h>
#include <string.h>

/* Checks "NAME" or "data-centre:NAME".  */
static void
check_upstream (struct doc_reader *reader, const struct toml_node *entry)
{
  size_t prefix = strlen (DOC_DATA_CENTRE_PREFIX);

  if (strncmp (entry->string, DOC_DATA_CENTRE_PREFIX, prefix) == 0)
    toml_check_name (&reader->report, entry, entry->string + prefix,
                     "the data centre's name");
  else if (strchr (entry->string, ':') != NULL)
    {
      char quoted[TOML_QUOTE_SIZE];

      toml_add_error (&reader->report, entry->line, entry->column,
                      "the upstream entry %s has a colon; write an upstream's "
                      "name, or \"" DOC_DATA_CENTRE_PREFIX
                      "NAME\" for all of a data centre",
                      toml_quote (entry->string, quoted));
    }
  else
    toml_check_name (&reader->report, entry, entry->string,
                     "the upstream's name");
}

static void
report_repeated (struct doc_reader *reader, const struct toml_node *list,
                 size_t index)
{
  const struct toml_node *entry = &list->children[index];
  char quoted[TOML_QUOTE_SIZE];

  for (size_t i = 0; i < index; i++)
    if (list->children[i].kind == TOML_STRING
        && strcmp (list->children[i].string, entry->string) == 0)
      {
        toml_add_error (&reader->report, entry->line, entry->column,
                        "the upstream entry %s stands twice in the list; "
                        "remove one",
                        toml_quote (entry->string, quoted));
        return;
      }
}

static void
read_upstreams (struct doc_reader *reader, struct doc_table table,
                struct doc_service *service)
{
  const struct toml_node *list
      = doc_read (reader, table, "upstreams", TOML_ARRAY, false,
                  "[\"stock-1\", \"data-centre:dc-a\"]");

  if (list == NULL)
    return;
  if (list->child_count == 0 || list->child_count > DOC_MAX_SERVICE_UPSTREAMS)
    {
      toml_add_error (&reader->report, list->line, list->column,
                      "upstreams has %zu entries; write 1 to %d, or remove "
                      "the line so that every upstream may serve",
                      list->child_count, DOC_MAX_SERVICE_UPSTREAMS);
      return;
    }
  service->upstreams = mem_alloc (list->child_count, sizeof (char *));
  for (size_t i = 0; i < list->child_count; i++)
    {
      const struct toml_node *entry = &list->children[i];

      if (entry->kind != TOML_STRING)
        {
          toml_add_error (&reader->report, entry->line, entry->column,
                          "this upstream entry is %s; write a name in quotes",
                          toml_kind_name (entry->kind));
          continue;
        }
      check_upstream (reader, entry);
      report_repeated (reader, list, i);
      service->upstreams[service->upstream_count++]
          = mem_copy_string (entry->string);
    }
}

static void
read_service (struct doc_reader *reader, const struct toml_node *node)
{
  static const char *const keys[]
      = { "name", "upstreams", "across", "order_keys" };
  static const char *const order_keys[] = { "platform", "memory" };
  struct doc_table table = { node, "[[service]]" };
  struct doc_service *service
      = &reader->document->services[reader->document->service_count++];
  const struct toml_node *across
      = doc_read (reader, table, "across", TOML_BOOLEAN, false, "true");

  toml_check_keys (&reader->report, node, table.where, keys, DOC_COUNT (keys));
  service->line = node->line;
  service->name = doc_read_name (reader, table);
  service->cross_region = across != NULL && across->boolean;
  service->key_store = (enum doc_key_store)doc_read_choice (
      reader, table, "order_keys", false, order_keys, DOC_COUNT (order_keys),
      DOC_KEY_STORE_PLATFORM);
  read_upstreams (reader, table, service);
}

static int
compare_services (const void *left, const void *right, void *context)
{
  const struct doc_document *document = context;
  uint32_t a = *(const uint32_t *)left;
  uint32_t b = *(const uint32_t *)right;
  int order = strcmp (document->services[a].name, document->services[b].name);

  if (order != 0)
    return order;
  return a < b ? -1 : a > b;
}

static void
report_duplicates (struct doc_reader *reader, const struct toml_node *tables)
{
  const struct doc_document *document = reader->document;
  const uint32_t *sorted = reader->services_by_name;
  size_t first = 0;

  for (size_t i = 1; i < document->service_count; i++)
    {
      const char *name = document->services[sorted[i]].name;
      const struct toml_node *value;
      char quoted[TOML_QUOTE_SIZE];

      if (strcmp (name, document->services[sorted[first]].name) != 0)
        {
          first = i;
          continue;
        }
      if (name[0] == '\0')
        continue;
      value = toml_get (&tables[sorted[i]], "name");
      toml_add_error (&reader->report, value->line, value->column,
                      "service %s exists already in line %u; remove one of "
                      "them or give it another name",
                      toml_quote (name, quoted),
                      document->services[sorted[first]].line);
    }
}

void
doc_read_services (struct doc_reader *reader, const struct toml_node *root)
{
  const struct toml_node *tables;
  size_t count
      = doc_read_list (reader, root, "service", DOC_MAX_SERVICES, &tables);

  reader->document->services = mem_alloc (count, sizeof (struct doc_service));
  for (size_t i = 0; i < count; i++)
    read_service (reader, &tables[i]);
  reader->services_by_name = mem_alloc (count, sizeof (uint32_t));
  for (size_t i = 0; i < count; i++)
    reader->services_by_name[i] = (uint32_t)i;
  qsort_r (reader->services_by_name, count, sizeof (uint32_t),
           compare_services, reader->document);
  report_duplicates (reader, tables);
}

uint32_t
doc_find_service (const struct doc_reader *reader, const char *name)
{
  const struct doc_document *document = reader->document;
  size_t low = 0;
  size_t high = document->service_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      uint32_t index = reader->services_by_name[middle];

      if (strcmp (document->services[index].name, name) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  if (low < document->service_count
      && strcmp (document->services[reader->services_by_name[low]].name, name)
             == 0)
    return reader->services_by_name[low];
  return UINT32_MAX;
}
