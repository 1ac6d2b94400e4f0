/* Configuration versions: which one wins, deltas between documents, and the
   recent documents that deltas can start from.  */

#ifndef MULBERRYSHIFT_VER_VER_H
#define MULBERRYSHIFT_VER_VER_H

#include "base/buf.h"
#include "snp/snp.h"

#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Largest document that a delta or a compressed document may yield, in bytes;
   the platform stores values up to this size.  */
#define VER_MAX_LENGTH (1024u * 1024u)

/* Documents kept as bases for deltas.  */
#define VER_MAX_RECENT 16

  enum ver_status
  {
    VER_OK,
    VER_INVALID, /* the data cannot be decompressed with this base */
    VER_TOO_LONG /* the result would exceed VER_MAX_LENGTH */
  };

  enum ver_decision
  {
    VER_ACCEPT, /* higher than the held version */
    VER_IGNORE, /* lower, or the held version itself */
    VER_FORK    /* the held version number with another document */
  };

  /* Decides whether OFFERED may replace HELD.  */
  enum ver_decision ver_decide (struct snp_stamp held,
                                struct snp_stamp offered);

  /* Returns whether version and hash are equal.  */
  bool ver_equal (struct snp_stamp left, struct snp_stamp right);

  /* Appends RESULT compressed with BASE as prefix; BASE_LENGTH 0 compresses
     the whole document.  */
  enum ver_status ver_encode (const char *base, size_t base_length,
                              const char *result, size_t length,
                              struct buf *delta);

  /* Appends the document that ver_encode compressed.  The size is checked
     before memory is taken; on failure nothing is appended.  */
  enum ver_status ver_decode (const char *base, size_t base_length,
                              const void *delta, size_t delta_length,
                              struct buf *result);

  struct ver_document
  {
    struct snp_stamp stamp; /* version 0: the place is empty */
    struct buf text;
  };

  /* The last VER_MAX_RECENT documents.  Zero-initialise.  */
  struct ver_recent
  {
    struct ver_document documents[VER_MAX_RECENT];
    size_t next; /* place that the next document takes */
  };

  /* Keeps a copy of a document in place of the oldest one.  */
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
