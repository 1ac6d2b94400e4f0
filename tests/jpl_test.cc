/* The delay before a node that starts reads the store.  */

#include "jpl/jpl.h"

#include <gtest/gtest.h>

static const clk_time far = 17 * CLK_MILLISECOND;
static const clk_time near = CLK_MILLISECOND;

/* Returns how many of COUNT nodes, with evenly spread random numbers, wait
   less than DELAY.  */
static int
count_earlier (const struct jpl_start &start, int count, clk_time delay)
{
  int earlier = 0;

  for (int i = 0; i < count; i++)
    earlier += jpl_read_delay (&start, (i + 0.5) / count) < delay;
  return earlier;
}

/* Guards against a delay where there was none: near the store, on restarts of
   small meshes, and while the size or the distance is not known.  */
TEST (JoinPlan, AddsNoDelayNearTheStoreOrInSmallMeshes)
{
  for (const struct jpl_start &start :
       { jpl_start{ true, near, 0 }, jpl_start{ false, near, 750 },
         jpl_start{ false, far, 100 }, jpl_start{ false, far, 0 },
         jpl_start{ true, 0, 0 } })
    EXPECT_EQ (count_earlier (start, 1000, 1), 1000);
}

/* Guards against many nodes that read the store together, and against a delay
   beyond its limit.  */
TEST (JoinPlan, LetsAFewFarNodesReadEarly)
{
  const struct jpl_start first = { true, far, 0 };
  const struct jpl_start again = { false, far, 750 };

  EXPECT_LE (count_earlier (first, 750, 400 * CLK_MILLISECOND), 12);
  EXPECT_GE (count_earlier (first, 750, 400 * CLK_MILLISECOND), 11);
  EXPECT_EQ (count_earlier (first, 750, 400 * CLK_MILLISECOND + 1), 750);
  EXPECT_LE (count_earlier (again, 750, 1300 * CLK_MILLISECOND), 12);
  EXPECT_EQ (count_earlier (again, 750, 1300 * CLK_MILLISECOND + 1), 750);
  const struct jpl_start odd = { false, far, UINT32_MAX };
  EXPECT_EQ (count_earlier (odd, 100, JPL_MAX_DELAY + 1), 100);
}
