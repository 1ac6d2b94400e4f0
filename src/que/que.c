/* Calls that wait at a gate.  */

#include "que/que.h"

#include <string.h>

/* A call can be on time while this many times its expected time is left: with
   less, every second call that waited until then would be late.  */
#define SAFE_TIMES 1.25

/* Weight of the newest call in the part that late calls do not get, and the
   largest such part that is reckoned with.  */
#define DENIED_WEIGHT 16.
#define MOST_DENIED 0.98

/* Returns the last moment at which a call can start and be on time.  */
static clk_time
last_start (const struct que_item *item)
{
  return item->target_time
         - (clk_time)(SAFE_TIMES * (double)item->service_time);
}

bool
que_can_be_on_time (const struct que_item *item, clk_time now)
{
  return now <= last_start (item);
}

static size_t
count_late (const struct que *queue, clk_time now)
{
  size_t count = 0;

  for (size_t i = 0; i < queue->count; i++)
    if (!que_can_be_on_time (&queue->items[i], now))
      count++;
  return count;
}

/* Returns the wait of a call that would wait for WAIT if its like did not miss
   this part of the slots.  */
static clk_time
stretch (clk_time wait, double skip_ratio)
{
  double denied = skip_ratio < MOST_DENIED ? skip_ratio : MOST_DENIED;

  return (clk_time)((double)wait / (1 - denied));
}

/* Returns the expected wait of the last late call.  */
static clk_time
late_wait (const struct que *queue, clk_time now)
{
  return stretch (queue->dequeue_interval * (clk_time)count_late (queue, now),
                  queue->late_skip_ratio);
}

/* Returns until when a call may wait: its deadline less the time that it
   takes, and less WAIT once it is late.  */
static clk_time
last_wait (const struct que_item *item, clk_time wait)
{
  clk_time latest = item->deadline - item->service_time;
  clk_time late = latest - wait;

  if (late < last_start (item))
    late = last_start (item);
  return late < latest ? late : latest;
}

/* Returns whether LEFT runs before RIGHT.  */
static bool
is_before (const struct que *queue, const struct que_item *left,
           const struct que_item *right, clk_time now)
{
  bool left_on_time = que_can_be_on_time (left, now);
  bool right_on_time = que_can_be_on_time (right, now);
  bool left_over = shr_is_over (&queue->shares, left->tenant);
  bool right_over = shr_is_over (&queue->shares, right->tenant);

  if (left_on_time != right_on_time)
    return left_on_time;
  if (left->priority != right->priority)
    return left->priority < right->priority;
  if (left_over != right_over)
    return right_over;
  if (left_on_time)
    return left->target_time < right->target_time;
  return left->deadline < right->deadline;
}

bool
que_push (struct que *queue, const struct que_item *item)
{
  if (queue->count == QUE_CAPACITY)
    return false;
  queue->items[queue->count++] = *item;
  return true;
}

static void *
take (struct que *queue, size_t index)
{
  void *call = queue->items[index].call;

  queue->count--;
  memmove (&queue->items[index], &queue->items[index + 1],
           (queue->count - index) * sizeof *queue->items);
  return call;
}

/* Returns whether a call waits for the link, whatever slots are free.  */
static bool
is_blocked (const struct que *queue, const struct que_item *item)
{
  return queue->is_link_full && item->is_bulk;
}

size_t
que_count_runnable (const struct que *queue)
{
  size_t count = 0;

  for (size_t i = 0; i < queue->count; i++)
    if (!is_blocked (queue, &queue->items[i]))
      count++;
  return count;
}

/* Returns the index of the next call that can run, QUEUE->count when there is
   none.  */
static size_t
find_next (const struct que *queue, clk_time now)
{
  size_t best = queue->count;

  for (size_t i = 0; i < queue->count; i++)
    if (!is_blocked (queue, &queue->items[i])
        && (best == queue->count
            || is_before (queue, &queue->items[i], &queue->items[best], now)))
      best = i;
  return best;
}

