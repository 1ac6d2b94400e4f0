/* Snapshot: one immutable, validated configuration version.  */

#ifndef MULBERRYSHIFT_SNP_SNP_H
#define MULBERRYSHIFT_SNP_SNP_H

#include "doc/doc.h"

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  enum snp_status
  {
    SNP_OK,
    SNP_INVALID /* the document is invalid; see err_last */
  };

  /* A configuration version and the XXH3 hash of its document.  Version 0
     means that there is none.  */
  struct snp_stamp
  {
    uint64_t version;
    uint64_t hash;
  };

  struct rte_index;

  /* Read only after snp_create.  */
  struct snp_snapshot
  {
    struct snp_stamp stamp;
    char *text; /* the document as its source wrote it, LENGTH bytes and a
                   null; null pointer when only the document is known */
    size_t length;
    struct doc_document *document;
    struct rte_index *index; /* of the document's routes; see rte_match */
    int references;          /* atomic; use snp_retain and snp_release */
  };

  /* Validates and compiles a copy of TEXT.  On SNP_OK the caller owns one
     reference to *SNAPSHOT.  */
  enum snp_status snp_create (uint64_t version, const char *text,
                              size_t length, struct snp_snapshot **snapshot);

  /* Compiles a document that was decoded already, and takes it over.  HASH
     tells it from others; the snapshot has no text.  */
  struct snp_snapshot *snp_compile (uint64_t version, uint64_t hash,
                                    struct doc_document *document);

  /* Returns the hash that a stamp carries.  */
  uint64_t snp_hash (const char *text, size_t length);

  /* Adds a reference and returns SNAPSHOT.  */
  struct snp_snapshot *snp_retain (struct snp_snapshot *snapshot);

  /* Drops a reference; the last one frees.  Null is allowed.  */
  void snp_release (struct snp_snapshot *snapshot);

#ifdef __cplusplus
}
#endif

#endif
