/* Checks of outbound links: pings, silent peers, and attempts to reconnect. */

#include "hub/hub_log.h"

/* How often links are checked while one of them waits for its peer.  */
#define CHECK_INTERVAL (50 * CLK_MILLISECOND)

/* A peer with outstanding replies that has sent nothing for this long is
   pinged: a call may take long, but a ping is answered immediately.  */
#define PING_DELAY (50 * CLK_MILLISECOND)

/* A monitored peer without outstanding replies that has sent nothing for this
   long is pinged.  */
#define MONITOR_PING_DELAY (500 * CLK_MILLISECOND)

/* A ping without a reply for this long is overdue: idempotent calls are then
   sent to another node.  The processor of a VM with a CPU quota pauses for up
   to 90 ms, which is not yet overdue.  */
#define PING_OVERDUE_TIME (130 * CLK_MILLISECOND)

/* A ping without a reply for this long has timed out.  A slowed VM or a lost
   packet delays a reply for less, a frozen VM or a network partition for
   more.  */
#define PING_TIMEOUT (300 * CLK_MILLISECOND)

/* A connect that takes longer has failed: TCP repeats an unanswered SYN only
   after a second.  */
#define CONNECT_TIMEOUT (120 * CLK_MILLISECOND)

void
hub_schedule_check (struct hub *hub)
{
  if (hub->check_timer.deadline != CLK_NEVER)
    return;
  hub->check_at = evl_now (hub->loop) + CHECK_INTERVAL;
  evl_timer_set (&hub->check_timer, hub->check_at);
}

void
hub_handle_pong (struct hub_outbound_link *link, const Mesh__Pong *pong)
{
  struct hub *hub = link->hub;

  if (link->ping_time == 0 || pong->nonce != link->ping_nonce)
    return;
  hub_peer (hub, link->peer)->round_trip_time
      = evl_now (hub->loop) - link->ping_time;
  link->ping_time = 0;
}

static void
send_ping (struct hub_outbound_link *link)
{
  Mesh__Ping ping = MESH__PING__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  ping.nonce = ++link->ping_nonce;
  link->ping_time = evl_now (link->hub->loop);
  link->overdue_at = link->ping_time + PING_OVERDUE_TIME;
  link->timed_out_at = link->ping_time + PING_TIMEOUT;
  link->is_extended = false;
  frame.body_case = MESH__FRAME__BODY_PING;
  frame.ping = &ping;
  chn_send (link->channel, &frame);
}

/* Stops the use of a link on which a ping has timed out: new frames are sent
   on another link, while replies that still arrive on this one are
   accepted.  */
static void
retire_link (struct hub_outbound_link *link)
{
  struct hub *hub = link->hub;
  struct hub_peer *peer = hub_peer (hub, link->peer);

  if (!hub_is_current (link))
    return;
  hub_set_health (hub, link->peer, HUB_TIMED_OUT);
  peer->link = NULL;
  hub_schedule_retry (hub, link->peer);
}

/* Extends the times of a ping, once, when this check runs late: then this node
   itself has paused, and may have sent the ping late or not have read the
   reply yet.  */
static void
extend_ping (struct hub_outbound_link *link, clk_time now)
{
  clk_time read_by = now + CHECK_INTERVAL;

  if (link->is_extended || link->hub->check_lateness < CHECK_INTERVAL)
    return;
  link->is_extended = true;
  if (link->overdue_at < read_by)
    link->overdue_at = read_by;
  if (link->timed_out_at < read_by)
    link->timed_out_at = read_by;
}

static void
check_link (struct hub_outbound_link *link)
{
  clk_time now = evl_now (link->hub->loop);
  clk_time last_received = chn_last_receive_time (link->channel);

  if (!chn_is_open (link->channel))
    {
      if (now - link->waiting_since > CONNECT_TIMEOUT)
        hub_handle_link_failure (link);
      return;
    }
  if (last_received < link->waiting_since)
    last_received = link->waiting_since;
  if (link->ping_time != 0
      && chn_last_receive_time (link->channel) > link->ping_time)
    link->ping_time = 0;
  if (link->ping_time == 0
      && now - last_received
             >= (link->outstanding > 0 ? PING_DELAY : MONITOR_PING_DELAY))
    send_ping (link);
  if (link->ping_time != 0)
    extend_ping (link, now);
  if (link->ping_time != 0 && now >= link->overdue_at && !link->ping_overdue)
    {
      link->ping_overdue = true;
      hub_log_overdue (link);
      hub_add_link_event (link, true);
    }
  if (link->ping_time != 0 && now >= link->timed_out_at)
    retire_link (link);
}

static bool
is_known (const struct hub *hub, dir_handle peer)
{
  const struct mbr_member *member = dir_get (hub->directory, peer);

  return member != NULL && member->state != MBR_DEAD;
}

/* Reconnects to an unhealthy peer whose backoff delay has passed.  The peer
   counts as healthy only when a frame arrives from it, here the reply to a
   ping, since a frozen VM accepts connections too.  */
static void
retry_peer (struct hub *hub, dir_handle peer)
{
  struct hub_peer *entry = hub_peer (hub, peer);

  if (entry->link != NULL || entry->retry_time > evl_now (hub->loop)
      || !is_known (hub, peer))
    return;
  send_ping (hub_open_link (hub, peer));
}

static bool
needs_check (const struct hub_outbound_link *link)
{
  return link->outstanding > 0 || link->ping_time != 0
         || !chn_is_open (link->channel)
         || (hub_is_current (link)
             && hub_peer (link->hub, link->peer)->monitored);
}

void
hub_check_links (void *context)
{
  struct hub *hub = context;
  struct hub_outbound_link *next;
  bool needed = false;

  /* A link that fails below schedules the next check.  */
  hub->check_lateness = evl_now (hub->loop) - hub->check_at;
  for (struct hub_outbound_link *link
       = hub_link_from_entry (hub->outbound_links.first);
       link != NULL; link = next)
    {
      next = hub_link_from_entry (link->entry.next);
      needed = needed || needs_check (link);
      if (needs_check (link))
        check_link (link);
    }
  for (dir_handle peer = 0; peer < hub->peer_count; peer++)
    if (hub->peers[peer].health != HUB_HEALTHY)
      {
        needed = true;
        retry_peer (hub, peer);
      }
    else if (hub->peers[peer].monitored && hub->peers[peer].link == NULL
             && is_known (hub, peer))
      hub_open_link (hub, peer);
  if (needed)
    hub_schedule_check (hub);
}
