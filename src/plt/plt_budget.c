/* Call budget: a token bucket without a clock of its own.  */

#include "plt/plt_budget.h"

#include <stddef.h>

void
plt_budget_init (struct plt_budget *budget, double rate, uint32_t burst)
{
  budget->interval = (clk_time)((double)CLK_SECOND / rate);
  budget->burst = burst > 0 ? burst : 1;
  budget->full_at = INT64_MIN / 2;
}

void
plt_budget_change (struct plt_budget *budget, double rate, uint32_t burst,
                   clk_time now)
{
  double used = 0;

  if (budget->full_at > now)
    used = (double)(budget->full_at - now) / (double)budget->interval;
  plt_budget_init (budget, rate, burst);
  if (used > 0)
    budget->full_at = now + (clk_time)(used * (double)budget->interval);
}

clk_time
plt_budget_next (const struct plt_budget *budget, clk_time now)
{
  clk_time allowed
      = budget->full_at - (clk_time)(budget->burst - 1) * budget->interval;

  return allowed > now ? allowed : now;
}

bool
plt_budget_take (struct plt_budget *budget, clk_time now, clk_time *when)
{
  clk_time next = plt_budget_next (budget, now);

  if (when != NULL)
    *when = next;
  if (next > now)
    return false;
  if (budget->full_at < now)
    budget->full_at = now;
  budget->full_at += budget->interval;
  return true;
}
