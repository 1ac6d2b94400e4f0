/* Capped exponential back-off with full jitter.  */

#include "plt/plt_backoff.h"

void
plt_backoff_init (struct plt_backoff *backoff, clk_time base, clk_time cap)
{
  backoff->base = base;
  backoff->cap = cap;
  backoff->failures = 0;
}

clk_time
plt_backoff_next (struct plt_backoff *backoff, struct rnd *generator,
                  clk_time now)
{
  clk_time bound = backoff->base;

  for (uint32_t i = 0; i < backoff->failures && bound < backoff->cap; i++)
    bound *= 2;
  if (bound > backoff->cap)
    bound = backoff->cap;
  if (backoff->failures < UINT32_MAX)
    backoff->failures++;
  return now + (clk_time)(rnd_unit (generator) * (double)bound);
}

void
plt_backoff_reset (struct plt_backoff *backoff)
{
  backoff->failures = 0;
}
