/* Calls with long responses, which the link of the VM limits.  */

#include "gat/gat_internal.h"

/* Time in which the link sends the long responses of calls that run; while it
   is longer, further ones wait.  */
#define MAX_LINK_TIME (300 * CLK_MILLISECOND)

/* Shortest time until a full link is looked at again: while its load is of
   calls that run, it does not fall with time.  */
#define MIN_CHECK_TIME (5 * CLK_MILLISECOND)

/* Size of a long response, in bytes, before one was seen.  */
#define ASSUMED_BULK_BYTES (64u * 1024u)

/* Returns the size of a response that is expected to a call with a long
   one.  */
static size_t
expect_bytes (const struct gat_call *call)
{
  double bytes = gat_kind_of (call)->bytes;

  return bytes > 0 ? (size_t)bytes : ASSUMED_BULK_BYTES;
}

bool
gat_uses_link (const struct gat_call *call)
{
  return call->frame->call->is_bulk && !hub_is_loopback (call->origin);
}

/* Returns the time in which the link has sent the long responses of the calls
   that run, and BYTES more.  */
static clk_time
link_time (const struct gat *gate, size_t bytes)
{
  return gate->hooks.bulk_time (gate->hooks.context,
                                gate->expected_bytes + bytes);
}

clk_time
gat_link_wait (const struct gat_call *call)
{
  clk_time time;

  if (!gat_uses_link (call))
    return 0;
  time = link_time (call->gate, expect_bytes (call));
  return time > gat_service_of (call) ? time - gat_service_of (call) : 0;
}

clk_time
gat_time_to_respond (const struct gat_call *call)
{
  const struct gat *gate = call->gate;
  clk_time service = gat_service_of (call);
  clk_time queued;
  clk_time own;

  if (!gat_uses_link (call))
    return service;
  queued = link_time (gate, 0);
  own = link_time (gate, expect_bytes (call)) - queued;
  /* A call starts only when no more than this is ahead of its response.  */
  if (queued > MAX_LINK_TIME)
    queued = MAX_LINK_TIME;
  return (service > queued ? service : queued) + own;
}

void
gat_expect_response (struct gat_call *call)
{
  struct gat *gate = call->gate;

  if (!gat_uses_link (call))
    return;
  call->expected_bytes = expect_bytes (call);
  gate->expected_bytes += call->expected_bytes;
  gate->queue.bulk_interval
      = gate->hooks.bulk_time (gate->hooks.context, call->expected_bytes)
        - gate->hooks.bulk_time (gate->hooks.context, 0);
}

void
gat_check_link (struct gat *gate)
{
  clk_time now = evl_now (gate->loop);
  clk_time time = link_time (gate, 0);
  clk_time wait = time - MAX_LINK_TIME;

  gate->queue.is_link_full = wait > 0;
  if (wait < MIN_CHECK_TIME)
    wait = MIN_CHECK_TIME;
  evl_timer_set (&gate->link_timer,
                 gate->queue.is_link_full && gate->queue.count > 0
                     ? now + wait
                     : CLK_NEVER);
}

void
gat_drop_response (struct gat *gate, struct hub_inbound_link *origin,
                   const Mesh__CallId *id)
{
  if (id == NULL || gate->hooks.cancel_bulk_reply == NULL)
    return;
  gate->hooks.cancel_bulk_reply (gate->hooks.context, origin, id->number);
  gat_next (gate);
}
