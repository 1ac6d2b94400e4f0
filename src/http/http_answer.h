/* Writes the answer of a call to the caller as an HTTP response.  */

#ifndef MULBERRYSHIFT_HTTP_HTTP_ANSWER_H
#define MULBERRYSHIFT_HTTP_HTTP_ANSWER_H

#include "wire/mesh.pb-c.h"

#include <civetweb.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Writes ANSWER, large bodies in pieces.  HEAD and statuses without a body
     get none.  CLOSE asks the caller to close the connection.  */
  void http_write_answer (struct mg_connection *connection,
                          const Mesh__Answer *answer, bool head, bool close);

  /* Writes a refusal made here, as not run, and closes the connection, since
     the rest of an invalid request cannot be distinguished from the next one.
   */
  void http_write_refusal (struct mg_connection *connection, unsigned status,
                           const char *reason);

#ifdef __cplusplus
}
#endif

#endif
