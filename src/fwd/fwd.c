/* Requests from callers, and their answers.  */

#include "fwd/fwd.h"

#include "base/log.h"
#include "base/mem.h"
#include "fwd/fwd_log.h"
#include "rte/rte.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A caller that names no time of its own waits this long.  */
#define DEFAULT_CALLER_TIMEOUT (60 * CLK_SECOND)

/* A process that has just started gets its configuration from another node
   within this time, unless the store is away or it is the first.  */
#define START_TIME CLK_SECOND

/* A request that comes before the configuration waits for it as long as the
   process has just started, but no longer than this part of its caller's time
   and this time: an answer after that would be late.  */
#define UNREADY_PART 6
#define UNREADY_WAIT (150 * CLK_MILLISECOND)

/* Callers that are refused for want of a configuration are asked to come back
   after this time.  */
#define UNREADY_RETRY (250 * CLK_MILLISECOND)

/* Callers that are refused for want of memory are asked to come back after
   this time, and up to twice as long, so that they do not all return at
   once.  */
#define MEMORY_RETRY (200 * CLK_MILLISECOND)

/* Callers that are refused during a shutdown may come back after this time, to
   another node or to the process that follows.  */
#define STOPPING_RETRY (250 * CLK_MILLISECOND)

struct fwd *
fwd_create (const struct fwd_options *parts)
{
  struct fwd *forwarder = mem_alloc (1, sizeof *forwarder);

  forwarder->parts = *parts;
  forwarder->budget = bud_create ();
  forwarder->reports = ovr_create ();
  forwarder->ages = age_create ();
  forwarder->next_number = 1;
  forwarder->latest = CLK_NEVER;
  forwarder->screen_at = CLK_NEVER;
  forwarder->started_by = evl_now (parts->loop) + START_TIME;
  rnd_init (&forwarder->random, rnd_system_seed ());
  return forwarder;
}

struct fwd_call *
fwd_call_at (const struct lst_entry *link)
{
  return link != NULL ? LST_ITEM (link, struct fwd_call, list) : NULL;
}

void
fwd_free_call (struct fwd_call *call)
{
  for (unsigned i = 0; i < FWD_MAX_TRIES; i++)
    fwd_drop_parts (call, &call->tries[i]);
  fwd_drop_parts (call, &call->failed);
  lst_remove (&call->forwarder->calls, &call->list);
  call->forwarder->call_count--;
  evl_timer_stop (&call->timer);
  evl_timer_stop (&call->repeat_timer);
  quo_cancel (call->quota);
  htp_message_close (&call->message);
  snp_release (call->snapshot);
  free (call);
}

void
fwd_destroy (struct fwd *forwarder)
{
  struct lst_entry *link;

  if (forwarder == NULL)
    return;
  while ((link = lst_pop_front (&forwarder->calls)) != NULL)
    fwd_free_call (fwd_call_at (link));
  snp_release (forwarder->snapshot);
  bud_destroy (forwarder->budget);
  ovr_destroy (forwarder->reports);
  age_destroy (forwarder->ages);
  free (forwarder->share_points);
  free (forwarder->field.candidates);
  free (forwarder->field.peers);
  free (forwarder->peers);
  free (forwarder);
}

/* Appends the status line and what every answer of this node has.  */
static struct buf *
start_answer (struct fwd_call *call, unsigned status)
{
  struct buf *output = srv_start_response (call->exchange, status);

  if (call->id != NULL)
    htp_put_header (output,
                    call->forwarder->parts.platform->headers[PTF_CALL_ID],
                    call->id);
  return output;
}

void
fwd_fail (struct fwd_call *call, unsigned status, const char *reason,
          clk_time retry_after)
{
  struct srv_exchange *exchange = call->exchange;
  struct buf *output = start_answer (call, status);
  char text[32];

  fwd_log_failed (call, status, reason, retry_after);
  if (status == 503)
    fwd_return_credit (call);
  if (call->tenant != NULL)
    age_note_refusal (call->forwarder->ages, call->kind,
                      evl_now (call->forwarder->parts.loop));
  fwd_cancel (call);
  htp_put_header (output, "Content-Type", "text/plain");
  if (retry_after > 0)
    {
      snprintf (text, sizeof text, "%.3f",
                (double)retry_after / (double)CLK_SECOND);
      htp_put_header (output, "Retry-After", text);
    }
  fwd_free_call (call);
  srv_finish_response (exchange, reason, strlen (reason));
}

