/* HTTP/1.1 client connection on an event loop: one exchange at a time.  It
   sends a request once; whether it is repeated is its owner's decision.

   Example:

     connection = cnx_open (loop, address, &handlers, context, &limits);
     output = cnx_request_buffer (connection);
     htp_put_request (output, "GET", "/health");
     htp_put_body (output, NULL, 0);
     cnx_send (connection);  */

#ifndef MULBERRYSHIFT_CNX_CNX_H
#define MULBERRYSHIFT_CNX_CNX_H

#include "base/net.h"
#include "evl/evl.h"
#include "htp/htp.h"

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct cnx;

  /* Why an exchange has no response.  */
  enum cnx_failure
  {
    CNX_NOT_SENT,     /* no connection; nothing was sent */
    CNX_DISCONNECTED, /* the connection ended or was reset after bytes left */
    CNX_INVALID_RESPONSE, /* the bytes that came are no whole response */
    CNX_IDLE_CLOSED /* the connection ended, or bytes came, between exchanges
                     */
  };

  struct cnx_handlers
  {
    /* A complete response.  The handler may empty MESSAGE to keep it.
       Afterwards the connection is idle, or closed when MESSAGE says so or
       part of the request has not left.  Returns false for a response that
       belongs to an earlier request: the wait then goes on.  */
    bool (*response) (void *context, struct cnx *connection,
                      struct htp_message *message);
    /* The exchange failed, or an idle connection ended.  CONNECTION is closed
       by its owner with cnx_close.  */
    void (*failed) (void *context, struct cnx *connection,
                    enum cnx_failure failure);
  };

  /* Starts to connect.  Never null; a failure is reported later.  */
  struct cnx *cnx_open (struct evl *loop, struct net_address address,
                        const struct cnx_handlers *handlers, void *context,
                        const struct htp_limits *limits);

  /* Closes a connection; nothing more is reported.  */
  void cnx_close (struct cnx *connection);

  /* Returns the buffer for the next request.  */
  struct buf *cnx_request_buffer (struct cnx *connection);

  /* Sends the request; HEAD tells that the response has no body.  */
  void cnx_send (struct cnx *connection, bool head);

  /* Returns whether the connection can take a request now or as soon as it is
     connected.  */
  bool cnx_is_idle (const struct cnx *connection);

  /* Returns whether any byte of the request has left.  */
  bool cnx_has_sent (const struct cnx *connection);

  /* Returns whether the peer keeps the connection open after the last
     response.  */
  bool cnx_is_persistent (const struct cnx *connection);

  /* Returns the time from cnx_open until the peer had accepted, which is one
     round trip; 0 before that, ns.  */
  clk_time cnx_connect_time (const struct cnx *connection);

  /* Detects a silent peer by the system's probes; see net_set_keepalive.  */
  void cnx_set_keepalive (struct cnx *connection, int probes);

  /* Keeps a pointer of the owner with the connection.  */
  void cnx_set_data (struct cnx *connection, void *data);
  void *cnx_data (const struct cnx *connection);

#ifdef __cplusplus
}
#endif

#endif
