/* Rules for HTTP headers: valid, hop-by-hop, or reserved for the mesh.  Pure.
 */

#ifndef MULBERRYSHIFT_HTTP_HTTP_HEADER_H
#define MULBERRYSHIFT_HTTP_HTTP_HEADER_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* One header; the strings belong to the request or answer.  */
  struct http_header
  {
    const char *name;
    const char *value;
  };

  /* Returns whether a header belongs to one connection, by its name or because
     CONNECTION (the value of the Connection header, may be null) names it.  */
  bool http_is_hop_header (const char *name, const char *connection);

  /* Returns whether the mesh itself sets this header, so that one from outside
     must not be passed on.  */
  bool http_is_mesh_header (const char *name);

  /* Returns whether NAME is a token and VALUE has no control characters.  */
  bool http_is_valid_header (const char *name, const char *value);

  /* Returns what is wrong with a request's headers as one sentence, or null.
     Refused are: more than one Content-Length or Host, Content-Length together
     with Transfer-Encoding, a Content-Length that is not a number, a transfer
     encoding other than chunked, invalid names and values, and HTTP/1.1
     without Host.  */
  const char *http_find_fault (const struct http_header *headers, size_t count,
                               const char *version);

#ifdef __cplusplus
}
#endif

#endif
