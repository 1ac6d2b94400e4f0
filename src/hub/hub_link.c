/* Links that this node opens, and their health.  */

#include "base/log.h"
#include "base/mem.h"
#include "hub/hub_internal.h"

#include <stdlib.h>

/* How often links with outstanding replies are checked.  */
#define CHECK_INTERVAL (50 * CLK_MILLISECOND)

/* A peer that owes replies and has sent nothing for this long is pinged: a
   call may take its time, but a ping is answered at once.  */
#define PING_AFTER (50 * CLK_MILLISECOND)

/* A watched peer that has sent nothing for this long is pinged.  */
#define WATCH_INTERVAL (500 * CLK_MILLISECOND)

/* A peer that does not answer a ping for this long is late: calls that may run
   again are sent elsewhere.  The processor of a VM with a quota pauses for up
   to 90 ms.  */
#define PING_LATE (130 * CLK_MILLISECOND)

/* A peer that does not answer a ping for this long counts as silent.  A slowed
   VM and a lost packet take less, a frozen VM and a cut take more.  */
#define PING_PATIENCE (300 * CLK_MILLISECOND)

/* Pause after a failed connect; it doubles up to the longest one.  */
#define FIRST_PAUSE (100 * CLK_MILLISECOND)
#define LONGEST_PAUSE CLK_SECOND

/* A connect that takes longer has failed: the next packet of an unanswered
   one leaves only after a second.  */
#define CONNECT_PATIENCE (120 * CLK_MILLISECOND)

void
hub_set_health (struct hub *hub, dir_handle peer, enum hub_health health)
{
  struct hub_peer *entry = hub_peer (hub, peer);

  if (entry->health == health)
    return;
  if (entry->health == HUB_HEALTHY)
    entry->lost = evl_now (hub->loop);
  entry->health = health;
  hub->handlers->health_changed (hub->context, peer, health);
}

void
hub_close_link (struct hub_link *link)
{
  struct hub_peer *peer = hub_peer (link->hub, link->peer);

  if (peer->link == link)
    peer->link = NULL;
  lst_remove (&link->hub->links, &link->list);
  chn_close (link->channel);
  free (link);
}

static bool
is_current (const struct hub_link *link)
{
  return hub_peer (link->hub, link->peer)->link == link;
}

/* Plans the next attempt to connect.  */
static void
back_off (struct hub *hub, dir_handle peer)
{
  struct hub_peer *entry = hub_peer (hub, peer);
  clk_time pause = FIRST_PAUSE;

  for (unsigned i = 0; i < entry->failures && pause < LONGEST_PAUSE; i++)
    pause *= 2;
  entry->failures++;
  entry->retry
      = evl_now (hub->loop) + (pause < LONGEST_PAUSE ? pause : LONGEST_PAUSE);
}

/* Plans the report that a link has ended or is late.  Its handler may send,
   and so must not run while links are being looked at.  */
static void
report_loss (const struct hub_link *link, bool late)
{
  struct hub *hub = link->hub;
  struct hub_loss *loss = mem_alloc (1, sizeof *loss);

  loss->peer = link->peer;
  loss->link = link->number;
  loss->opened = link->opened;
  loss->late = late;
  loss->next = hub->losses;
  hub->losses = loss;
  evl_task_schedule (&hub->report);
}

void
hub_report_losses (void *context)
{
  struct hub *hub = context;
  const struct hub_handlers *handlers = hub->handlers;

  while (hub->losses != NULL)
    {
      struct hub_loss loss = *hub->losses;

      free (hub->losses);
      hub->losses = loss.next;
      if (loss.late)
        handlers->ping_overdue (hub->context, loss.peer, loss.link);
      else
        handlers->link_closed (hub->context, loss.peer, loss.link,
                               loss.opened);
    }
}

void
hub_start_check (struct hub *hub)
{
  if (hub->check.deadline == CLK_NEVER)
    evl_timer_set (&hub->check, evl_now (hub->loop) + CHECK_INTERVAL);
}

/* Ends a link that has failed.  */
static void
lose_link (struct hub_link *link)
{
  struct hub *hub = link->hub;
  dir_handle peer = link->peer;
  bool current = is_current (link);

  report_loss (link, false);
  hub_close_link (link);
  if (current)
    {
      back_off (hub, peer);
      hub_set_health (hub, peer, HUB_DISCONNECTED);
      hub_start_check (hub);
    }
}

/* Uses a link that has answered.  */
static void
accept_link (struct hub_link *link)
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
  struct hub_link *link = context;

  (void)channel;
  link->opened = true;
  link->expecting = evl_now (link->hub->loop);
  if (is_current (link)
      && hub_peer (link->hub, link->peer)->health == HUB_HEALTHY)
    link->hub->handlers->connected (link->hub->context, link->peer);
}

static bool
on_frame (void *context, struct chn *channel, Mesh__Frame *frame)
{
  struct hub_link *link = context;
  struct hub *hub = link->hub;

  (void)channel;
  link->late = false;
  if (frame->body_case == MESH__FRAME__BODY_PONG)
    hub_take_pong (link, frame->pong);
  if (is_current (link))
    accept_link (link);
  return hub->handlers->reply (hub->context, link->peer, frame);
}

static void
on_closed (void *context, struct chn *channel)
{
  (void)channel;
  lose_link (context);
}

static const struct chn_handlers link_handlers
    = { on_opened, on_frame, on_closed };

/* Tells the peer who this is; the first frame of a link.  */
static void
send_hello (struct hub_link *link)
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

struct hub_link *
hub_link_at (const struct lst_entry *at)
{
  return at != NULL ? LST_ITEM (at, struct hub_link, list) : NULL;
}

