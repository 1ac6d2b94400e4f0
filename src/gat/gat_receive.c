/* Long bodies of calls.  Their senders wait for a grant, so that no more of
   them is on its way than the link of the VM carries in a short time: short
   calls and pings do not queue behind them, and a call that is refused costs
   no bytes.  */

#include "gat/gat_internal.h"

/* Time for which the link carries what is granted at once.  Two round trips
   between regions fit in it, so that the link is not idle meanwhile.  */
#define WINDOW_TIME (50 * CLK_MILLISECOND)

/* Smallest window, in bytes: two parts of a body.  */
#define MIN_WINDOW (32u * 1024u)

/* Returns the bytes of a body that were announced and not granted.  */
static size_t
ungranted (const struct gat_call *call)
{
  return call->frame->call->body_bytes - call->granted_bytes;
}

/* Returns the call that came first among those with bytes to be granted, null
   when there is none.  */
static struct gat_call *
find_next (const struct gat *gate)
{
  struct gat_call *first = NULL;

  for (struct gat_call *call = gat_call_at (gate->calls.first); call != NULL;
       call = gat_call_at (call->list.next))
    if (call->state == GAT_RECEIVING && ungranted (call) > 0
        && (first == NULL || call->arrival <= first->arrival))
      first = call;
  return first;
}

static size_t
window_of (const struct gat *gate)
{
  size_t window
      = (size_t)(gate->receive_rate * (double)WINDOW_TIME / CLK_SECOND);

  return window > MIN_WINDOW ? window : MIN_WINDOW;
}

static void
send_grant (struct gat_call *call, size_t bytes)
{
  struct gat *gate = call->gate;
  Mesh__WindowGrant grant = MESH__WINDOW_GRANT__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  grant.id = call->frame->call->id;
  grant.bytes = (uint32_t)bytes;
  frame.body_case = MESH__FRAME__BODY_WINDOW_GRANT;
  frame.window_grant = &grant;
  call->granted_bytes += bytes;
  gate->granted_bytes += bytes;
  gate->hooks.send_reply (gate->hooks.context, call->origin, &frame);
}

void
gat_grant_bodies (struct gat *gate)
{
  struct gat_call *call;

  while ((call = find_next (gate)) != NULL)
    {
      size_t bytes = ungranted (call);
      size_t window = window_of (gate);

      if (gate->receive_rate > 0 && gate->granted_bytes >= window)
        return;
      if (gate->receive_rate > 0 && bytes > window - gate->granted_bytes)
        bytes = window - gate->granted_bytes;
      send_grant (call, bytes);
    }
}

void
gat_count_received (struct gat_call *call, size_t bytes)
{
  size_t most = call->granted_bytes - call->received_bytes;

  if (bytes > most)
    bytes = most;
  call->received_bytes += bytes;
  call->gate->granted_bytes -= bytes;
}

void
gat_end_receiving (struct gat_call *call)
{
  call->gate->granted_bytes -= call->granted_bytes - call->received_bytes;
  call->received_bytes = call->granted_bytes;
}

clk_time
gat_receive_wait (const struct gat_call *call)
{
  const struct gat *gate = call->gate;
  double bytes = 0;

  if (gate->receive_rate <= 0 || !call->frame->call->is_bulk)
    return 0;
  for (const struct gat_call *other = gat_call_at (gate->calls.first);
       other != NULL; other = gat_call_at (other->list.next))
    if (other->state == GAT_RECEIVING)
      bytes += (double)other->frame->call->body_bytes
               - (double)other->received_bytes;
  return (clk_time)(bytes / gate->receive_rate * (double)CLK_SECOND);
}
