/* Admission of calls at the gate.  */

#include "gat/gat.h"

#include "base/log.h"
#include "base/mem.h"
#include "gat/gat_log.h"
#include "plc/plc.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* How long the upstream keeps an idle connection as long as it has not said;
   most servers keep one for longer.  */
#define DEFAULT_KEEP_TIME (4 * CLK_SECOND)

/* A server that has just started takes about this many times as long.  */
#define COLD_TIMES 2.

/* A cancellation that comes this long before the deadline of its call was sent
   at the deadline.  */
#define DEADLINE_TOLERANCE (20 * CLK_MILLISECOND)

static void on_expiry (void *context);
static void on_link_time (void *context);

struct gat *
gat_create (struct evl *loop, const struct ptf_platform *platform,
            const struct reg *registration, const struct gat_hooks *hooks,
            const struct gat_memory *memory)
{
  struct gat *gate = mem_alloc (1, sizeof *gate);

  gate->loop = loop;
  gate->platform = platform;
  gate->registration = registration;
  gate->hooks = *hooks;
  gate->request_budget.max_bytes = memory->requests;
  gate->response_budget.max_bytes = memory->responses;
  gate->keep_time = DEFAULT_KEEP_TIME;
  gate->latest = CLK_NEVER;
  evl_timer_init (&gate->expiry, loop, on_expiry, gate);
  evl_timer_init (&gate->link_timer, loop, on_link_time, gate);
  return gate;
}

struct gat_call *
gat_call_at (const struct lst_entry *link)
{
  return link != NULL ? LST_ITEM (link, struct gat_call, list) : NULL;
}

static void
free_call (struct gat_call *call)
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
gat_destroy (struct gat *gate)
{
  struct lst_entry *link;

  if (gate == NULL)
    return;
  while ((link = lst_pop_front (&gate->calls)) != NULL)
    {
      struct gat_call *call = gat_call_at (link);

      cnx_close (call->connection);
      free_call (call);
    }
  gat_close_idle (gate);
  evl_timer_stop (&gate->expiry);
  evl_timer_stop (&gate->link_timer);
  free (gate);
}

/* Plans the next look at calls that have waited too long.  */
static void
plan_expiry (struct gat *gate)
{
  evl_timer_set (&gate->expiry,
                 que_next_expiry (&gate->queue, evl_now (gate->loop)));
}

void
gat_end_call (struct gat_call *call)
{
  struct gat *gate = call->gate;

  free_call (call);
  gat_grant_bodies (gate);
  gat_next (gate);
}

/* Returns why the registered upstream cannot run CALL.  */
static enum gat_refusal
check_upstream (const struct gat *gate, const Mesh__Call *call)
{
  const struct reg *registration = gate->registration;

  if (registration->state == REG_NONE
      || strcmp (registration->upstream.service, call->service) != 0)
    return GAT_NO_UPSTREAM;
  if (registration->state == REG_LEAVING
      || (gate->hooks.is_withdrawn != NULL
          && gate->hooks.is_withdrawn (gate->hooks.context)))
    return GAT_LEAVING;
  if (registration->state == REG_UNREACHABLE)
    return GAT_UNREACHABLE;
  return GAT_NOT_REFUSED;
}

/* Returns whether the call would be cut off by the end of the process if it
   started after WAIT.  */
static bool
would_be_cut (const struct gat_call *call, clk_time wait)
{
  return call->is_shortened
         && evl_now (call->gate->loop) + wait + gat_service_of (call)
                > call->deadline;
}

/* Runs a call that was waiting, or refuses it: since it was admitted the
   upstream may have been replaced, or a shutdown may have begun.  */
static void
run_admitted (struct gat_call *call)
{
  enum gat_refusal refusal = check_upstream (call->gate, call->frame->call);

  if (refusal == GAT_NOT_REFUSED && would_be_cut (call, 0))
    refusal = GAT_DRAINING;
  if (refusal == GAT_NOT_REFUSED && !gat_has_room (call))
    refusal = GAT_BUSY;
  call->state = GAT_RECEIVING;
  if (refusal == GAT_NOT_REFUSED)
    gat_run (call);
  else
    gat_refuse (call, refusal);
}

static bool
has_free_slot (const struct gat *gate)
{
  return gate->registration->state == REG_READY
         && gate->running < gate->registration->upstream.slots;
}

void
gat_next (struct gat *gate)
{
  struct gat_call *call;

  /* A call that ends below asks for the next one: the loop goes on.  */
  if (gate->is_dequeuing)
    return;
  gate->is_dequeuing = true;
  gat_check_link (gate);
  while (has_free_slot (gate)
         && (call = que_pop (&gate->queue, evl_now (gate->loop))) != NULL)
    {
      run_admitted (call);
      gat_check_link (gate);
    }
  gate->is_dequeuing = false;
  plan_expiry (gate);
}

struct gat_kind *
gat_kind_of (const struct gat_call *call)
{
  struct gat *gate = call->gate;

  return gat_find_kind (&gate->kinds, call->frame->call->route,
                        evl_now (gate->loop));
}

