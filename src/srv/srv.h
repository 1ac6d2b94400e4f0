/* HTTP/1.1 server on an event loop: one listener and its connections.  A
   request is handed over when it is complete; the answer may be given later.
   A caller that leaves before its answer is reported at once.

   Example:

     static const struct srv_handlers handlers = { on_request, on_gone };

     srv_create (loop, address, &handlers, context, &settings, &server);
     ...
     output = srv_start_response (exchange, 200);
     htp_put_header (output, "Content-Type", "text/plain");
     srv_finish_response (exchange, body, length);  */

#ifndef MULBERRYSHIFT_SRV_SRV_H
#define MULBERRYSHIFT_SRV_SRV_H

#include "base/net.h"
#include "evl/evl.h"
#include "htp/htp.h"

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct srv;

  /* One connection of a caller and the request that it has under way.  */
  struct srv_connection;

  enum srv_status
  {
    SRV_OK,
    SRV_LISTEN_FAILED /* cannot listen there; see err_last */
  };

  struct srv_handlers
  {
    /* A complete request.  The handler takes over MESSAGE if it needs it
       later (htp_message_close frees it) by emptying it; it ends the exchange
       with srv_start_response and srv_finish_response, or with srv_abort.  */
    void (*request) (void *context, struct srv_connection *connection,
                     struct htp_message *message);
    /* The caller has left; CONNECTION is invalid afterwards.  Called only
       between a request and its answer.  */
    void (*disconnected) (void *context, struct srv_connection *connection);
  };

  /* What callers may send and how long they may take, in ns.  */
  struct srv_limits
  {
    struct htp_limits sizes;
    clk_time header_timeout; /* from the first byte of a request to the end of
                             its header */
    clk_time idle_timeout; /* without a request, or without a byte of a body */
    size_t max_connections; /* open at the same time; 0: no limit */
  };

  /* Opens a listener at ADDRESS.  */
  enum srv_status srv_create (struct evl *loop, struct net_address address,
                              const struct srv_handlers *handlers,
                              void *context, const struct srv_limits *limits,
                              struct srv **server);

  /* Closes the listener and all connections; reports none of them as gone.
     Null is allowed.  */
  void srv_destroy (struct srv *server);

  /* Replaces the limits, for what begins afterwards.  */
  void srv_set_limits (struct srv *server, const struct srv_limits *limits);

  /* Makes every later answer the last one of its connection.  Connections are
     still accepted.  */
  void srv_drain (struct srv *server);

  /* Accepts no more connections and closes those without a request.  A request
     whose bytes have not been read yet is not answered; its caller knows that
     it was not read.  */
  void srv_stop_accepting (struct srv *server);

  /* Returns whether new connections are accepted.  */
  bool srv_is_accepting (const struct srv *server);

  /* Returns the number of requests that wait for their answer.  */
  size_t srv_request_count (const struct srv *server);

  /* Returns the number of connections.  */
  size_t srv_connection_count (const struct srv *server);

  /* Returns the socket, for callers that write bytes of their own.  */
  int srv_descriptor (const struct srv_connection *connection);

  /* Keeps a pointer of the handler with the request under way.  */
  void srv_set_data (struct srv_connection *connection, void *data);
  void *srv_data (const struct srv_connection *connection);

  /* Starts the answer.  Returns the buffer for header fields.  */
  struct buf *srv_start_response (struct srv_connection *connection,
                                  unsigned status);

  /* Ends the answer with its body and sends it.  CONNECTION is invalid
     afterwards, unless another request handler call names it.  */
  void srv_finish_response (struct srv_connection *connection,
                            const void *body, size_t length);

  /* Closes the connection without an answer.  */
  void srv_abort (struct srv_connection *connection);

#ifdef __cplusplus
}
#endif

#endif
