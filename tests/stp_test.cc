/* Tests the steps of a planned shutdown.  */

#include "stp/stp.h"

#include <gtest/gtest.h>

static const clk_time start = 100 * CLK_SECOND;
static const clk_time grace = 6 * CLK_SECOND;

class Shutdown : public testing::Test
{
protected:
  /* Returns the steps at MS after the start.  */
  struct stp_steps
  at (int ms, int last_request_ms, size_t requests = 0, size_t calls = 0,
      bool is_accepting = true) const
  {
    struct stp_state state = {};

    state.now = start + ms * CLK_MILLISECOND;
    state.last_request_at = start + last_request_ms * CLK_MILLISECOND;
    state.is_accepting = is_accepting;
    state.request_count = requests;
    state.call_count = calls;
    return stp_check (&shutdown, &state);
  }

  struct stp shutdown = stp_begin (start, grace);
};

/* Guards against a node that drains its upstream, or ends, before its callers
   know of the shutdown.  */
TEST_F (Shutdown, DoesNothingUntilCallersKnow)
{
  struct stp_steps steps = at (2000, -5000);

  EXPECT_FALSE (steps.drain);
  EXPECT_FALSE (steps.stop_accepting);
  EXPECT_FALSE (steps.stop);
}

/* Guards against a stop that is longer than necessary.  */
TEST_F (Shutdown, EndsWhenCallersHaveLeft)
{
  EXPECT_TRUE (at (2400, 1800).stop_accepting);
  EXPECT_TRUE (at (3000, 2400).stop_accepting);
  EXPECT_TRUE (at (2400, 1800, 0, 0, false).stop);
}

/* Guards against requests that arrive just before the node stops accepting and
   are cut off by its end.  */
TEST_F (Shutdown, EndsOnlyAfterTheEndOfAccepting)
{
  EXPECT_FALSE (at (2400, 1800).stop);
  EXPECT_FALSE (at (2400, 2400, 1, 0, false).stop);
  EXPECT_TRUE (at (2500, 2400, 0, 0, false).stop);
}

/* Guards against callers that find no node: those that come although the
   readiness probe fails.  */
TEST_F (Shutdown, GoesOnWhileCallersCome)
{
  for (int ms = 2400; ms < 5300; ms += 100)
    {
      struct stp_steps steps = at (ms, ms - 100);

      EXPECT_TRUE (steps.drain);
      EXPECT_FALSE (steps.stop_accepting) << ms;
      EXPECT_FALSE (steps.stop) << ms;
    }
}

/* Guards against requests in progress, or calls that still run at the upstream
   and may make calls of their own, that are cut off by an early end.  */
TEST_F (Shutdown, WaitsForWhatIsInProgress)
{
  EXPECT_FALSE (at (4000, 1000, 1, 0).stop_accepting);
  EXPECT_FALSE (at (4000, 1000, 0, 1).stop_accepting);
  EXPECT_FALSE (at (5500, 5300, 1, 0).stop);
}

/* Guards against answers to calls of other nodes that are cut while they are
   being sent.  */
TEST_F (Shutdown, WaitsForUnsentAnswers)
{
  struct stp_state state = {};

  state.now = start + 4 * CLK_SECOND;
  state.last_request_at = start;
  state.unsent_bytes = 1;
  EXPECT_FALSE (stp_check (&shutdown, &state).stop);
  state.unsent_bytes = 0;
  EXPECT_TRUE (stp_check (&shutdown, &state).stop);
}

/* Guards against requests that are accepted when their callers have long known
   of the shutdown, and are broken off at its end: with a long grace period
   half of it is later than that.  */
TEST_F (Shutdown, ScreensRequestsOnceCallersKnow)
{
  EXPECT_EQ (shutdown.screen_at, start + 3 * CLK_SECOND);
  EXPECT_EQ (stp_begin (start, 10 * CLK_SECOND).screen_at,
             start + 3 * CLK_SECOND);
  EXPECT_EQ (stp_begin (start, 4 * CLK_SECOND).screen_at,
             start + 2 * CLK_SECOND);
}

/* Guards against a process that is still there when it is killed, and against
   requests that are accepted so late that they are cut off.  */
TEST_F (Shutdown, EndsBeforeTheGracePeriod)
{
  EXPECT_TRUE (at (5450, 5440, 1, 1).stop_accepting);
  EXPECT_TRUE (at (5600, 5590, 1, 1).stop);
  EXPECT_LT (shutdown.answer_by, shutdown.stop_at);
  EXPECT_LT (shutdown.stop_at, start + grace);
}
