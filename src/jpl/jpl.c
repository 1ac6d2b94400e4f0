/* Join plan.  */

#include "jpl/jpl.h"

static clk_time
longest_delay (const struct jpl_start *start)
{
  clk_time delay;

  if (start->round_trip_time < JPL_FAR_ROUND_TRIP)
    return 0;
  if (start->first_start)
    return JPL_FIRST_START_DELAY;
  if (start->mesh_size <= JPL_SMALL_MESH)
    return 0;
  delay = (start->mesh_size - JPL_SMALL_MESH) * JPL_DELAY_PER_NODE;
  return delay < JPL_MAX_DELAY ? delay : JPL_MAX_DELAY;
}

/* With delays spread evenly over the longest one, so many nodes list before
   the first list is complete that the link is full: in a simulation of 304
   nodes behind 30 Mbit/s all of the 152 far ones listed.  Therefore only a few
   nodes read early, at a time that is spread evenly.  */
clk_time
jpl_read_delay (const struct jpl_start *start, double random)
{
  double part = random * JPL_NODES_PER_EARLY_READ;

  return (clk_time)((part < 1 ? part : 1) * (double)longest_delay (start));
}
