/* Calls at the gate, from their first frame to their end.  */

#include "gat/gat_log.h"

#include "base/log.h"
#include "base/mem.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A cancellation that comes this long before the deadline of its call was sent
   at the deadline.  */
#define DEADLINE_TOLERANCE (20 * CLK_MILLISECOND)

struct gat_call *
gat_call_at (const struct lst_entry *link)
{
  return link != NULL ? LST_ITEM (link, struct gat_call, list) : NULL;
}

void
gat_free_call (struct gat_call *call)
{
  struct gat *gate = call->gate;

  if (call->state == GAT_RUNNING)
    gate->running--;
  else if (call->state == GAT_WAITING)
    que_remove (&gate->queue, call);
  gate->call_count--;
  gate->expected_bytes -= call->expected_bytes;
  gat_end_receiving (call);
  lst_remove (&gate->calls, &call->list);
  evl_timer_stop (&call->timer);
  shr_release (&gate->queue.shares, call->tenant);
  htp_budget_return (&gate->request_budget, call->budgeted_bytes);
  frm_free (call->frame);
  free (call);
}

void
gat_end_call (struct gat_call *call)
{
  struct gat *gate = call->gate;

  gat_free_call (call);
  gat_grant_bodies (gate);
  gat_next (gate);
}

/* Ends the deadline of a call with the process.  */
void
gat_shorten_deadline (struct gat_call *call)
{
  if (call->deadline <= call->gate->latest)
    return;
  call->deadline = call->gate->latest;
  call->is_shortened = true;
  if (call->deadline < call->target)
    call->target = call->deadline;
}

static struct gat_call *
find_call (const struct gat *gate, const struct hub_inbound_link *origin,
           const Mesh__CallId *id)
{
  struct gat_call *call = gat_call_at (gate->calls.first);

  while (call != NULL
         && (call->origin != origin || id == NULL
             || call->frame->call->id->number != id->number))
    call = gat_call_at (call->list.next);
  return call;
}

/* Counts which service makes calls of this kind.  */
static void
count_caller (const struct gat_call *call)
{
  const Mesh__Call *message = call->frame->call;
  const char *caller
      = frm_find_header (message->headers, message->n_headers,
                         call->gate->platform->headers[PTF_CALLER_SERVICE]);

  if (caller != NULL)
    gat_count_caller (gat_kind_of (call),
                      XXH3_64bits (caller, strlen (caller)));
}

/* Takes memory for LENGTH more bytes of the call's body.  Refuses the call and
   returns false when not enough is left.  */
static bool
take_memory (struct gat_call *call, size_t length)
{
  struct htp_budget *budget = &call->gate->request_budget;

  if (htp_budget_take (budget, length))
    {
      call->budgeted_bytes += length;
      return true;
    }
  log_write (LOG_WARNING, "gat",
             "refused a call: its body does not fit into the memory for "
             "bodies, of which %zu of %zu bytes are in use",
             budget->used_bytes, budget->max_bytes);
  gat_refuse (call, GAT_BUSY);
  return false;
}

/* Returns the handle of the call's tenant, SHR_NONE when it has none.  */
static uint32_t
acquire_tenant (struct gat *gate, const Mesh__Call *message, clk_time now)
{
  const char *name = message->tenant;

  if (name[0] == '\0')
    return SHR_NONE;
  return shr_acquire (&gate->queue.shares,
                      (uint32_t)XXH3_64bits (name, strlen (name)),
                      message->tenant_rate, now);
}

/* Returns whether the body with LENGTH more bytes agrees with the length that
   was announced, MORE of it being expected.  Refuses the call when it does
   not: it must not run with a part of its body.  */
static bool
check_length (struct gat_call *call, size_t length, bool more)
{
  const Mesh__Call *message = call->frame->call;
  size_t total = message->body.len + length;

  if (message->body_bytes <= FRM_MAX_BODY_LENGTH
      && (total == message->body_bytes
          || (more && total < message->body_bytes)))
    return true;
  log_write (LOG_WARNING, "gat",
             "refused a call: %zu bytes of its body came, and %" PRIu32
             " were announced",
             total, message->body_bytes);
  gat_refuse (call, GAT_BUSY);
  return false;
}

/* Returns the length of the body that the call announces or has already.  */
static size_t
announced_bytes (const Mesh__Call *message)
{
  return message->body_bytes > message->body.len ? message->body_bytes
                                                 : message->body.len;
}

