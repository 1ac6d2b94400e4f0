/* Grants of the last 5 s.

   Let F be the credit filled in and A the credit granted, less what was
   returned, both since any beginning.  A grant at the time i leaves
   D(i) + F - F(i) - (A - A(i)) to the span that begins with it, and the
   credit is the least of these.  Each slot keeps the least D(i) - F(i) + A(i)
   of its calls; F - A is one number for all of them.  Both are counted from
   the start of the current slot, so that they stay small and fit a float.

   Calls that grant nothing count as well.  With a constant depth they never
   give the least, and a depth that was lower for a while stays in force for
   the spans that begin then.  */

#include "quo/quo_history.h"

#include "base/mem.h"

#include <math.h>
#include <stdlib.h>

/* A call at the end of a slot has to be remembered for the whole span, so one
   slot more than the span has is kept.  */
#define SLOT_COUNT (QUO_HISTORY_SPAN / QUO_HISTORY_SLOT + 1)

struct quo_history
{
  double net; /* F - A, from the start of the current slot */
  clk_time filled_at;
  float least[SLOT_COUNT]; /* by the number of the slot; infinite: no call */
};

_Static_assert(sizeof (struct quo_history) <= 440,
               "quo_history.h states the size");

static clk_time
slot_of (clk_time time)
{
  return time / QUO_HISTORY_SLOT;
}

struct quo_history *
quo_history_create (double start, clk_time now)
{
  struct quo_history *history = mem_alloc (1, sizeof *history);

  history->filled_at = now;
  for (clk_time i = 0; i < SLOT_COUNT; i++)
    history->least[i] = INFINITY;
  history->least[slot_of (now) % SLOT_COUNT] = (float)start;
  return history;
}

void
quo_history_destroy (struct quo_history *history)
{
  free (history);
}

/* Makes the slot of NOW the current one and forgets those whose place it and
   the slots before it take.  */
static void
advance (struct quo_history *history, clk_time now)
{
  clk_time before = slot_of (history->filled_at);
  clk_time slot = slot_of (now);

  if (slot == before)
    return;
  for (clk_time i = 0; i < SLOT_COUNT; i++)
    history->least[i] = (float)(history->least[i] + history->net);
  history->net = 0;
  if (before < slot - SLOT_COUNT)
    before = slot - SLOT_COUNT;
  while (before < slot)
    history->least[++before % SLOT_COUNT] = INFINITY;
}

void
quo_history_fill (struct quo_history *history, double rate, double returned,
                  double depth, clk_time now)
{
  double elapsed = (double)(now - history->filled_at) / (double)CLK_SECOND;
  float *current = &history->least[slot_of (now) % SLOT_COUNT];

  history->net += rate * elapsed + returned;
  advance (history, now);
  history->filled_at = now;
  if (*current > depth - history->net)
    *current = (float)(depth - history->net);
}

double
quo_history_credit (const struct quo_history *history)
{
  float least = INFINITY;

  for (clk_time i = 0; i < SLOT_COUNT; i++)
    if (history->least[i] < least)
      least = history->least[i];
  return least + history->net;
}

void
quo_history_grant (struct quo_history *history, double count)
{
  history->net -= count;
}

/* Returns when the fill has raised CREDIT to COUNT, LATEST when that is
   later.  */
static clk_time
find_fill_time (const struct quo_history *history, double credit, double count,
                double rate, clk_time latest)
{
  double missing = (count - credit) * (double)CLK_SECOND;

  if (missing <= 0)
    return history->filled_at;
  if (missing >= rate * (double)(latest - history->filled_at))
    return latest;
  return history->filled_at + (clk_time)(missing / rate);
}

clk_time
quo_history_find_time (const struct quo_history *history, double count,
                       double rate, clk_time latest)
{
  clk_time slot = slot_of (history->filled_at);
  clk_time earliest = latest;
  float least = INFINITY;

  /* From the newest slot to the oldest: at a time at which all older ones are
     forgotten, the fill has to make up for the least of the slots so far.  */
  for (clk_time i = slot + SLOT_COUNT; i > slot; i--)
    {
      clk_time forgotten_at = (i - 1) * QUO_HISTORY_SLOT;
      clk_time at;

      if (history->least[i % SLOT_COUNT] < least)
        least = history->least[i % SLOT_COUNT];
      at = find_fill_time (history, least + history->net, count, rate, latest);
      if (at < forgotten_at)
        at = forgotten_at;
      if (at < earliest)
        earliest = at;
    }
  return earliest;
}

bool
quo_history_is_over (const struct quo_history *history, clk_time now)
{
  return slot_of (now) - slot_of (history->filled_at) >= SLOT_COUNT;
}
