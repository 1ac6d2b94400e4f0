/* Runs scenario files with a mechanism on or off.  */

#ifndef MULBERRYSHIFT_TESTS_SCENARIO_CHECK_H
#define MULBERRYSHIFT_TESTS_SCENARIO_CHECK_H

#include "support/scenario.h"
#include "support/support.h"

#include <gtest/gtest.h>

using scenario_setup = std::function<void (scenario &)>;

inline std::vector<std::string>
run_scenario_file (const std::string &name, unsigned long seed,
                   scenario_setup change = {})
{
  scenario mesh (seed);

  if (change)
    change (mesh);
  mesh.run_file ("tests/scenarios/" + name + ".scn");
  return mesh.failures;
}

inline void
expect_passes (const std::string &name,
               std::vector<unsigned long> seeds = { 1, 2, 3 })
{
  for (unsigned long seed : seeds)
    for (auto &failure : run_scenario_file (name, seed))
      ADD_FAILURE () << name << ", " << test_seed_note (seed) << ": "
                     << failure;
}

/* Expects a failure whose text contains REASON, so that a scenario which fails
   for another cause does not count as a proof.  */
inline void
expect_fails (const std::string &name, scenario_setup change,
              const std::string &reason)
{
  std::string all;
  bool found = false;

  for (auto &failure : run_scenario_file (name, 1, std::move (change)))
    {
      found = found || failure.find (reason) != std::string::npos;
      all += failure + "\n";
    }
  EXPECT_TRUE (found) << name << " does not fail with \"" << reason
                      << "\" without the mechanism, but:\n"
                      << all;
}

#endif
