/* Scenarios with many nodes or many runs; apart from scenario_test so that
   each program ends in time under the sanitizers.  */

#include "support/scenario_check.h"
#include "support/support.h"

#include <gtest/gtest.h>

/* Guards against versions lost while 150 nodes die and reconnect at once, and
   against a storm on the platform.  */
TEST (Scenario, HerdDeathAndReconnectStorm)
{
  expect_passes ("herd", { 1 });
  expect_fails (
      "herd", [] (auto &s) { s.naive = true; }, "platform-calls");
}

/* Guards against control traffic that exceeds 2 KB/s a node.  */
TEST (Scenario, ControlBytesAt150Nodes)
{
  expect_passes ("budget_150", { 1 });
  expect_fails (
      "budget_150", [] (auto &s) { s.naive = true; }, "control-bytes");
}

static double
platform_calls (size_t per_centre, bool naive)
{
  scenario mesh (1);

  mesh.naive = naive;
  mesh.run ("topology west:a,b north:c,d nodes " + std::to_string (per_centre)
            + "\n10s apply line\n60s measure\n"
              "every 57.6s until 240s apply line\n240s expect never-older");
  return (double)mesh.platform_calls / 180;
}

/* Guards against platform calls that grow with the fleet.  */
TEST (Scenario, PlatformCallsAreFlatInTheNumberOfNodes)
{
  double first = platform_calls (2, false);

  for (size_t per_centre : { 8, 24, 48 })
    EXPECT_LT (platform_calls (per_centre, false), first * 1.25) << per_centre;
  EXPECT_GT (platform_calls (48, true), platform_calls (2, true) * 20);
}

/* Runs in which a restarted node came back with an older version: its data
   centre was cut off while the version spread with half of the datagrams
   lost.  */
static unsigned
restart_regressions (bool staging)
{
  unsigned regressed = 0;

  for (unsigned seed = 1; seed <= 12; seed++)
    {
      scenario mesh (seed);
      std::string victim;

      mesh.options.staging = staging;
      mesh.run ("topology west:a,b north:c,d nodes 16\n10s apply line\n"
                "20s link near loss 0.5\n20s apply line\n"
                "20.3s cut d west\n20.3s cut d c\n");
      for (auto &node : mesh.nodes)
        if (node->data_centre == "d" && node->held == mesh.latest_version)
          victim = node->name;
      if (!victim.empty ())
        mesh.execute ("restart " + victim);
      mesh.run_until (mesh.now + 6 * CLK_SECOND);
      regressed += mesh.restart_regressions > 0;
      EXPECT_EQ (mesh.version_regressions, 0u) << test_seed_note (seed);
    }
  return regressed;
}

/* Guards against staging that puts a version into effect before most members
   hold it.  Without staging a node can come back older; see the design.  */
TEST (Scenario, StagingPreventsReturnsToAnOlderVersionByRestart)
{
  EXPECT_EQ (restart_regressions (true), 0u);
  EXPECT_GT (restart_regressions (false), 0u);
}
