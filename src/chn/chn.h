/* Channel between two nodes: frames over TCP on an event loop.  Frames that
   are sent in one round of the loop leave together.  */

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
    /* The connection that chn_connect started is up.  */
    void (*opened) (void *context, struct chn *channel);
    /* A frame has come.  The handler returns true to keep FRAME and frees it
       later with frm_free.  */
    bool (*frame) (void *context, struct chn *channel, Mesh__Frame *frame);
    /* The channel has ended; its owner calls chn_close.  */
    void (*closed) (void *context, struct chn *channel);
  };

  /* Starts to connect.  Never null; a failure is reported as closed.  */
  struct chn *chn_connect (struct evl *loop, struct net_address address,
                           const struct chn_handlers *handlers, void *context);

  /* Takes over an accepted socket.  */
  struct chn *chn_accept (struct evl *loop, int descriptor,
                          const struct chn_handlers *handlers, void *context);

  /* Closes a channel; nothing more is reported.  Null is allowed.  */
  void chn_close (struct chn *channel);

  /* Sends FRAME at the end of the round, or once connected.  Returns false
     when it exceeds the largest frame.  */
  bool chn_send (struct chn *channel, const Mesh__Frame *frame);

  /* Returns whether the connection is up.  */
  bool chn_is_open (const struct chn *channel);

  /* Returns the bytes that have not left yet.  */
  size_t chn_unsent_bytes (const struct chn *channel);

  /* Returns when bytes last came from the peer.  */
  clk_time chn_last_receive_time (const struct chn *channel);

  /* Keeps a pointer of the owner with the channel.  */
  void chn_set_data (struct chn *channel, void *data);
  void *chn_data (const struct chn *channel);

#ifdef __cplusplus
}
#endif

#endif
