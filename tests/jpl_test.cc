/* The delay before a node that starts reads the store, and offers.  */

#include "base/rnd.h"
#include "jpl/jpl_offers.h"

#include <gtest/gtest.h>
#include <vector>

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

/* Guards against offers that come too early, twice, or to a node that has a
   link or is no target.  */
TEST (JoinPlan, OffersOnceToTargetsWithoutALink)
{
  struct jpl_offers *offers = jpl_offers_create ();
  dir_handle nodes[JPL_OFFERS_PER_ROUND];

  for (dir_handle i = 0; i < 3; i++)
    jpl_offers_learned (offers, i, 1);
  jpl_offers_set_target (offers, 0, true);
  jpl_offers_set_target (offers, 1, true);
  jpl_offers_linked (offers, 0);
  EXPECT_EQ (jpl_offers_next (offers), JPL_OFFER_DELAY + 1);
  EXPECT_EQ (jpl_offers_take (offers, JPL_OFFER_DELAY, nodes), 0u);
  ASSERT_EQ (jpl_offers_take (offers, JPL_OFFER_DELAY + 1, nodes), 1u);
  EXPECT_EQ (nodes[0], 1u);
  EXPECT_EQ (jpl_offers_take (offers, CLK_SECOND, nodes), 0u);
  EXPECT_EQ (jpl_offers_next (offers), CLK_NEVER);
  jpl_offers_learned (offers, 1, CLK_SECOND);
  jpl_offers_set_target (offers, 1, true);
  EXPECT_EQ (jpl_offers_take (offers, 2 * CLK_SECOND, nodes), 1u);
  jpl_offers_destroy (offers);
}

/* The nodes of two data centres far from the store, behind a link of 30 Mbit/s
   that all transfers share equally.  The links inside a data centre cost
   nothing.  The watchers offer to the relays, the first two nodes of each data
   centre, 100 ms after the lists become due.  */
class FarNodes
{
public:
  explicit FarNodes (uint64_t seed, bool with_offers)
  {
    const struct jpl_start start = { true, far, 0 };
    struct rnd random;

    rnd_init (&random, seed);
    for (size_t i = 0; i < count; i++)
      list_at[i] = jpl_read_delay (&start, rnd_unit (&random));
    for (clk_time now = 0; joined < count && now < 60 * CLK_SECOND;
         now += step)
      advance (now, with_offers && now >= 100 * CLK_MILLISECOND);
    for (struct jpl_offers *each : offers)
      jpl_offers_destroy (each);
  }
  static constexpr size_t count = 374;
  size_t lists = 0;
  size_t joined = 0;
  double bytes = 0;
  clk_time ended_at = 0;

private:
  static constexpr clk_time step = 2 * CLK_MILLISECOND;
  static constexpr double list_bytes = 750 * 460;
  static constexpr double offer_bytes = 750 * 130;

  void
  join (size_t node, clk_time now)
  {
    if (done[node])
      return;
    done[node] = true;
    joined++;
    ended_at = now;
    if (node % (count / 2) >= 2)
      return;
    offers[node] = jpl_offers_create ();
    for (size_t i = 0; i < count; i++)
      {
        jpl_offers_learned (offers[node], (dir_handle)i, now);
        jpl_offers_set_target (offers[node], (dir_handle)i,
                               i / (count / 2) == node / (count / 2));
      }
  }
  void
  advance (clk_time now, bool watchers_offer)
  {
    std::vector<size_t> busy;

    for (size_t i = 0; i < count; i++)
      {
        bool offered = watchers_offer && i % (count / 2) < 2;

        if (done[i] || (list_at[i] > now && !offered))
          continue;
        lists += list_at[i] <= now && !listed[i];
        listed[i] = listed[i] || list_at[i] <= now;
        busy.push_back (i);
      }
    for (size_t i : busy)
      {
        double part = 30e6 / 8 * step / CLK_SECOND / (double)busy.size ();
        bool offered = watchers_offer && i % (count / 2) < 2;

        bytes += part;
        received[i] += part;
        if (received[i] >= (offered ? offer_bytes : list_bytes))
          join (i, now);
      }
    for (struct jpl_offers *each : offers)
      {
        dir_handle nodes[JPL_OFFERS_PER_ROUND];
        size_t taken
            = each != nullptr ? jpl_offers_take (each, now, nodes) : 0;

        for (size_t i = 0; i < taken; i++)
          join (nodes[i], now);
      }
  }

  clk_time list_at[count];
  bool listed[count] = {};
  bool done[count] = {};
  double received[count] = {};
  struct jpl_offers *offers[count] = {};
};

/* Guards against lists that grow with the square of the number of nodes, and
   against nodes that do not join when nothing is offered to them.  */
TEST (JoinPlan, FewOf750NodesList)
{
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      FarNodes nodes (seed, true);

      EXPECT_EQ (nodes.joined, nodes.count);
      EXPECT_LE (nodes.lists, 40u) << seed;
      EXPECT_LE (nodes.bytes, 5e6) << seed;
      EXPECT_LE (nodes.ended_at, CLK_SECOND) << seed;
    }
  FarNodes alone (1, false);
  EXPECT_EQ (alone.joined, alone.count);
}
