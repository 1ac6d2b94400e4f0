/* What a node knows of its peers' upstreams.  */

#include "base/mem.h"
#include "fwd/fwd_internal.h"

#include <string.h>

/* How long a peer that took no calls is left alone, unless its record says
   that its upstream leaves: only a call shows that it takes calls again.  */
#define CLOSED_TIME (250 * CLK_MILLISECOND)

struct fwd_peer *
fwd_peer (struct fwd *forwarder, dir_handle peer)
{
  dir_handle count = peer + 1;

  if (peer >= forwarder->peer_count)
    {
      forwarder->peers
          = mem_resize (forwarder->peers, count, sizeof *forwarder->peers);
      memset (forwarder->peers + forwarder->peer_count, 0,
              (count - forwarder->peer_count) * sizeof *forwarder->peers);
      forwarder->peer_count = count;
    }
  return &forwarder->peers[peer];
}

/* Returns the entry of a kind, which may replace the oldest one.  */
static struct fwd_kind *
find_kind (struct fwd_peer *peer, uint32_t route, bool add)
{
  struct fwd_kind *oldest = &peer->kinds[0];

  for (size_t i = 0; i < FWD_MAX_KINDS; i++)
    {
      if (peer->kinds[i].route == route && peer->kinds[i].reported_at != 0)
        return &peer->kinds[i];
      if (peer->kinds[i].reported_at < oldest->reported_at)
        oldest = &peer->kinds[i];
    }
  if (!add)
    return NULL;
  *oldest = (struct fwd_kind){ .route = route };
  return oldest;
}

void
fwd_take_load (struct fwd *forwarder, dir_handle peer, uint32_t route,
               const Mesh__Load *load, bool over_share)
{
  struct fwd_peer *known = fwd_peer (forwarder, peer);
  clk_time now = evl_now (forwarder->parts.loop);
  struct fwd_kind *kind;

  known->running = load->running;
  known->waiting = load->waiting;
  known->slots = load->slots;
  known->slot = (clk_time)load->slot_us * CLK_MICROSECOND;
  known->failed = load->failed_permille / 1000.;
  known->reported_at = now;
  known->sent = 0;
  kind = find_kind (known, route, true);
  kind->service = (clk_time)load->service_us * CLK_MICROSECOND;
  if (over_share && kind->reported_at != 0)
    return;
  kind->wait = over_share ? 0 : (clk_time)load->wait_us * CLK_MICROSECOND;
  kind->reported_at = now;
}

struct plc_load
fwd_peer_load (struct fwd *forwarder, dir_handle peer, uint32_t route,
               uint32_t slots)
{
  struct fwd_peer *known = fwd_peer (forwarder, peer);
  const struct fwd_kind *kind = find_kind (known, route, false);
  struct plc_load load = { .slots = slots,
                           .sent_since_report = known->sent,
                           .last_sent_at = known->sent_at };

  if (known->reported_at == 0)
    return load;
  load.running = known->running;
  if (known->slots > 0
      || evl_now (forwarder->parts.loop) < known->reported_at + CLOSED_TIME)
    load.slots = known->slots;
  load.mean_slot_time = known->slot;
  load.failure_ratio = known->failed;
  load.failure_reported_at = known->reported_at;
  if (known->slots > 0)
    load.backlog_time = known->slot * known->waiting / known->slots;
  load.reported_at = known->reported_at;
  if (kind != NULL)
    {
      load.service_time = kind->service;
      load.expected_wait = kind->wait;
      load.reported_at = kind->reported_at;
    }
  return load;
}

void
fwd_reset_peer (struct fwd *forwarder, dir_handle peer)
{
  memset (fwd_peer (forwarder, peer), 0, sizeof (struct fwd_peer));
  ovr_clear_peer (forwarder->reports, peer);
}
