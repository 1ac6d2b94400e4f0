/* Calls that wait at a gate.  */

#include "que/que.h"

#include <string.h>

/* A call can be on time while this many times its expected time is left: with
   less, every second call that waited until then would be late.  */
#define SAFE_TIMES 1.25

bool
que_can_be_on_time (const struct que_item *item, clk_time now)
{
  return now + (clk_time)(SAFE_TIMES * (double)item->service) <= item->target;
}

/* Returns whether LEFT runs before RIGHT.  */
static bool
is_before (const struct que_item *left, const struct que_item *right,
           clk_time now)
{
  bool left_on_time = que_can_be_on_time (left, now);
  bool right_on_time = que_can_be_on_time (right, now);

  if (left_on_time != right_on_time)
    return left_on_time;
  if (left->priority != right->priority)
    return left->priority < right->priority;
  if (left_on_time)
    return left->target < right->target;
  return left->deadline < right->deadline;
}

bool
que_push (struct que *queue, const struct que_item *item)
{
  if (queue->count == QUE_MAX)
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

void *
que_pop (struct que *queue, clk_time now)
{
  size_t best = 0;

  if (queue->count == 0)
    return NULL;
  for (size_t i = 1; i < queue->count; i++)
    if (is_before (&queue->items[i], &queue->items[best], now))
      best = i;
  return take (queue, best);
}

void *
que_expire (struct que *queue, clk_time now)
{
  for (size_t i = 0; i < queue->count; i++)
    if (now + queue->items[i].service > queue->items[i].deadline)
      return take (queue, i);
  return NULL;
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
que_ahead (const struct que *queue, const struct que_item *item, clk_time now)
{
  size_t ahead = 0;

  for (size_t i = 0; i < queue->count; i++)
    if (!is_before (item, &queue->items[i], now))
      ahead++;
  return ahead;
}

size_t
que_late_count (const struct que *queue, clk_time now)
{
  size_t count = 0;

  for (size_t i = 0; i < queue->count; i++)
    if (!que_can_be_on_time (&queue->items[i], now))
      count++;
  return count;
}

clk_time
que_wake (const struct que *queue)
{
  clk_time wake = CLK_NEVER;

  for (size_t i = 0; i < queue->count; i++)
    if (queue->items[i].deadline - queue->items[i].service < wake)
      wake = queue->items[i].deadline - queue->items[i].service;
  return wake;
}
