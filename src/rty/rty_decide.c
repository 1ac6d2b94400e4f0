/* Retry decision, retry budget and the delay before a retry.  */

#include "rty/rty.h"

/* Upper bound of the delay before the second try; doubles with each try.  */
#define DELAY_BASE (4 * CLK_MILLISECOND)

/* A retry with less time than this left cannot be answered.  */
#define MIN_REMAINING (2 * CLK_MILLISECOND)

void
rty_budget_init (struct rty_budget *budget)
{
  __atomic_store_n (&budget->tokens, RTY_MAX_TOKENS, __ATOMIC_RELAXED);
}

static void
add_tokens (struct rty_budget *budget, int32_t amount)
{
  int32_t tokens = __atomic_load_n (&budget->tokens, __ATOMIC_RELAXED);
  int32_t sum;

  do
    {
      if (tokens >= RTY_MAX_TOKENS)
        return;
      sum = tokens + amount;
      if (sum > RTY_MAX_TOKENS)
        sum = RTY_MAX_TOKENS;
    }
  while (!__atomic_compare_exchange_n (&budget->tokens, &tokens, sum, true,
                                       __ATOMIC_RELAXED, __ATOMIC_RELAXED));
}

void
rty_budget_refill (struct rty_budget *budget)
{
  add_tokens (budget, RTY_TOKENS_PER_SUCCESS);
}

void
rty_budget_refund (struct rty_budget *budget)
{
  add_tokens (budget, RTY_TOKENS_PER_RETRY);
}

static bool
take_token (struct rty_budget *budget)
{
  int32_t tokens = __atomic_load_n (&budget->tokens, __ATOMIC_RELAXED);

  do
    if (tokens < RTY_TOKENS_PER_RETRY)
      return false;
  while (!__atomic_compare_exchange_n (&budget->tokens, &tokens,
                                       tokens - RTY_TOKENS_PER_RETRY, true,
                                       __ATOMIC_RELAXED, __ATOMIC_RELAXED));
  return true;
}

/* Returns whether the last try failed in a way that another may not.  */
static bool
has_failed (const struct rty_attempt *state)
{
  return state->outcome != OUT_ANSWERED
         || (state->status >= 502 && state->status <= 504);
}

/* Returns whether running the call again cannot run it twice, or may.  */
static bool
is_safe (const struct rty_attempt *state)
{
  return state->call_class == DOC_IDEMPOTENT || state->outcome == OUT_NOT_RUN;
}

enum rty_action
rty_decide (const struct rty_attempt *state, struct rty_budget *budget)
{
  if (!has_failed (state))
    return RTY_RETURN;
  if (is_safe (state) && !state->pinned && !state->retries_exhausted
      && state->retries_left > 0 && state->time_left > MIN_REMAINING
      && take_token (budget))
    return RTY_RETRY_ELSEWHERE;
  if (state->outcome == OUT_UNKNOWN && state->link_lost && !state->gate_queried
      && state->time_left > 0)
    return RTY_QUERY_GATE;
  return is_safe (state) || state->retries_exhausted ? RTY_RETURN_EXHAUSTED
                                                     : RTY_RETURN;
}

clk_time
rty_backoff_delay (uint32_t try_number, struct rnd *random)
{
  uint32_t doublings = try_number > 2 ? try_number - 2 : 0;

  return (clk_time)(rnd_unit (random)
                    * (double)(DELAY_BASE << (doublings < 8 ? doublings : 8)));
}
