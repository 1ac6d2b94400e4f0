/* A platform client that keeps a call budget.  */

#ifndef MULBERRYSHIFT_PLT_PLT_LIMITED_H
#define MULBERRYSHIFT_PLT_PLT_LIMITED_H

#include "plt/plt.h"
#include "plt/plt_budget.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* Wraps INNER, which belongs to the result from now on.  A call over the
     budget is not sent and returns PLT_BUSY with err_set.  Every call counts
     as one, a watch too.  CLOCK returns the time; null means clk_now.  */
  struct plt_client plt_open_limited (struct plt_client inner,
                                      const struct plt_budget *budget,
                                      clk_time (*clock) (void));

#ifdef __cplusplus
}
#endif

#endif
