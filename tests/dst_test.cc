/* Tests when the state machine of distribution and membership is to be called
   again.  The scenarios test what it does.  */

#include "dst/dst.h"

#include <gtest/gtest.h>

#include <cstring>

/* Virtual time for which a node runs, which covers its join and the reads and
   checks after it.  */
static const clk_time run_time = 30 * CLK_SECOND;

/* Calls that may be due at one time: one for each part of the state.  */
static const unsigned max_calls_at_once = 8;

/* Runs a node with SEED_COUNT seeds that do not answer, on a platform that
   does not answer.  Returns the most calls that were due at one time.  */
static unsigned
most_calls_at_once (size_t seed_count, uint64_t seed)
{
  struct dst_settings settings = {};
  struct dst_actions actions = {};
  clk_time now = 5 * CLK_SECOND;
  clk_time end = now + run_time;
  unsigned calls = 0;
  unsigned most = 0;
  struct dst *dst;

  strcpy (settings.self.name, "a");
  strcpy (settings.self.data_centre, "near");
  strcpy (settings.self.region, "region");
  settings.self.address = { 0x7f000001, 7000 };
  settings.self.incarnation = 1;
  settings.seed = seed;
  settings.seed_count = seed_count;
  for (size_t i = 0; i < seed_count; i++)
    settings.seeds[i] = { 0x7f000001, (uint16_t)(7000 + i) };
  dst = dst_create (&settings, now);
  while (now < end && calls <= max_calls_at_once)
    {
      clk_time wake = dst_next_wake (dst);

      calls = wake > now ? 1 : calls + 1;
      most = calls > most ? calls : most;
      now = wake > now ? wake : now;
      dst_tick (dst, now, &actions);
      dst_actions_clear (&actions);
    }
  dst_actions_close (&actions);
  dst_destroy (dst);
  return most;
}

/* Guards against a node that uses a core while it joins: it was due at a time
   in the past as long as no peer could be asked.  The first seed is the node
   itself.  */
TEST (Wake, IsNotInThePastForGood)
{
  for (size_t seeds = 0; seeds <= 3; seeds++)
    for (uint64_t seed = 1; seed <= 10; seed++)
      EXPECT_LE (most_calls_at_once (seeds, seed), max_calls_at_once)
          << seeds << " seeds, seed " << seed;
}
