/* State of the links.  Used inside this module.  */

#ifndef MULBERRYSHIFT_HUB_HUB_INTERNAL_H
#define MULBERRYSHIFT_HUB_HUB_INTERNAL_H

#include "base/lst.h"
#include "chn/chn.h"
#include "hub/hub.h"

struct hub_inbound_link
{
  struct hub *hub;
  struct chn *channel; /* null for the node itself */
  struct lst_entry list;
};

/* A link that this node opened.  */
struct hub_link
{
  struct hub *hub;
  struct chn *channel;
  dir_handle peer;
  uint64_t number;
  unsigned outstanding; /* replies that are expected */
  clk_time expecting;   /* since when without a byte from the peer */
  clk_time ping_sent;   /* 0: no ping is under way */
  uint32_t ping_nonce;
  bool opened; /* the peer has accepted it */
  bool late;   /* the ping has no answer in time */
  struct lst_entry list;
};

/* What is known of a peer, by its handle.  */
struct hub_peer
{
  struct hub_link *link; /* that new frames take; null: none */
  enum hub_health health;
  clk_time retry;    /* when a lost peer may be tried again */
  unsigned failures; /* in a row */
  clk_time lost;     /* since when it is not healthy */
  clk_time round_trip;
  bool watched;
};

/* A frame from the node to itself.  */
struct hub_loop_frame
{
  Mesh__Frame *frame;
  bool is_reply;
  struct hub_loop_frame *next;
};

/* The end of a link, or its lateness, that was not reported yet.  */
struct hub_loss
{
  dir_handle peer;
  uint64_t link;
  bool opened; /* of a link that has ended */
  bool late;   /* the link has not ended */
  struct hub_loss *next;
};

struct hub
{
  struct evl *loop;
  const struct dir *directory;
  dir_handle self;
  const struct hub_handlers *handlers;
  void *context;
  int listener;
  struct evl_socket socket;
  struct evl_timer check; /* of silence */
  struct lst origins;
  struct hub_inbound_link own; /* the node itself */
  struct lst links;
  struct hub_peer *peers;
  dir_handle peer_count;
  uint64_t next_link;
  struct hub_loop_frame *first_frame;
  struct hub_loop_frame **last_frame;
  struct evl_task deliver;
  struct hub_loss *losses;
  struct evl_task report; /* of the losses */
};

/* Returns the link of a place in the list of links, null after the last.  */
struct hub_link *hub_link_at (const struct lst_entry *at);

/* Returns the link with this number, null when it has ended.  */
struct hub_link *hub_find_link (const struct hub *hub, uint64_t number);

/* Returns the entry of PEER.  */
struct hub_peer *hub_peer (struct hub *hub, dir_handle peer);

/* Opens a link to PEER and makes it the current one.  */
struct hub_link *hub_open_link (struct hub *hub, dir_handle peer);

/* Reports links that have ended.  */
void hub_report_losses (void *context);

/* Closes a link without a report.  */
void hub_close_link (struct hub_link *link);

/* Sets the health and reports a change.  */
void hub_set_health (struct hub *hub, dir_handle peer, enum hub_health health);

/* Looks for silent links and peers to be tried again.  */
void hub_check (void *context);

/* Plans hub_check, unless it is planned.  */
void hub_start_check (struct hub *hub);

/* Handles a Pong.  */
void hub_take_pong (struct hub_link *link, const Mesh__Pong *pong);

/* Queues a frame from the node to itself.  */
enum hub_status hub_loop (struct hub *hub, const Mesh__Frame *frame,
                          bool is_reply);

/* Hands queued frames over.  */
void hub_deliver (void *context);

#endif
