/* HTTP/1.1 server on an event loop: one listener and its connections.  The
   request handler is called when a request is complete; it may respond later.
   A caller that disconnects before its response is reported immediately.

   Example:

     static const struct srv_handlers handlers
         = { on_request, on_disconnected };

     srv_create (loop, address, &handlers, context, &settings, &server);
     ...
     output = srv_start_response (connection, 200);
     htp_put_header (output, "Content-Type", "text/plain");
     srv_finish_response (connection, body, length);  */

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

  /* One connection of a caller and its current request.  */
  struct srv_connection;

  enum srv_status
  {
    SRV_OK,
    SRV_LISTEN_FAILED /* cannot listen at the address; see err_last */
  };

  struct srv_handlers
  {
    /* A complete request has arrived.  The handler ends the exchange, now or
       later, with srv_start_response and srv_finish_response, or with
       srv_abort.  To use MESSAGE after its return it takes ownership of the
       content by emptying MESSAGE, and frees it with htp_message_close.  */
    void (*request) (void *context, struct srv_connection *connection,
                     struct htp_message *message);
    /* The caller has disconnected; CONNECTION is invalid afterwards.  Called
       only between a request and its response.  */
    void (*disconnected) (void *context, struct srv_connection *connection);
  };

  /* Limits of what callers may send; times are in ns.  */
  struct srv_limits
  {
    struct htp_limits sizes;
    clk_time header_timeout; /* from the first byte of a request to the end of
                                its header */
    clk_time idle_timeout;   /* between requests, between two reads of a body,
                                and while a caller reads nothing of its
                                response */
    size_t max_connections;  /* open at the same time; 0: no limit */
  };

  /* Creates a server that listens at ADDRESS.  *SERVER is null unless SRV_OK
     is returned.  */
  enum srv_status srv_create (struct evl *loop, struct net_address address,
                              const struct srv_handlers *handlers,
                              void *context, const struct srv_limits *limits,
                              struct srv **server);

  /* Closes the listener and all connections without calling the handlers.
     Null is allowed.  */
  void srv_destroy (struct srv *server);

  /* Replaces the limits.  Timeouts that are already running keep their
     time.  */
  void srv_set_limits (struct srv *server, const struct srv_limits *limits);

  /* Sets whether the limits stand in for those that are not known yet: what
     exceeds them is then rejected with 503, after which callers may come back,
     in place of 413 or 431.  */
  void srv_set_provisional (struct srv *server, bool provisional);

  /* Lets the bodies of all requests that connections opened from now on read
     share BUDGET, which must outlive the server and its messages.  A request
     for which not enough is left is rejected with 503.  */
  void srv_set_budget (struct srv *server, struct htp_budget *budget);

  /* Starts to drain: every later response closes its connection.  New
     connections are still accepted.  */
  void srv_drain (struct srv *server);

  /* Drains, closes the listener and closes the connections without a request.
     A request of which no byte was read yet gets no response; the close of the
     connection tells its caller that it was not read.  */
  void srv_stop_accepting (struct srv *server);

  /* Returns whether new connections are accepted.  */
  bool srv_is_accepting (const struct srv *server);

  /* Returns the number of requests whose response is not completed or not
     wholly sent.  */
  size_t srv_request_count (const struct srv *server);

  /* Returns when the last complete request arrived, 0 when none did.  */
  clk_time srv_last_request_time (const struct srv *server);

  /* Returns the number of open connections.  */
  size_t srv_connection_count (const struct srv *server);

  /* Returns the socket of CONNECTION, for code that writes to it directly.  */
  int srv_descriptor (const struct srv_connection *connection);

  /* Stores and returns a pointer of the handler with the current request.  */
  void srv_set_data (struct srv_connection *connection, void *data);
  void *srv_data (const struct srv_connection *connection);

  /* Starts the response.  Returns the buffer to which the caller writes header
     fields with htp_put_header.  */
  struct buf *srv_start_response (struct srv_connection *connection,
                                  unsigned status);

  /* Completes the response with LENGTH bytes of BODY and sends it.  CONNECTION
     is invalid afterwards, until the request handler is called with it
     again.  */
  void srv_finish_response (struct srv_connection *connection,
                            const void *body, size_t length);

  /* Closes the connection without a response.  */
  void srv_abort (struct srv_connection *connection);

#ifdef __cplusplus
}
#endif

#endif
