/* Placement of a call on a node with an upstream of its service.  */

#include "base/mem.h"
#include "fwd/fwd_log.h"

#include <string.h>

/* Round trips assumed before one was measured.  */
static const clk_time assumed_round_trip[PLC_LOCALITY_COUNT]
    = { CLK_MILLISECOND, 4 * CLK_MILLISECOND, 20 * CLK_MILLISECOND };

/* Candidates for which memory is taken at first.  */
#define INITIAL_CANDIDATES 32

/* Gates that may send a call on because they are busy; the next one keeps it
   as long as it can still be served.  */
#define MAX_BUSY_REFUSALS 3

/* Shortest and longest time after which a refused caller is asked to come
   back.  */
#define SHORTEST_RETRY (50 * CLK_MILLISECOND)
#define LONGEST_RETRY (2 * CLK_SECOND)

/* Part of the time left after which a caller comes back that was refused when
   it was late; callers wait for a third of their time at most.  */
#define LATE_RETRY_PART 3

/* Interval at which a call at a silent node looks for room at another one.  */
#define ROOM_INTERVAL (100 * CLK_MILLISECOND)

void
fwd_exclude (struct fwd_call *call, dir_handle peer)
{
  if (call->tried_count < FWD_MAX_TRIED)
    call->tried[call->tried_count++] = peer;
}

static bool
is_excluded (const struct fwd_call *call, dir_handle peer)
{
  for (unsigned i = 0; i < call->tried_count; i++)
    if (call->tried[i] == peer)
      return true;
  return false;
}

static enum plc_locality
locality_of (const struct mbr_member *self, const struct mbr_member *member)
{
  if (strcmp (self->data_centre, member->data_centre) == 0)
    return PLC_SAME_DATA_CENTRE;
  return strcmp (self->region, member->region) == 0 ? PLC_SAME_REGION
                                                    : PLC_OTHER_REGION;
}

/* Makes room for one more candidate.  */
static void
reserve_candidate (struct fwd_field *field)
{
  if (field->count < field->capacity)
    return;
  field->capacity
      = field->capacity == 0 ? INITIAL_CANDIDATES : 2 * field->capacity;
  field->candidates = mem_resize (field->candidates, field->capacity,
                                  sizeof *field->candidates);
  field->peers
      = mem_resize (field->peers, field->capacity, sizeof *field->peers);
}

static void
add_candidate (const struct fwd_call *call, const struct mbr_member *self,
               dir_handle peer, const struct mbr_member *member,
               struct fwd_field *field)
{
  const struct fwd *forwarder = call->forwarder;
  struct plc_candidate *candidate;

  reserve_candidate (field);
  candidate = &field->candidates[field->count];
  field->peers[field->count++] = peer;
  candidate->load = fwd_call_load (call, peer, member->slots);
  candidate->locality = (uint8_t)locality_of (self, member);
  candidate->usable = !is_excluded (call, peer)
                      && hub_is_responsive (forwarder->parts.hub, peer)
                      && !member->upstream_leaving
                      && member->state == MBR_ALIVE;
  candidate->round_trip = hub_round_trip_time (forwarder->parts.hub, peer);
  if (candidate->round_trip == 0 && peer != forwarder->parts.self)
    candidate->round_trip = assumed_round_trip[candidate->locality];
}

/* Collects the nodes with an upstream of the call's service.  The result is
   valid until the next call of this function.  */
static const struct fwd_field *
collect (const struct fwd_call *call)
{
  const struct fwd_options *parts = &call->forwarder->parts;
  struct fwd_field *field = &call->forwarder->field;
  const struct mbr_member *self = dir_get (parts->directory, parts->self);
  dir_handle end = dir_handle_limit (parts->directory);

  field->count = 0;
  for (dir_handle i = 0; i < end; i++)
    {
      const struct mbr_member *member = dir_get (parts->directory, i);

      if (member != NULL && strcmp (member->service, call->service) == 0
          && fwd_allows (call, i))
        add_candidate (call, self, i, member, field);
    }
  return field;
}

static unsigned
count_usable (const struct fwd_field *field)
{
  unsigned count = 0;

  for (size_t i = 0; i < field->count; i++)
    if (field->candidates[i].usable && field->candidates[i].load.slots > 0)
      count++;
  return count;
}

/* Answers that the call was not run; RETRY is the time after which room is
   expected.  */
