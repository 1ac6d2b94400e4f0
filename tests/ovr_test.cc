/* Reports that a tenant is over its share: the table, and a replay of the load
   that it answers.  */

#include "ovr/ovr.h"
#include "support/load_sim.h"

#include <cstdio>
#include <gtest/gtest.h>

static const clk_time ms = CLK_MILLISECOND;

class Reports : public testing::Test
{
protected:
  ~Reports () override { ovr_destroy (table); }

  void
  report (uint64_t tenant, uint32_t peer, uint32_t route, clk_time wait = 1)
  {
    struct ovr_key key = { tenant, peer, route };

    ovr_add (table, &key, wait, now);
  }

  /* Returns the reported wait, -1 when there is no report.  */
  clk_time
  wait_of (uint64_t tenant, uint32_t peer, uint32_t route)
  {
    struct ovr_key key = { tenant, peer, route };
    const struct ovr_report *found = ovr_find (table, &key, now);

    return found != nullptr ? found->wait : -1;
  }

  struct ovr *table = ovr_create ();
  clk_time now = 1000 * ms;
};

/* Guards against a report that is used for another tenant, peer or route, or
   after its time.  */
TEST_F (Reports, AreUsedForOneSecond)
{
  report (1, 2, 3, 500 * ms);
  EXPECT_EQ (wait_of (1, 2, 3), 500 * ms);
  EXPECT_EQ (wait_of (2, 2, 3), -1);
  EXPECT_EQ (wait_of (1, 3, 3), -1);
  EXPECT_EQ (wait_of (1, 2, 4), -1);
  now += 900 * ms;
  report (1, 3, 3);
  now += 100 * ms - 1;
  EXPECT_EQ (wait_of (1, 2, 3), 500 * ms);
  now += 1;
  EXPECT_EQ (wait_of (1, 2, 3), -1);
  EXPECT_EQ (wait_of (1, 3, 3), 1);
}

/* Guards against an older report that replaces a newer one, and against two
   reports on the same calls.  */
TEST_F (Reports, AreReplacedOldestFirst)
{
  for (uint32_t i = 0; i < OVR_MAX_REPORTS; i++, now++)
    report (i % 3 + 1, i, i % 5);
  report (1, 0, 0, 7);
  now++;
  EXPECT_EQ (wait_of (2, 1, 1), 1);
  for (uint32_t i = 0; i < 100; i++, now++)
    report (9, i, 1);
  EXPECT_EQ (wait_of (1, 0, 0), 7);
  for (uint32_t i = 1; i < OVR_MAX_REPORTS; i++)
    EXPECT_EQ (wait_of (i % 3 + 1, i, i % 5), i <= 100 ? -1 : 1) << i;
}

/* Guards against a tenant that is held back after a gate has said that it is
   within its share, or after the gate's process was replaced.  */
TEST_F (Reports, AreRemoved)
{
  for (uint64_t tenant = 1; tenant <= 2; tenant++)
    for (uint32_t peer = 0; peer < 2; peer++)
      for (uint32_t route = 0; route < 2; route++)
        report (tenant, peer, route);
  ovr_clear_tenant (table, 1, 0, now);
  EXPECT_EQ (wait_of (1, 0, 0), -1);
  EXPECT_EQ (wait_of (1, 0, 1), -1);
  EXPECT_EQ (wait_of (1, 1, 0), 1);
  EXPECT_EQ (wait_of (2, 0, 0), 1);
  ovr_clear_peer (table, 0);
  EXPECT_EQ (wait_of (2, 0, 0), -1);
  EXPECT_EQ (wait_of (2, 1, 1), 1);
}

/* One tenant sends eight times its usual for six seconds, two send theirs.
   The eight servers can run 240 calls a second, and 180 are usual.  */
static struct sim_config
make_load (uint64_t seed, bool uses_reports)
{
  struct sim_config load = {};

  for (uint32_t tenant = 1; tenant <= 3; tenant++)
    load.call_types.push_back ({ 60, 200, 0.3, 800, 2000, 1, tenant, 60 });
  load.events = { { 2, 8, 8, -1, 1, -1, 1 } };
  load.speeds = { 1 };
  load.data_centres = 4;
  load.servers = 2;
  load.nodes = 3;
  load.slots = 6;
  load.seconds = 12;
  load.seed = seed;
  load.uses_reports = uses_reports;
  return load;
}

static double
on_time_part (const struct sim_tally &tally)
{
  return (double)tally.on_time / (double)tally.calls;
}

/* Guards against calls that cross links only to be refused by a gate, against
   calls of the others that are refused with them, and against calls that could
   have been served.  */
TEST (Replay, RefusesTheTenantOverItsShareUnsent)
{
  for (uint64_t seed = 1; seed <= 4; seed++)
    {
      struct sim_result before
          = sim_run (make_load (seed, false), plc_choose_candidate);
      struct sim_result after
          = sim_run (make_load (seed, true), plc_choose_candidate);

      for (const struct sim_result *result : { &before, &after })
        for (const struct sim_tally &type : result->types)
          printf ("seed %d %s: %5d calls, %5d sent, %5d unsent, %5d wasted, "
                  "%.3f on "
                  "time\n",
                  (int)seed, result == &before ? "before" : "after ",
                  (int)type.calls, (int)type.sent, (int)type.unsent,
                  (int)type.wasted, on_time_part (type));
      printf ("seed %d refused at a gate: %d before, %d after\n", (int)seed,
              (int)before.refused_busy, (int)after.refused_busy);
      EXPECT_LT ((double)after.types[0].sent,
                 0.9 * (double)before.types[0].sent);
      EXPECT_LT ((double)after.refused_busy,
                 0.95 * (double)before.refused_busy);
      EXPECT_GT ((double)after.on_time, 0.98 * (double)before.on_time);
      for (size_t i : { 1, 2 })
        EXPECT_GT (on_time_part (after.types[i]),
                   on_time_part (before.types[i]) - 0.01);
    }
}
