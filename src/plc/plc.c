/* Placement of calls.  */

#include "plc/plc.h"

#include <math.h>

/* Costs are parts of a call's value.  */

/* Crossing data centres or regions: what the bytes of a usual call cost, and
   those of a call with long bodies.  Some hundreds of these fill the link
   between regions, so one crosses it only where none could be served.  */
static const double crossing_cost[PLC_LOCALITY_COUNT] = { 0., 0.08, 0.25 };
static const double bulk_crossing_cost[PLC_LOCALITY_COUNT] = { 0., 0.08, 3. };

/* An answer after the target latency, and none by the deadline.  */
#define LATE_COST 0.7
#define MISSED_COST 0.3

/* An answer that takes the whole target latency.  Between servers that would
   all be on time the quicker one is chosen, since a queue that grows makes
   later calls late.  */
#define TIME_COST 0.2

/* Expected times are wrong by this part on average: calls of one kind
   differ.  */
#define SPREAD 0.35
#define LEAST_SPREAD CLK_MILLISECOND

/* Slope that makes the logistic curve follow the normal distribution.  */
#define LOGISTIC_SLOPE 1.7

/* A full server costs this part of its time in a slot more than an empty one,
   since servers slow down when they are nearly full.  */
#define LOAD_COST 0.3

/* A server that fails every call: the call may be lost, or has to be sent
   again, which takes this many times its time.  */
#define FAILED_COST 0.5
#define FAILED_TIMES 6.

/* A reported wait counts half after this time.  */
#define WAIT_HALF_LIFE (300 * CLK_MILLISECOND)

/* Reported failures count half after this time: a server that fails
   calls gets few, and only calls show that it has recovered.  */
#define FAILED_HALF_LIFE (2 * CLK_SECOND)

/* A time in a slot that was reported longer ago may have changed.  */
#define MAX_REPORT_AGE CLK_SECOND

/* Costs that differ by less than this part of the time in a slot are equal;
   the random choice among such servers keeps nodes from all choosing the same
   one.  */
#define JITTER 0.15

/* A gate may be wrong by this much before a call is sent elsewhere.  */
#define WAIT_TOLERANCE (2 * CLK_MILLISECOND)

/* Steps of the search for the longest acceptable wait; each halves its
   error.  */
#define WAIT_STEPS 14

/* A choice that is being made.  */
struct search
{
  const struct plc_call *call;
  clk_time now;
  clk_time assumed; /* time in a slot of servers that have reported none */
  struct rnd *random;
};

/* Returns the remaining weight of a time that was reported AGE ago.  */
static clk_time
fade (clk_time time, clk_time age)
{
  for (; age >= WAIT_HALF_LIFE && time > 0; age -= WAIT_HALF_LIFE)
    time /= 2;
  return time;
}

clk_time
plc_estimate_wait (const struct plc_load *load, clk_time now)
{
  clk_time wait = fade (load->expected_wait, now - load->reported_at);
  uint32_t free
      = load->slots > load->running ? load->slots - load->running : 0;

  if (load->slots == 0)
    return CLK_NEVER / 4;
  /* Calls whose answers never came must not count for good.  */
  if (load->sent_since_report >= free)
    wait += fade (load->mean_slot_time
                      * (clk_time)(load->sent_since_report - free)
                      / load->slots,
                  now - load->last_sent_at);
  return wait;
}

/* Returns the expected time in a slot.  The mean of other kinds of calls says
   little of this one, and no call would be sent to learn better when it is
   longer than the deadline.  */
static clk_time
service_of (const struct plc_load *load, const struct search *search)
{
  if (load->service_time > 0)
    return load->service_time;
  return load->mean_slot_time > 0 && load->mean_slot_time < search->assumed
             ? load->mean_slot_time
             : search->assumed;
}

/* Returns what a call takes in a slot as far as its target shows.  */
static clk_time
usual_service (const struct plc_call *call)
{
  return (clk_time)(PLC_DEFAULT_SERVICE_TIME_FRACTION
                    * (double)call->target_latency);
}

/* Returns the mean of what is known: a server that has reported nothing is
   taken to be like the others, so that new ones get their share.  */
static clk_time
assume_service (const struct plc_candidate *candidates, size_t count,
                const struct plc_call *call)
{
  clk_time sum = 0;
  clk_time known = 0;

  for (size_t i = 0; i < count; i++)
    if (candidates[i].load.service_time > 0)
      {
        sum += candidates[i].load.service_time;
        known++;
      }
  return known > 0 ? sum / known : usual_service (call);
}

/* Returns how much longer than the call itself others would wait: a call that
   goes before those that wait makes one of them late or lost.  */
