/* Highest removed call number of each origin.  Part of the outcome table.  */

#ifndef MULBERRYSHIFT_OUT_OUT_ORIGIN_H
#define MULBERRYSHIFT_OUT_OUT_ORIGIN_H

#include "out/out_table.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct out_origins;

  /* Creates an empty set.  */
  struct out_origins *out_origins_create (void);

  /* Frees the set.  */
  void out_origins_destroy (struct out_origins *origins);

  /* Makes sure that ORIGIN can be remembered later.  Returns false when the
     set is full.  */
  bool out_origins_reserve (struct out_origins *origins, uint64_t origin,
                            clk_time now);

  /* Raises the number of a reserved origin to at least NUMBER.  */
  void out_origins_raise (struct out_origins *origins, uint64_t origin,
                          uint64_t number, clk_time now);

  /* Returns the number of ORIGIN; 0 when none was removed.  */
  uint64_t out_origins_get (const struct out_origins *origins,
                            uint64_t origin);

#ifdef __cplusplus
}
#endif

#endif