/* Notes whether a call of a kind got the slot, or would have got it.  */
static void
learn_denied (double *skip_ratio, bool denied)
{
  *skip_ratio += ((denied ? 1. : 0.) - *skip_ratio) / DENIED_WEIGHT;
}

/* Returns whether a call waits that can be on time and whose tenant is over
   its share.  */
static bool
has_over_share (const struct que *queue, clk_time now)
{
  for (size_t i = 0; i < queue->count; i++)
    if (shr_is_over (&queue->shares, queue->items[i].tenant)
        && que_can_be_on_time (&queue->items[i], now))
      return true;
  return false;
}

void *
que_pop (struct que *queue, clk_time now)
{
  size_t next;
  bool on_time;

  if (queue->count == 0)
    {
      learn_denied (&queue->late_skip_ratio, false);
      learn_denied (&queue->over_skip_ratio, false);
      return NULL;
    }
  shr_fade (&queue->shares, now);
  next = find_next (queue, now);
  if (next == queue->count)
    return NULL;
  on_time = que_can_be_on_time (&queue->items[next], now);
  if (count_late (queue, now) > 0)
    learn_denied (&queue->late_skip_ratio, on_time);
  if (has_over_share (queue, now))
    learn_denied (&queue->over_skip_ratio,
                  !shr_is_over (&queue->shares, queue->items[next].tenant));
  return take (queue, next);
}

clk_time
que_estimate_link_wait (const struct que *queue, const struct que_item *item,
                        clk_time now)
{
  size_t ahead = 0;

  if (!item->is_bulk)
    return 0;
  for (size_t i = 0; i < queue->count; i++)
    if (queue->items[i].is_bulk
        && !is_before (queue, item, &queue->items[i], now))
      ahead++;
  return queue->bulk_interval * (clk_time)ahead;
}

clk_time
que_estimate_wait (const struct que *queue, const struct que_item *item,
                   clk_time now)
{
  size_t ahead = que_count_ahead (queue, item, now);
  clk_time wait = queue->dequeue_interval * (clk_time)(ahead + 1);
  clk_time link = que_estimate_link_wait (queue, item, now);

  if (link > wait)
    wait = link;
  if (shr_is_over (&queue->shares, item->tenant))
    wait = stretch (wait, queue->over_skip_ratio);
  return que_can_be_on_time (item, now + wait)
             ? wait
             : stretch (wait, queue->late_skip_ratio);
}

void *
que_expire (struct que *queue, clk_time now)
{
  clk_time wait = late_wait (queue, now);

  for (size_t i = 0; i < queue->count; i++)
    if (now > last_wait (&queue->items[i], wait))
      return take (queue, i);
  return NULL;
}

void
que_limit_deadlines (struct que *queue, clk_time latest)
{
  for (size_t i = 0; i < queue->count; i++)
    {
      struct que_item *item = &queue->items[i];

      if (latest < item->deadline)
        item->deadline = latest;
      if (item->deadline < item->target_time)
        item->target_time = item->deadline;
    }
}

bool
que_remove (struct que *queue, const void *call)
{
  for (size_t i = 0; i < queue->count; i++)
    if (queue->items[i].call == call)
      {
        take (queue, i);
        return true;
      }
  return false;
}

size_t
que_count_ahead (const struct que *queue, const struct que_item *item,
                 clk_time now)
{
  size_t ahead = 0;

  for (size_t i = 0; i < queue->count; i++)
    if (!is_before (queue, item, &queue->items[i], now)
        && (item->is_bulk || !is_blocked (queue, &queue->items[i])))
      ahead++;
  return ahead;
}

clk_time
que_next_expiry (const struct que *queue, clk_time now)
{
  clk_time wait = late_wait (queue, now);
  clk_time wake = CLK_NEVER - 1;

  if (queue->count == 0)
    return CLK_NEVER;
  for (size_t i = 0; i < queue->count; i++)
    {
      const struct que_item *item = &queue->items[i];
      clk_time last = last_wait (item, wait);

      /* When a call turns late its wait changes.  */
      if (que_can_be_on_time (item, now) && last_start (item) < last)
        last = last_start (item);
      if (last < wake)
        wake = last;
    }
  return wake + 1;
}
