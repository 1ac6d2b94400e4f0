/* Scenarios: distribution decisions under faults, each proof also with its
   mechanism switched off.  Seeds are fixed; the clock is virtual.  */

#include "support/scenario_check.h"
#include "support/support.h"

#include <gtest/gtest.h>

/* Guards against a node that returns to an older version: a relay frozen and
   resumed, crossed updates, a platform restored to an older state.  */
TEST (Scenario, NoNodeReturnsToAnOlderVersion)
{
  expect_passes ("older");
  expect_fails (
      "older", [] (auto &s) { s.options.accept_older = true; }, "never-older");
  expect_fails (
      "older", [] (auto &s) { s.naive = true; }, "never-older");
}

/* Guards against a damaged delta that is taken for the document.  */
TEST (Scenario, DamagedDeltasYieldNoWrongDocument)
{
  expect_passes ("damaged");
  expect_fails (
      "damaged", [] (auto &s) { s.options.no_hash_check = true; },
      "right-documents");
}

/* Guards against nodes that miss a version when datagrams are lost.  */
TEST (Scenario, LostDatagramsAreRepaired)
{
  expect_passes ("lossy");
  expect_fails (
      "lossy", [] (auto &s) { s.options.no_repair = true; }, "is missing");
}

/* Guards against waiting for the failure detector when a relay dies.  */
TEST (Scenario, StandbyAnnouncesForADeadRelay)
{
  expect_passes ("relay_dies");
  expect_fails (
      "relay_dies", [] (auto &s) { s.options.no_standby = true; },
      "is missing");
}

/* Guards against dependence on the platform once one relay has a version.  */
TEST (Scenario, PlatformFailures)
{
  expect_passes ("platform");
  expect_fails (
      "platform", [] (auto &s) { s.naive = true; }, "is missing");
}

/* Guards against regions or data centres that stay behind after a cut.  */
TEST (Scenario, CutsHeal)
{
  expect_passes ("regions");
  expect_fails (
      "regions",
      [] (auto &s) { s.options.no_repair = s.options.no_far_watch = true; },
      "nodes of everywhere");
}

/* Guards against giving up the held version for an invalid one.  */
TEST (Scenario, InvalidDocumentIsRefused)
{
  expect_passes ("bad");
  expect_fails (
      "bad", [] (auto &s) { s.publish_first = true; }, "never-invalid");
  expect_fails (
      "bad", [] (auto &s) { s.naive = true; }, "never-invalid");
}

/* Guards against a fetched document taken though it was cut short or changed
   on the way.  */
TEST (Scenario, DamagedFetchRepliesYieldNoWrongDocument)
{
  expect_passes ("replies");
  expect_fails (
      "replies", [] (auto &s) { s.options.no_hash_check = true; },
      "right-documents");
}

/* Guards against a version that stops at a node killed while it applies it. */
TEST (Scenario, KilledWhileApplying)
{
  expect_passes ("crash");
  expect_fails (
      "crash", [] (auto &s) { s.options.no_repair = true; }, "is missing");
}

/* Guards against nodes that differ under one version number, after a platform
   restored from a backup was written to.  */
TEST (Scenario, ForksAreReportedAndHealed)
{
  expect_passes ("fork");
  expect_fails (
      "fork", [] (auto &s) { s.options.accept_older = true; },
      "right-documents");
}

/* Returns the bytes between the regions that one change adds.  */
static uint64_t
paid_bytes_of_a_change (bool no_delta)
{
  uint64_t bytes[2];

  for (int changed = 0; changed < 2; changed++)
    {
      scenario mesh (1);

      mesh.options.no_delta = no_delta;
      mesh.run ("topology west:a,b north:c,d nodes 24\n10s apply line\n"
                "100s measure\n100.1s "
                + std::string (changed ? "apply line" : "measure")
                + "\n104.9s expect never-older");
      bytes[changed] = mesh.inter_region_bytes;
      EXPECT_EQ (mesh.count_stale_nodes (), 0u);
    }
  return bytes[1] - bytes[0];
}

/* Guards against a second delta on the paid link: one delta, its
   acknowledgement, and the region standby's offer without delta.  */
TEST (Scenario, PaidLinkCarriesOneDeltaAVersion)
{
  EXPECT_LT (paid_bytes_of_a_change (false), 400u);
  EXPECT_GT (paid_bytes_of_a_change (true), 400u);
}

/* One random fault and the statement that ends it.  */
static std::pair<std::string, std::string>
random_fault (struct rnd *random)
{
  static const char *const groups[]
      = { "relay:a",           "standby:a",          "relay:c", "a-3", "c",
          "region-relay:west", "region-relay:north", "b",       "d-1" };
  static const char *const sides[]
      = { "west north", "a platform", "west platform", "d c", "d west" };
  std::string group = groups[rnd_below (random, 9)];
  std::string side = sides[rnd_below (random, 5)];
  std::string scope = group.substr (group.find (':') + 1);

  switch (rnd_below (random, 6))
    {
    case 0:
      return { "restart " + group, "" };
    case 1:
      return { "freeze " + group, "resume all" };
    case 2:
      return { "cut " + side, "heal " + side };
    case 3:
      return { "platform down", "platform up" };
    case 4:
      return { "platform slow 900", "platform slow 0" };
    default:
      return { "link all loss 0.2", "link all loss 0" };
    }
}

