/* Admission: limits, order, eviction, deadlines.  */

#include "adm/adm.h"
#include "base/rnd.h"
#include "support/support.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <vector>

static struct adm_limits
make_limits (uint32_t slots, uint32_t queue, uint32_t reserve)
{
  struct adm_limits limits = {
    slots, queue, reserve, { 0, 0 }, { DOC_AT_MOST_ONCE, DOC_IDEMPOTENT }
  };

  return limits;
}

class Admission : public testing::Test
{
protected:
  void
  open (struct adm_limits limits)
  {
    adm = adm_create (&limits);
  }
  void
  TearDown () override
  {
    adm_destroy (adm);
  }
  enum adm_status
  offer (enum doc_class call_class, clk_time deadline, uint64_t tenant = 0,
         uint32_t tenant_max = 0)
  {
    struct adm_request request = { call_class, tenant, tenant_max, deadline };

    return adm_offer (adm, &request, now, &handle, &evicted);
  }
  struct adm *adm = nullptr;
  clk_time now = 0;
  int handle = ADM_NONE;
  int evicted = ADM_NONE;
};

/* Guards against more calls at the upstream than it has slots, also when it
   announces fewer.  */
TEST_F (Admission, RunsAtMostAsManyCallsAsSlots)
{
  struct adm_limits fewer = make_limits (1, 8, 0);

  open (make_limits (2, 8, 0));
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 100), ADM_RUN);
  int first = handle;
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 100), ADM_RUN);
  int second = handle;
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 100), ADM_QUEUED);
  EXPECT_EQ (adm_next (adm, now), ADM_NONE);
  adm_set_limits (adm, &fewer);
  adm_finish (adm, first, 1);
  EXPECT_EQ (adm_next (adm, now), ADM_NONE);
  adm_finish (adm, second, 1);
  EXPECT_EQ (adm_next (adm, now), handle);
}

/* Guards against a full queue of repeatable calls that shuts out others.  */
TEST_F (Admission, OnceCallsHaveAReserveAndEvictRepeatableOnes)
{
  open (make_limits (1, 3, 1));
  EXPECT_EQ (offer (DOC_IDEMPOTENT, 100), ADM_RUN);
  EXPECT_EQ (offer (DOC_IDEMPOTENT, 100), ADM_QUEUED);
  EXPECT_EQ (offer (DOC_IDEMPOTENT, 200), ADM_QUEUED);
  int last = handle;
  EXPECT_EQ (offer (DOC_IDEMPOTENT, 100), ADM_FULL);
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 100), ADM_QUEUED);
  EXPECT_EQ (evicted, ADM_NONE);
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 100), ADM_QUEUED);
  EXPECT_EQ (evicted, last);
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 100), ADM_QUEUED);
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 100), ADM_FULL);
}

/* Guards against work for a caller that will have given up, and against an
   estimate that refuses everything for ever after a slow period.  */
TEST_F (Admission, RefusesADeadlineThatCannotBeMet)
{
  open (make_limits (1, 8, 0));
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 0), ADM_TOO_LATE);
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 1000), ADM_RUN);
  adm_finish (adm, handle, 100);
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 1000), ADM_RUN);
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 149), ADM_TOO_LATE);
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 150), ADM_QUEUED);
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 249), ADM_TOO_LATE);
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 250), ADM_QUEUED);
  TearDown ();
  open (make_limits (1, 8, 0));
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 1000), ADM_RUN);
  adm_finish (adm, handle, 1000000);
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 1000), ADM_RUN);
}

/* Guards against one tenant, or one class, that takes the whole gate.  */
TEST_F (Admission, LimitsTenantsAndClasses)
{
  struct adm_limits limits = make_limits (4, 8, 0);

  limits.class_max[DOC_IDEMPOTENT] = 2;
  open (limits);
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 100, 7, 1), ADM_RUN);
  EXPECT_EQ (offer (DOC_AT_MOST_ONCE, 100, 7, 1), ADM_TENANT_FULL);
  EXPECT_EQ (offer (DOC_IDEMPOTENT, 100, 8, 1), ADM_RUN);
  EXPECT_EQ (offer (DOC_IDEMPOTENT, 100), ADM_RUN);
  EXPECT_EQ (offer (DOC_IDEMPOTENT, 100), ADM_CLASS_FULL);
}

