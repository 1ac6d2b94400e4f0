/* The gate and its upstream.  */

#include "gat/gat_internal.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

/* How long the upstream keeps an idle connection as long as it has not said;
   most servers keep one for longer.  */
#define DEFAULT_KEEP_TIME (4 * CLK_SECOND)

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
  evl_timer_init (&gate->expiry, loop, gat_expire_waiting, gate);
  evl_timer_init (&gate->link_timer, loop, gat_resume_link, gate);
  return gate;
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
      gat_free_call (call);
    }
  gat_close_idle (gate);
  evl_timer_stop (&gate->expiry);
  evl_timer_stop (&gate->link_timer);
  free (gate);
}

/* Returns a waiting call that the registered upstream cannot run, null when
   there is none.  */
static struct gat_call *
find_unservable (const struct gat *gate)
{
  for (size_t i = 0; i < gate->queue.count; i++)
    {
      struct gat_call *call = gate->queue.items[i].call;

      if (gat_check_upstream (gate, call->frame->call) != GAT_NOT_REFUSED)
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
      gat_refuse (call, gat_check_upstream (gate, call->frame->call));
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
        gat_shorten_deadline (call);
        if (call->state == GAT_RECEIVING)
          evl_timer_set (&call->timer, call->deadline);
      }
  que_limit_deadlines (&gate->queue, latest);
  gat_plan_expiry (gate);
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

static uint32_t
count_us (clk_time time)
{
  time /= CLK_MICROSECOND;
  return time < UINT32_MAX ? (uint32_t)time : UINT32_MAX;
}

void
gat_load (const struct gat_call *call, bool over_share, Mesh__Load *load)
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
  if (over_share)
    load->over_share_wait_us
        = count_us (gat_expect_next_wait (call) + gat_receive_wait (call));
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