/* Returns the time in a slot of a call of which nothing is known.  All gates
   that start together would otherwise take every call in their first moments,
   many more than they can run in time.  */
static clk_time
assume_service (const struct gat_call *call)
{
  clk_time now = evl_now (call->gate->loop);
  clk_time end = call->target > call->arrival ? call->target : call->deadline;
  double service
      = PLC_DEFAULT_SERVICE_TIME_FRACTION * (double)(end - call->arrival);

  if (now < call->gate->registration->warmup_until)
    service *= COLD_TIMES;
  return (clk_time)service;
}

clk_time
gat_service_of (const struct gat_call *call)
{
  clk_time service = gat_kind_of (call)->service;
  clk_time slot = call->gate->slot;
  clk_time assumed;

  if (service > 0)
    return service;
  assumed = assume_service (call);
  return slot > 0 && slot < assumed ? slot : assumed;
}

/* A call that an upstream makes while it runs a request goes before all
   others, and is never too late to be useful before its deadline.  */
static struct que_item
make_item (struct gat_call *call)
{
  bool nested = gat_is_nested (gat_kind_of (call));
  struct que_item item = { .call = call,
                           .priority = call->frame->call->priority + 1,
                           .service_time = gat_service_of (call),
                           .target_time = call->target,
                           .deadline = call->deadline,
                           .tenant = call->tenant,
                           .is_bulk = gat_uses_link (call) };

  if (nested)
    {
      item.priority = 0;
      item.target_time = call->deadline;
    }
  return item;
}

/* Returns the expected wait of a call for a slot.  */
static clk_time
slot_wait (const struct gat_call *call)
{
  struct gat *gate = call->gate;
  uint32_t slots = gate->registration->upstream.slots;
  struct que_item item = make_item ((struct gat_call *)call);
  clk_time slot = gate->slot > 0 ? gate->slot : item.service_time;

  if (slots == 0)
    return 0;
  if (gate->running + que_count_runnable (&gate->queue) < slots)
    return que_estimate_link_wait (&gate->queue, &item, evl_now (gate->loop));
  gate->queue.dequeue_interval = slot / slots;
  return que_estimate_wait (&gate->queue, &item, evl_now (gate->loop));
}

clk_time
gat_expect_wait (const struct gat_call *call)
{
  return slot_wait (call) + gat_link_wait (call);
}

/* The link has sent enough of the long responses.  */
static void
on_link_time (void *context)
{
  gat_next (context);
}

static void
on_expiry (void *context)
{
  struct gat *gate = context;
  struct gat_call *call;

  while ((call = que_expire (&gate->queue, evl_now (gate->loop))) != NULL)
    {
      call->state = GAT_RECEIVING;
      gat_refuse (call, call->is_shortened ? GAT_DRAINING : GAT_EXPIRED);
    }
  plan_expiry (gate);
}

/* Returns why a call that would wait for WAIT is not admitted.  */
static enum gat_refusal
check_admission (const struct gat_call *call, clk_time wait)
{
  const struct gat *gate = call->gate;
  const Mesh__Call *message = call->frame->call;
  enum gat_refusal refusal
      = gate->stopping ? GAT_DRAINING : check_upstream (gate, message);

  if (refusal != GAT_NOT_REFUSED)
    return refusal;
  /* Half of the room is kept for the calls that run.  */
  if (!gat_has_room (call))
    return GAT_BUSY;
  if (would_be_cut (call, wait))
    return GAT_DRAINING;
  if (wait > message->max_wait_us * CLK_MICROSECOND
      || evl_now (gate->loop) + wait + gat_service_of (call) > call->deadline)
    return GAT_BUSY;
  return GAT_NOT_REFUSED;
}

/* Runs, queues or refuses a call whose body is complete.  */
static void
admit (struct gat_call *call)
{
  struct gat *gate = call->gate;
  struct que_item item = make_item (call);
  clk_time wait = gat_expect_wait (call);
  enum gat_refusal refusal = check_admission (call, wait);

  if (refusal != GAT_NOT_REFUSED)
    {
      gat_refuse (call, refusal);
      return;
    }
  if (wait == 0 && has_free_slot (gate))
    {
      gat_run (call);
      return;
    }
  if (!que_push (&gate->queue, &item))
    {
      gat_refuse (call, GAT_BUSY);
      return;
    }
  call->state = GAT_WAITING;
  gat_log_queued (call, wait);
  gat_next (gate);
}

/* The deadline of a call has passed, and parts of its body are missing.  */
static void
on_receive_deadline (void *context)
{
  struct gat_call *call = context;

  gat_refuse (call, call->is_shortened ? GAT_DRAINING : GAT_EXPIRED);
}

/* Asks for the long body of a call, unless it would be refused.  */
static void
request_body (struct gat_call *call)
{
  clk_time wait = gat_expect_wait (call) + gat_receive_wait (call);
  enum gat_refusal refusal = check_admission (call, wait);

  if (refusal != GAT_NOT_REFUSED)
    {
      gat_refuse (call, refusal);
      return;
    }
  gat_log_receiving (call, wait);
  gat_grant_bodies (call->gate);
}

/* Ends the deadline of a call with the process.  */
static void
shorten_deadline (struct gat_call *call)
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

