/* Capped exponential back-off with full jitter, without a clock.  */

#ifndef MULBERRYSHIFT_PLT_PLT_BACKOFF_H
#define MULBERRYSHIFT_PLT_PLT_BACKOFF_H

#include "base/clk.h"
#include "base/rnd.h"

#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct plt_backoff
  {
    clk_time base; /* bound of the first wait */
    clk_time cap;  /* bound of every wait */
    uint32_t failures;
  };

  /* Prepares a back-off whose first wait is below BASE and whose waits are
     never longer than CAP.  */
  void plt_backoff_init (struct plt_backoff *backoff, clk_time base,
                         clk_time cap);

  /* Counts one failure and returns when to try again: NOW plus a time drawn
     evenly from [0, min (CAP, BASE * 2^failures)], so that clients which
     failed together do not return together.  */
  clk_time plt_backoff_next (struct plt_backoff *backoff,
                             struct rnd *generator, clk_time now);

  /* Forgets the failures after a success.  */
  void plt_backoff_reset (struct plt_backoff *backoff);

#ifdef __cplusplus
}
#endif

#endif
