/* Budget of repeats.  */

#include "base/rnd.h"
#include "bud/bud.h"
#include "support/support.h"

#include <deque>
#include <gtest/gtest.h>
#include <vector>

static const clk_time ms = CLK_MILLISECOND;

/* Guards against more repeats than a service bears: 16 nodes of unequal load
   repeat whatever they may for 40 s; in no window may their sum exceed the
   limit of all.  */
TEST (Budget, HoldsForAllNodesInEveryWindow)
{
  const size_t count = 16;
  struct bud_limits limits = { 0.2, 56, 10 * CLK_SECOND, count };
  std::vector<struct bud *> nodes;
  std::deque<clk_time> repeats;
  std::deque<clk_time> requests;
  struct rnd random;

  rnd_init (&random, 7);
  for (size_t i = 0; i < count; i++)
    nodes.push_back (bud_create ());
  for (clk_time now = 0; now < 40 * CLK_SECOND; now += 5 * ms)
    {
      size_t node = rnd_below (&random, 4) == 0 ? rnd_below (&random, count)
                                                : rnd_below (&random, 3);

      bud_count_request (nodes[node], "stock", &limits, now);
      requests.push_back (now);
      for (size_t i = 0; i < count; i++)
        if (bud_take_retry (nodes[i], "stock", &limits, now))
          repeats.push_back (now);
      while (!repeats.empty () && repeats.front () <= now - limits.window)
        repeats.pop_front ();
      while (!requests.empty () && requests.front () <= now - limits.window)
        requests.pop_front ();
      ASSERT_LE ((double)repeats.size (),
                 limits.ratio * (double)requests.size () + limits.base_retries)
          << "at " << now / ms << " ms, " << test_seed_note (7);
    }
  for (struct bud *node : nodes)
    bud_destroy (node);
}

/* Guards against the slack of all nodes being spent by one that does not know
   how many there are.  */
TEST (Budget, UnknownMeshHasNoSlack)
{
  struct bud_limits limits = { 0.2, 56, 10 * CLK_SECOND, 0 };
  struct bud *budget = bud_create ();

  EXPECT_FALSE (bud_take_retry (budget, "stock", &limits, CLK_SECOND));
  bud_destroy (budget);
}

/* Guards against one service's failures using up another one's budget, and
   against a budget that does not come back.  */
TEST (Budget, ServicesAreApartAndRecover)
{
  struct bud_limits limits = { 0.2, 20, 10 * CLK_SECOND, 1 };
  struct bud *budget = bud_create ();
  int taken = 0;

  while (bud_take_retry (budget, "stock", &limits, CLK_SECOND))
    taken++;
  EXPECT_GT (taken, 10);
  EXPECT_LE (taken, 20);
  EXPECT_TRUE (bud_take_retry (budget, "orders", &limits, CLK_SECOND));
  EXPECT_TRUE (bud_take_retry (budget, "stock", &limits, 12 * CLK_SECOND));
  bud_destroy (budget);
}