/* Moves the body of ANSWER to the caller, without a copy of it.  */
void
fwd_answer (struct fwd_call *call, dir_handle peer, Mesh__Answer *answer)
{
  struct srv_exchange *exchange = call->exchange;
  struct buf *output = srv_start_response (exchange, answer->status);
  ProtobufCBinaryData body;

  fwd_log_answered (call, peer, answer->status);
  fwd_cancel (call);
  for (size_t i = 0; i < answer->n_headers; i++)
    htp_put_header (output, answer->headers[i]->name,
                    answer->headers[i]->value);
  body = answer->body;
  answer->body = (ProtobufCBinaryData){ 0 };
  fwd_free_call (call);
  srv_give_response (exchange, body.data, body.len);
}

/* The route's time, or the caller's, or the wait for a configuration is
   over.  */
static void
on_deadline (void *context)
{
  struct fwd_call *call = context;

  if (fwd_pass_failure (call))
    return;
  if (call->snapshot == NULL)
    fwd_fail (call, 503, "not run: no configuration yet", UNREADY_RETRY);
  else if (call->may_have_run || fwd_is_under_way (call))
    fwd_fail (call, 504, "no answer in time", 0);
  else
    fwd_fail (call, 503, "not run: no upstream in time", 0);
}

/* Returns the time that the caller waits, in ns.  */
static clk_time
read_caller_timeout (const struct fwd *forwarder,
                     const struct htp_message *message)
{
  const char *value = htp_find_header (
      message, forwarder->parts.platform->headers[PTF_REMAINING_MS]);
  double ms = value != NULL ? strtod (value, NULL) : 0;

  if (!(ms > 0) || ms > 1e9)
    return DEFAULT_CALLER_TIMEOUT;
  return (clk_time)(ms * (double)CLK_MILLISECOND);
}

static struct fwd_call *
start_call (struct fwd *forwarder, struct srv_exchange *exchange,
            struct htp_message *message)
{
  struct fwd_call *call = mem_alloc (1, sizeof *call);

  call->forwarder = forwarder;
  call->exchange = exchange;
  call->message = *message;
  *message = (struct htp_message){ 0 };
  call->id = htp_find_header (&call->message,
                              forwarder->parts.platform->headers[PTF_CALL_ID]);
  call->arrival = evl_now (forwarder->parts.loop);
  call->deadline
      = call->arrival + read_caller_timeout (forwarder, &call->message);
  call->target = call->deadline;
  lst_push_front (&forwarder->calls, &call->list);
  forwarder->call_count++;
  evl_timer_init (&call->timer, forwarder->parts.loop, on_deadline, call);
  evl_timer_init (&call->repeat_timer, forwarder->parts.loop,
                  fwd_handle_repeat_timer, call);
  srv_set_data (exchange, call);
  return call;
}

/* Sets the time since the caller's first attempt.  Requests without a tenant
   count as first attempts: upstreams make calls with any timeout.  */
static void
estimate_age (struct fwd_call *call)
{
  if (call->tenant != NULL)
    call->age
        = age_take_request (call->forwarder->ages, call->kind,
                            call->deadline - call->arrival, call->arrival);
}

/* Limits the call to the time that its route allows.  Returns false when it
   comes too late in a shutdown: it might be broken off.  */
static bool
apply_route (struct fwd_call *call)
{
  struct fwd *forwarder = call->forwarder;
  const struct doc_route *route = call->route;
  clk_time limit
      = call->arrival + (clk_time)route->deadline_ms * CLK_MILLISECOND;
  clk_time target;

  estimate_age (call);
  target = call->arrival - call->age
           + (clk_time)route->target_latency_ms * CLK_MILLISECOND;
  if (limit < call->deadline)
    call->deadline = limit;
  if (forwarder->latest < call->deadline
      && call->arrival >= forwarder->screen_at)
    return false;
  if (forwarder->latest < call->deadline)
    call->deadline = forwarder->latest;
  call->target = call->deadline;
  if (route->target_latency_ms > 0 && target < call->target)
    call->target = target;
  evl_timer_set (&call->timer, call->deadline);
  return true;
}

