/* Tests the probe of the store, with the stand-in of the platform's store.  */

#include "pfm.h"
#include "prb/prb.h"
#include "sst.h"
#include "support/loop_test.h"

#include <gtest/gtest.h>

class Probe : public LoopTest
{
protected:
  void
  SetUp () override
  {
    struct net_address address = allocate_address ();

    server = sst_create (loop, address);
    ASSERT_NE (server, nullptr);
    store = sto_create (loop, address, &pfm_platform);
    probe = prb_create (loop, store, "mesh-nodes", "a", on_changed, this);
  }
  void
  TearDown () override
  {
    prb_destroy (probe);
    sto_destroy (store);
    sst_destroy (server);
    run_for (5);
  }
  static void
  on_changed (void *context, bool answers)
  {
    Probe *test = static_cast<Probe *> (context);

    test->answers = answers;
    test->changes++;
  }
  struct sst *server = nullptr;
  struct sto *store = nullptr;
  struct prb *probe = nullptr;
  bool answers = true;
  int changes = 0;
};

/* Guards against a store that answers no calls and is noticed only after
   seconds, when a long poll ends: the probe reports it within a second.  */
TEST_F (Probe, DetectsAnUnreachableStore)
{
  for (enum sst_fault fault : { SST_NO_RESPONSE, SST_BUSY, SST_RESET })
    {
      prb_start (probe);
      run_for (600);
      EXPECT_TRUE (answers) << fault;
      sst_set_fault (server, fault, 0);
      EXPECT_TRUE (run_until ([&] { return !answers; }, 1000)) << fault;
      sst_clear_faults (server);
      EXPECT_TRUE (run_until ([&] { return answers; }, 3000)) << fault;
      prb_stop (probe);
    }
}

/* Guards against a slow store that is reported as unreachable: the users'
   store may take a hundred times as long as usual.  */
TEST_F (Probe, ToleratesASlowStore)
{
  sst_set_delay (server, 300 * CLK_MILLISECOND);
  prb_start (probe);
  run_for (2500);
  EXPECT_EQ (changes, 0);
}

/* Guards against unnecessary probes while the store answers other calls, and
   against calls by a stopped probe.  */
TEST_F (Probe, MakesNoCallsWhileOtherCallsAreAnswered)
{
  struct sto_request request = {};
  uint64_t own = 0;

  request.operation = STO_GET;
  request.kind = "config";
  request.name = "main";

  prb_start (probe);
  run_for (100);
  for (int i = 0; i < 10; i++)
    {
      sto_start (
          store, &request, evl_now (loop) + CLK_SECOND,
          [] (void *, const struct sto_request *, const struct sto_reply *) {},
          nullptr);
      own++;
      run_for (200);
    }
  EXPECT_EQ (sto_call_count (store), own + 1);
  prb_stop (probe);
  run_for (1000);
  EXPECT_EQ (sto_call_count (store), own + 1);
}
