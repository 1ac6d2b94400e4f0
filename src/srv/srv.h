/* HTTP/1.1 server on an event loop: one listener and its connections.  The
   request handler is called when a request is complete; it may respond later.
   A caller that disconnects before its response is reported in the same loop
   iteration.

   A caller may send requests before the earlier ones are answered
   (pipelining).  Each is an exchange of its connection.  Responses are sent in
   the order of the requests; those that may overlap are handled at the same
   time.  Designed for 8,192 connections and 2,000 requests a second.

   Example:

     static const struct srv_handlers handlers
         = { on_request, on_disconnected, NULL };

     srv_create (loop, address, &handlers, context, &settings, &server);
     ...
     output = srv_start_response (exchange, 200);
     htp_put_header (output, "Content-Type", "text/plain");
     srv_finish_response (exchange, body, length);  */

#ifndef MULBERRYSHIFT_SRV_SRV_H
#define MULBERRYSHIFT_SRV_SRV_H

#include "acc/acc.h"
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

  /* One request of a caller and its response.  */
  struct srv_exchange;

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
    void (*request) (void *context, struct srv_exchange *exchange,
                     struct htp_message *message);
    /* The connection of EXCHANGE has ended; EXCHANGE is invalid afterwards.
       Called only between a request and its response.  */
    void (*disconnected) (void *context, struct srv_exchange *exchange);
    /* Returns whether the request may be handled while earlier ones of its
       connection are not answered.  Null: never.  */
    bool (*may_overlap) (void *context, const struct htp_message *message);
  };

/* Defaults of the limits on pipelining.  */
#define SRV_MAX_PIPELINED 64u
#define SRV_MAX_READ_AHEAD (256u * 1024u)

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
    size_t max_pipelined;    /* requests of a connection that are held; 0:
                                SRV_MAX_PIPELINED */
    size_t max_read_ahead;   /* bytes of requests of a connection behind an
                                unanswered one; 0: SRV_MAX_READ_AHEAD */
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

  /* Charges what connections hold to ACCOUNT, which must outlive the server.
     When a response does not fit, the connections whose callers read most
     slowly are closed.  */
  void srv_set_account (struct srv *server, struct acc *account);

  /* Starts to drain: the response to the last request that was read on a
     connection closes it, and no request is read behind an unanswered one.
     New connections are still accepted.  */
  void srv_drain (struct srv *server);

  /* Drains, closes the listener and closes the connections without a request.
     A request of which no byte was read yet gets no response; the close of the
     connection shows its caller that it was not read.  */
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

  /* Returns the socket of the connection, for code that writes to it directly;
     -1 when it has closed.  */
  int srv_descriptor (const struct srv_exchange *exchange);

  /* Stores and returns a pointer of the handler with the exchange.  */
  void srv_set_data (struct srv_exchange *exchange, void *data);
  void *srv_data (const struct srv_exchange *exchange);

  /* Starts the response.  Returns the buffer to which the caller writes header
     fields with htp_put_header.  */
  struct buf *srv_start_response (struct srv_exchange *exchange,
                                  unsigned status);

  /* Completes the response with LENGTH bytes of BODY and sends it in its turn.
     EXCHANGE is invalid afterwards.  */
  void srv_finish_response (struct srv_exchange *exchange, const void *body,
                            size_t length);

  /* The same; the server owns BODY afterwards and frees it with free.  */
  void srv_give_response (struct srv_exchange *exchange, uint8_t *body,
                          size_t length);

  /* Closes the connection without a response.  The other exchanges of the
     connection are reported as disconnected.  */
  void srv_abort (struct srv_exchange *exchange);

#ifdef __cplusplus
}
#endif

#endif