/* Guards against queued calls that wait past their deadline.  */
TEST_F (Admission, ExpiresQueuedCalls)
{
  open (make_limits (1, 8, 0));
  offer (DOC_AT_MOST_ONCE, 100);
  int running = handle;
  ASSERT_EQ (offer (DOC_AT_MOST_ONCE, 50), ADM_QUEUED);
  int queued = handle;
  EXPECT_EQ (adm_expire (adm, 49), ADM_NONE);
  adm_finish (adm, running, -1);
  EXPECT_EQ (adm_next (adm, 50), ADM_NONE);
  EXPECT_EQ (adm_expire (adm, 50), queued);
  EXPECT_FALSE (adm_remove (adm, queued));
}

/* Guards against starting a call that the deadline will cut off: its outcome
   would be unknown and its execution wasted.  */
TEST_F (Admission, StartsNoCallThatCannotEndInTime)
{
  open (make_limits (2, 8, 0));
  offer (DOC_AT_MOST_ONCE, 100);
  adm_finish (adm, handle, 10);
  offer (DOC_AT_MOST_ONCE, 100);
  int first = handle;
  offer (DOC_AT_MOST_ONCE, 100);
  int second = handle;
  ASSERT_EQ (offer (DOC_AT_MOST_ONCE, 25), ADM_QUEUED);
  int late = handle;
  adm_finish (adm, first, -1);
  EXPECT_TRUE (adm_can_end (adm, late, 15));
  EXPECT_FALSE (adm_can_end (adm, late, 16));
  EXPECT_EQ (adm_next (adm, 16), ADM_NONE);
  /* Without a running call it may try.  */
  adm_finish (adm, second, -1);
  EXPECT_EQ (adm_next (adm, 16), late);
}

struct waiting
{
  enum doc_class call_class;
  clk_time deadline;
  unsigned long arrival;
};

/* Linear reference: the handle that runs next.  */
static int
naive_next (const std::map<int, waiting> &queue,
            const struct adm_limits &limits, clk_time now)
{
  int best = ADM_NONE;
  auto key = [&] (const waiting &item) {
    return std::make_tuple (item.call_class != limits.preference[0],
                            item.deadline, item.arrival);
  };

  for (auto &[handle, item] : queue)
    if (item.deadline > now
        && (best == ADM_NONE || key (item) < key (queue.at (best))))
      best = handle;
  return best;
}

/* Guards against a queue that loses, repeats or reorders calls under any
   mix of arrivals, ends, cancellations, expiry and changed preference.  */
TEST_F (Admission, AgreesWithALinearReference)
{
  for (unsigned long seed = 1; seed <= 20; seed++)
    {
      SCOPED_TRACE (test_seed_note (seed));
      struct adm_limits limits = make_limits (3, 16, 4);
      std::map<int, waiting> queue;
      std::vector<int> running;
      struct rnd random;

      rnd_init (&random, seed);
      open (limits);
      for (unsigned long step = 0; step < 3000; step++, now++)
        {
          uint32_t dice = rnd_below (&random, 10);
          auto call_class = (enum doc_class)rnd_below (&random, 2);
          clk_time deadline = now + 1 + rnd_below (&random, 60);

          if (dice < 5)
            {
              enum adm_status status = offer (call_class, deadline);

              if (evicted != ADM_NONE)
                {
                  ASSERT_EQ (queue.at (evicted).call_class, DOC_IDEMPOTENT);
                  ASSERT_EQ (queue.size (), 16u);
                  queue.erase (evicted);
                }
              if (status == ADM_RUN)
                running.push_back (handle);
              else if (status == ADM_QUEUED)
                queue[handle] = { call_class, deadline, step };
            }
          else if (dice < 8 && !running.empty ())
            {
              adm_finish (adm, running.back (), 0);
              running.pop_back ();
              int expected = naive_next (queue, limits, now);
              ASSERT_EQ (adm_next (adm, now), expected);
              if (expected != ADM_NONE)
                {
                  queue.erase (expected);
                  running.push_back (expected);
                }
            }
          else if (dice == 8 && !queue.empty ())
            {
              ASSERT_TRUE (adm_remove (adm, queue.begin ()->first));
              queue.erase (queue.begin ());
            }
          else
            {
              std::swap (limits.preference[0], limits.preference[1]);
              adm_set_limits (adm, &limits);
              for (int old; (old = adm_expire (adm, now)) != ADM_NONE;)
                {
                  ASSERT_LE (queue.at (old).deadline, now);
                  queue.erase (old);
                }
            }
          ASSERT_EQ (adm_queued (adm), queue.size ());
          ASSERT_EQ (adm_running (adm), running.size ());
          ASSERT_LE (running.size (), 3u);
        }
      adm_destroy (adm);
      adm = nullptr;
    }
}
