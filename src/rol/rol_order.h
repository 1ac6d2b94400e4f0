/* Orders of the operator to roll out a version of a service.  Pure.

   Other writers may leave anything in the store: an order that cannot be one
   is refused with a reason and changes nothing.  */

#ifndef MULBERRYSHIFT_ROL_ROL_ORDER_H
#define MULBERRYSHIFT_ROL_ROL_ORDER_H

#include "base/clk.h"
#include "ptf/ptf.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Shortest and longest accepted time of a roll-out.  */
#define ROL_MIN_DURATION CLK_SECOND
#define ROL_MAX_DURATION (86400 * CLK_SECOND)

  /* Phase of a roll-out.  Of two phases that nodes report, the later one of
     this list holds.  */
  enum rol_phase
  {
    ROL_NONE,       /* unknown */
    ROL_CANARY,     /* the new version gets a small share */
    ROL_SWITCHING,  /* the new version gets all requests */
    ROL_COMPLETED,  /* the old version is to be stopped */
    ROL_ROLLED_BACK /* the new version is not used */
  };

  struct rol_order
  {
    char service[PTF_NAME_SIZE];
    char version[PTF_NAME_SIZE]; /* to roll out */
    clk_time duration;           /* as ordered, ns */
    clk_time deadline;           /* CLK_NEVER: not set yet */
    uint64_t revision;           /* of the object in the store */
    /* What the status of the object says of this version: running is
       ROL_CANARY.  */
    enum rol_phase stored;
  };

  enum rol_order_status
  {
    ROL_ORDER_OK,
    ROL_ORDER_INVALID /* see err_last */
  };

  /* Reads and checks the object of an order.  Its deadline is not set.  */
  enum rol_order_status rol_read_order (const struct ptf_platform *platform,
                                        const struct sto_object *object,
                                        struct rol_order *order);

  /* Returns "none", "canary", "switching", "completed" or "rolled back".  */
  const char *rol_phase_name (enum rol_phase phase);

#ifdef __cplusplus
}
#endif

#endif
