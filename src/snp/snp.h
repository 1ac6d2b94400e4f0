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

  /* A configuration version and the hash of its document: of the text by
     snp_hash, or of the content by dlt_digest.  Version 0 stands for no
     version.  */
  struct snp_stamp
  {
    uint64_t version;
    uint64_t hash;
  };

  struct rte_index;
  struct ten_index;

  /* A snapshot; read-only after its creation.  */
  struct snp_snapshot
  {
    struct snp_stamp stamp;
    char *text; /* source text of the document, LENGTH bytes and a terminating
                   null byte; null when the snapshot has no text */
    size_t length;
    struct doc_document *document;
    struct rte_index *index;   /* of the document's routes; see rte_match */
    struct ten_index *tenants; /* of the document's keys; see ten_find */
    int references;            /* atomic; see snp_retain and snp_release */
  };

  /* Validates TEXT and compiles a copy of it.  On SNP_OK the caller owns one
     reference to *SNAPSHOT; on SNP_INVALID it is null and err_last says what
     is wrong.  */
  enum snp_status snp_create (uint64_t version, const char *text,
                              size_t length, struct snp_snapshot **snapshot);

  /* Compiles a decoded document and takes ownership of it.  HASH distinguishes
     its content from that of other documents.  The snapshot has no text.  The
     caller owns one reference.  */
  struct snp_snapshot *snp_compile (uint64_t version, uint64_t hash,
                                    struct doc_document *document);

  /* Returns the XXH3 hash of a text, for the stamp of snp_create.  */
  uint64_t snp_hash (const char *text, size_t length);

  /* Adds a reference and returns SNAPSHOT.  */
  struct snp_snapshot *snp_retain (struct snp_snapshot *snapshot);

  /* Drops a reference and frees the snapshot with the last one.  Null is
     allowed.  */
  void snp_release (struct snp_snapshot *snapshot);

#ifdef __cplusplus
}
#endif

#endif
