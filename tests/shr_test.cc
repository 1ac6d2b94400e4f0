/* Shares of tenants, and the order of calls that follows from them.  */

#include "base/rnd.h"
#include "que/que.h"
#include "shr/shr.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <vector>

static const clk_time ms = CLK_MILLISECOND;

class Shares : public testing::Test
{
protected:
  /* Counts one call of a tenant.  */
  uint32_t
  use (uint32_t hash, double weight, clk_time service = 100 * ms)
  {
    uint32_t tenant = shr_acquire (shares.get (), hash, weight, now);

    shr_charge (shares.get (), tenant, service, now);
    shr_release (shares.get (), tenant);
    return tenant;
  }
  bool
  is_over (uint32_t tenant)
  {
    shr_fade (shares.get (), now);
    return shr_is_over (shares.get (), tenant);
  }
  std::unique_ptr<struct shr> shares{ new struct shr () };
  clk_time now = 1000 * ms;
};

/* Guards against a tenant that is held back while nobody else calls: unused
   capacity is lent.  */
TEST_F (Shares, AreLentToASingleTenant)
{
  for (int i = 0; i < 500; i++, now += 10 * ms)
    EXPECT_FALSE (is_over (use (1, 5)));
}

/* Guards against a tenant beyond its share that counts as within it, and
   against the others that count as beyond it with it.  */
TEST_F (Shares, TellTheTenantThatUsesMore)
{
  for (int i = 0; i < 200; i++, now += 10 * ms)
    {
      for (int j = 0; j < 6; j++)
        use (1, 10);
      use (2, 10);
      use (3, 10);
    }
  EXPECT_TRUE (is_over (use (1, 10)));
  EXPECT_FALSE (is_over (use (2, 10)));
  EXPECT_FALSE (is_over (use (3, 10)));
}

/* Guards against a large tenant that is held back because it uses more than a
   small one: its rate is its weight, and a tenant without one counts as an
   average one.  */
TEST_F (Shares, FollowTheWeights)
{
  for (int i = 0; i < 200; i++, now += 10 * ms)
    {
      for (int j = 0; j < 8; j++)
        use (1, 80);
      use (2, 10);
      for (int j = 0; j < 4; j++)
        use (3, 0);
    }
  EXPECT_FALSE (is_over (use (1, 80)));
  EXPECT_FALSE (is_over (use (2, 10)));
  EXPECT_FALSE (is_over (use (3, 0)));
}

/* Guards against a tenant with few calls that is held back for a clump of two
   or three.  */
TEST_F (Shares, AllowClumpsOfSmallTenants)
{
  for (int i = 0; i < 200; i++, now += 10 * ms)
    use (1, 100);
  use (2, 1);
  use (2, 1);
  EXPECT_FALSE (is_over (use (2, 1)));
}

/* Guards against a tenant that stays behind after its burst.  */
TEST_F (Shares, ForgetABurst)
{
  for (int i = 0; i < 200; i++, now += 10 * ms)
    {
      for (int j = 0; j < 2; j++)
        use (1, 10);
      use (2, 10);
    }
  ASSERT_TRUE (is_over (use (1, 10)));
  for (int i = 0; i < 300; i++, now += 10 * ms)
    {
      use (1, 10);
      use (2, 10);
    }
  EXPECT_FALSE (is_over (use (1, 10)));
}

/* Guards against a table that is full for good, and against handles of calls
   that wait while their tenant is forgotten.  */
TEST_F (Shares, ForgetTenantsWithoutCalls)
{
  std::vector<uint32_t> held;

  for (uint32_t i = 0; i < SHR_MAX_TENANTS; i++)
    held.push_back (shr_acquire (shares.get (), i + 1, 1, now));
  EXPECT_EQ (shr_acquire (shares.get (), 1000, 1, now), SHR_NONE);
  EXPECT_FALSE (shr_is_over (shares.get (), SHR_NONE));
  now += 60 * CLK_SECOND;
  EXPECT_EQ (shr_acquire (shares.get (), 1000, 1, now), SHR_NONE);
  for (uint32_t tenant : held)
    shr_release (shares.get (), tenant);
  now += CLK_SECOND;
  EXPECT_NE (shr_acquire (shares.get (), 1000, 1, now), SHR_NONE);
}

/* A gate with slots, a queue, and tenants that send calls at fixed rates.  */
class HotTenant : public testing::Test
{
protected:
  struct Call
  {
    uint32_t hash;
    clk_time arrival;
  };

  static const int slots = 6;
  static const clk_time service = 200 * ms;
  static const clk_time target = 800 * ms;
  static const clk_time deadline = 5000 * ms;

  void
  arrive (uint32_t hash, double weight)
  {
    auto call = std::make_unique<Call> (Call{ hash, now });
    struct que_item item = { call.get (),    1,        service, now + target,
                             now + deadline, SHR_NONE, false };

    asked[hash]++;
    item.tenant = shr_acquire (&queue->shares, hash, weight, now);
    queue->dequeue_interval = service / slots;
    if (que_estimate_wait (queue.get (), &item, now) > target - service
        || !que_push (queue.get (), &item))
      {
        shr_release (&queue->shares, item.tenant);
        return;
      }
    handles[call.get ()] = item.tenant;
    calls.push_back (std::move (call));
  }

  void
  start_calls ()
  {
    void *next;

    while (void *expired = que_expire (queue.get (), now))
      shr_release (&queue->shares, handles[expired]);
    for (auto &end : ends)
      while (end <= now && (next = que_pop (queue.get (), now)) != nullptr)
        {
          const Call *call = static_cast<Call *> (next);

          shr_charge (&queue->shares, handles[next], service, now);
          shr_release (&queue->shares, handles[next]);
          end = now + service;
          if (end <= call->arrival + target)
            on_time[call->hash]++;
        }
  }

  double
  part_on_time (uint32_t hash)
  {
    return (double)on_time[hash] / asked[hash];
  }

  std::unique_ptr<struct que> queue{ new struct que () };
  std::vector<std::unique_ptr<Call> > calls;
  std::map<void *, uint32_t> handles;
  clk_time ends[slots] = {};
  std::map<uint32_t, int> asked;
  std::map<uint32_t, int> on_time;
  clk_time now = 1000 * ms;
};

/* Guards against one tenant at eight times its usual that takes the slots of
   the others: a gate of 30 calls a second at which three tenants send 8 a
   second each, and one of them 64 for six seconds.  */
TEST_F (HotTenant, LeavesTheOthersTheirShare)
{
  struct rnd random;

  rnd_init (&random, 11);
  for (int i = 0; i < 8000; i++, now += ms)
    {
      for (uint32_t hash = 1; hash <= 3; hash++)
        {
          bool hot = hash == 1 && i >= 1000 && i < 7000;

          if (rnd_unit (&random) < (hot ? 0.064 : 0.008))
            arrive (hash, 10);
        }
      start_calls ();
    }
  EXPECT_GT (part_on_time (2), 0.9);
  EXPECT_GT (part_on_time (3), 0.9);
  EXPECT_GT (on_time[1], 40);
}

/* Guards against slots that stay free while a tenant over its share waits.  */
TEST_F (HotTenant, GetsWhatTheOthersLeave)
{
  struct rnd random;

  rnd_init (&random, 12);
  for (int i = 0; i < 8000; i++, now += ms)
    {
      if (rnd_unit (&random) < 0.064)
        arrive (1, 10);
      if (rnd_unit (&random) < 0.002)
        arrive (2, 10);
      start_calls ();
    }
  EXPECT_GT (on_time[1] + on_time[2], 200);
  EXPECT_GT (part_on_time (2), 0.9);
}