static void
start_call (struct gat *gate, struct hub_inbound_link *origin,
            Mesh__Frame *frame)
{
  Mesh__Call *message = frame->call;
  struct gat_call *call;
  clk_time now = evl_now (gate->loop);

  if (message->id == NULL)
    {
      log_write (LOG_WARNING, "gat", "a call without a number was dropped");
      frm_free (frame);
      return;
    }
  call = mem_alloc (1, sizeof *call);
  call->gate = gate;
  call->origin = origin;
  call->frame = frame;
  call->id = frm_find_header (message->headers, message->n_headers,
                              gate->platform->headers[PTF_CALL_ID]);
  call->state = GAT_RECEIVING;
  call->tenant = acquire_tenant (gate, message, now);
  call->arrival = now;
  call->target = now + (clk_time)message->target_us * CLK_MICROSECOND;
  call->deadline = now + (clk_time)message->remaining_us * CLK_MICROSECOND;
  gat_shorten_deadline (call);
  lst_push_front (&gate->calls, &call->list);
  gate->call_count++;
  count_caller (call);
  evl_timer_init (&call->timer, gate->loop, gat_end_awaiting, call);
  if (!take_memory (call, announced_bytes (message)))
    return;
  if (message->body_bytes == 0 && !message->more)
    {
      gat_admit (call);
      return;
    }
  evl_timer_set (&call->timer, call->deadline);
  if (message->body_bytes > 0 && check_length (call, 0, message->more))
    gat_request_body (call);
}

/* Adds a part of a body that came in several frames.  */
static void
add_body (struct gat *gate, const struct hub_inbound_link *origin,
          const Mesh__BodyPart *part)
{
  struct gat_call *call = find_call (gate, origin, part->id);
  Mesh__Call *message;

  if (call == NULL || call->state != GAT_RECEIVING)
    return;
  message = call->frame->call;
  if (message->body.len + part->data.len > FRM_MAX_BODY_LENGTH)
    {
      log_write (LOG_WARNING, "gat", "refused a call with too long a body");
      gat_refuse (call, GAT_BUSY);
      return;
    }
  if (message->body_bytes > 0
      && !check_length (call, part->data.len, part->more))
    return;
  gat_count_received (call, part->data.len);
  gat_grant_bodies (gate);
  if (message->body_bytes == 0 && !take_memory (call, part->data.len))
    return;
  message->body.data
      = mem_resize (message->body.data, message->body.len + part->data.len, 1);
  if (part->data.len > 0)
    memcpy (message->body.data + message->body.len, part->data.data,
            part->data.len);
  message->body.len += part->data.len;
  if (part->more)
    return;
  evl_timer_stop (&call->timer);
  gat_admit (call);
}

static void
cancel (struct gat_call *call)
{
  gat_log_cancelled (call, "by its sender");
  /* Its sender has given up at the deadline: the answer comes too late.  */
  if (call->state == GAT_RUNNING
      && evl_now (call->gate->loop) >= call->deadline - DEADLINE_TOLERANCE)
    gat_count_answer (call, true);
  cnx_close (call->connection);
  gat_end_call (call);
}

void
gat_handle_frame (struct gat *gate, struct hub_inbound_link *origin,
                  Mesh__Frame *frame)
{
  struct gat_call *call;

  if (frame->body_case == MESH__FRAME__BODY_CALL)
    {
      start_call (gate, origin, frame);
      return;
    }
  if (frame->body_case == MESH__FRAME__BODY_CALL_BODY)
    add_body (gate, origin, frame->call_body);
  else if (frame->body_case == MESH__FRAME__BODY_CANCEL)
    {
      call = find_call (gate, origin, frame->cancel->id);
      if (call != NULL)
        cancel (call);
      else
        gat_drop_response (gate, origin, frame->cancel->id);
    }
  frm_free (frame);
}

void
gat_handle_inbound_closed (struct gat *gate,
                           const struct hub_inbound_link *origin)
{
  struct gat_call *call = gat_call_at (gate->calls.first);

  while (call != NULL)
    {
      struct gat_call *next = gat_call_at (call->list.next);

      if (call->origin == origin)
        {
          gat_log_cancelled (call, "the link to its sender closed");
          cnx_close (call->connection);
          gat_free_call (call);
        }
      call = next;
    }
  gat_grant_bodies (gate);
  gat_next (gate);
}
