/* Retry decision and budget.  */

#include "rty/rty.h"

#include <gtest/gtest.h>

namespace
{
rty_attempt
make_state (doc_class call_class, out_outcome outcome)
{
  rty_attempt state = {};

  state.call_class = call_class;
  state.outcome = outcome;
  state.retries_left = RTY_MAX_RETRIES;
  state.time_left = CLK_SECOND;
  return state;
}

/* A chain of nodes whose leaf always fails; counts tries at the leaf.  */
struct chain
{
  bool naive = false;
  rty_budget budgets[8];
  unsigned leaf_tries = 0;

  /* Returns whether retries are spent.  */
  bool
  run (int depth, uint32_t retries)
  {
    for (uint32_t tries = 1;; tries++)
      {
        bool spent = false;

        if (depth == 7)
          leaf_tries++;
        else
          spent = run (depth + 1, retries);
        if (naive)
          {
            if (tries == 3)
              return false;
            continue;
          }
        rty_attempt state = make_state (DOC_IDEMPOTENT, OUT_UNKNOWN);
        state.retries_exhausted = spent;
        state.retries_left = retries;
        state.gate_queried = true;
        rty_action action = rty_decide (&state, &budgets[depth]);
        if (action != RTY_RETRY_ELSEWHERE)
          return action == RTY_RETURN_EXHAUSTED;
        retries--;
      }
  }
};
}

/* Guards against retries that multiply from hop to hop: naive retries make 3^8
   tries for each call.  */
TEST (Retry, EightHopsWithAFailingLeafMakeAtMostOnePointTwoTries)
{
  const unsigned calls = 1000;
  chain mine;
  chain naive;

  for (auto &budget : mine.budgets)
    rty_budget_init (&budget);
  for (unsigned i = 0; i < calls; i++)
    mine.run (0, RTY_MAX_RETRIES);
  naive.naive = true;
  naive.run (0, RTY_MAX_RETRIES);
  printf ("tries per call %.3f, naive %u\n", (double)mine.leaf_tries / calls,
          naive.leaf_tries);
  EXPECT_LE ((double)mine.leaf_tries / calls, 1.2);
  EXPECT_EQ (naive.leaf_tries, 6561u);
}

/* Guards against running a call twice that must run at most once.  */
TEST (Retry, OnceMovesOnlyWhenNotRun)
{
  rty_budget budget;
  rty_attempt state = make_state (DOC_AT_MOST_ONCE, OUT_UNKNOWN);

  rty_budget_init (&budget);
  state.link_lost = true;
  EXPECT_EQ (rty_decide (&state, &budget), RTY_QUERY_GATE);
  state.gate_queried = true;
  EXPECT_EQ (rty_decide (&state, &budget), RTY_RETURN);
  state.outcome = OUT_ANSWERED;
  state.status = 503;
  EXPECT_EQ (rty_decide (&state, &budget), RTY_RETURN);
  state.outcome = OUT_NOT_RUN;
  EXPECT_EQ (rty_decide (&state, &budget), RTY_RETRY_ELSEWHERE);
  state.pinned = true;
  EXPECT_EQ (rty_decide (&state, &budget), RTY_RETURN_EXHAUSTED);
}

/* Guards against retries beyond the chain's, the answer's or the time's
   limit.  */
TEST (Retry, StopsAtEachLimit)
{
  rty_budget budget;
  rty_attempt state = make_state (DOC_IDEMPOTENT, OUT_NOT_RUN);

  rty_budget_init (&budget);
  state.retries_exhausted = true;
  EXPECT_EQ (rty_decide (&state, &budget), RTY_RETURN_EXHAUSTED);
  state.retries_exhausted = false;
  state.retries_left = 0;
  EXPECT_EQ (rty_decide (&state, &budget), RTY_RETURN_EXHAUSTED);
  state.retries_left = 1;
  state.time_left = 0;
  EXPECT_EQ (rty_decide (&state, &budget), RTY_RETURN_EXHAUSTED);
  EXPECT_EQ (budget.tokens, RTY_MAX_TOKENS);
}

/* Guards against a budget that exceeds a tenth of the successes.  */
TEST (Retry, BudgetIsATenthOfSuccessesAndBounded)
{
  rty_budget budget;
  rty_attempt state = make_state (DOC_IDEMPOTENT, OUT_NOT_RUN);
  unsigned retries = 0;

  rty_budget_init (&budget);
  for (int i = 0; i < 1000; i++)
    rty_budget_refill (&budget);
  EXPECT_EQ (budget.tokens, RTY_MAX_TOKENS);
  while (rty_decide (&state, &budget) == RTY_RETRY_ELSEWHERE)
    retries++;
  EXPECT_EQ (retries, 10u);
  for (int i = 0; i < 100; i++)
    rty_budget_refill (&budget);
  while (rty_decide (&state, &budget) == RTY_RETRY_ELSEWHERE)
    retries++;
  EXPECT_EQ (retries, 20u);
}

/* Guards against a service with one member that uses up the node's budget by
   retries which find no other member.  */
TEST (Retry, AReturnedTokenCanBeTakenAgain)
{
  rty_budget budget;
  rty_attempt state = make_state (DOC_IDEMPOTENT, OUT_NOT_RUN);

  rty_budget_init (&budget);
  for (int i = 0; i < 1000; i++)
    {
      ASSERT_EQ (rty_decide (&state, &budget), RTY_RETRY_ELSEWHERE);
      rty_budget_refund (&budget);
    }
  for (int i = 0; i < RTY_MAX_TOKENS / RTY_TOKENS_PER_RETRY; i++)
    ASSERT_EQ (rty_decide (&state, &budget), RTY_RETRY_ELSEWHERE);
  EXPECT_EQ (rty_decide (&state, &budget), RTY_RETURN_EXHAUSTED);
}
