/* Tenants of a document and the digests of their keys.  */

#include "base/mem.h"
#include "doc/doc.h"

#include <sodium/crypto_generichash.h>
#include <stdlib.h>
#include <string.h>

void
doc_hash_key (const char *text, size_t length, struct doc_key *key)
{
  crypto_generichash (key->digest, sizeof key->digest,
                      (const unsigned char *)text, length, NULL, 0);
}

static int
compare_names (const void *left, const void *right)
{
  const struct doc_tenant *a = left;
  const struct doc_tenant *b = right;

  return strcmp (a->name, b->name);
}

void
doc_sort_tenants (struct doc_document *document)
{
  if (document->tenant_count > 1)
    qsort (document->tenants, document->tenant_count,
           sizeof *document->tenants, compare_names);
}

const struct doc_tenant *
doc_find_tenant (const struct doc_document *document, const char *name)
{
  struct doc_tenant wanted = { .name = (char *)name };

  if (document->tenant_count == 0)
    return NULL;
  return bsearch (&wanted, document->tenants, document->tenant_count,
                  sizeof *document->tenants, compare_names);
}

bool
doc_equal_tenants (const struct doc_tenant *left,
                   const struct doc_tenant *right)
{
  return strcmp (left->name, right->name) == 0
         && left->max_in_progress == right->max_in_progress
         && left->priority == right->priority && left->rate == right->rate
         && left->burst == right->burst && left->key_count == right->key_count
         && (left->key_count == 0
             || memcmp (left->keys, right->keys,
                        left->key_count * sizeof *left->keys)
                    == 0);
}

void
doc_copy_tenant (const struct doc_tenant *tenant, struct doc_tenant *copy)
{
  *copy = *tenant;
  copy->name = mem_copy_string (tenant->name);
  copy->keys = mem_alloc (tenant->key_count, sizeof *copy->keys);
  if (tenant->key_count > 0)
    memcpy (copy->keys, tenant->keys, tenant->key_count * sizeof *copy->keys);
}
