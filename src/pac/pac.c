/* Pacer of long bodies.  */

#include "pac/pac.h"

/* Credit that a pause builds up, as a time at the full rate.  */
#define MAX_CREDIT_TIME (10 * CLK_MILLISECOND)

void
pac_init (struct pac *pacer, double bytes_per_second, clk_time now)
{
  pacer->rate = bytes_per_second / (double)CLK_SECOND;
  pacer->credit = 0;
  pacer->updated_at = now;
}

bool
pac_may_send (struct pac *pacer, clk_time now)
{
  double most = pacer->rate * (double)MAX_CREDIT_TIME;

  if (pacer->rate <= 0)
    return true;
  pacer->credit += pacer->rate * (double)(now - pacer->updated_at);
  pacer->updated_at = now;
  if (pacer->credit > most)
    pacer->credit = most;
  return pacer->credit >= 0;
}

void
pac_count (struct pac *pacer, size_t bytes)
{
  if (pacer->rate > 0)
    pacer->credit -= (double)bytes;
}

clk_time
pac_next_time (const struct pac *pacer, clk_time now)
{
  return now + pac_time_of (pacer, -pacer->credit) + 1;
}

clk_time
pac_time_of (const struct pac *pacer, double bytes)
{
  if (pacer->rate <= 0 || bytes <= 0)
    return 0;
  return (clk_time)(bytes / pacer->rate);
}
