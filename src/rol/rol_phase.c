/* Phases of a roll-out.  */

#include "rol/rol_phase.h"

#include <string.h>

/* Time before the deadline at which the verdict is taken, at least, and as
   part of the duration.  Short roll-outs are decided at half of their time. */
#define DECISION_TIME (4 * CLK_SECOND)
#define DECISION_PART 4
#define LONGEST_DECISION_PART 2

/* Time before the deadline from which a switch is completed when all nodes
   know of it; until then failures under the full load are awaited.  */
#define COMPLETION_TIME (1500 * CLK_MILLISECOND)

/* Time before the deadline at which a switch is completed although some nodes
   have not reported.  */
#define FORCED_TIME (500 * CLK_MILLISECOND)

/* The same as times after the switch, for one that began late.  */
#define SHORTEST_SWITCH CLK_SECOND
#define SHORTEST_FORCED (500 * CLK_MILLISECOND)
#define LATE_FORCED (2 * CLK_SECOND)

/* Deadlines in messages are rounded and age on their way; smaller differences
   do not count, or two nodes would move them again and again.  */
#define DEADLINE_TOLERANCE (50 * CLK_MILLISECOND)

static void
set_phase (struct rol_run *run, enum rol_phase phase, clk_time now)
{
  if (phase == ROL_SWITCHING && run->phase < ROL_SWITCHING)
    run->switched_at = now;
  run->phase = phase;
  run->phase_at = now;
}

static bool
is_final_phase (enum rol_phase phase)
{
  return phase == ROL_COMPLETED || phase == ROL_ROLLED_BACK;
}

bool
rol_is_final (const struct rol_run *run)
{
  return is_final_phase (run->order.stored);
}

bool
rol_take_stored (struct rol_run *run, uint64_t revision, enum rol_phase stored,
                 clk_time now)
{
  struct rol_order *order = &run->order;

  if (revision > order->revision)
    order->revision = revision;
  if (rol_is_final (run) || stored <= order->stored)
    return false;
  order->stored = stored;
  if (!is_final_phase (stored) || run->phase == stored)
    return false;
  set_phase (run, stored, now);
  return true;
}

/* Starts a roll-out.  A finished one keeps its phase without a deadline.  */
static void
begin (struct rol_run *run, const struct rol_order *order, clk_time now)
{
  uint64_t replaced = run->order.revision;

  memset (run, 0, sizeof *run);
  run->order = *order;
  run->replaced_revision = replaced;
  if (order->deadline == CLK_NEVER)
    run->order.deadline = now + order->duration;
  set_phase (run, is_final_phase (order->stored) ? order->stored : ROL_CANARY,
             now);
}

/* Notes that the store holds only STORED of the status, since it came back
   from a copy, so that the status is written again.  */
static void
take_lost_status (struct rol_run *run, enum rol_phase stored)
{
  run->was_final = run->was_final || rol_is_final (run);
  run->order.stored = stored;
}

/* Takes a message about the order that is known.  */
static void
renew (struct rol_run *run, const struct rol_order *order, clk_time now)
{
  struct rol_order *known = &run->order;
  clk_time deadline = order->deadline;

  if (sto_is_earlier_era (known->revision, order->revision))
    take_lost_status (run, order->stored);
  if (order->revision > known->revision && order->duration != known->duration)
    {
      known->duration = order->duration;
      known->deadline
          = deadline != CLK_NEVER ? deadline : now + order->duration;
    }
  else if (order->duration == known->duration
           && deadline < known->deadline - DEADLINE_TOLERANCE)
    known->deadline = deadline;
  rol_take_stored (run, order->revision, order->stored, now);
}

/* Returns whether the operator has ordered the same version again: the object
   was written since its final status, and has none any more.  The order may
   already have the status running when this node receives it.  A status that
   is missing because the store came back from a copy is no order.  */
