/* Creation of the hub, sending of frames, and inbound links.  */

#include "hub/hub.h"

#include "base/log.h"
#include "base/mem.h"
#include "hub/hub_internal.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Number of the loopback link; outbound links count from the next one.  */
#define LOOPBACK_LINK 0

struct hub_peer *
hub_peer (struct hub *hub, dir_handle peer)
{
  dir_handle count = peer + 1;

  if (peer >= hub->peer_count)
    {
      hub->peers = mem_resize (hub->peers, count, sizeof *hub->peers);
      memset (hub->peers + hub->peer_count, 0,
              (count - hub->peer_count) * sizeof *hub->peers);
      hub->peer_count = count;
    }
  return &hub->peers[peer];
}

static void
free_inbound_link (struct hub_inbound_link *link)
{
  lst_remove (&link->hub->inbound_links, &link->entry);
  chn_close (link->channel);
  free (link);
}

static void
on_inbound_closed (void *context, struct chn *channel)
{
  struct hub_inbound_link *link = context;
  struct hub *hub = link->hub;

  (void)channel;
  /* The handler starts further calls as far as the queue allows.  */
  hub_drop_bulk_frames (hub, link);
  hub->handlers->inbound_closed (hub->context, link);
  free_inbound_link (link);
}

/* Returns whether FRAME is a Hello for another node, which had this address
   before.  */
static bool
is_for_other_node (const struct hub *hub, const Mesh__Frame *frame)
{
  const struct mbr_member *self = dir_get (hub->directory, hub->self);

  return frame->body_case == MESH__FRAME__BODY_HELLO
         && frame->hello->to[0] != '\0'
         && strcmp (frame->hello->to, self->name) != 0;
}

static bool
on_inbound_frame (void *context, struct chn *channel, Mesh__Frame *frame)
{
  struct hub_inbound_link *link = context;
  struct hub *hub = link->hub;

  (void)channel;
  if (is_for_other_node (hub, frame))
    {
      log_write (LOG_INFO, "hub",
                 "closed a link from node %s that was meant for node %s",
                 frame->hello->from, frame->hello->to);
      on_inbound_closed (link, channel);
      return false;
    }
  return hub->handlers->request (hub->context, link, frame);
}

static const struct chn_handlers inbound_handlers
    = { NULL, on_inbound_frame, on_inbound_closed };

static void
on_listener (void *context, int events)
{
  struct hub *hub = context;
  int descriptor;

  (void)events;
  while ((descriptor = net_accept (hub->listener)) >= 0)
    {
      struct hub_inbound_link *link = mem_alloc (1, sizeof *link);

      link->hub = hub;
      lst_push_front (&hub->inbound_links, &link->entry);
      link->channel
          = chn_accept (hub->loop, descriptor, &inbound_handlers, link);
    }
}

enum hub_status
hub_create (struct evl *loop, struct net_address address,
            const struct dir *directory, dir_handle self,
            const struct hub_handlers *handlers, void *context,
            struct hub **hub)
{
  int listener = net_listen (address);
  struct hub *result;

  *hub = NULL;
  if (listener < 0)
    return HUB_LISTEN_FAILED;
  fcntl (listener, F_SETFL, fcntl (listener, F_GETFL) | O_NONBLOCK);
  result = mem_alloc (1, sizeof *result);
  result->loop = loop;
  result->directory = directory;
  result->self = self;
  result->handlers = handlers;
  result->context = context;
  result->listener = listener;
  result->loopback_link.hub = result;
  result->next_link_number = LOOPBACK_LINK + 1;
  result->last_loopback_frame = &result->first_loopback_frame;
  result->last_bulk_frame = &result->first_bulk_frame;
  evl_timer_init (&result->bulk_timer, loop, hub_send_bulk_frames, result);
  evl_timer_init (&result->check_timer, loop, hub_check_links, result);
  evl_task_init (&result->loopback_task, loop, hub_deliver_loopback, result);
  evl_task_init (&result->link_event_task, loop, hub_report_link_events,
                 result);
  evl_socket_init (&result->socket, loop, listener, on_listener, result);
  evl_socket_watch (&result->socket, EVL_READ);
  *hub = result;
  return HUB_OK;
}

void
hub_destroy (struct hub *hub)
{
  struct lst_entry *entry;

  if (hub == NULL)
    return;
  hub_drop_bulk_frames (hub, NULL);
  evl_timer_stop (&hub->bulk_timer);
  while ((entry = lst_pop_front (&hub->inbound_links)) != NULL)
    free_inbound_link (LST_ITEM (entry, struct hub_inbound_link, entry));
  while ((entry = lst_pop_front (&hub->outbound_links)) != NULL)
    hub_close_link (hub_link_from_entry (entry));
  while (hub->first_loopback_frame != NULL)
    {
      struct hub_loopback_frame *frame = hub->first_loopback_frame;

      hub->first_loopback_frame = frame->next;
      frm_free (frame->frame);
      free (frame);
    }
  while (hub->link_events != NULL)
    {
      struct hub_link_event *event = hub->link_events;

      hub->link_events = event->next;
      free (event);
    }
  evl_timer_stop (&hub->check_timer);
  evl_task_cancel (&hub->loopback_task);
  evl_task_cancel (&hub->link_event_task);
  evl_socket_watch (&hub->socket, 0);
  close (hub->listener);
  free (hub->peers);
  free (hub);
}

