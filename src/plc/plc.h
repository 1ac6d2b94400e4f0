/* Placement: which node's upstream runs a call.  Pure.

   Load that it answers: traffic that differs between data centres, servers of
   different speed, and bursts beyond what the near servers can take.  A near
   server is preferred as long as it can answer in time, since every byte that
   crosses a data centre or a region is paid for and the link between regions
   is narrow; a far one is used as soon as the near ones would be late.  When
   no server can be in time, the one that ends first is used, and when none can
   end before the deadline the call is refused.  */

#ifndef MULBERRYSHIFT_PLC_PLC_H
#define MULBERRYSHIFT_PLC_PLC_H

#include "base/clk.h"
#include "base/rnd.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Returned when no candidate can serve.  */
#define PLC_NONE SIZE_MAX

  enum plc_locality
  {
    PLC_SAME_DATA_CENTRE,
    PLC_SAME_REGION,
    PLC_OTHER_REGION,
    PLC_LOCALITIES
  };

  /* A node whose upstream may run the call, as far as is known here.  */
  struct plc_candidate
  {
    uint8_t locality;    /* enum plc_locality */
    bool usable;         /* not tried before, and thought to be alive */
    uint32_t slots;      /* of its upstream */
    uint32_t in_system;  /* calls that run or wait there */
    clk_time service;    /* mean time of a call in a slot, ns */
    clk_time round_trip; /* ns */
    double failed;       /* recent share of calls that the upstream failed */
  };

  struct plc_choice
  {
    size_t index;      /* of the candidate, or PLC_NONE */
    clk_time max_wait; /* longest wait that is acceptable there, ns */
  };

  /* Chooses among COUNT candidates.  TARGET_LEFT is the time in which an
     answer is on time, DEADLINE_LEFT that in which it is worth anything.  */
  struct plc_choice plc_choose (const struct plc_candidate *candidates,
                                size_t count, clk_time target_left,
                                clk_time deadline_left, struct rnd *random);

  /* Returns the expected wait for a slot, in ns.  */
  clk_time plc_expect_wait (const struct plc_candidate *candidate);

#ifdef __cplusplus
}
#endif

#endif
