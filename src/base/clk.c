/* Monotonic time, and conversions for waits on it.  */

#include "base/clk.h"

clk_time
clk_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (clk_time)now.tv_sec * CLK_SECOND + now.tv_nsec;
}

uint64_t
clk_wall_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void
clk_init_condition (pthread_cond_t *condition)
{
  pthread_condattr_t attributes;

  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (condition, &attributes);
  pthread_condattr_destroy (&attributes);
}

struct timespec
clk_to_timespec (clk_time deadline)
{
  struct timespec result;

  result.tv_sec = deadline / CLK_SECOND;
  result.tv_nsec = deadline % CLK_SECOND;
  return result;
}

int
clk_poll_timeout (clk_time now, clk_time deadline, int max_ms)
{
  if (deadline <= now)
    return 0;
  if (deadline == CLK_NEVER
      || (deadline - now) / CLK_MILLISECOND >= (clk_time)max_ms)
    return max_ms;
  return (int)((deadline - now + CLK_MILLISECOND - 1) / CLK_MILLISECOND);
}
