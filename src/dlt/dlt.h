/* Differences between two versions of a document, as nodes send them to each
   other: the routes that were added, changed or removed, and the services and
   limits, which are few.  A receiver does work for what changed and shares the
   rest with the version that it holds.  Pure.

   Load that it answers: documents of thousands of routes that change several
   times a second, on VMs with a tenth of a core.  */

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
    DLT_INVALID, /* not a difference, or not to this base; see err_last */
    DLT_TOO_LONG /* the result would exceed the limits of a document */
  };

/* Routes that a document may get by a difference.  */
#define DLT_MAX_ROUTES 20000

  /* Returns a digest of what DOCUMENT says; the order of its routes does not
     matter.  */
  uint64_t dlt_digest (const struct doc_document *document);

  /* Appends what turns BASE (null: nothing) into RESULT.  */
  void dlt_encode (const struct doc_document *base,
                   const struct doc_document *result, struct buf *output);

  /* Makes the document that dlt_encode was given.  On DLT_OK the caller frees
   *RESULT with doc_destroy; it shares strings with BASE.  */
  enum dlt_status dlt_apply (const struct doc_document *base, const void *data,
                             size_t length, struct doc_document **result);

#ifdef __cplusplus
}
#endif

#endif
