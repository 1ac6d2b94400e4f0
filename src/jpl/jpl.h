/* Join plan: how long a node that starts waits before it reads the store.  In
   a large mesh behind a narrow link most nodes wait until the few that read
   first offer them what they have read; see docs/design/large-start.md.

   Pure: it has no state, no clock and no I/O.  */

#ifndef MULBERRYSHIFT_JPL_JPL_H
#define MULBERRYSHIFT_JPL_JPL_H

#include "base/clk.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Nodes with at least this round trip time to the store count as far from it:
   their reads cross the link between regions, 8 ms one way.  */
#define JPL_FAR_ROUND_TRIP (8 * CLK_MILLISECOND)

/* Longest delay on a first start, when the size of the mesh is not known.
   Callers come seconds later.  */
#define JPL_FIRST_START_DELAY (400 * CLK_MILLISECOND)

/* Longest delay on other starts, for each node beyond JPL_SMALL_MESH.  */
#define JPL_DELAY_PER_NODE (2 * CLK_MILLISECOND)
#define JPL_SMALL_MESH 100

/* Longest delay of all starts, whatever a record in the store says.  */
#define JPL_MAX_DELAY (2 * CLK_SECOND)

/* One far node in so many reads before the longest delay has passed.  */
#define JPL_NODES_PER_EARLY_READ 64

  /* What a node knows when its read of the store is due.  */
  struct jpl_start
  {
    bool first_start;         /* of the whole mesh */
    clk_time round_trip_time; /* to the store, ns; 0: not known */
    uint32_t mesh_size;       /* nodes that this node's stored record counted;
                                 0: not known */
  };

  /* Returns the time to wait before the read, in ns, at most the longest delay
     of this start.  RANDOM is uniform in [0, 1).  */
  clk_time jpl_read_delay (const struct jpl_start *start, double random);

#ifdef __cplusplus
}
#endif

#endif
