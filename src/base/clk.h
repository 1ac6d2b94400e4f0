/* Monotonic time.  A timeout is stored as a deadline, not as a duration.  */

#ifndef MULBERRYSHIFT_BASE_CLK_H
#define MULBERRYSHIFT_BASE_CLK_H

#include <pthread.h>
#include <stdint.h>
#include <time.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* A point in time on the monotonic clock, or a duration; in nanoseconds.  */
  typedef int64_t clk_time;

#define CLK_MICROSECOND ((clk_time)1000)
#define CLK_MILLISECOND ((clk_time)1000000)
#define CLK_SECOND ((clk_time)1000000000)

/* A deadline that is never reached.  */
#define CLK_NEVER INT64_MAX

  /* Returns the current monotonic time.  */
  clk_time clk_now (void);

  /* Returns the time of the wall clock in milliseconds since the epoch.  */
  uint64_t clk_wall_ms (void);

  /* Initializes CONDITION to wait on the monotonic clock, so that a step of
     the wall clock neither extends nor ends a wait.  */
  void clk_init_condition (pthread_cond_t *condition);

  /* Converts a deadline for pthread_cond_timedwait on a condition that
     clk_init_condition has initialized.  */
  struct timespec clk_to_timespec (clk_time deadline);

  /* Returns the milliseconds from NOW to DEADLINE, rounded up, at least 0 and
     at most MAX_MS; for poll and epoll_wait.  */
  int clk_poll_timeout (clk_time now, clk_time deadline, int max_ms);

#ifdef __cplusplus
}
#endif

#endif