/* Returns the length of the body as far as the call tells it.  */
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
  shorten_deadline (call);
  lst_push_front (&gate->calls, &call->list);
  gate->call_count++;
  count_caller (call);
  evl_timer_init (&call->timer, gate->loop, on_receive_deadline, call);
  if (!take_memory (call, announced_bytes (message)))
    return;
  if (message->body_bytes == 0 && !message->more)
    {
      admit (call);
      return;
    }
  evl_timer_set (&call->timer, call->deadline);
  if (message->body_bytes > 0 && check_length (call, 0, message->more))
    request_body (call);
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
  admit (call);
}

static void
cancel (struct gat_call *call)
{
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
          cnx_close (call->connection);
          free_call (call);
        }
      call = next;
    }
  gat_grant_bodies (gate);
  gat_next (gate);
}

/* Returns a waiting call that the registered upstream cannot run, null when
   there is none.  */
static struct gat_call *
find_unservable (const struct gat *gate)
{
  for (size_t i = 0; i < gate->queue.count; i++)
    {
      struct gat_call *call = gate->queue.items[i].call;

      if (check_upstream (gate, call->frame->call) != GAT_NOT_REFUSED)
        return call;
    }
  return NULL;
}

/* Refuses the waiting calls that the registered upstream cannot run, so that
   their senders can place them elsewhere.  */
static void
refuse_unservable (struct gat *gate)
{
  struct gat_call *call;

  while ((call = find_unservable (gate)) != NULL)
    {
      que_remove (&gate->queue, call);
      call->state = GAT_RECEIVING;
      gat_refuse (call, check_upstream (gate, call->frame->call));
    }
}

/* Forgets the upstream before: its connections and what was learned.  */
static void
reset_upstream (struct gat *gate)
{
  const struct ptf_heartbeat *upstream = &gate->registration->upstream;

  gat_close_idle (gate);
  gate->slot = 0;
  memset (&gate->kinds, 0, sizeof gate->kinds);
  gate->failed = 0;
  gate->reply_bytes = 0;
  gate->keep_time = DEFAULT_KEEP_TIME;
  gate->upstream_count++;
  gate->upstream_start_ms = upstream->start_ms;
  memcpy (gate->upstream, upstream->name, sizeof gate->upstream);
}

void
gat_apply_registration (struct gat *gate)
{
  const struct ptf_heartbeat *upstream = &gate->registration->upstream;

  if (strcmp (gate->upstream, upstream->name) != 0
      || gate->upstream_start_ms != upstream->start_ms)
    reset_upstream (gate);
  refuse_unservable (gate);
  gat_next (gate);
}

void
gat_set_end (struct gat *gate, clk_time latest)
{
  gate->latest = latest;
  for (struct gat_call *call = gat_call_at (gate->calls.first); call != NULL;
       call = gat_call_at (call->list.next))
    if (call->state != GAT_RUNNING)
      {
        shorten_deadline (call);
        if (call->state == GAT_RECEIVING)
          evl_timer_set (&call->timer, call->deadline);
      }
  que_limit_deadlines (&gate->queue, latest);
  plan_expiry (gate);
}

void
gat_set_receive_rate (struct gat *gate, double bytes_per_second)
{
  gate->receive_rate = bytes_per_second;
}

/* Returns a call of which parts of the body are missing, null when there is
   none.  */
static struct gat_call *
find_receiving (const struct gat *gate)
{
  struct gat_call *call = gat_call_at (gate->calls.first);

  while (call != NULL && call->state != GAT_RECEIVING)
    call = gat_call_at (call->list.next);
  return call;
}

void
gat_drain (struct gat *gate)
{
  struct gat_call *call;

  gate->stopping = true;
  /* They would be refused when their bodies are complete.  */
  while ((call = find_receiving (gate)) != NULL)
    gat_refuse (call, GAT_DRAINING);
}

void
gat_load (const struct gat_call *call, Mesh__Load *load)
{
  const struct gat *gate = call->gate;
  const struct reg *registration = gate->registration;

  mesh__load__init (load);
  load->running = gate->running;
  load->waiting = (uint32_t)gate->queue.count;
  if ((registration->state == REG_READY
       || registration->state == REG_UNCONFIRMED)
      && !gate->stopping)
    load->slots = registration->upstream.slots;
  load->slot_us = (uint32_t)(gate->slot / CLK_MICROSECOND);
  load->service_us = (uint32_t)(gat_kind_of (call)->service / CLK_MICROSECOND);
  load->wait_us = (uint32_t)((gat_expect_wait (call) + gat_receive_wait (call))
                             / CLK_MICROSECOND);
  load->failed_permille = (uint32_t)(gate->failed * 1000);
}

size_t
gat_in_progress (const struct gat *gate)
{
  return gate->call_count;
}

const char *
gat_refusal_name (enum gat_refusal refusal)
{
  static const char *const names[GAT_REFUSAL_COUNT]
      = { "none", "busy",        "leaving",  "no upstream",
          "shed", "unreachable", "too late", "stopping" };

  return refusal < GAT_REFUSAL_COUNT ? names[refusal] : "other";
}
