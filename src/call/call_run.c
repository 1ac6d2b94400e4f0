/* Runs a call on the sending node: route, member, tries, outcome.  */

#include "call/call.h"

#include "bal/bal.h"
#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"
#include "call/call_stat.h"
#include "call/call_trace.h"
#include "call/call_try.h"
#include "rte/rte.h"
#include "rty/rty.h"
#include "view/view.h"
#include "wire/ctx.h"
#include "wire/frm.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#define KEY_HEADER "Idempotency-Key"
#define MAX_KEY 256

struct call_runner
{
  struct lnk_pool *pool;
  struct call_options options;
  uint64_t origin;
  atomic_uint_fast64_t next_number;
  struct bal *balancer;
  struct rty_budget budget;
  struct call_trace *trace;
  struct call_stat stat;
};

/* One call while it runs.  */
struct run
{
  struct call_runner *runner;
  const struct view *view;
  const struct view_service *service;
  Mesh__Call *call;
  Mesh__CallId id;
  clk_time begun;
  clk_time deadline;
  bool pinned;
  uint64_t tried[CALL_TRACE_TRIES];
  struct call_trace_call record;
};

struct call_runner *
call_create (struct lnk_pool *pool, uint64_t origin)
{
  struct call_runner *runner = mem_alloc (1, sizeof *runner);

  runner->pool = pool;
  runner->origin = origin;
  runner->balancer = bal_create (rnd_system_seed (), NULL);
  rty_budget_init (&runner->budget);
  runner->trace = call_trace_create ();
  call_stat_init (&runner->stat);
  return runner;
}

void
call_set_options (struct call_runner *runner,
                  const struct call_options *options)
{
  runner->options = *options;
}

void
call_destroy (struct call_runner *runner)
{
  if (runner == NULL)
    return;
  bal_destroy (runner->balancer);
  call_trace_destroy (runner->trace);
  free (runner);
}

void
call_print_id (const Mesh__CallId *id, char text[CALL_ID_SIZE])
{
  snprintf (text, CALL_ID_SIZE, "%016" PRIx64 "-%" PRIu64, id->origin,
            id->number);
}

json_t *
call_trace (struct call_runner *runner, const char *id)
{
  uint64_t origin;
  uint64_t number;
  int end = 0;

  if (strlen (id) >= CALL_ID_SIZE
      || sscanf (id, "%16" SCNx64 "-%" SCNu64 "%n", &origin, &number, &end)
             != 2
      || id[end] != '\0')
    return NULL;
  return call_trace_find (runner->trace, origin, number);
}

/* Chooses the member of the next try and counts the call there.  Sets LIST and
   COUNT to where the index points.  */
static uint32_t
choose_member (struct run *run, const struct bal_candidate **list,
               uint32_t *count, const struct mbr_member **member)
{
  const struct view_service *service = run->service;
  struct bal *balancer = run->runner->balancer;
  clk_time now = clk_now ();
  uint32_t index;

  *list = run->pinned ? service->owners : service->candidates;
  *count = run->pinned ? service->owner_count : service->candidate_count;
  if (run->pinned)
    {
      index = bal_owner (*list, *count, run->call->order_key);
      if (index == BAL_NONE || !(*list)[index].usable)
        return BAL_NONE;
      bal_start (balancer, (*list)[index].key, now);
      *member = &run->view->members[service->owner_members[index]];
      return index;
    }
  index = bal_choose (balancer, *list, *count, run->tried,
                      run->record.try_count, now);
  if (index != BAL_NONE)
    *member = &run->view->members[service->candidate_members[index]];
  return index;
}

static enum bal_result
judge (const Mesh__Answer *answer)
{
  if (answer->outcome == OUT_NOT_RUN)
    return answer->id != NULL ? BAL_REFUSED : BAL_FAILED;
  return answer->outcome == OUT_ANSWERED && answer->status < 500 ? BAL_SERVED
                                                                 : BAL_FAILED;
}

/* Returns whether the answer or its upstream says that retries are spent.  */
static bool
says_spent (const Mesh__Answer *answer)
{
  for (size_t i = 0; i < answer->n_headers; i++)
    if (strcasecmp (answer->headers[i]->name, "Mulberryshift-Retries") == 0
        && strcasecmp (answer->headers[i]->value, "spent") == 0)
      return true;
  return answer->retries_spent;
}