enum hub_status
hub_send (struct hub *hub, dir_handle peer, const Mesh__Frame *frame,
          unsigned expected, uint64_t *link_number)
{
  struct hub_outbound_link *link;

  *link_number = LOOPBACK_LINK;
  if (peer == hub->self)
    return hub_send_loopback (hub, frame, false);
  if (!hub_can_send (hub, peer))
    return HUB_UNREACHABLE;
  link = hub_peer (hub, peer)->link;
  if (link == NULL)
    link = hub_open_link (hub, peer);
  *link_number = link->number;
  if (!chn_send (link->channel, frame))
    return HUB_FRAME_TOO_LONG;
  if (expected > 0 && link->outstanding == 0)
    link->waiting_since = evl_now (hub->loop);
  link->outstanding += expected;
  if (link->outstanding > 0)
    hub_schedule_check (hub);
  return HUB_OK;
}

void
hub_send_on_link (struct hub *hub, uint64_t number, const Mesh__Frame *frame)
{
  const struct hub_outbound_link *link;

  if (number == LOOPBACK_LINK)
    {
      hub_send_loopback (hub, frame, false);
      return;
    }
  link = hub_find_link (hub, number);
  if (link != NULL)
    chn_send (link->channel, frame);
}

bool
hub_is_loopback (const struct hub_inbound_link *link)
{
  return link->channel == NULL;
}

void
hub_reply (struct hub *hub, struct hub_inbound_link *link,
           const Mesh__Frame *frame)
{
  if (link->channel == NULL)
    hub_send_loopback (hub, frame, true);
  else
    chn_send (link->channel, frame);
}

size_t
hub_unsent_bytes (const struct hub_inbound_link *link)
{
  return link->channel != NULL ? chn_unsent_bytes (link->channel) : 0;
}

size_t
hub_unsent_replies (const struct hub *hub)
{
  size_t bytes = hub->bulk_bytes;

  for (const struct lst_entry *at = hub->inbound_links.first; at != NULL;
       at = at->next)
    bytes += chn_unsent_bytes (
        LST_ITEM (at, struct hub_inbound_link, entry)->channel);
  return bytes;
}

void
hub_flush_replies (struct hub *hub)
{
  for (const struct lst_entry *at = hub->inbound_links.first; at != NULL;
       at = at->next)
    chn_flush (LST_ITEM (at, struct hub_inbound_link, entry)->channel);
}

size_t
hub_close_stalled (struct hub *hub, clk_time before)
{
  struct lst_entry *next;
  size_t dropped = 0;

  for (struct lst_entry *at = hub->inbound_links.first; at != NULL; at = next)
    {
      struct hub_inbound_link *link
          = LST_ITEM (at, struct hub_inbound_link, entry);

      next = at->next;
      if (chn_stalled_since (link->channel) > before)
        continue;
      dropped += chn_unsent_bytes (link->channel);
      dropped += hub_drop_bulk_frames (hub, link);
      on_inbound_closed (link, link->channel);
    }
  return dropped;
}

bool
hub_can_send (const struct hub *hub, dir_handle peer)
{
  return peer == hub->self
         || (dir_get (hub->directory, peer) != NULL
             && hub_health (hub, peer) == HUB_HEALTHY);
}

bool
hub_is_responsive (const struct hub *hub, dir_handle peer)
{
  const struct hub_outbound_link *link
      = peer < hub->peer_count ? hub->peers[peer].link : NULL;

  return hub_can_send (hub, peer) && (link == NULL || !link->ping_overdue);
}

bool
hub_is_link_responsive (const struct hub *hub, uint64_t number)
{
  const struct hub_outbound_link *link;

  if (number == LOOPBACK_LINK)
    return true;
  link = hub_find_link (hub, number);
  return link != NULL && !link->ping_overdue;
}

bool
hub_is_connected (const struct hub *hub, dir_handle peer)
{
  return peer < hub->peer_count && hub->peers[peer].link != NULL
         && chn_is_open (hub->peers[peer].link->channel)
         && hub->peers[peer].health == HUB_HEALTHY;
}

void
hub_set_monitored (struct hub *hub, dir_handle peer, bool monitored)
{
  struct hub_peer *entry;

  if (peer == hub->self)
    return;
  entry = hub_peer (hub, peer);
  entry->monitored = monitored;
  if (!monitored)
    return;
  if (entry->link == NULL && hub_can_send (hub, peer))
    hub_open_link (hub, peer);
  hub_schedule_check (hub);
}

enum hub_health
hub_health (const struct hub *hub, dir_handle peer)
{
  if (peer == hub->self || peer >= hub->peer_count)
    return HUB_HEALTHY;
  return hub->peers[peer].health;
}

clk_time
hub_unhealthy_since (const struct hub *hub, dir_handle peer)
{
  if (hub_health (hub, peer) == HUB_HEALTHY)
    return CLK_NEVER;
  return hub->peers[peer].unhealthy_since;
}

void
hub_connect (struct hub *hub, dir_handle peer)
{
  if (peer == hub->self || hub_peer (hub, peer)->link != NULL
      || !hub_can_send (hub, peer))
    return;
  hub_open_link (hub, peer);
  hub_schedule_check (hub);
}

clk_time
hub_round_trip_time (const struct hub *hub, dir_handle peer)
{
  return peer < hub->peer_count ? hub->peers[peer].round_trip_time : 0;
}
