/* Admission of calls: which run, wait or are refused.  */

#include "gat/gat_log.h"

#include "plc/plc.h"

#include <string.h>

/* A server that has just started takes about this many times as long.  */
#define COLD_TIMES 2.

/* Plans the next look at calls that have waited too long.  */
void
gat_plan_expiry (struct gat *gate)
{
  evl_timer_set (&gate->expiry,
                 que_next_expiry (&gate->queue, evl_now (gate->loop)));
}

/* Returns why the registered upstream cannot run CALL.  */
enum gat_refusal
gat_check_upstream (const struct gat *gate, const Mesh__Call *call)
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
  enum gat_refusal refusal
      = gat_check_upstream (call->gate, call->frame->call);

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
  gat_plan_expiry (gate);
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
                           .service_time = gat_time_to_respond (call),
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
slot_wait (const struct gat_call *call, const struct que_item *item)
{
  struct gat *gate = call->gate;
  uint32_t slots = gate->registration->upstream.slots;
  clk_time slot = gate->slot > 0 ? gate->slot : item->service_time;

  if (slots == 0)
    return 0;
  if (gate->running + que_count_runnable (&gate->queue) < slots)
    return que_estimate_link_wait (&gate->queue, item, evl_now (gate->loop));
  gate->queue.dequeue_interval = slot / slots;
  return que_estimate_wait (&gate->queue, item, evl_now (gate->loop));
}

clk_time
gat_expect_wait (const struct gat_call *call)
{
  struct que_item item = make_item ((struct gat_call *)call);

  return slot_wait (call, &item) + gat_link_wait (call);
}

clk_time
gat_expect_next_wait (const struct gat_call *call)
{
  struct que_item item = make_item ((struct gat_call *)call);
  clk_time age = evl_now (call->gate->loop) - call->arrival;

  item.target_time += age;
  item.deadline += age;
  return slot_wait (call, &item) + gat_link_wait (call);
}

/* The link has sent enough of the long responses.  */
void
gat_resume_link (void *context)
{
  gat_next (context);
}

void
gat_expire_waiting (void *context)
{
  struct gat *gate = context;
  struct gat_call *call;

  while ((call = que_expire (&gate->queue, evl_now (gate->loop))) != NULL)
    {
      call->state = GAT_RECEIVING;
      gat_refuse (call, call->is_shortened ? GAT_DRAINING : GAT_EXPIRED);
    }
  gat_plan_expiry (gate);
}

/* Returns whether a call that would wait for WAIT is expected to end by its
   deadline.  The mean time in a slot may be that of other callers' long calls,
   and would not change if it kept all calls of short deadlines out of an idle
   upstream.  */
static bool
ends_in_time (struct gat_call *call, clk_time wait)
{
  clk_time now = evl_now (call->gate->loop);

  if (now + wait + gat_service_of (call) <= call->deadline)
    return true;
  if (wait > 0 || !has_free_slot (call->gate)
      || now + assume_service (call) > call->deadline)
    return false;
  if (!call->is_sample)
    call->is_sample = gat_take_sample (gat_kind_of (call), now);
  return call->is_sample;
}

/* Returns why a call that would wait for WAIT is not admitted.  */
static enum gat_refusal
check_admission (struct gat_call *call, clk_time wait)
{
  const struct gat *gate = call->gate;
  const Mesh__Call *message = call->frame->call;
  enum gat_refusal refusal
      = gate->stopping ? GAT_DRAINING : gat_check_upstream (gate, message);

  if (refusal != GAT_NOT_REFUSED)
    return refusal;
  /* Half of the room is kept for the calls that run.  */
  if (!gat_has_room (call))
    return GAT_BUSY;
  if (would_be_cut (call, wait))
    return GAT_DRAINING;
  if (wait > message->max_wait_us * CLK_MICROSECOND
      || !ends_in_time (call, wait))
    return GAT_BUSY;
  return GAT_NOT_REFUSED;
}

/* Runs, queues or refuses a call whose body is complete.  */
void
gat_admit (struct gat_call *call)
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
void
gat_end_awaiting (void *context)
{
  struct gat_call *call = context;

  gat_refuse (call, call->is_shortened ? GAT_DRAINING : GAT_EXPIRED);
}

/* Asks for the long body of a call, unless it would be refused.  */
void
gat_request_body (struct gat_call *call)
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