static bool
is_ordered_again (const struct rol_run *run, const struct rol_order *order)
{
  return rol_is_final (run) && !is_final_phase (order->stored)
         && order->revision > run->order.revision
         && !sto_is_earlier_era (run->order.revision, order->revision);
}

bool
rol_is_earlier (const struct rol_run *run, const struct rol_order *order)
{
  if (run->phase == ROL_NONE)
    return false;
  /* Only a new order takes a final status away.  */
  return order->revision <= run->replaced_revision
         || (is_final_phase (order->stored) && !rol_is_final (run)
             && order->revision < run->order.revision);
}

bool
rol_take_order (struct rol_run *run, const struct rol_order *order,
                clk_time now)
{
  if (rol_is_earlier (run, order))
    return false;
  if (run->phase != ROL_NONE
      && strcmp (run->order.version, order->version) == 0
      && !is_ordered_again (run, order))
    {
      renew (run, order, now);
      return false;
    }
  if (run->phase != ROL_NONE && order->revision <= run->order.revision)
    return false;
  begin (run, order, now);
  return true;
}

bool
rol_take_phase (struct rol_run *run, enum rol_phase phase, clk_time now)
{
  if (phase <= run->phase || phase > ROL_ROLLED_BACK || rol_is_final (run)
      || run->was_final)
    return false;
  set_phase (run, phase, now);
  return true;
}

clk_time
rol_decision_time (const struct rol_order *order)
{
  clk_time left = order->duration / DECISION_PART;

  if (left < DECISION_TIME)
    left = DECISION_TIME;
  if (left > order->duration / LONGEST_DECISION_PART)
    left = order->duration / LONGEST_DECISION_PART;
  return order->deadline - left;
}

static clk_time
later_of (clk_time first, clk_time second)
{
  return first > second ? first : second;
}

/* Returns whether a switch may begin.  It makes the share of the new version
   grow, so it waits for the store; the part of the mesh that does not see most
   nodes leaves it to the other.  */
static bool
may_switch (const struct rol_run *run, const struct rol_view *view,
            clk_time now)
{
  return now >= rol_decision_time (&run->order) && view->has_upstreams
         && view->sees_most && view->is_settled && view->store_is_current;
}

static bool
may_complete (const struct rol_run *run, const struct rol_view *view,
              clk_time now)
{
  clk_time deadline = run->order.deadline;
  clk_time earliest = later_of (deadline - COMPLETION_TIME,
                                run->switched_at + SHORTEST_SWITCH);
  clk_time forced = deadline - FORCED_TIME;

  if (forced < run->switched_at + SHORTEST_FORCED)
    forced = run->switched_at + LATE_FORCED;
  if (!view->sees_most || !view->is_settled)
    return false;
  return now >= forced
         || (now >= earliest && view->all_know && view->old_is_idle);
}

bool
rol_decide (struct rol_run *run, const struct rol_view *view, clk_time now)
{
  bool lacks_upstreams = !view->has_upstreams && view->is_settled
                         && (run->phase == ROL_SWITCHING
                             || now >= run->order.deadline - FORCED_TIME);

  if (run->phase == ROL_NONE || run->phase == ROL_ROLLED_BACK
      || rol_is_final (run) || run->was_final)
    return false;
  if (view->verdict == ROL_BAD
      || (lacks_upstreams && run->phase != ROL_COMPLETED))
    set_phase (run, ROL_ROLLED_BACK, now);
  else if (run->phase == ROL_CANARY && may_switch (run, view, now))
    set_phase (run, ROL_SWITCHING, now);
  else if (run->phase == ROL_SWITCHING && may_complete (run, view, now))
    set_phase (run, ROL_COMPLETED, now);
  else
    return false;
  return true;
}

enum rol_phase
rol_state_to_write (const struct rol_run *run)
{
  enum rol_phase state = is_final_phase (run->phase) ? run->phase : ROL_CANARY;

  if (run->phase == ROL_NONE || rol_is_final (run)
      || run->order.stored == state)
    return ROL_NONE;
  return state;
}