struct hub_link *
hub_find_link (const struct hub *hub, uint64_t number)
{
  struct hub_link *link = hub_link_at (hub->links.first);

  while (link != NULL && link->number != number)
    link = hub_link_at (link->list.next);
  return link;
}

struct hub_link *
hub_open_link (struct hub *hub, dir_handle peer)
{
  struct hub_link *link = mem_alloc (1, sizeof *link);

  link->hub = hub;
  link->peer = peer;
  link->number = hub->next_link++;
  link->expecting = evl_now (hub->loop);
  lst_push_front (&hub->links, &link->list);
  link->channel
      = chn_connect (hub->loop, dir_get (hub->directory, peer)->address,
                     &link_handlers, link);
  hub_peer (hub, peer)->link = link;
  send_hello (link);
  return link;
}

void
hub_take_pong (struct hub_link *link, const Mesh__Pong *pong)
{
  struct hub *hub = link->hub;

  if (link->ping_sent == 0 || pong->nonce != link->ping_nonce)
    return;
  hub_peer (hub, link->peer)->round_trip
      = evl_now (hub->loop) - link->ping_sent;
  link->ping_sent = 0;
}

static void
send_ping (struct hub_link *link)
{
  Mesh__Ping ping = MESH__PING__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  ping.nonce = ++link->ping_nonce;
  link->ping_sent = evl_now (link->hub->loop);
  frame.body_case = MESH__FRAME__BODY_PING;
  frame.ping = &ping;
  chn_send (link->channel, &frame);
}

/* Takes a silent link out of use: new frames take another one, while replies
   that still come on this one are accepted.  */
static void
replace_link (struct hub_link *link)
{
  struct hub *hub = link->hub;
  struct hub_peer *peer = hub_peer (hub, link->peer);

  if (!is_current (link))
    return;
  hub_set_health (hub, link->peer, HUB_TIMED_OUT);
  peer->link = NULL;
  back_off (hub, link->peer);
}

static void
check_link (struct hub_link *link)
{
  clk_time now = evl_now (link->hub->loop);
  clk_time heard = chn_last_receive_time (link->channel);

  if (!chn_is_open (link->channel))
    {
      if (now - link->expecting > CONNECT_PATIENCE)
        lose_link (link);
      return;
    }
  if (heard < link->expecting)
    heard = link->expecting;
  if (link->ping_sent != 0
      && chn_last_receive_time (link->channel) > link->ping_sent)
    link->ping_sent = 0;
  if (link->ping_sent == 0
      && now - heard >= (link->outstanding > 0 ? PING_AFTER : WATCH_INTERVAL))
    send_ping (link);
  if (link->ping_sent != 0 && now - link->ping_sent >= PING_LATE
      && !link->late)
    {
      link->late = true;
      report_loss (link, true);
    }
  if (link->ping_sent != 0 && now - link->ping_sent >= PING_PATIENCE)
    replace_link (link);
}

static bool
is_known (const struct hub *hub, dir_handle peer)
{
  const struct mbr_member *member = dir_get (hub->directory, peer);

  return member != NULL && member->state != MBR_DEAD;
}

/* Tries a peer that was silent or lost; it is used again when it answers a
   ping, since a frozen VM accepts connections too.  */
static void
retry_peer (struct hub *hub, dir_handle peer)
{
  struct hub_peer *entry = hub_peer (hub, peer);

  if (entry->link != NULL || entry->retry > evl_now (hub->loop)
      || !is_known (hub, peer))
    return;
  send_ping (hub_open_link (hub, peer));
}

static bool
is_awaited (const struct hub_link *link)
{
  return link->outstanding > 0 || link->ping_sent != 0
         || !chn_is_open (link->channel)
         || (is_current (link) && hub_peer (link->hub, link->peer)->watched);
}

void
hub_check (void *context)
{
  struct hub *hub = context;
  struct hub_link *next;
  bool needed = false;

  for (struct hub_link *link = hub_link_at (hub->links.first); link != NULL;
       link = next)
    {
      next = hub_link_at (link->list.next);
      needed = needed || is_awaited (link);
      if (is_awaited (link))
        check_link (link);
    }
  for (dir_handle peer = 0; peer < hub->peer_count; peer++)
    if (hub->peers[peer].health != HUB_HEALTHY)
      {
        needed = true;
        retry_peer (hub, peer);
      }
    else if (hub->peers[peer].watched && hub->peers[peer].link == NULL
             && is_known (hub, peer))
      hub_open_link (hub, peer);
  if (needed)
    hub_start_check (hub);
}

void
hub_end_request (struct hub *hub, uint64_t number)
{
  struct hub_link *link = hub_find_link (hub, number);

  if (link == NULL)
    return;
  if (link->outstanding > 0)
    link->outstanding--;
  link->expecting = evl_now (hub->loop);
  if (link->outstanding == 0 && !is_current (link))
    hub_close_link (link);
}

void
hub_reset_backoff (struct hub *hub, dir_handle peer)
{
  struct hub_peer *entry = hub_peer (hub, peer);

  if (entry->health == HUB_HEALTHY)
    return;
  entry->failures = 0;
  entry->retry = evl_now (hub->loop);
  hub_start_check (hub);
}

void
hub_reset_peer (struct hub *hub, dir_handle peer)
{
  struct hub_link *next;

  for (struct hub_link *link = hub_link_at (hub->links.first); link != NULL;
       link = next)
    {
      next = hub_link_at (link->list.next);
      if (link->peer == peer)
        {
          report_loss (link, false);
          hub_close_link (link);
        }
    }
  if (peer < hub->peer_count)
    hub->peers[peer]
        = (struct hub_peer){ .health = HUB_HEALTHY,
                             .watched = hub->peers[peer].watched };
}
