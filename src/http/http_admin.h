/* Administration server: health, metrics, status, and the announcements of
   the upstream beside this node.  */

#ifndef MULBERRYSHIFT_HTTP_HTTP_ADMIN_H
#define MULBERRYSHIFT_HTTP_HTTP_ADMIN_H

#include "base/buf.h"
#include "cfg/cfg.h"
#include "http/http.h"
#include "up/up_lease.h"

#include <jansson.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* What the server asks the rest of the node; called from any of its
     threads.  */
  struct http_admin_hooks
  {
    void *context;
    bool (*is_ready) (void *context);
    json_t *(*status) (void *context); /* the caller drops the reference */
    void (*metrics) (void *context, struct buf *output);
    /* Returns the trace of the call with this ID, or null; the caller drops
       the reference.  */
    json_t *(*trace) (void *context, const char *id);
  };

  struct http_admin;

  /* Starts serving on the settings' admin address.  LEASE must outlive it.  */
  enum http_status http_admin_create (const struct cfg_settings *settings,
                                      struct up_lease *lease,
                                      const struct http_admin_hooks *hooks,
                                      struct http_admin **admin);

  /* From now on /readyz answers 503, so that load balancers choose other
     nodes.  */
  void http_admin_drain (struct http_admin *admin);

  /* Stops serving and frees the server.  */
  void http_admin_destroy (struct http_admin *admin);

#ifdef __cplusplus
}
#endif

#endif