static void
refuse (struct fwd_call *call, clk_time retry)
{
  if (retry < SHORTEST_RETRY)
    retry = SHORTEST_RETRY;
  fwd_fail (call, 503,
            call->is_over_share ? "not run: the tenant is over its share"
                                : "not run: no upstream has room",
            retry < LONGEST_RETRY ? retry : LONGEST_RETRY);
}

/* Returns the shortest wait that is expected at a usable node.  */
static clk_time
shortest_wait (const struct fwd_field *field, clk_time now)
{
  clk_time shortest = LONGEST_RETRY;

  for (size_t i = 0; i < field->count; i++)
    if (field->candidates[i].usable)
      {
        clk_time wait = plc_estimate_wait (&field->candidates[i].load, now);

        shortest = wait < shortest ? wait : shortest;
      }
  return shortest;
}

/* Gives up a call that is not sent to another upstream, unless an attempt is
   under way, whose answer may still come; a repeat that was taken is sent when
   there is room.  RETRY is the time after which its
   caller may come back if it has not run.  */
static void
give_up (struct fwd_call *call, clk_time retry)
{
  if (fwd_is_under_way (call))
    {
      if (call->has_repeat && call->tries[FWD_CURRENT].number == 0)
        evl_timer_set (&call->repeat_timer,
                       evl_now (call->forwarder->parts.loop) + ROOM_INTERVAL);
      return;
    }
  if (call->may_have_run)
    fwd_fail (call, 502, "the upstream's answer was lost", 0);
  else
    refuse (call, retry);
}

/* Chooses among the nodes that collect finds.  */
static struct plc_choice
choose (const struct fwd_call *call, const struct plc_call *wanted)
{
  struct fwd *forwarder = call->forwarder;
  const struct fwd_field *field = collect (call);

  return plc_choose_candidate (field->candidates, field->count, wanted,
                               evl_now (forwarder->parts.loop),
                               &forwarder->random);
}

/* No node has room as far as is known.  When that follows from reports on the
   call's tenant alone, marks the call or, to notice a change, returns a choice
   without the reports.  */
static struct plc_choice
choose_sample (struct fwd_call *call, const struct plc_call *wanted)
{
  struct plc_choice none = { PLC_NONE, 0 };
  dir_handle reporter = fwd_find_reporter (call, &call->forwarder->field);
  struct plc_choice choice;

  if (reporter == DIR_NONE)
    return none;
  call->ignores_reports = true;
  choice = choose (call, wanted);
  if (choice.index == PLC_NONE || fwd_is_sample (call))
    return choice;
  call->ignores_reports = false;
  call->is_over_share = true;
  fwd_log_over_share (call, reporter);
  return none;
}

void
fwd_place (struct fwd_call *call)
{
  struct fwd *forwarder = call->forwarder;
  const struct fwd_field *field = &forwarder->field;
  clk_time now = evl_now (forwarder->parts.loop);
  struct plc_call wanted
      = { .target_latency
          = call->route->target_latency_ms > 0
                ? call->route->target_latency_ms * CLK_MILLISECOND
                : call->route->deadline_ms * CLK_MILLISECOND,
          .time_to_target = call->target - now,
          .time_to_deadline = call->deadline - now,
          .is_bulk = call->route->is_bulk,
          .accept_any_wait = call->busy_refusals >= MAX_BUSY_REFUSALS };

  call->ignores_reports = false;
  call->is_over_share = false;
  fwd_choose_side (call);
  for (;;)
    {
      struct plc_choice choice = choose (call, &wanted);
      clk_time retry;
      dir_handle peer;

      if (choice.index == PLC_NONE && fwd_change_side (call))
        continue;
      call->usable = count_usable (field);
      retry = shortest_wait (field, now);
      if (choice.index == PLC_NONE)
        choice = choose_sample (call, &wanted);
      if (choice.index == PLC_NONE || call->tried_count == FWD_MAX_TRIED)
        {
          give_up (call, retry);
          return;
        }
      peer = field->peers[choice.index];
      if (fwd_send (call, peer, fwd_limit_wait (call, choice.max_wait)))
        return;
      fwd_exclude (call, peer);
    }
}

/* Returns the longest number of upstreams that the call may be sent to.  */
static unsigned
max_runs (const struct fwd_call *call)
{
  return call->route->max_attempts > 0 ? call->route->max_attempts : 2;
}

