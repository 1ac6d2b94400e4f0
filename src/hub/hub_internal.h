/* Private state and functions of the hub.  */

#ifndef MULBERRYSHIFT_HUB_HUB_INTERNAL_H
#define MULBERRYSHIFT_HUB_HUB_INTERNAL_H

#include "base/lst.h"
#include "chn/chn.h"
#include "hub/hub.h"
#include "pac/pac.h"

struct hub_inbound_link
{
  struct hub *hub;
  struct chn *channel;   /* null for the loopback link */
  uint64_t full_in_scan; /* see hub.bulk_scan; the last in which it was full */
  struct lst_entry entry;
};

/* A link that this node opened.  */
struct hub_outbound_link
{
  struct hub *hub;
  struct chn *channel;
  dir_handle peer;
  uint64_t number;
  unsigned outstanding;   /* replies to wait for */
  clk_time waiting_since; /* silence counts from here or the last byte */
  clk_time ping_time;     /* when the unanswered ping was sent, 0: none */
  clk_time overdue_at;    /* when that ping is overdue, and when it has */
  clk_time timed_out_at;  /* timed out */
  uint32_t ping_nonce;
  bool opened;       /* the connection is established */
  bool ping_overdue; /* no frame has arrived since a ping became overdue */
  bool is_extended;  /* the times of that ping were extended */
  struct lst_entry entry;
};

/* State of a peer; indexed by its handle.  */
struct hub_peer
{
  struct hub_outbound_link *link; /* current link for new frames, or null */
  enum hub_health health;
  clk_time retry_time; /* earliest time of the next connect when unhealthy */
  unsigned failures;   /* consecutive failures, for the backoff */
  clk_time unhealthy_since; /* when it last became unhealthy */
  clk_time round_trip_time; /* of the last answered ping in ns, or 0 */
  bool monitored;           /* keep a link open and ping it while idle */
};

/* A frame from the node to itself.  */
struct hub_loopback_frame
{
  Mesh__Frame *frame;
  bool is_reply;
  struct hub_loopback_frame *next;
};

/* An event of an outbound link that was not reported yet: the link has closed
   or a ping on it is overdue.  */
struct hub_link_event
{
  dir_handle peer;
  uint64_t link;
  bool opened;       /* of a closed link: it was established before */
  bool ping_overdue; /* false: the link has closed */
  struct hub_link_event *next;
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
  struct evl_timer check_timer; /* runs hub_check_links */
  clk_time check_at;            /* when it is or was to run */
  clk_time check_lateness; /* of the check under way, or of the last one */
  struct lst inbound_links;
  struct hub_inbound_link loopback_link; /* stands for the node itself */
  struct lst outbound_links;
  struct hub_peer *peers;
  dir_handle peer_count;
  uint64_t next_link_number;
  struct hub_loopback_frame *first_loopback_frame;
  struct hub_loopback_frame **last_loopback_frame;
  struct evl_task loopback_task; /* runs hub_deliver_loopback */
  struct hub_link_event *link_events;
  struct evl_task link_event_task; /* runs hub_report_link_events */
  struct pac pacer;                /* of bulk frames */
  struct hub_bulk_frame *first_bulk_frame;
  struct hub_bulk_frame **last_bulk_frame;
  size_t bulk_bytes;           /* of all bulk frames */
  uint64_t bulk_scan;          /* scans of the bulk frames so far */
  struct evl_timer bulk_timer; /* runs hub_send_bulk_frames */
};

/* Returns the outbound link that contains ENTRY; null for null.  */
struct hub_outbound_link *hub_link_from_entry (const struct lst_entry *entry);

/* Returns the outbound link with this number, null when it has closed.  */
struct hub_outbound_link *hub_find_link (const struct hub *hub,
                                         uint64_t number);

/* Returns the state of PEER.  The pointer is valid until the next call with a
   handle that is not in the table yet.  */
struct hub_peer *hub_peer (struct hub *hub, dir_handle peer);

/* Opens an outbound link to PEER and makes it the current one.  */
struct hub_outbound_link *hub_open_link (struct hub *hub, dir_handle peer);

/* Reports the link events to the handlers.  */
void hub_report_link_events (void *context);

/* Closes an outbound link without a report.  */
void hub_close_link (struct hub_outbound_link *link);

/* Returns whether new frames to the peer are sent on LINK.  */
bool hub_is_current (const struct hub_outbound_link *link);

/* Schedules the report that a link has closed or that a ping on it is overdue.
   The handler may send frames and so change the list of links; it must not run
   while that list is being traversed.  */
void hub_add_link_event (const struct hub_outbound_link *link,
                         bool ping_overdue);

/* Closes a link that has failed.  The peer counts as disconnected if the link
   was its current one.  */
void hub_handle_link_failure (struct hub_outbound_link *link);

/* Sets the time of the next attempt to connect, after the backoff delay.  */
void hub_schedule_retry (struct hub *hub, dir_handle peer);

/* Sets the health of PEER and reports a change.  */
void hub_set_health (struct hub *hub, dir_handle peer, enum hub_health health);

/* Pings links whose peer sends nothing, handles timeouts and reconnects to
   unhealthy peers whose backoff delay has passed.  */
void hub_check_links (void *context);

/* Schedules hub_check_links unless it is scheduled.  */
void hub_schedule_check (struct hub *hub);

/* Handles the reply to a ping.  */
void hub_handle_pong (struct hub_outbound_link *link, const Mesh__Pong *pong);

/* Queues a copy of FRAME from the node to itself.  Returns HUB_FRAME_TOO_LONG
   when FRAME cannot be encoded.  */
enum hub_status hub_send_loopback (struct hub *hub, const Mesh__Frame *frame,
                                   bool is_reply);

/* Sends the bulk frames that the pacer allows.  */
void hub_send_bulk_frames (void *context);

/* Drops the bulk frames of LINK, those of all links when it is null.  Returns
   their bytes.  */
size_t hub_drop_bulk_frames (struct hub *hub,
                             const struct hub_inbound_link *link);

/* Passes the queued loopback frames to the handlers.  */
void hub_deliver_loopback (void *context);

#endif
