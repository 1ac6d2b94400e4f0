/* Placement of calls.  */

#include "plc/plc.h"

/* An answer is expected to be on time when this many mean times in a slot and
   this many expected waits fit into what is left.  */
#define SERVICE_MARGIN 1.5
#define WAIT_MARGIN 1.5

clk_time
plc_expect_wait (const struct plc_candidate *candidate)
{
  uint32_t ahead;

  if (candidate->slots == 0)
    return CLK_NEVER / 4;
  if (candidate->in_system < candidate->slots)
    return 0;
  ahead = candidate->in_system - candidate->slots + 1;
  return candidate->service * (clk_time)ahead / candidate->slots;
}

/* Returns the expected time to the answer.  A server that fails calls costs
   the time of trying again.  */
static clk_time
expect_end (const struct plc_candidate *candidate)
{
  clk_time end = candidate->round_trip + plc_expect_wait (candidate)
                 + candidate->service;

  return end + (clk_time)((double)end * candidate->failed * 4);
}

static bool
can_be_on_time (const struct plc_candidate *candidate, clk_time target_left)
{
  double needed = (double)candidate->round_trip
                  + WAIT_MARGIN * (double)plc_expect_wait (candidate)
                  + SERVICE_MARGIN * (double)candidate->service;

  return candidate->failed < 0.25 && needed <= (double)target_left;
}

/* What a search accepts.  */
struct query
{
  int locality; /* PLC_LOCALITIES: any, and late answers too */
  clk_time left;
};

static bool
is_eligible (const struct plc_candidate *candidate, const struct query *query)
{
  if (!candidate->usable || candidate->slots == 0)
    return false;
  if (query->locality != PLC_LOCALITIES)
    return candidate->locality == query->locality
           && can_be_on_time (candidate, query->left);
  return candidate->round_trip + plc_expect_wait (candidate)
             + candidate->service
         <= query->left;
}

/* Returns the eligible candidate that ends first.  Equal ones are chosen at
   random, so that nodes do not all choose the same.  */
static size_t
find_first (const struct plc_candidate *candidates, size_t count,
            const struct query *query, struct rnd *random)
{
  size_t best = PLC_NONE;
  uint32_t equal = 1;

  for (size_t i = 0; i < count; i++)
    {
      clk_time end;

      if (!is_eligible (&candidates[i], query))
        continue;
      end = expect_end (&candidates[i]);
      if (best == PLC_NONE || end < expect_end (&candidates[best]))
        {
          best = i;
          equal = 1;
        }
      else if (end == expect_end (&candidates[best])
               && rnd_below (random, ++equal) == 0)
        best = i;
    }
  return best;
}

/* Returns the wait after which the call would be expected to miss LEFT.  */
static clk_time
wait_within (const struct plc_candidate *candidate, clk_time left)
{
  clk_time wait = left - candidate->round_trip - candidate->service;

  return wait > 0 ? wait : 0;
}

struct plc_choice
plc_choose (const struct plc_candidate *candidates, size_t count,
            clk_time target_left, clk_time deadline_left, struct rnd *random)
{
  struct plc_choice choice = { PLC_NONE, 0 };
  struct query query = { 0, target_left };

  while (choice.index == PLC_NONE && query.locality <= PLC_LOCALITIES)
    {
      query.left
          = query.locality == PLC_LOCALITIES ? deadline_left : target_left;
      choice.index = find_first (candidates, count, &query, random);
      query.locality++;
    }
  if (choice.index != PLC_NONE)
    choice.max_wait = wait_within (&candidates[choice.index], query.left);
  return choice;
}
