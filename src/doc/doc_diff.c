/* Difference of two documents: services, tenants, preference.  */

#include "base/mem.h"
#include "doc/doc_diff_list.h"
#include "doc/doc_reader.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SUBJECT_SIZE (TOML_MAX_NAME_LENGTH + 16)

/* An entry with a name, of either document.  */
struct entry
{
  const char *name;
  const void *item;
};

static int
compare_entries (const void *left, const void *right)
{
  return strcmp (((const struct entry *)left)->name,
                 ((const struct entry *)right)->name);
}

static int
compare_texts (const void *left, const void *right)
{
  return strcmp (*(const char *const *)left, *(const char *const *)right);
}

/* Writes the upstream rule in a fixed order, as its order has no meaning.  */
static void
print_upstreams (const struct doc_service *service, struct buf *output)
{
  const char **sorted = mem_alloc (service->upstream_count, sizeof *sorted);

  for (size_t i = 0; i < service->upstream_count; i++)
    sorted[i] = service->upstreams[i];
  qsort (sorted, service->upstream_count, sizeof *sorted, compare_texts);
  if (service->upstream_count == 0)
    buf_printf (output, "any");
  for (size_t i = 0; i < service->upstream_count; i++)
    buf_printf (output, "%s%s", i > 0 ? ", " : "", sorted[i]);
  free (sorted);
}

static void
compare_services (struct doc_diff *diff, const char *subject,
                  const void *from_item, const void *to_item)
{
  const struct doc_service *from = from_item;
  const struct doc_service *to = to_item;
  struct buf from_text = { 0 };
  struct buf to_text = { 0 };

  print_upstreams (from, &from_text);
  print_upstreams (to, &to_text);
  doc_diff_field (diff, subject, "upstreams", buf_text (&from_text),
                  buf_text (&to_text));
  doc_diff_field (diff, subject, "across",
                  from->cross_region ? "true" : "false",
                  to->cross_region ? "true" : "false");
  doc_diff_field (diff, subject, "order_keys",
                  doc_key_store_name (from->key_store),
                  doc_key_store_name (to->key_store));
  buf_close (&from_text);
  buf_close (&to_text);
}

static void
compare_tenants (struct doc_diff *diff, const char *subject,
                 const void *from_item, const void *to_item)
{
  const struct doc_tenant *from = from_item;
  const struct doc_tenant *to = to_item;

  doc_diff_number (diff, subject, "max_in_progress", from->max_in_progress,
                   to->max_in_progress);
}

/* Merges two lists of entries by name.  */
static void
merge (struct doc_diff *diff, const char *what, struct entry *from,
       size_t from_count, struct entry *to, size_t to_count,
       void (*compare) (struct doc_diff *, const char *, const void *,
                        const void *))
{
  char subject[SUBJECT_SIZE];
  size_t i = 0;
  size_t j = 0;

  qsort (from, from_count, sizeof *from, compare_entries);
  qsort (to, to_count, sizeof *to, compare_entries);
  while (i < from_count || j < to_count)
    {
      int order = i == from_count ? 1
                  : j == to_count ? -1
                                  : strcmp (from[i].name, to[j].name);

      snprintf (subject, sizeof subject, "%s \"%s\"", what,
                order <= 0 ? from[i].name : to[j].name);
      if (order < 0)
        doc_diff_add (diff, DOC_REMOVED, subject, "", "", "");
      else if (order > 0)
        doc_diff_add (diff, DOC_ADDED, subject, "", "", "");
      else
        compare (diff, subject, from[i].item, to[j].item);
      i += order <= 0;
      j += order >= 0;
    }
}

static struct entry *
list_services (const struct doc_document *document)
{
  struct entry *entries = mem_alloc (document->service_count, sizeof *entries);

  for (size_t i = 0; i < document->service_count; i++)
    entries[i]
        = (struct entry){ document->services[i].name, &document->services[i] };
  return entries;
}

static struct entry *
list_tenants (const struct doc_document *document)
{
  struct entry *entries = mem_alloc (document->tenant_count, sizeof *entries);

  for (size_t i = 0; i < document->tenant_count; i++)
    entries[i]
        = (struct entry){ document->tenants[i].name, &document->tenants[i] };
  return entries;
}

static void
compare_preference (struct doc_diff *diff, const struct doc_document *from,
                    const struct doc_document *to)
{
  struct buf from_text = { 0 };
  struct buf to_text = { 0 };

  for (int i = 0; i < DOC_CLASS_COUNT; i++)
    {
      const char *separator = i > 0 ? ", " : "";

      buf_printf (&from_text, "%s%s", separator,
                  doc_class_name (from->preference[i]));
      buf_printf (&to_text, "%s%s", separator,
                  doc_class_name (to->preference[i]));
    }
  doc_diff_field (diff, "preference", "order", buf_text (&from_text),
                  buf_text (&to_text));
  buf_close (&from_text);
  buf_close (&to_text);
}

struct doc_diff *
doc_diff_create (const struct doc_document *from,
                 const struct doc_document *to, bool same_text)
{
  struct doc_diff *diff = mem_alloc (1, sizeof *diff);
  struct entry *old_entries = list_services (from);
  struct entry *new_entries = list_services (to);

  diff->same_text = same_text;
  merge (diff, "service", old_entries, from->service_count, new_entries,
         to->service_count, compare_services);
  free (old_entries);
  free (new_entries);
  doc_diff_routes (diff, from, to);
  old_entries = list_tenants (from);
  new_entries = list_tenants (to);
  merge (diff, "tenant", old_entries, from->tenant_count, new_entries,
         to->tenant_count, compare_tenants);
  free (old_entries);
  free (new_entries);
  compare_preference (diff, from, to);
  return diff;
}
