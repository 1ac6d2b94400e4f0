/* HTTP/1.1 client connection on an event loop, for one exchange at a time.  It
   sends each request once; whether to retry is the decision of its owner.

   Example:

     connection = cnx_open (loop, address, &handlers, context, &limits);
     output = cnx_request_buffer (connection);
     htp_put_request (output, "GET", "/health");
     htp_put_body (output, NULL, 0);
     cnx_send (connection, false);  */

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
    CNX_NOT_SENT,         /* no connection; no byte of the request was sent */
    CNX_DISCONNECTED,     /* ended or reset after bytes were sent */
    CNX_INVALID_RESPONSE, /* the response is malformed or incomplete */
    CNX_IDLE_CLOSED       /* the idle connection ended or received bytes */
  };

  struct cnx_handlers
  {
    /* A complete response has arrived.  The handler takes ownership of the
       content of MESSAGE by emptying it, otherwise it is freed.  Afterwards
       the connection is idle; it is not persistent when MESSAGE says so, part
       of the request was not sent, or further bytes came with the response.
       Returns false for a response to an earlier request: the connection then
       waits for the next response.  */
    bool (*response) (void *context, struct cnx *connection,
                      struct htp_message *message);
    /* The exchange has failed, or the idle connection has ended.  The owner
       closes CONNECTION with cnx_close.  */
    void (*failed) (void *context, struct cnx *connection,
                    enum cnx_failure failure);
  };

  /* Starts to connect to ADDRESS.  Never returns null; a failure is reported
     through handlers->failed.  */
  struct cnx *cnx_open (struct evl *loop, struct net_address address,
                        const struct cnx_handlers *handlers, void *context,
                        const struct htp_limits *limits);

  /* Closes a connection; no handler is called afterwards.  Null is
     allowed.  */
  void cnx_close (struct cnx *connection);

  /* Lets the bodies of the responses share BUDGET, which must last until
     cnx_close.  */
  void cnx_set_budget (struct cnx *connection, struct htp_budget *budget);

  /* Returns the buffer to which the caller writes the next request.  */
  struct buf *cnx_request_buffer (struct cnx *connection);

  /* Sends the request in the buffer.  IS_HEAD: the method is HEAD, so the
     response has no body.  */
  void cnx_send (struct cnx *connection, bool is_head);

  /* Returns whether the connection can send a request, now or as soon as it is
     established.  It cannot once the peer has ended it or has sent bytes
     beside its responses, also where the loop has not reported this yet.  */
  bool cnx_is_idle (const struct cnx *connection);

  /* Returns whether any byte of the current request was sent.  */
  bool cnx_has_sent (const struct cnx *connection);

  /* Returns whether the peer keeps the connection open after the last response
     (persistent connection, RFC 9112).  */
  bool cnx_is_persistent (const struct cnx *connection);

  /* Returns what is wrong with the response after CNX_INVALID_RESPONSE, for
     logs.  */
  const char *cnx_describe_fault (const struct cnx *connection);

  /* Returns the time in ns from cnx_open until the connection was established,
     which is one round trip; 0 before that.  */
  clk_time cnx_connect_time (const struct cnx *connection);

  /* Returns when bytes of the response to the current request were last
     received, 0 before the first.  */
  clk_time cnx_read_time (const struct cnx *connection);

  /* Enables TCP keep-alive probes to detect a peer that does not respond; see
     net_set_keepalive.  */
  void cnx_set_keepalive (struct cnx *connection, int probes);

  /* Stores and returns a pointer of the owner.  */
  void cnx_set_data (struct cnx *connection, void *data);
  void *cnx_data (const struct cnx *connection);

#ifdef __cplusplus
}
#endif

#endif