/* Finds the call's route in the configuration in effect and sends it.  */
static void
begin_call (struct fwd_call *call)
{
  struct fwd *forwarder = call->forwarder;

  call->snapshot = snp_retain (forwarder->snapshot);
  if (!fwd_find_route (call))
    {
      fwd_fail (call, 404, "no route", 0);
      return;
    }
  if (!fwd_find_tenant (call))
    {
      fwd_fail (call, 401, "the key is missing or unknown", 0);
      return;
    }
  if (acc_is_short (forwarder->parts.account))
    {
      fwd_log_short (call, &call->tries[FWD_CURRENT]);
      fwd_fail (call, 503, "not run: no memory for its answer",
                MEMORY_RETRY
                    + (clk_time)(rnd_unit (&forwarder->random)
                                 * (double)MEMORY_RETRY));
      return;
    }
  if (!apply_route (call))
    {
      fwd_fail (call, 503, "not run: the node is stopping", STOPPING_RETRY);
      return;
    }
  fwd_take_credit (call);
}

/* Keeps a call until there is a configuration, if one is about to come.  */
static void
await_configuration (struct fwd_call *call)
{
  clk_time wait = (call->deadline - call->arrival) / UNREADY_PART;
  clk_time end = call->arrival + (wait < UNREADY_WAIT ? wait : UNREADY_WAIT);

  if (call->arrival >= call->forwarder->started_by)
    on_deadline (call);
  else
    evl_timer_set (&call->timer, end);
}

static void
on_request (void *context, struct srv_exchange *exchange,
            struct htp_message *message)
{
  struct fwd *forwarder = context;
  struct fwd_call *call = start_call (forwarder, exchange, message);

  if (forwarder->snapshot == NULL)
    await_configuration (call);
  else
    begin_call (call);
}

static void
on_gone (void *context, struct srv_exchange *exchange)
{
  struct fwd_call *call = srv_data (exchange);

  (void)context;
  if (call == NULL)
    return;
  fwd_log_gone (call);
  fwd_cancel (call);
  fwd_free_call (call);
}

/* A request without a route is only refused.  Whether a request has a key does
   not matter: one without is refused too.  */
static bool
may_overlap (void *context, const struct htp_message *message)
{
  const struct fwd *forwarder = context;
  const char *host = htp_find_header (message, "Host");
  const struct doc_route *route;

  if (forwarder->snapshot == NULL)
    return false;
  route = rte_match (forwarder->snapshot, host != NULL ? host : "",
                     htp_target (message), htp_method (message));
  return route == NULL || route->call_class == DOC_IDEMPOTENT;
}

const struct srv_handlers fwd_handlers = { on_request, on_gone, may_overlap };

/* Begins the calls that came before the first configuration.  A call that
   ends at once leaves the list, so the next one is looked up before.  */
static void
begin_waiting (struct fwd *forwarder)
{
  struct fwd_call *call = fwd_call_at (forwarder->calls.first);

  while (call != NULL)
    {
      struct fwd_call *next = fwd_call_at (call->list.next);

      if (call->snapshot == NULL)
        begin_call (call);
      call = next;
    }
}

void
fwd_set_snapshot (struct fwd *forwarder, struct snp_snapshot *snapshot)
{
  size_t count = snapshot->document->route_count;

  snp_release (forwarder->snapshot);
  forwarder->snapshot = snp_retain (snapshot);
  free (forwarder->share_points);
  forwarder->share_points = mem_alloc (count, sizeof (double));
  for (size_t i = 0; i < count; i++)
    if (snapshot->document->routes[i].weighted_service_count > 0)
      forwarder->share_points[i] = rnd_unit (&forwarder->random);
  begin_waiting (forwarder);
}

void
fwd_set_drain_deadline (struct fwd *forwarder, clk_time deadline,
                        clk_time screen_at)
{
  forwarder->latest = deadline;
  forwarder->screen_at = screen_at;
}

void
fwd_fail_all (struct fwd *forwarder)
{
  struct lst_entry *link;

  while ((link = lst_pop_front (&forwarder->calls)) != NULL)
    on_deadline (fwd_call_at (link));
}

size_t
fwd_in_progress (const struct fwd *forwarder)
{
  return forwarder->call_count;
}
