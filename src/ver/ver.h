/* Configuration versions: the decision which of two versions replaces the
   other, compressed deltas between documents, and the recent documents that
   serve as bases of deltas.  */

#ifndef MULBERRYSHIFT_VER_VER_H
#define MULBERRYSHIFT_VER_VER_H

#include "base/buf.h"
#include "snp/snp.h"

#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Maximum length of a document, in bytes.  The platform stores values up to
   1 MB; a key of a tenant takes DOC_KEY_SIZE bytes here however short it is
   there, so that short keys make the document longer.  */
#define VER_MAX_LENGTH (2u * 1024u * 1024u)

/* Number of recent documents kept as bases of deltas.  */
#define VER_MAX_RECENT 16

  enum ver_status
  {
    VER_OK,
    VER_INVALID, /* the data cannot be decompressed with this base */
    VER_TOO_LONG /* a document exceeds VER_MAX_LENGTH */
  };

  enum ver_decision
  {
    VER_ACCEPT, /* the offered version is higher than the held one */
    VER_IGNORE, /* it is lower, or is the held version */
    VER_FORK    /* it has the held version number but another document */
  };

  /* Decides whether the version OFFERED replaces the version HELD.  */
  enum ver_decision ver_decide (struct snp_stamp held,
                                struct snp_stamp offered);

  /* Returns whether two stamps have equal versions and hashes.  */
  bool ver_equal (struct snp_stamp left, struct snp_stamp right);

  /* Appends the document RESULT to DELTA, compressed as a delta to BASE; with
     BASE_LENGTH 0 the whole document is compressed.  Returns VER_TOO_LONG with
     err_set when a document is too long.  */
  enum ver_status ver_encode (const char *base, size_t base_length,
                              const char *result, size_t length,
                              struct buf *delta);

  /* Appends to RESULT the document that ver_encode compressed with the same
     BASE.  The length is checked before memory is allocated.  On failure
     nothing is appended and err_last says why.  */
  enum ver_status ver_decode (const char *base, size_t base_length,
                              const void *delta, size_t delta_length,
                              struct buf *result);

  /* A document and the stamp of its version.  */
  struct ver_document
  {
    struct snp_stamp stamp; /* version 0: unused entry */
    struct buf text;
  };

  /* Ring buffer of the last VER_MAX_RECENT documents.  Zero-initialise.  */
  struct ver_recent
  {
    struct ver_document documents[VER_MAX_RECENT];
    size_t next; /* index of the entry that is replaced next */
  };

  /* Replaces the oldest document by a copy of TEXT.  Does nothing when a
     document with this stamp is present.  */
  void ver_recent_add (struct ver_recent *recent, struct snp_stamp stamp,
                       const char *text, size_t length);

  /* Returns the document with exactly this stamp, or null.  */
  const struct ver_document *ver_recent_find (const struct ver_recent *recent,
                                              struct snp_stamp stamp);

  /* Frees all documents.  */
  void ver_recent_close (struct ver_recent *recent);

#ifdef __cplusplus
}
#endif

#endif