/* Takes one repeat from the service's budget.  */
static bool
take_repeat (struct fwd_call *call)
{
  struct fwd *forwarder = call->forwarder;

  forwarder->parts.budget.node_count
      = dir_alive_count (forwarder->parts.directory);
  return bud_take_retry (forwarder->budget, call->service,
                         &forwarder->parts.budget,
                         evl_now (forwarder->parts.loop));
}

/* Returns whether the call may be sent to another node beside its current
   attempt.  */
static bool
may_run_beside (struct fwd_call *call)
{
  return call->route->call_class == DOC_IDEMPOTENT
         && fwd_find_free_try (call) != NULL
         && call->runs + 1 < max_runs (call);
}

/* Returns whether another node can take the call.  */
static bool
has_other_node (const struct fwd_call *call)
{
  const struct fwd_field *field = collect (call);

  for (size_t i = 0; i < field->count; i++)
    if (field->candidates[i].usable
        && field->peers[i] != call->tries[FWD_CURRENT].peer)
      return true;
  return false;
}

/* Sends the call, whose current attempt is at a silent node, to another node
   too.  Looks for one later when there is none now.  */
static void
repeat_beside (struct fwd_call *call)
{
  dir_handle peer = call->tries[FWD_CURRENT].peer;

  if (!may_run_beside (call))
    return;
  if (!has_other_node (call) || !take_repeat (call))
    {
      evl_timer_set (&call->repeat_timer,
                     evl_now (call->forwarder->parts.loop) + ROOM_INTERVAL);
      return;
    }
  call->has_repeat = true;
  fwd_log_silent (call, peer);
  fwd_exclude (call, peer);
  call->tried_before_repeat = call->tried_count;
  fwd_keep_silent_try (call);
  call->runs++;
  fwd_log_repeated (call);
  fwd_place (call);
}

/* Sends the call again, whose attempts have ended or are at silent nodes, if
   its kind, its route and the budget allow it; else gives it up.  */
static void
repeat (struct fwd_call *call)
{
  clk_time now = evl_now (call->forwarder->parts.loop);

  if (call->may_have_run && call->route->call_class != DOC_IDEMPOTENT)
    fwd_log_denied (call, FWD_KIND);
  else if (call->runs >= max_runs (call))
    fwd_log_denied (call, FWD_ATTEMPTS);
  else if (!call->has_repeat && !take_repeat (call))
    fwd_log_denied (call, FWD_BUDGET);
  else
    {
      if (!call->has_repeat)
        call->tried_before_repeat = call->tried_count;
      call->has_repeat = true;
      fwd_log_repeated (call);
      fwd_place (call);
      return;
    }
  give_up (call, shortest_wait (collect (call), now));
}

/* Places a call again whose repeat has found no room; the nodes that have
   refused it may have room now.  */
static void
place_again (struct fwd_call *call)
{
  call->tried_count = call->tried_before_repeat;
  call->busy_refusals = 0;
  fwd_place (call);
}

void
fwd_repeat_if_needed (struct fwd_call *call)
{
  if (fwd_may_succeed (call))
    return;
  if (call->tries[FWD_CURRENT].number != 0)
    repeat_beside (call);
  else if (call->has_repeat)
    place_again (call);
  else
    repeat (call);
}

void
fwd_handle_repeat_timer (void *context)
{
  struct fwd_call *call = context;

  if (fwd_is_under_way (call) && !fwd_pass_last_failure (call))
    fwd_repeat_if_needed (call);
}

void
fwd_take_refusal (struct fwd_call *call, dir_handle peer,
                  enum gat_refusal refusal)
{
  bool busy = refusal == GAT_BUSY;

  fwd_log_refusal (call, peer, refusal);
  if (!busy || call->busy_refusals > MAX_BUSY_REFUSALS)
    fwd_exclude (call, peer);
  if (busy)
    call->busy_refusals++;
  if (refusal == GAT_SHED)
    {
      call->runs++;
      call->has_repeat = false;
      fwd_repeat_if_needed (call);
    }
  else if (refusal == GAT_EXPIRED)
    {
      /* Late calls get no slots now, and its caller can come back once: as
         late as leaves time for the call.  */
      call->has_repeat = false;
      give_up (call, (call->deadline - evl_now (call->forwarder->parts.loop))
                         / LATE_RETRY_PART);
    }
  else
    fwd_place (call);
}
