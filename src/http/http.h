/* HTTP front for callers, by CivetWeb.  */

#ifndef MULBERRYSHIFT_HTTP_HTTP_H
#define MULBERRYSHIFT_HTTP_HTTP_H

#include "call/call.h"
#include "cfg/cfg.h"

#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  enum http_status
  {
    HTTP_OK,
    HTTP_NO_LISTENER /* the address cannot be used */
  };

  struct http_front;

  /* Starts serving callers on the settings' http address.  */
  enum http_status http_front_create (const struct cfg_settings *settings,
                                      struct call_runner *runner,
                                      struct http_front **front);

  /* From now on answers carry "Connection: close".  */
  void http_front_drain (struct http_front *front);

  /* Returns the number of requests being served.  */
  size_t http_front_in_progress (struct http_front *front);

  /* Stops serving and frees the front.  */
  void http_front_destroy (struct http_front *front);

#ifdef __cplusplus
}
#endif

#endif
