/* Call budget: a token bucket without a clock of its own.  */

#ifndef MULBERRYSHIFT_PLT_PLT_BUDGET_H
#define MULBERRYSHIFT_PLT_PLT_BUDGET_H

#include "base/clk.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* The bucket is stored as the time at which it will be full again.  */
  struct plt_budget
  {
    clk_time interval; /* between two calls at the sustained rate */
    uint32_t burst;
    clk_time full_at;
  };

  /* Prepares a full bucket.  RATE is in calls per second and above 0; BURST,
     at least 1, is the number of calls allowed at once.  */
  void plt_budget_init (struct plt_budget *budget, double rate,
                        uint32_t burst);

  /* Changes rate and burst and keeps the calls already counted, for a node
     that becomes a relay or stops being one.  */
  void plt_budget_change (struct plt_budget *budget, double rate,
                          uint32_t burst, clk_time now);

  /* Returns the earliest time, not before NOW, at which a call is allowed.  */
  clk_time plt_budget_next (const struct plt_budget *budget, clk_time now);

  /* Counts one call if it is allowed at NOW and returns true; else changes
     nothing, stores the time when it will be in *WHEN and returns false.
     WHEN may be null.  */
  bool plt_budget_take (struct plt_budget *budget, clk_time now,
                        clk_time *when);

#ifdef __cplusplus
}
#endif

#endif