static struct rty_attempt
make_state (const struct run *run, const Mesh__Answer *answer, bool lost)
{
  return (struct rty_attempt){ .call_class = run->record.call_class,
                               .outcome = (enum out_outcome)answer->outcome,
                               .status = answer->status,
                               .link_lost = lost,
                               .retries_exhausted = says_spent (answer),
                               .pinned = run->pinned,
                               .retries_left = run->call->retries_left,
                               .time_left = run->deadline - clk_now () };
}

/* Sends the call to MEMBER and, if the link broke, asks what became of it.
 *ACTION is set to what follows.  */
static Mesh__Answer *
run_try (struct run *run, const struct mbr_member *member,
         enum rty_action *action)
{
  struct call_runner *runner = run->runner;
  struct call_trace_try *record = &run->record.tries[run->record.try_count++];
  clk_time begun = clk_now ();
  struct rty_attempt state;
  Mesh__Answer *answer;
  bool lost;

  record->number = run->id.number;
  snprintf (record->member, sizeof record->member, "%s", member->name);
  answer
      = call_try_send (runner->pool, member, run->call, run->deadline, &lost);
  state = make_state (run, answer, lost);
  state.gate_queried = runner->options.no_query;
  if (runner->options.resend_lost)
    state.call_class = DOC_IDEMPOTENT;
  *action = rty_decide (&state, &runner->budget);
  if (*action == RTY_QUERY_GATE)
    {
      mesh__answer__free_unpacked (answer, NULL);
      answer = call_try_query (runner->pool, member, &run->id, run->deadline,
                               &record->queries);
      state = make_state (run, answer, true);
      state.gate_queried = true;
      *action = rty_decide (&state, &runner->budget);
    }
  record->outcome = (enum out_outcome)answer->outcome;
  record->status = answer->status;
  record->begun = begun - run->begun;
  record->elapsed = clk_now () - begun;
  return answer;
}

/* Waits before the next try, which gets a call ID of its own: the gate of the
   last try may have been instructed not to run the old one.  */
static void
prepare_retry (struct run *run)
{
  struct rnd random;
  clk_time delay;

  rnd_init (&random, run->id.number ^ (uint64_t)run->begun);
  delay = rty_backoff_delay (run->record.try_count + 1, &random);
  if (delay > run->deadline - clk_now ())
    delay = 0;
  usleep ((useconds_t)(delay / CLK_MICROSECOND));
  run->call->retries_left--;
  run->id.number = atomic_fetch_add (&run->runner->next_number, 1) + 1;
}

static Mesh__Answer *
run_tries (struct run *run)
{
  Mesh__Answer *answer = NULL;
  enum rty_action action = RTY_RETURN;

  for (;;)
    {
      const struct bal_candidate *list;
      const struct mbr_member *member;
      clk_time begun;
      uint32_t count;
      uint32_t index = choose_member (run, &list, &count, &member);

      if (index == BAL_NONE && answer != NULL)
        {
          rty_budget_refund (&run->runner->budget);
          break;
        }
      if (index == BAL_NONE)
        return call_try_answer (
            OUT_NOT_RUN, 503,
            run->pinned ? "the owner of this order key is unavailable"
                        : "no upstream of this service is available");
      if (answer != NULL)
        {
          mesh__answer__free_unpacked (answer, NULL);
          prepare_retry (run);
        }
      begun = clk_now ();
      run->tried[run->record.try_count] = list[index].key;
      answer = run_try (run, member, &action);
      bal_finish (run->runner->balancer, list, count, index, judge (answer),
                  clk_now () - begun, clk_now ());
      if (action != RTY_RETRY_ELSEWHERE
          || run->record.try_count == CALL_TRACE_TRIES)
        break;
    }
  answer->retries_spent
      = action == RTY_RETURN_EXHAUSTED || action == RTY_RETRY_ELSEWHERE;
  if (answer->outcome == OUT_ANSWERED && answer->status < 500)
    rty_budget_refill (&run->runner->budget);
  return answer;
}

/* Fills in the parts of the call that the configuration and its context
   decide.  Returns null, or an answer that ends the call.  */
