/* Order of the calls that wait at a gate.  */

#include "base/rnd.h"
#include "que/que.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <vector>

static const clk_time ms = CLK_MILLISECOND;

class Waiting : public testing::Test
{
protected:
  void
  push (int call, uint32_t priority, clk_time target, clk_time deadline,
        clk_time service = 10 * ms)
  {
    struct que_item item
        = { reinterpret_cast<void *> (static_cast<intptr_t> (call)), priority,
            service, target, deadline };

    EXPECT_TRUE (que_push (queue.get (), &item));
  }
  static int
  number (void *call)
  {
    return static_cast<int> (reinterpret_cast<intptr_t> (call));
  }
  int
  pop (clk_time now)
  {
    return number (que_pop (queue.get (), now));
  }
  std::unique_ptr<struct que> queue{ new struct que () };
};

/* Guards against urgent calls that wait behind others.  */
TEST_F (Waiting, UrgentCallsGoFirst)
{
  push (1, 2, 100 * ms, 500 * ms);
  push (2, 1, 200 * ms, 500 * ms);
  EXPECT_EQ (pop (0), 2);
  EXPECT_EQ (pop (0), 1);
  EXPECT_EQ (pop (0), 0);
}

/* Guards against a call that is late although another one could have
   waited.  */
TEST_F (Waiting, TheEarliestTargetGoesFirst)
{
  push (1, 1, 200 * ms, 500 * ms);
  push (2, 1, 100 * ms, 500 * ms);
  EXPECT_EQ (pop (0), 2);
}

/* Guards against a burst that makes all calls late: those that are late
   already make room, and are served when there is room again.  */
TEST_F (Waiting, LateCallsMakeRoom)
{
  push (1, 1, 50 * ms, 500 * ms);
  push (2, 2, 200 * ms, 500 * ms);
  EXPECT_EQ (pop (60 * ms), 2);
  EXPECT_EQ (pop (60 * ms), 1);
}

/* Guards against calls that take a slot and cannot end in time, and against
   calls that hear of that only at their deadline.  */
TEST_F (Waiting, CallsExpireWhileTheyCouldNotEndInTime)
{
  push (1, 1, 50 * ms, 100 * ms, 30 * ms);
  EXPECT_EQ (que_wake (queue.get ()), 70 * ms);
  EXPECT_EQ (que_expire (queue.get (), 70 * ms), nullptr);
  EXPECT_EQ (number (que_expire (queue.get (), 71 * ms)), 1);
  EXPECT_EQ (que_wake (queue.get ()), CLK_NEVER);
}

/* Guards against a wrong estimate of the wait: only calls that run before
   count.  */
TEST_F (Waiting, CountsTheCallsAhead)
{
  struct que_item item = { nullptr, 1, 10 * ms, 150 * ms, 500 * ms };

  push (1, 0, 500 * ms, 500 * ms);
  push (2, 1, 100 * ms, 500 * ms);
  push (3, 1, 200 * ms, 500 * ms);
  push (4, 2, 100 * ms, 500 * ms);
  EXPECT_EQ (que_ahead (queue.get (), &item, 0), 2u);
}

/* Guards against a queue that grows without bound, and calls that cannot be
   taken out.  */
TEST_F (Waiting, IsBounded)
{
  struct que_item item = { nullptr, 1, ms, ms, ms };
  int removed = 7;

  for (int i = 0; i < QUE_MAX; i++)
    push (i + 1, 1, 100 * ms, 500 * ms);
  EXPECT_FALSE (que_push (queue.get (), &item));
  EXPECT_TRUE (
      que_remove (queue.get (),
                  reinterpret_cast<void *> (static_cast<intptr_t> (removed))));
  EXPECT_FALSE (
      que_remove (queue.get (),
                  reinterpret_cast<void *> (static_cast<intptr_t> (removed))));
  EXPECT_EQ (queue->count, (size_t)QUE_MAX - 1);
}
