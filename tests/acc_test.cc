/* Account of the memory held for callers.  */

#include "acc/acc.h"

#include <gtest/gtest.h>
#include <vector>

#define MEMORY (160u * 1024u * 1024u)
#define LONG_ANSWER (1024u * 1024u)

class Account : public testing::Test
{
protected:
  Account ()
  {
    acc_init (&account, MEMORY);
    account.close_slowest = close_slowest;
    account.context = this;
  }
  /* Closes a connection that holds a number of bytes.  */
  static bool
  close_slowest (void *context)
  {
    Account *self = static_cast<Account *> (context);

    if (self->held.empty ())
      return false;
    acc_return (&self->account, ACC_UNSENT, self->held.front ());
    self->held.erase (self->held.begin ());
    self->closed++;
    return true;
  }
  void
  hold (size_t length)
  {
    ASSERT_TRUE (acc_take (&account, ACC_UNSENT, length));
    held.push_back (length);
  }
  struct acc account = {};
  std::vector<size_t> held; /* of connections, the slowest first */
  unsigned closed = 0;
};

/* Guards against limits that together leave nothing for the rest of the
   process, and against a response that passes a gate and not the account.  */
TEST_F (Account, LeavesMemoryForTheProcess)
{
  for (size_t mb : { 16u, 96u, 160u, 512u })
    {
      struct acc_limits limits = acc_limits_of (mb * 1024 * 1024);
      size_t sum = limits.caller_bodies + limits.gate_bodies
                   + limits.gate_responses + limits.answers + limits.read_ahead
                   + limits.replies;

      EXPECT_LT (sum, mb * 1024 * 1024 * 17 / 20) << mb;
      acc_init (&account, mb * 1024 * 1024);
      EXPECT_TRUE (acc_fits (&account, ACC_PARTIAL, limits.gate_responses));
      EXPECT_EQ (account.caller_bodies.max_bytes, limits.caller_bodies);
    }
}

/* Guards against more connections that are closed than needed, and against
   bytes that are taken although they do not fit.  */
TEST_F (Account, ClosesTheSlowestUntilAnAnswerFits)
{
  size_t limit = account.limits.answers;

  hold (limit / 4);
  hold (limit / 4);
  hold (limit / 4);
  EXPECT_TRUE (acc_take (&account, ACC_UNSENT, limit / 3));
  EXPECT_EQ (closed, 1u);
  EXPECT_TRUE (acc_take (&account, ACC_PARTIAL, limit / 2));
  EXPECT_EQ (closed, 3u);
  EXPECT_FALSE (acc_take (&account, ACC_PARTIAL, limit / 3));
  EXPECT_EQ (account.used[ACC_UNSENT], limit / 3);
  EXPECT_EQ (account.used[ACC_PARTIAL], limit / 2);
}

/* Guards against long answers that leave no room for short ones.  */
TEST_F (Account, KeepsAReserveForShortAnswers)
{
  while (acc_fits (&account, ACC_UNSENT, LONG_ANSWER))
    hold (LONG_ANSWER);
  EXPECT_TRUE (acc_take (&account, ACC_UNSENT, 4096));
  EXPECT_EQ (closed, 0u);
  EXPECT_LE (account.used[ACC_UNSENT], account.limits.answers);
}

/* Guards against callers that are refused because others read slowly: closing
   those makes room.  */
TEST_F (Account, IsShortOnlyOfWhatCannotBeClosed)
{
  while (acc_fits (&account, ACC_UNSENT, LONG_ANSWER))
    hold (LONG_ANSWER);
  EXPECT_FALSE (acc_is_short (&account));
  held.clear ();
  account.used[ACC_UNSENT] = 0;
  EXPECT_TRUE (
      acc_take (&account, ACC_PARTIAL, account.limits.answers / 2 + 1));
  EXPECT_TRUE (acc_is_short (&account));
  acc_return (&account, ACC_PARTIAL, account.limits.answers / 2 + 1);
  EXPECT_FALSE (acc_is_short (&account));
}

/* Guards against connections that are closed for requests read ahead, which
   wait in the socket instead.  */
TEST_F (Account, ClosesNothingForReadAhead)
{
  hold (LONG_ANSWER);
  EXPECT_TRUE (acc_take (&account, ACC_READ_AHEAD, account.limits.read_ahead));
  EXPECT_FALSE (acc_take (&account, ACC_READ_AHEAD, 1));
  EXPECT_EQ (closed, 0u);
}
