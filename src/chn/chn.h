/* Channel between two nodes: frames over TCP on an event loop.  The frames of
   one loop iteration are sent together.  */

#ifndef MULBERRYSHIFT_CHN_CHN_H
#define MULBERRYSHIFT_CHN_CHN_H

#include "base/net.h"
#include "evl/evl.h"
#include "wire/frm.h"

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct chn;

  struct chn_handlers
  {
    /* The connection that chn_connect started is established.  */
    void (*opened) (void *context, struct chn *channel);
    /* A frame has arrived.  The handler returns true to take ownership of
       FRAME and later frees it with frm_free.  */
    bool (*frame) (void *context, struct chn *channel, Mesh__Frame *frame);
    /* The connection has failed or the peer has closed it; the owner of the
       channel calls chn_close.  */
    void (*closed) (void *context, struct chn *channel);
  };

  /* Starts to connect to ADDRESS.  Never returns null; a failure is reported
     through handlers->closed.  */
  struct chn *chn_connect (struct evl *loop, struct net_address address,
                           const struct chn_handlers *handlers, void *context);

  /* Creates a channel that takes ownership of an accepted socket.  */
  struct chn *chn_accept (struct evl *loop, int descriptor,
                          const struct chn_handlers *handlers, void *context);

  /* Closes a channel; no handler is called afterwards.  Null is allowed.  */
  void chn_close (struct chn *channel);

  /* Sends FRAME at the end of the loop iteration, or once connected.  Returns
     false when it exceeds FRM_MAX_LENGTH.  On a failed or closed channel it
     does nothing and returns true.  */
  bool chn_send (struct chn *channel, const Mesh__Frame *frame);

  /* Does the same with LENGTH bytes that frm_encode has written.  */
  void chn_send_encoded (struct chn *channel, const void *data, size_t length);

  /* Sends what the socket takes now, before the end of the loop iteration.  */
  void chn_flush (struct chn *channel);

  /* Returns whether the connection is established.  */
  bool chn_is_open (const struct chn *channel);

  /* Returns the number of queued bytes that were not sent yet.  */
  size_t chn_unsent_bytes (const struct chn *channel);

  /* Returns since when queued bytes make no progress; CLK_NEVER when none are
     queued.  */
  clk_time chn_stalled_since (const struct chn *channel);

  /* Returns when bytes were last received from the peer; before the first ones
     the time at which the connection was established or, until then, the
     channel was created.  */
  clk_time chn_last_receive_time (const struct chn *channel);

  /* Stores and returns a pointer of the owner.  */
  void chn_set_data (struct chn *channel, void *data);
  void *chn_data (const struct chn *channel);

#ifdef __cplusplus
}
#endif

#endif
