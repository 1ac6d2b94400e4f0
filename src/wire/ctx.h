/* Context of a call as text, in the header Mulberryshift-Context:

     id=<16 hex>-<decimal>;remaining_ms=<n>;depth=<n>;retries=<n>

   A gate adds the header to each request to its upstream, which copies it to
   the calls that it makes meanwhile; the node that receives such a call
   decodes it.  */

#ifndef MULBERRYSHIFT_WIRE_CTX_H
#define MULBERRYSHIFT_WIRE_CTX_H

#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define CTX_HEADER "Mulberryshift-Context"

/* Size of the longest encoded context with its terminating null byte.  */
#define CTX_TEXT_SIZE 128

/* Most hops of a chain of calls through the mesh.  */
#define CTX_MAX_DEPTH 8

  enum ctx_status
  {
    CTX_OK,
    CTX_INVALID /* malformed text; nothing was stored */
  };

  /* Context that a call passes on to the calls that its upstream makes.  */
  struct ctx
  {
    uint64_t origin; /* call ID: incarnation of the sender, and its counter */
    uint64_t number;
    uint32_t remaining_ms; /* time until the deadline of the chain */
    uint32_t depth;        /* hops through the mesh, this call included */
    uint32_t retries;      /* retries left for the chain */
  };

  /* Encodes CONTEXT to TEXT.  */
  void ctx_encode (const struct ctx *context, char text[CTX_TEXT_SIZE]);

  /* Decodes the value of the header.  Missing, reordered or additional fields,
     decimal numbers with leading zeros and numbers out of range are invalid;
     err_set is called then.  */
  enum ctx_status ctx_decode (const char *text, struct ctx *context);

#ifdef __cplusplus
}
#endif

#endif
