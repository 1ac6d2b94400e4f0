/* Links to the other nodes.  A link is opened when it is first needed, pinged
   when the peer sends nothing, and replaced when it fails.  Frames to the node
   itself are passed on in the process, without a socket (loopback).

   A node opens outbound links to the nodes that it sends calls to; the answers
   arrive on the same link.  Inbound links are opened by other nodes and carry
   their calls and this node's answers.  */

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

  /* A link that another node opened, or the loopback of the node itself.
     Identifies the sender of a frame for hub_reply.  */
  struct hub_inbound_link;

  enum hub_status
  {
    HUB_OK,
    HUB_LISTEN_FAILED, /* cannot listen at the address; see err_last */
    HUB_UNREACHABLE,   /* the peer is unknown or not healthy */
    HUB_FRAME_TOO_LONG /* the frame exceeds FRM_MAX_LENGTH */
  };

  /* State of a peer as this node observes it.  */
  enum hub_health
  {
    HUB_HEALTHY,     /* connected, or no connection was attempted yet */
    HUB_TIMED_OUT,   /* a ping timed out; connects again with backoff */
    HUB_DISCONNECTED /* the connection failed; connects again with backoff */
  };

  struct hub_handlers
  {
    /* A frame has arrived on an inbound LINK.  Returns true to take ownership
       of FRAME and later frees it with frm_free.  */
    bool (*request) (void *context, struct hub_inbound_link *link,
                     Mesh__Frame *frame);
    /* A frame has arrived on an outbound link to PEER.  Returns true to take
       ownership of FRAME.  */
    bool (*reply) (void *context, dir_handle peer, Mesh__Frame *frame);
    /* The inbound LINK has closed and is invalid afterwards; the handler
       cancels its calls.  */
    void (*inbound_closed) (void *context, struct hub_inbound_link *link);
    /* The outbound link with this number has closed: no reply arrives on it
       any more.  Unless it was OPENED, nothing was sent on it.  */
    void (*link_closed) (void *context, dir_handle peer, uint64_t link,
                         bool opened);
    /* PEER has not replied in time to a ping on the outbound link with this
       number.  The link stays open and replies may still arrive.  */
    void (*ping_overdue) (void *context, dir_handle peer, uint64_t link);
    /* A new link to PEER is established and PEER is healthy.  What PEER must
       know of this node, such as a subscription, was not sent on it yet.  */
    void (*connected) (void *context, dir_handle peer);
    /* The health of PEER has changed.  */
    void (*health_changed) (void *context, dir_handle peer,
                            enum hub_health health);
  };

  /* Creates the hub and listens at ADDRESS.  SELF is this node's own record in
     DIRECTORY.  *HUB is null unless HUB_OK is returned.  */
  enum hub_status hub_create (struct evl *loop, struct net_address address,
                              const struct dir *directory, dir_handle self,
                              const struct hub_handlers *handlers,
                              void *context, struct hub **hub);

  /* Closes all links without calling the handlers.  Null is allowed.  */
  void hub_destroy (struct hub *hub);

  /* Sends FRAME to PEER and sets *LINK_NUMBER to the number of the outbound
     link that it is sent on.  EXPECTED is the number of replies to wait for;
     hub_end_request ends the wait for one of them.  */
  enum hub_status hub_send (struct hub *hub, dir_handle peer,
                            const Mesh__Frame *frame, unsigned expected,
                            uint64_t *link_number);

  /* Sends FRAME on the outbound link with this number, after the frames sent
     there before.  Does nothing when the link has closed.  */
  void hub_send_on_link (struct hub *hub, uint64_t number,
                         const Mesh__Frame *frame);

  /* Ends the wait for one reply on the outbound link with this number: the
     reply has arrived, or the sender no longer wants it.  */
  void hub_end_request (struct hub *hub, uint64_t number);

  /* Sends FRAME to the node that opened LINK.  */
  void hub_reply (struct hub *hub, struct hub_inbound_link *link,
                  const Mesh__Frame *frame);

  /* Sends as much of the queued replies as the links take now.  */
  void hub_flush_replies (struct hub *hub);

  /* Returns whether LINK is the loopback of the node itself.  */
  bool hub_is_loopback (const struct hub_inbound_link *link);

  /* Sets the rate, in bytes per second, at which hub_reply_bulk sends on all
     links together; 0: no limit, as at first.  */
  void hub_set_bulk_rate (struct hub *hub, double bytes_per_second);

  /* Does the same as hub_reply for a part of a long answer: an Answer or one
     of its BodyParts.  All other frames overtake it; frames of one link that
     are sent so keep their order.  */
  void hub_reply_bulk (struct hub *hub, struct hub_inbound_link *link,
                       const Mesh__Frame *frame);

  /* Drops the queued parts of the answer to the call with this number, whose
     sender no longer wants it.  Returns their bytes.  Only a part that was
     already handed to the link is still sent, so that frames stay whole.  */
  size_t hub_cancel_bulk (struct hub *hub, const struct hub_inbound_link *link,
                          uint64_t call);

  /* Returns the time after which BYTES more of long bodies would have been
     sent, in ns; 0 when the rate has no limit.  */
  clk_time hub_bulk_time (const struct hub *hub, size_t bytes);

  /* Returns the bytes of long bodies that wait for the limited rate.  */
  size_t hub_bulk_bytes (const struct hub *hub);

  /* Returns the bytes of replies to LINK that its socket has not taken yet;
     without those of hub_reply_bulk that wait for the limited rate.  */
  size_t hub_unsent_bytes (const struct hub_inbound_link *link);

  /* Returns the bytes of replies that were not sent yet, on all links.  */
  size_t hub_unsent_replies (const struct hub *hub);

  /* Closes the inbound links whose queued replies have made no progress since
     BEFORE or earlier: their nodes read nothing.  Returns the bytes that were
     dropped.  */
  size_t hub_close_stalled (struct hub *hub, clk_time before);

  /* Returns whether PEER is this node itself, or a known and healthy one.  */
  bool hub_can_send (const struct hub *hub, dir_handle peer);

  /* Returns whether PEER is healthy and no ping to it is overdue.  */
  bool hub_is_responsive (const struct hub *hub, dir_handle peer);

  /* Returns whether the link that hub_send has stored is in use and no ping on
     it is overdue.  Its peer may be reached on another link meanwhile.  */
  bool hub_is_link_responsive (const struct hub *hub, uint64_t link);

  /* Starts or stops to monitor PEER: to keep a link to it open and to ping it
     also while no reply is outstanding.  */
  void hub_set_monitored (struct hub *hub, dir_handle peer, bool monitored);

  /* Returns whether the link to PEER is open and PEER is healthy.  */
  bool hub_is_connected (const struct hub *hub, dir_handle peer);

  /* Returns the health of PEER.  */
  enum hub_health hub_health (const struct hub *hub, dir_handle peer);

  /* Returns when PEER became unhealthy, CLK_NEVER when it is healthy.  */
  clk_time hub_unhealthy_since (const struct hub *hub, dir_handle peer);

  /* Opens a link to PEER unless there is one or PEER is not healthy.  */
  void hub_connect (struct hub *hub, dir_handle peer);

  /* Returns the round trip time of the last answered ping to PEER in ns, 0
     before the first.  */
  clk_time hub_round_trip_time (const struct hub *hub, dir_handle peer);

  /* Retries an unhealthy PEER at the next check instead of after its backoff
     delay; for a peer that has started again.  */
  void hub_reset_backoff (struct hub *hub, dir_handle peer);

  /* Stops the use of the links to PEER and resets its state, for a handle that
     was freed or has a new address.  A link on which replies are awaited stays
     open for them: a record may be late, and only the link itself shows
     whether they come.  Whether PEER is monitored stays.  */
  void hub_reset_peer (struct hub *hub, dir_handle peer);

#ifdef __cplusplus
}
#endif

#endif
