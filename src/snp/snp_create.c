/* Creation of snapshots and their reference counts.  */

#include "base/err.h"
#include "base/mem.h"
#include "rte/rte_index.h"
#include "snp/snp.h"
#include "ten/ten.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

uint64_t
snp_hash (const char *text, size_t length)
{
  return XXH3_64bits (text, length);
}

struct snp_snapshot *
snp_compile (uint64_t version, uint64_t hash, struct doc_document *document)
{
  struct snp_snapshot *result = mem_alloc (1, sizeof *result);

  result->stamp.version = version;
  result->stamp.hash = hash;
  result->document = document;
  result->references = 1;
  result->index = rte_index_create (document);
  result->tenants = ten_index_create (document);
  return result;
}

enum snp_status
snp_create (uint64_t version, const char *text, size_t length,
            struct snp_snapshot **snapshot)
{
  struct buf diagnostics = { 0 };
  struct doc_document *document;

  *snapshot = NULL;
  if (doc_parse ("document", text, length, &document, &diagnostics) != DOC_OK)
    {
      err_set ("version %llu is invalid: %s", (unsigned long long)version,
               buf_text (&diagnostics));
      buf_close (&diagnostics);
      return SNP_INVALID;
    }
  buf_close (&diagnostics);
  *snapshot = snp_compile (version, snp_hash (text, length), document);
  (*snapshot)->text = mem_copy (text, length);
  (*snapshot)->length = length;
  return SNP_OK;
}

struct snp_snapshot *
snp_retain (struct snp_snapshot *snapshot)
{
  __atomic_add_fetch (&snapshot->references, 1, __ATOMIC_RELAXED);
  return snapshot;
}

void
snp_release (struct snp_snapshot *snapshot)
{
  if (snapshot == NULL
      || __atomic_sub_fetch (&snapshot->references, 1, __ATOMIC_ACQ_REL) > 0)
    return;
  rte_index_destroy (snapshot->index);
  ten_index_destroy (snapshot->tenants);
  doc_destroy (snapshot->document);
  free (snapshot->text);
  free (snapshot);
}