static Mesh__Answer *
prepare (struct run *run, const struct doc_route *route)
{
  const struct doc_service *service
      = &run->view->snapshot->document->services[route->service];
  const char *key
      = frm_find_header (run->call->headers, run->call->n_headers, KEY_HEADER);
  Mesh__Call *call = run->call;

  if (call->depth >= CTX_MAX_DEPTH)
    {
      Mesh__Answer *answer = call_try_answer (
          OUT_NOT_RUN, 503, "the chain of calls is deeper than 8");

      /* A retry by an earlier hop would end here again.  */
      answer->retries_spent = true;
      return answer;
    }
  if (key != NULL && (key[0] == '\0' || strlen (key) > MAX_KEY))
    return call_try_answer (OUT_NOT_RUN, 400,
                            "Idempotency-Key must have 1 to 256 characters");
  if (call->depth == 0 || call->retries_left > RTY_MAX_RETRIES)
    call->retries_left = RTY_MAX_RETRIES;
  call->depth++;
  if (call->remaining_us == 0
      || call->remaining_us > (uint64_t)route->deadline_ms * 1000)
    call->remaining_us = (uint64_t)route->deadline_ms * 1000;
  run->deadline = run->begun + (clk_time)call->remaining_us * CLK_MICROSECOND;
  call->id = &run->id;
  call->service = service->name;
  call->call_class = route->call_class;
  call->config_version = run->view->snapshot->stamp.version;
  if (key != NULL)
    call->order_key = (char *)key;
  call->order_keys = service->key_store;
  run->service = &run->view->services[route->service];
  run->pinned = key != NULL && service->key_store == DOC_KEY_STORE_MEMORY;
  run->record.call_class = route->call_class;
  run->record.depth = call->depth;
  snprintf (run->record.service, sizeof run->record.service, "%s",
            service->name);
  return NULL;
}

static Mesh__Answer *
run_in_view (struct run *run, const char *host)
{
  const struct doc_route *route;
  Mesh__Answer *answer;

  if (run->view == NULL || run->view->snapshot == NULL)
    return call_try_answer (OUT_NOT_RUN, 503,
                            "this node has no configuration yet");
  route = rte_match (run->view->snapshot, host, run->call->target,
                     run->call->method);
  if (route == NULL)
    return call_try_answer (OUT_NOT_RUN, 404, "no route matches this request");
  answer = prepare (run, route);
  return answer != NULL ? answer : run_tries (run);
}

/* Returns TENANT if the document names it; other names are not counted one by
   one, since callers could invent any number of them.  */
static const char *
known_tenant (const struct view *view, const char *tenant)
{
  if (tenant == NULL || tenant[0] == '\0')
    return NULL;
  for (size_t i = 0; view != NULL && view->snapshot != NULL
                     && i < view->snapshot->document->tenant_count;
       i++)
    if (strcmp (view->snapshot->document->tenants[i].name, tenant) == 0)
      return tenant;
  return "other";
}

static void
set_id (Mesh__Answer *answer, uint64_t origin, uint64_t number)
{
  if (answer->id == NULL)
    {
      answer->id = mem_alloc (1, sizeof *answer->id);
      mesh__call_id__init (answer->id);
    }
  answer->id->origin = origin;
  answer->id->number = number;
}

/* Logs a call that was not answered, under its ID.  */
static void
log_outcome (const struct run *run, const Mesh__Answer *answer)
{
  Mesh__CallId id = MESH__CALL_ID__INIT;
  char text[CALL_ID_SIZE];

  if (answer->outcome == OUT_ANSWERED)
    return;
  id.origin = run->record.origin;
  id.number = run->record.number;
  call_print_id (&id, text);
  log_set_call_id (text);
  log_write (answer->outcome == OUT_UNKNOWN ? LOG_WARNING : LOG_INFO, "call",
             "a call to service \"%s\" ended as %s after %u tries: %s",
             run->record.service, out_name ((enum out_outcome)answer->outcome),
             run->record.try_count, answer->reason);
  log_set_call_id (NULL);
}

Mesh__Answer *
call_run (struct call_runner *runner, const char *host, Mesh__Call *call)
{
  struct view *view = view_acquire ();
  struct run run
      = { .runner = runner, .view = view, .call = call, .begun = clk_now () };
  Mesh__Answer *answer;

  mesh__call_id__init (&run.id);
  run.id.origin = runner->origin;
  run.id.number = atomic_fetch_add (&runner->next_number, 1) + 1;
  run.record.origin = run.id.origin;
  run.record.number = run.id.number;
  run.record.wall_ms = clk_wall_ms ();
  if (call->parent != NULL)
    {
      run.record.parent_origin = call->parent->origin;
      run.record.parent_number = call->parent->number;
    }
  answer = run_in_view (&run, host);
  log_outcome (&run, answer);
  run.record.outcome = (enum out_outcome)answer->outcome;
  run.record.elapsed = clk_now () - run.begun;
  set_id (answer, run.record.origin, run.record.number);
  call_trace_add (runner->trace, &run.record);
  call_stat_count (&runner->stat, &run.record,
                   known_tenant (view, call->tenant));
  call->id = NULL;
  view_release (view);
  return answer;
}
