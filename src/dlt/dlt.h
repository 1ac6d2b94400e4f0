/* Deltas between two versions of a document, as nodes send them to each other:
   the routes that were added, changed or removed, and all services and limits,
   which are few.  A receiver does work only for the changed routes; the new
   document shares the strings of the others with the held version.

   Designed for documents of thousands of routes that change several times a
   second, on VMs with a tenth of a core.  Has no I/O and no global state.  */

#ifndef MULBERRYSHIFT_DLT_DLT_H
#define MULBERRYSHIFT_DLT_DLT_H

#include "base/buf.h"
#include "doc/doc.h"

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  enum dlt_status
  {
    DLT_OK,
    DLT_INVALID, /* not a valid delta to this base; see err_last */
    DLT_TOO_LONG /* too many routes or services in the result; see err_last */
  };

/* Maximum number of routes in a document that a delta may yield.  */
#define DLT_MAX_ROUTES 20000

/* Maximum number of tenants in a document that a delta may yield.  */
#define DLT_MAX_TENANTS 40000

  /* Returns a digest of the content of DOCUMENT, which does not depend on the
     order of its routes and services.  It leaves out the targets of health
     checks, all of which come with each delta.  */
  uint64_t dlt_digest (const struct doc_document *document);

  /* Appends the delta from BASE to RESULT.  Without a BASE (null) it contains
     the whole document.  */
  void dlt_encode (const struct doc_document *base,
                   const struct doc_document *result, struct buf *output);

  /* Builds the document to which dlt_encode made the delta DATA from an equal
     BASE.  On DLT_OK the caller frees *RESULT with doc_destroy; it shares
     reference-counted strings with BASE.  */
  enum dlt_status dlt_apply (const struct doc_document *base, const void *data,
                             size_t length, struct doc_document **result);

#ifdef __cplusplus
}
#endif

#endif
