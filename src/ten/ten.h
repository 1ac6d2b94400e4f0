/* Tenants of callers: recognizes a caller by the key in its request.

   The lookup costs one digest and one probe of a hash table, whatever the
   number of tenants.  Keys are compared by their digests, so that neither the
   length nor the prefix of a key can be learned from the time of a
   comparison.  */

#ifndef MULBERRYSHIFT_TEN_TEN_H
#define MULBERRYSHIFT_TEN_TEN_H

#include "doc/doc.h"
#include "htp/htp.h"
#include "ptf/ptf.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct ten_index;

  enum ten_status
  {
    TEN_OK,
    TEN_MISSING, /* the request has no key */
    TEN_UNKNOWN  /* it has a key that no tenant holds, or several */
  };

  /* Builds the index of the keys of DOCUMENT, which must outlive it.  */
  struct ten_index *ten_index_create (const struct doc_document *document);

  /* Frees an index; null is allowed.  */
  void ten_index_destroy (struct ten_index *index);

  /* Returns the tenant that holds a key, null when there is none.  */
  const struct doc_tenant *ten_find (const struct ten_index *index,
                                     const struct doc_key *key);

  /* Finds the tenant of the key in REQUEST.  *TENANT is null unless TEN_OK is
     returned.  */
  enum ten_status ten_authenticate (const struct ten_index *index,
                                    const struct ptf_platform *platform,
                                    const struct htp_message *request,
                                    const struct doc_tenant **tenant);

  /* Returns whether two tenants of DOCUMENT hold the same key.  */
  bool ten_has_shared_key (const struct doc_document *document);

#ifdef __cplusplus
}
#endif

#endif
