/* Creation of links, sending, and links that others open.  */

#include "hub/hub.h"

#include "base/log.h"
#include "base/mem.h"
#include "hub/hub_internal.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Link number of frames from the node to itself.  */
#define LOOP_LINK 0

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
free_origin (struct hub_inbound_link *origin)
{
  lst_remove (&origin->hub->origins, &origin->list);
  chn_close (origin->channel);
  free (origin);
}

static void
on_origin_closed (void *context, struct chn *channel)
{
  struct hub_inbound_link *origin = context;
  struct hub *hub = origin->hub;

  (void)channel;
  hub->handlers->inbound_closed (hub->context, origin);
  free_origin (origin);
}

/* Returns whether a link was meant for another node, which had this address
   before.  */
static bool
is_for_another (const struct hub *hub, const Mesh__Frame *frame)
{
  const struct mbr_member *self = dir_get (hub->directory, hub->self);

  return frame->body_case == MESH__FRAME__BODY_HELLO
         && frame->hello->to[0] != '\0'
         && strcmp (frame->hello->to, self->name) != 0;
}

static bool
on_origin_frame (void *context, struct chn *channel, Mesh__Frame *frame)
{
  struct hub_inbound_link *origin = context;
  struct hub *hub = origin->hub;

  (void)channel;
  if (is_for_another (hub, frame))
    {
      log_write (LOG_INFO, "hub", "node %s looked for node %s here",
                 frame->hello->from, frame->hello->to);
      on_origin_closed (origin, channel);
      return false;
    }
  return hub->handlers->request (hub->context, origin, frame);
}

static const struct chn_handlers origin_handlers
    = { NULL, on_origin_frame, on_origin_closed };

static void
on_listener (void *context, int events)
{
  struct hub *hub = context;
  int descriptor;

  (void)events;
  while ((descriptor = net_accept (hub->listener)) >= 0)
    {
      struct hub_inbound_link *origin = mem_alloc (1, sizeof *origin);

      origin->hub = hub;
      lst_push_front (&hub->origins, &origin->list);
      origin->channel
          = chn_accept (hub->loop, descriptor, &origin_handlers, origin);
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
  result->own.hub = result;
  result->next_link = LOOP_LINK + 1;
  result->last_frame = &result->first_frame;
  evl_timer_init (&result->check, loop, hub_check, result);
  evl_task_init (&result->deliver, loop, hub_deliver, result);
  evl_task_init (&result->report, loop, hub_report_losses, result);
  evl_socket_init (&result->socket, loop, listener, on_listener, result);
  evl_socket_watch (&result->socket, EVL_READ);
  *hub = result;
  return HUB_OK;
}

void
hub_destroy (struct hub *hub)
{
  struct lst_entry *link;

  if (hub == NULL)
    return;
  while ((link = lst_pop_front (&hub->origins)) != NULL)
    free_origin (LST_ITEM (link, struct hub_inbound_link, list));
  while ((link = lst_pop_front (&hub->links)) != NULL)
    hub_close_link (hub_link_at (link));
  while (hub->first_frame != NULL)
    {
      struct hub_loop_frame *frame = hub->first_frame;

      hub->first_frame = frame->next;
      frm_free (frame->frame);
      free (frame);
    }
  while (hub->losses != NULL)
    {
      struct hub_loss *loss = hub->losses;

      hub->losses = loss->next;
      free (loss);
    }
  evl_timer_stop (&hub->check);
  evl_task_cancel (&hub->deliver);
  evl_task_cancel (&hub->report);
  evl_socket_watch (&hub->socket, 0);
  close (hub->listener);
  free (hub->peers);
  free (hub);
}

enum hub_status
hub_send (struct hub *hub, dir_handle peer, const Mesh__Frame *frame,
          unsigned expected, uint64_t *link)
{
  struct hub_link *current;

  *link = LOOP_LINK;
  if (peer == hub->self)
    return hub_loop (hub, frame, false);
  if (!hub_can_send (hub, peer))
    return HUB_UNREACHABLE;
  current = hub_peer (hub, peer)->link;
  if (current == NULL)
    current = hub_open_link (hub, peer);
  *link = current->number;
  if (!chn_send (current->channel, frame))
    return HUB_FRAME_TOO_LONG;
  if (expected > 0 && current->outstanding == 0)
    current->expecting = evl_now (hub->loop);
  current->outstanding += expected;
  if (current->outstanding > 0)
    hub_start_check (hub);
  return HUB_OK;
}

void
hub_send_on_link (struct hub *hub, uint64_t number, const Mesh__Frame *frame)
{
  const struct hub_link *link;

  if (number == LOOP_LINK)
    {
      hub_loop (hub, frame, false);
      return;
    }
  link = hub_find_link (hub, number);
  if (link != NULL)
    chn_send (link->channel, frame);
}

void
hub_reply (struct hub *hub, struct hub_inbound_link *origin,
           const Mesh__Frame *frame)
{
  if (origin->channel == NULL)
    hub_loop (hub, frame, true);
  else
    chn_send (origin->channel, frame);
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
  const struct hub_link *link
      = peer < hub->peer_count ? hub->peers[peer].link : NULL;

  return hub_can_send (hub, peer) && (link == NULL || !link->late);
}

bool
hub_is_connected (const struct hub *hub, dir_handle peer)
{
  return peer < hub->peer_count && hub->peers[peer].link != NULL
         && chn_is_open (hub->peers[peer].link->channel)
         && hub->peers[peer].health == HUB_HEALTHY;
}

void
hub_set_monitored (struct hub *hub, dir_handle peer, bool watched)
{
  struct hub_peer *entry;

  if (peer == hub->self)
    return;
  entry = hub_peer (hub, peer);
  entry->watched = watched;
  if (!watched)
    return;
  if (entry->link == NULL && hub_can_send (hub, peer))
    hub_open_link (hub, peer);
  hub_start_check (hub);
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
  return hub->peers[peer].lost;
}

void
hub_connect (struct hub *hub, dir_handle peer)
{
  if (peer == hub->self || hub_peer (hub, peer)->link != NULL
      || !hub_can_send (hub, peer))
    return;
  hub_open_link (hub, peer);
  hub_start_check (hub);
}

clk_time
hub_round_trip_time (const struct hub *hub, dir_handle peer)
{
  return peer < hub->peer_count ? hub->peers[peer].round_trip : 0;
}
