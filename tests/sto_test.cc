/* Client of the platform's store.  */

#include "base/err.h"
#include "pfm.h"
#include "pfm_names.h"
#include "sst.h"
#include "sto/sto.h"
#include "support/loop_test.h"

class Store : public LoopTest
{
protected:
  Store ()
  {
    struct net_address address = allocate_address ();

    stand_in = sst_create (loop, address);
    EXPECT_NE (stand_in, nullptr) << err_last ();
    store = sto_create (loop, address, &pfm_platform);
  }
  ~Store () override
  {
    sto_destroy (store);
    sst_destroy (stand_in);
    run_for (5);
  }
  static void
  on_reply (void *context, const struct sto_request *,
            const struct sto_reply *reply)
  {
    *static_cast<int *> (context) = reply->status;
  }
  /* Lists a kind and returns the status.  */
  int
  list ()
  {
    struct sto_request request = {};
    int status = -1;

    request.operation = STO_LIST;
    request.kind = PFM_CONFIG_KIND;
    sto_start (store, &request, evl_now (loop) + CLK_SECOND, on_reply,
               &status);
    run_until ([&] { return status >= 0; });
    return status;
  }

  struct sst *stand_in;
  struct sto *store;
};

/* Guards against a distance that a slow store or a long reply makes large, so
   that nodes far from the platform watch it in place of near ones
   (garmi-mesh-grown trouble-3: 31 to 92 ms instead of 1 to 17).  */
TEST_F (Store, MeasuresItsDistanceWithoutTheReply)
{
  sst_set_delay (stand_in, 300 * CLK_MILLISECOND);
  EXPECT_EQ (sto_round_trip_time (store), 0);
  ASSERT_EQ (list (), STO_OK);
  EXPECT_GT (sto_round_trip_time (store), 0);
  EXPECT_LT (sto_round_trip_time (store), 150 * CLK_MILLISECOND);
}

/* Guards against a distance that is not known before the first call, and
   against a connection that is opened for nothing.  */
TEST_F (Store, KnowsItsDistanceBeforeTheFirstCall)
{
  sto_connect (store);
  EXPECT_TRUE (run_until ([&] { return sto_round_trip_time (store) > 0; }));
  EXPECT_EQ (sst_call_count (stand_in), 0u);
  EXPECT_EQ (list (), STO_OK);
}
