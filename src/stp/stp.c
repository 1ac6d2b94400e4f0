/* Planned shutdown of a sidecar.  */

#include "stp/stp.h"

/* Delay between the start of a shutdown and draining of the gate.  Callers
   learn of the shutdown from the readiness probe, which is sent every second
   and takes effect with its second failure.  */
#define DRAIN_DELAY (2300 * CLK_MILLISECOND)

/* Callers know of a shutdown after this time at the latest.  */
#define CALLERS_KNOW_DELAY (3 * CLK_SECOND)

/* The process ends this long before the end of the grace period, at which it
   is killed.  */
#define KILL_MARGIN (400 * CLK_MILLISECOND)

/* Requests end this long before the process, so that their responses can be
   sent.  */
#define RESPONSE_MARGIN (200 * CLK_MILLISECOND)

/* Callers have left when no request has arrived for this long.  */
#define QUIET_TIME (500 * CLK_MILLISECOND)

struct stp
stp_begin (clk_time now, clk_time grace_period)
{
  struct stp shutdown = { .drain_at = now + DRAIN_DELAY,
                          .screen_at = now + CALLERS_KNOW_DELAY,
                          .stop_at = now + grace_period - KILL_MARGIN };

  if (grace_period / 2 < CALLERS_KNOW_DELAY)
    shutdown.screen_at = now + grace_period / 2;
  shutdown.answer_by = shutdown.stop_at - RESPONSE_MARGIN;
  return shutdown;
}

/* Returns whether nothing is in progress.  Calls that still run at the
   upstream may make calls of their own, which come as requests.  */
static bool
is_idle (const struct stp_state *state)
{
  return state->request_count == 0 && state->call_count == 0
         && state->unsent_bytes == 0;
}

static bool
have_callers_left (const struct stp_state *state)
{
  return is_idle (state) && state->now - state->last_request_at >= QUIET_TIME;
}

struct stp_steps
stp_check (const struct stp *shutdown, const struct stp_state *state)
{
  struct stp_steps steps = { .drain = state->now >= shutdown->drain_at };

  steps.stop_accepting = state->now >= shutdown->answer_by
                         || (steps.drain && have_callers_left (state));
  /* Requests that arrive with the end of accepting are answered first.  */
  steps.stop = state->now >= shutdown->stop_at
               || (!state->is_accepting && is_idle (state));
  return steps;
}
