/* Outbound links and the health of peers.  */

#include "base/log.h"
#include "base/mem.h"
#include "hub/hub_internal.h"
#include "hub/hub_log.h"

#include <stdlib.h>

/* Backoff delay after a failed link; it doubles up to the maximum.  */
#define INITIAL_BACKOFF (100 * CLK_MILLISECOND)
#define MAX_BACKOFF CLK_SECOND

void
hub_set_health (struct hub *hub, dir_handle peer, enum hub_health health)
{
  struct hub_peer *entry = hub_peer (hub, peer);

  if (entry->health == health)
    return;
  if (entry->health == HUB_HEALTHY)
    entry->unhealthy_since = evl_now (hub->loop);
  entry->health = health;
  hub->handlers->health_changed (hub->context, peer, health);
}

void
hub_close_link (struct hub_outbound_link *link)
{
  struct hub_peer *peer = hub_peer (link->hub, link->peer);

  if (peer->link == link)
    peer->link = NULL;
  lst_remove (&link->hub->outbound_links, &link->entry);
  chn_close (link->channel);
  free (link);
}

bool
hub_is_current (const struct hub_outbound_link *link)
{
  return hub_peer (link->hub, link->peer)->link == link;
}

void
hub_schedule_retry (struct hub *hub, dir_handle peer)
{
  struct hub_peer *entry = hub_peer (hub, peer);
  clk_time delay = INITIAL_BACKOFF;

  for (unsigned i = 0; i < entry->failures && delay < MAX_BACKOFF; i++)
    delay *= 2;
  entry->failures++;
  entry->retry_time
      = evl_now (hub->loop) + (delay < MAX_BACKOFF ? delay : MAX_BACKOFF);
}

void
hub_add_link_event (const struct hub_outbound_link *link, bool ping_overdue)
{
  struct hub *hub = link->hub;
  struct hub_link_event *event = mem_alloc (1, sizeof *event);

  event->peer = link->peer;
  event->link = link->number;
  event->opened = link->opened;
  event->ping_overdue = ping_overdue;
  event->next = hub->link_events;
  hub->link_events = event;
  evl_task_schedule (&hub->link_event_task);
}

void
hub_report_link_events (void *context)
{
  struct hub *hub = context;
  const struct hub_handlers *handlers = hub->handlers;

  while (hub->link_events != NULL)
    {
      struct hub_link_event event = *hub->link_events;

      free (hub->link_events);
      hub->link_events = event.next;
      if (event.ping_overdue)
        handlers->ping_overdue (hub->context, event.peer, event.link);
      else
        handlers->link_closed (hub->context, event.peer, event.link,
                               event.opened);
    }
}

void
hub_handle_link_failure (struct hub_outbound_link *link)
{
  struct hub *hub = link->hub;
  dir_handle peer = link->peer;
  bool current = hub_is_current (link);

  hub_add_link_event (link, false);
  hub_close_link (link);
  if (current)
    {
      hub_schedule_retry (hub, peer);
      hub_set_health (hub, peer, HUB_DISCONNECTED);
      hub_schedule_check (hub);
    }
}

/* Marks the peer as healthy after a frame arrived on its current link.  */
static void
mark_peer_healthy (struct hub_outbound_link *link)
{
  struct hub *hub = link->hub;
  struct hub_peer *peer = hub_peer (hub, link->peer);

  peer->failures = 0;
  if (peer->health == HUB_HEALTHY)
    return;
  hub_set_health (hub, link->peer, HUB_HEALTHY);
  hub->handlers->connected (hub->context, link->peer);
}

static void
on_opened (void *context, struct chn *channel)
{
  struct hub_outbound_link *link = context;

  (void)channel;
  link->opened = true;
  link->waiting_since = evl_now (link->hub->loop);
  if (hub_is_current (link)
      && hub_peer (link->hub, link->peer)->health == HUB_HEALTHY)
    link->hub->handlers->connected (link->hub->context, link->peer);
}