/* Runs rounds of random faults, singly, in pairs, and twice, each followed by
   a change.  Returns how many nodes are behind 10 s after the last fault,
   before a further change, and 6 s after one.  */
static size_t
run_random_faults (scenario &mesh, unsigned long seed)
{
  struct rnd random;

  rnd_init (&random, seed);
  mesh.run ("topology west:a,b north:c,d nodes 8\n5s apply line\n"
            "20s apply line");
  for (int round = 0; round < 6; round++)
    {
      auto first = random_fault (&random);
      auto second = random_fault (&random);

      mesh.execute (first.first);
      if (round % 3 != 0)
        mesh.execute (round % 3 == 1 ? second.first : first.first);
      mesh.run_until (mesh.now + rnd_below (&random, 8000) * CLK_MILLISECOND);
      mesh.execute (round % 2 ? "apply line" : "apply endpoint");
      mesh.run_until (mesh.now + rnd_below (&random, 20000) * CLK_MILLISECOND);
      if (!first.second.empty ())
        mesh.execute (first.second);
      if (round % 3 == 1 && !second.second.empty ())
        mesh.execute (second.second);
    }
  /* A fault that was ended early or twice must not stay.  */
  mesh.execute ("resume all");
  mesh.run_until (mesh.now + 10 * CLK_SECOND);
  size_t behind = mesh.count_stale_nodes ();
  mesh.execute ("apply line");
  mesh.run_until (mesh.now + 6 * CLK_SECOND);
  return behind + mesh.count_stale_nodes ();
}

/* Seeds of 1 to 12 with nodes left behind, and with returns to an older
   version or wrong documents.  */
struct fault_totals
{
  unsigned behind, wrong;
};

static struct fault_totals
random_fault_totals (scenario_setup change = {})
{
  struct fault_totals totals = {};

  for (unsigned long seed = 1; seed <= 12; seed++)
    {
      scenario mesh (seed);

      if (change)
        change (mesh);
      size_t behind = run_random_faults (mesh, seed);
      uint64_t wrong = mesh.version_regressions + mesh.wrong_documents;
      if (!change)
        {
          EXPECT_EQ (behind + wrong, 0u)
              << test_seed_note (seed) << ": " << behind << " behind, "
              << mesh.version_regressions << " older, " << mesh.wrong_documents
              << " wrong";
        }
      totals.behind += behind > 0;
      totals.wrong += wrong > 0;
    }
  return totals;
}

/* Guards against combinations of faults that nobody thought of.  */
TEST (Scenario, RandomFaultsNeverRevertAndHeal)
{
  random_fault_totals ();
  auto older
      = random_fault_totals ([] (auto &s) { s.options.accept_older = true; });
  EXPECT_GT (older.wrong, 0u);
  auto unrepaired = random_fault_totals (
      [] (auto &s) { s.options.no_repair = s.options.no_far_watch = true; });
  EXPECT_GT (unrepaired.behind, 0u);
}

/* Runs faults and documents that depend on SEED alone, and returns the hashes
   of the documents that the nodes end with.  */
static std::vector<uint64_t>
final_documents (scenario &mesh, unsigned long seed)
{
  std::vector<uint64_t> hashes;
  std::string text (4000, '#');
  struct rnd random;

  rnd_init (&random, seed);
  mesh.run ("topology west:a,b north:c,d nodes 6");
  for (int step = 0; step < 10; step++)
    {
      auto fault = random_fault (&random);

      text.insert (rnd_below (&random, 4000),
                   "\nline " + std::to_string (rnd_bits (&random)) + "\n");
      mesh.execute (fault.first);
      mesh.write_version (text);
      mesh.run_until (mesh.now + rnd_below (&random, 9000) * CLK_MILLISECOND);
      if (!fault.second.empty ())
        mesh.execute (fault.second);
      if (step == 3)
        mesh.execute ("platform save");
      if (step == 6)
        {
          mesh.run_until (mesh.now + 10 * CLK_SECOND);
          mesh.execute ("platform restore");
          mesh.run_until (mesh.now + 3 * CLK_SECOND);
        }
    }
  mesh.execute ("resume all");
  mesh.run_until (mesh.now + 20 * CLK_SECOND);
  for (auto &node : mesh.nodes)
    hashes.push_back (node->held_hash);
  return hashes;
}

/* Guards against an end state that differs from that of nodes which all poll
   the platform, without their returns to an older version.  */
TEST (Scenario, EndsWithTheDocumentsOfTheNaiveVersion)
{
  unsigned differing = 0;

  for (unsigned long seed = 1; seed <= 10; seed++)
    {
      scenario mesh (seed), polled (seed), unrepaired (seed);

      SCOPED_TRACE (test_seed_note (seed));
      polled.naive = true;
      auto expected = final_documents (polled, seed);
      EXPECT_EQ (final_documents (mesh, seed), expected);
      EXPECT_EQ (mesh.version_regressions, 0u);
      EXPECT_EQ (mesh.wrong_documents, 0u);
      EXPECT_GT (polled.version_regressions, 0u);
      unrepaired.options.no_repair = unrepaired.options.no_far_watch = true;
      differing += final_documents (unrepaired, seed) != expected;
    }
  EXPECT_GT (differing, 0u);
}
