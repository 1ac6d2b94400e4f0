/* Links to the other nodes: opened when first needed, watched for silence,
   replaced when they fail.  Frames to the node itself take the same way
   without a socket.

   A node opens links to the nodes that it sends calls to; answers come back on
   the same link.  Links that others opened are their origin's.  */

#ifndef MULBERRYSHIFT_HUB_HUB_H
#define MULBERRYSHIFT_HUB_HUB_H

#include "dir/dir.h"
#include "evl/evl.h"
#include "wire/frm.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct hub;

  /* A link that another node opened, or the node itself: identifies who sent
     a frame, for hub_reply.  */
  struct hub_inbound_link;

  enum hub_status
  {
    HUB_OK,
    HUB_LISTEN_FAILED, /* cannot listen there; see err_last */
    HUB_UNREACHABLE,   /* the peer cannot be reached at present */
    HUB_FRAME_TOO_LONG /* the frame exceeds the largest size */
  };

  /* How a peer seems from here.  */
  enum hub_health
  {
    HUB_HEALTHY,     /* connected, or never tried */
    HUB_TIMED_OUT,   /* has not replied in time; tried again at times */
    HUB_DISCONNECTED /* the connection failed; tried again at times */
  };

  struct hub_handlers
  {
    /* A frame of a node that opened its link.  Returns true to keep FRAME.  */
    bool (*request) (void *context, struct hub_inbound_link *origin,
                     Mesh__Frame *frame);
    /* A frame that came back on a link to PEER.  Returns true to keep it.  */
    bool (*reply) (void *context, dir_handle peer, Mesh__Frame *frame);
    /* ORIGIN is gone and invalid afterwards; its calls are cancelled.  */
    void (*inbound_closed) (void *context, struct hub_inbound_link *origin);
    /* The link with this number has ended: no reply comes on it any more.
       Unless it was OPENED, nothing has left on it.  */
    void (*link_closed) (void *context, dir_handle peer, uint64_t link,
                         bool opened);
    /* PEER has not answered a ping on the link with this number in time; its
       replies may still come.  */
    void (*ping_overdue) (void *context, dir_handle peer, uint64_t link);
    /* PEER can be reached on a new link, and nothing was sent there yet.  */
    void (*connected) (void *context, dir_handle peer);
    /* The health of PEER has changed.  */
    void (*health_changed) (void *context, dir_handle peer,
                            enum hub_health health);
  };

  /* Listens at ADDRESS.  SELF is this node's own record in DIRECTORY.  */
  enum hub_status hub_create (struct evl *loop, struct net_address address,
                              const struct dir *directory, dir_handle self,
                              const struct hub_handlers *handlers,
                              void *context, struct hub **hub);

  /* Closes all links without reports.  Null is allowed.  */
  void hub_destroy (struct hub *hub);

  /* Sends FRAME to PEER and stores the number of the link that carries it.
     EXPECTED replies are counted as outstanding until hub_end_request.  */
  enum hub_status hub_send (struct hub *hub, dir_handle peer,
                            const Mesh__Frame *frame, unsigned expected,
                            uint64_t *link);

  /* Sends FRAME on the link with this number, after what was sent there
     before; does nothing when the link has ended.  */
  void hub_send_on_link (struct hub *hub, uint64_t link,
                         const Mesh__Frame *frame);

  /* Counts one expected reply of a link as come or no longer awaited.  */
  void hub_end_request (struct hub *hub, uint64_t link);

  /* Sends FRAME to the node that opened a link.  */
  void hub_reply (struct hub *hub, struct hub_inbound_link *origin,
                  const Mesh__Frame *frame);

  /* Returns whether a frame to PEER has a chance now: it is healthy.  */
  bool hub_can_send (const struct hub *hub, dir_handle peer);

  /* Returns whether PEER is healthy and does not owe the answer to a ping for
     long.  */
  bool hub_is_responsive (const struct hub *hub, dir_handle peer);

  /* Keeps a link to PEER open and checks that it replies, also when nothing is
     outstanding; or stops to.  */
  void hub_set_monitored (struct hub *hub, dir_handle peer, bool watched);

  /* Returns whether the link to PEER is up and PEER is healthy.  */
  bool hub_is_connected (const struct hub *hub, dir_handle peer);

  /* Returns the health of PEER.  */
  enum hub_health hub_health (const struct hub *hub, dir_handle peer);

  /* Returns since when PEER has not been healthy, CLK_NEVER when it is.  */
  clk_time hub_unhealthy_since (const struct hub *hub, dir_handle peer);

  /* Tries to reach PEER when there is no link to it.  */
  void hub_connect (struct hub *hub, dir_handle peer);

  /* Returns the last round trip of a ping to PEER in ns, 0 before one.  */
  clk_time hub_round_trip_time (const struct hub *hub, dir_handle peer);

  /* PEER has started again: it is tried at once if it was lost.  */
  void hub_reset_backoff (struct hub *hub, dir_handle peer);

  /* Forgets what is known of PEER, whose handle is free or has a new
     address.  */
  void hub_reset_peer (struct hub *hub, dir_handle peer);

#ifdef __cplusplus
}
#endif

#endif