static bool
on_frame (void *context, struct chn *channel, Mesh__Frame *frame)
{
  struct hub_outbound_link *link = context;
  struct hub *hub = link->hub;

  (void)channel;
  link->ping_overdue = false;
  if (frame->body_case == MESH__FRAME__BODY_PONG)
    hub_handle_pong (link, frame->pong);
  if (hub_is_current (link))
    mark_peer_healthy (link);
  return hub->handlers->reply (hub->context, link->peer, frame);
}

static void
on_closed (void *context, struct chn *channel)
{
  (void)channel;
  hub_handle_link_failure (context);
}

static const struct chn_handlers link_handlers
    = { on_opened, on_frame, on_closed };

/* Sends the first frame of a link, which identifies both nodes.  */
static void
send_hello (struct hub_outbound_link *link)
{
  const struct mbr_member *self
      = dir_get (link->hub->directory, link->hub->self);
  Mesh__Hello hello = MESH__HELLO__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Member member;

  hello.protocol = FRM_PROTOCOL;
  hello.from = (char *)self->name;
  hello.incarnation = self->incarnation;
  mbr_member_to_wire (self, &member);
  hello.member = &member;
  hello.to = (char *)dir_get (link->hub->directory, link->peer)->name;
  frame.body_case = MESH__FRAME__BODY_HELLO;
  frame.hello = &hello;
  chn_send (link->channel, &frame);
}

struct hub_outbound_link *
hub_link_from_entry (const struct lst_entry *entry)
{
  return entry != NULL ? LST_ITEM (entry, struct hub_outbound_link, entry)
                       : NULL;
}

struct hub_outbound_link *
hub_find_link (const struct hub *hub, uint64_t number)
{
  struct hub_outbound_link *link
      = hub_link_from_entry (hub->outbound_links.first);

  while (link != NULL && link->number != number)
    link = hub_link_from_entry (link->entry.next);
  return link;
}

struct hub_outbound_link *
hub_open_link (struct hub *hub, dir_handle peer)
{
  struct hub_outbound_link *link = mem_alloc (1, sizeof *link);

  link->hub = hub;
  link->peer = peer;
  link->number = hub->next_link_number++;
  link->waiting_since = evl_now (hub->loop);
  lst_push_front (&hub->outbound_links, &link->entry);
  link->channel
      = chn_connect (hub->loop, dir_get (hub->directory, peer)->address,
                     &link_handlers, link);
  hub_peer (hub, peer)->link = link;
  send_hello (link);
  return link;
}

void
hub_end_request (struct hub *hub, uint64_t number)
{
  struct hub_outbound_link *link = hub_find_link (hub, number);

  if (link == NULL)
    return;
  if (link->outstanding > 0)
    link->outstanding--;
  link->waiting_since = evl_now (hub->loop);
  if (link->outstanding == 0 && !hub_is_current (link))
    hub_close_link (link);
}

void
hub_reset_backoff (struct hub *hub, dir_handle peer)
{
  struct hub_peer *entry = hub_peer (hub, peer);

  if (entry->health == HUB_HEALTHY)
    return;
  entry->failures = 0;
  entry->retry_time = evl_now (hub->loop);
  hub_schedule_check (hub);
}

void
hub_reset_peer (struct hub *hub, dir_handle peer)
{
  struct hub_outbound_link *next;
  bool is_kept;

  for (struct hub_outbound_link *link
       = hub_link_from_entry (hub->outbound_links.first);
       link != NULL; link = next)
    {
      next = hub_link_from_entry (link->entry.next);
      if (link->peer != peer)
        continue;
      is_kept = link->outstanding > 0 && chn_is_open (link->channel);
      hub_log_reset (link, is_kept);
      if (is_kept)
        continue;
      hub_add_link_event (link, false);
      hub_close_link (link);
    }
  if (peer < hub->peer_count)
    hub->peers[peer]
        = (struct hub_peer){ .health = HUB_HEALTHY,
                             .monitored = hub->peers[peer].monitored };
  hub_schedule_check (hub);
}