static clk_time
displaced_time (const struct plc_load *load, const struct search *search)
{
  clk_time backlog
      = fade (load->backlog_time, search->now - load->reported_at);
  clk_time wait = plc_estimate_wait (load, search->now);

  return backlog > wait ? backlog - wait : 0;
}

/* Returns the probability that an answer expected after END comes later than
   LIMIT.  */
static double
miss_probability (double end, double limit, double spread)
{
  return 1 / (1 + exp (LOGISTIC_SLOPE * (limit - end) / spread));
}

/* Returns the cost of a server where the call waits for WAIT.  */
static double
cost_at (const struct plc_candidate *candidate, const struct search *search,
         double wait)
{
  const struct plc_call *call = search->call;
  const struct plc_load *load = &candidate->load;
  double service = (double)service_of (load, search);
  double failed = load->failure_ratio
                  * exp2 (-(double)(search->now - load->failure_reported_at)
                          / (double)FAILED_HALF_LIFE);
  double busy
      = (double)(load->running + load->sent_since_report) / load->slots;
  double end = (double)candidate->round_trip + wait + service;
  double spread = SPREAD * (wait + service) + (double)LEAST_SPREAD;
  const double *crossing = call->is_bulk ? bulk_crossing_cost : crossing_cost;
  double time = end + (double)displaced_time (load, search)
                + LOAD_COST * service * (busy < 1 ? busy : 1)
                + FAILED_TIMES * failed * end;

  return LATE_COST
             * miss_probability (end, (double)call->time_to_target, spread)
         + MISSED_COST
               * miss_probability (end, (double)call->time_to_deadline, spread)
         + TIME_COST * time / (double)call->target_latency
         + FAILED_COST * failed + crossing[candidate->locality];
}

static double
cost_of (const struct plc_candidate *candidate, const struct search *search)
{
  double service = (double)service_of (&candidate->load, search);
  double jitter = JITTER * service * rnd_unit (search->random);

  return cost_at (candidate, search,
                  (double)plc_estimate_wait (&candidate->load, search->now))
         + TIME_COST * jitter / (double)search->call->target_latency;
}

/* Returns the longest wait, up to LATEST, at which the server costs no more
   than EXTRA beyond what it costs now.  */
static clk_time
longest_wait (const struct plc_candidate *candidate,
              const struct search *search, double extra, clk_time latest)
{
  double low = (double)plc_estimate_wait (&candidate->load, search->now);
  double high = (double)latest;
  double limit = cost_at (candidate, search, low) + extra;

  for (int i = 0; i < WAIT_STEPS && low < high; i++)
    {
      double middle = (low + high) / 2;

      if (cost_at (candidate, search, middle) <= limit)
        low = middle;
      else
        high = middle;
    }
  return (clk_time)low + WAIT_TOLERANCE;
}

/* Returns whether the call could be served.  An old report does
   not keep a call from being tried: only an answer brings a newer one.  */
static bool
is_eligible (const struct plc_candidate *candidate,
             const struct search *search)
{
  const struct plc_load *load = &candidate->load;
  clk_time service = service_of (load, search);
  clk_time usual = usual_service (search->call);

  if (search->now - load->reported_at > MAX_REPORT_AGE && service > usual)
    service = usual;
  return candidate->usable && load->slots > 0
         && candidate->round_trip + plc_estimate_wait (load, search->now)
                    + service
                <= search->call->time_to_deadline;
}

struct plc_choice
plc_choose_candidate (const struct plc_candidate *candidates, size_t count,
                      const struct plc_call *call, clk_time now,
                      struct rnd *random)
{
  struct search search
      = { call, now, assume_service (candidates, count, call), random };
  struct plc_choice choice = { PLC_NONE, 0 };
  double best = 0;
  double second = -1;
  clk_time latest;

  for (size_t i = 0; i < count; i++)
    {
      double cost;

      if (!is_eligible (&candidates[i], &search))
        continue;
      cost = cost_of (&candidates[i], &search);
      if (choice.index == PLC_NONE || cost < best)
        {
          second = choice.index == PLC_NONE ? -1 : best;
          best = cost;
          choice.index = i;
        }
      else if (second < 0 || cost < second)
        second = cost;
    }
  if (choice.index == PLC_NONE)
    return choice;
  latest = call->time_to_deadline - candidates[choice.index].round_trip
           - service_of (&candidates[choice.index].load, &search);
  choice.max_wait = latest;
  if (!call->accept_any_wait && second >= 0)
    choice.max_wait = longest_wait (&candidates[choice.index], &search,
                                    second - best, latest);
  if (choice.max_wait > latest)
    choice.max_wait = latest;
  return choice;
}
