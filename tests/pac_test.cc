/* Pacer of long bodies.  */

#include "pac/pac.h"

#include <gtest/gtest.h>

static const clk_time ms = CLK_MILLISECOND;

/* Guards against a link that is filled although its rate is known: frames of
   16 KB at 1 MB a second for ten seconds, with pauses.  */
TEST (Pacer, KeepsTheRateInEveryWindow)
{
  struct pac pacer;
  clk_time now = CLK_SECOND;
  size_t sent = 0;

  pac_init (&pacer, 1e6, now);
  for (int i = 0; i < 10000; i++, now += ms)
    {
      clk_time start = CLK_SECOND + (clk_time)(i / 1000) * CLK_SECOND;

      if (now == start)
        sent = 0;
      if (i % 1000 > 700)
        continue;
      while (pac_may_send (&pacer, now))
        {
          pac_count (&pacer, 16384);
          sent += 16384;
          EXPECT_LE ((double)sent,
                     1e6 * (double)(now - start) / 1e9 + 10000 + 2 * 16384);
        }
    }
}

/* Guards against a sender that wakes too early, again and again, or much too
   late.  */
TEST (Pacer, SaysWhenToSendNext)
{
  struct pac pacer;

  pac_init (&pacer, 1e6, 0);
  ASSERT_TRUE (pac_may_send (&pacer, ms));
  pac_count (&pacer, 20000);
  EXPECT_FALSE (pac_may_send (&pacer, ms));
  clk_time next = pac_next_time (&pacer, ms);

  EXPECT_GT (next, ms);
  EXPECT_LE (next, 21 * ms);
  EXPECT_TRUE (pac_may_send (&pacer, next + 1000));
  EXPECT_EQ (pac_time_of (&pacer, 1e6), CLK_SECOND);
}

/* Guards against VMs whose bandwidth is unknown that hold bodies back.  */
TEST (Pacer, WithoutARateHoldsNothingBack)
{
  struct pac pacer;

  pac_init (&pacer, 0, 0);
  for (int i = 0; i < 100; i++)
    {
      EXPECT_TRUE (pac_may_send (&pacer, 0));
      pac_count (&pacer, 1u << 20);
    }
  EXPECT_EQ (pac_time_of (&pacer, 1e9), 0);
}
