/* Base: error messages, time, buffers, queues, random numbers, addresses,
   logging.  */

#include "base/buf.h"
#include "base/clk.h"
#include "base/err.h"
#include "base/log.h"
#include "base/net.h"
#include "base/ring.h"
#include "base/rnd.h"

#include <gtest/gtest.h>
#include <jansson.h>

#include <algorithm>
#include <csignal>
#include <string>
#include <thread>
#include <unistd.h>

/* Guards against a long message without a terminating null byte.  */
TEST (Err, TruncatesLongMessages)
{
  err_set ("%s", std::string (5000, 'x').c_str ());
  EXPECT_EQ (std::string (err_last ()).size (), (size_t)ERR_MESSAGE_SIZE - 1);
  err_set ("inner");
  err_wrap ("outer %d", 7);
  EXPECT_STREQ (err_last (), "outer 7: inner");
}

/* Guards against threads that read each other's messages.  */
TEST (Err, EachThreadHasItsOwnMessage)
{
  err_set ("here");
  std::thread ([] { err_set ("there"); }).join ();
  EXPECT_STREQ (err_last (), "here");
}

/* Guards against a busy loop: a timeout below 1 ms that is rounded down to 0
   makes poll return immediately.  */
TEST (Clk, PollTimeoutIsRoundedUpAndBounded)
{
  EXPECT_EQ (clk_poll_timeout (10, 10, 1000), 0);
  EXPECT_EQ (clk_poll_timeout (10, 11, 1000), 1);
  EXPECT_EQ (clk_poll_timeout (0, 5 * CLK_MILLISECOND, 1000), 5);
  EXPECT_EQ (clk_poll_timeout (0, CLK_NEVER, 1000), 1000);
}

/* Guards against text that is not null-terminated after the buffer has
   grown.  */
TEST (Buf, IsTerminatedAfterGrowth)
{
  struct buf buffer = {};

  for (int i = 0; i < 1000; i++)
    buf_printf (&buffer, "%d,", i);
  EXPECT_EQ (std::string (buf_text (&buffer)).size (), buffer.length);
  buf_close (&buffer);
  EXPECT_STREQ (buf_text (&buffer), "");
}

/* Guards against items that are lost or reordered when the queue is full.  */
TEST (Ring, RejectsItemsWhenFullAndKeepsOrder)
{
  struct ring *ring = ring_create (2);
  int items[3];

  EXPECT_TRUE (ring_push (ring, &items[0]));
  EXPECT_TRUE (ring_push (ring, &items[1]));
  EXPECT_FALSE (ring_push (ring, &items[2]));
  EXPECT_EQ (ring_pop (ring, 0), &items[0]);
  EXPECT_TRUE (ring_push (ring, &items[2]));
  EXPECT_EQ (ring_pop (ring, 0), &items[1]);
  EXPECT_EQ (ring_pop (ring, 0), &items[2]);
  EXPECT_EQ (ring_pop (ring, 0), nullptr);
  ring_destroy (ring);
}

/* Guards against a consumer that waits forever after the queue is closed.  */
TEST (Ring, CloseWakesAConsumer)
{
  struct ring *ring = ring_create (1);
  std::thread consumer (
      [ring] { EXPECT_EQ (ring_pop (ring, CLK_NEVER), nullptr); });

  ring_close (ring);
  consumer.join ();
  EXPECT_FALSE (ring_push (ring, ring));
  ring_destroy (ring);
}

/* Guards against test runs that cannot be reproduced from their seed.  */
TEST (Rnd, EqualSeedsGiveEqualSequences)
{
  struct rnd first;
  struct rnd second;

  rnd_init (&first, 42);
  rnd_init (&second, 42);
  for (int i = 0; i < 100; i++)
    {
      EXPECT_EQ (rnd_bits64 (&first), rnd_bits64 (&second));
      EXPECT_LT (rnd_below (&first, 10), 10u);
      rnd_below (&second, 10);
    }
  EXPECT_EQ (rnd_below (&first, 0), 0u);
}

/* Guards against accepting an address that is incomplete or out of range.  */
TEST (Net, ParsesOnlyValidAddresses)
{
  struct net_address address;
  char text[NET_TEXT_SIZE];

  ASSERT_TRUE (net_parse ("127.0.0.1:7000", &address));
  net_format (address, text);
  EXPECT_STREQ (text, "127.0.0.1:7000");
  for (const char *bad :
       { "", "127.0.0.1", "127.0.0.1:", ":80", "a:80", "127.0.0.1:80x",
         "127.0.0.1:70000", "1.2.3.4.5:80", "127.0.0.1:-1" })
    EXPECT_FALSE (net_parse (bad, &address)) << bad;
}

/* Guards against lines that are not valid JSON: the appender of log4c writes
   its name before each line.  */
TEST (Log, WritesOneJsonObjectPerLine)
{
  json_error_t error;
  json_t *line;
  std::string text;

  testing::internal::CaptureStdout ();
  ASSERT_EQ (log_init ("n1", "dc-a", LOG_INFO), 0);
  log_set_config_version (7);
  log_write (LOG_INFO, "test", "a \"quoted\" %s", "text\n");
  log_write (LOG_DEBUG, "test", "below the level");
  log_close ();
  text = testing::internal::GetCapturedStdout ();
  line = json_loads (text.c_str (), 0, &error);
  ASSERT_NE (line, nullptr) << text;
  EXPECT_STREQ (json_string_value (json_object_get (line, "message")),
                "a \"quoted\" text\n");
  EXPECT_STREQ (json_string_value (json_object_get (line, "node")), "n1");
  EXPECT_EQ (json_integer_value (json_object_get (line, "version")), 7);
  json_decref (line);
}

/* Guards against lines that are not valid JSON because a caller sent control
   characters or invalid UTF-8, and against lost fields.  */
TEST (Log, EscapesAnyBytes)
{
  struct log_entry entry;
  std::string text;

  testing::internal::CaptureStdout ();
  ASSERT_EQ (log_init ("n1", "dc-a", LOG_INFO), 0);
  ASSERT_TRUE (log_begin (&entry, LOG_INFO, "test", "placed",
                          "a\"b\\\x01\xff\xc3\xa4"));
  log_add_text (&entry, "none", nullptr);
  log_add_text (&entry, "long", std::string (5000, '\x02').c_str ());
  log_add_number (&entry, "count", -5);
  log_add_ms (&entry, "wait_ms", 2500000);
  log_end (&entry);
  log_close ();
  text = testing::internal::GetCapturedStdout ();
  json_t *line = json_loads (text.c_str (), 0, nullptr);
  ASSERT_NE (line, nullptr) << text;
  EXPECT_STREQ (json_string_value (json_object_get (line, "call")),
                "a\"b\\\x01\xc3\xbf\xc3\xa4");
  EXPECT_STREQ (json_string_value (json_object_get (line, "event")), "placed");
  json_decref (line);
  EXPECT_LE (text.size (), (size_t)LOG_LINE_SIZE);
}

/* Guards against a process that is blocked, or cannot end, because the reader
   of its log does not read.  */
TEST (Log, DoesNotBlockOnASlowReader)
{
  int ends[2];
  int saved = dup (STDOUT_FILENO);
  struct log_entry entry;
  clk_time start;

  signal (SIGPIPE, SIG_IGN);
  fflush (stdout);
  ASSERT_EQ (pipe (ends), 0);
  dup2 (ends[1], STDOUT_FILENO);
  ASSERT_EQ (log_init ("n1", "dc-a", LOG_INFO), 0);
  start = clk_now ();
  for (int i = 0; i < 5000; i++)
    {
      static const char *const names[] = { "a", "b", "c", "d", "e", "f" };

      if (log_begin (&entry, LOG_WARNING, "test", names[i % 6], "id"))
        {
          log_add_text (&entry, "filler", std::string (1200, 'x').c_str ());
          log_end (&entry);
        }
    }
  EXPECT_LT (clk_now () - start, CLK_SECOND);
  start = clk_now ();
  log_close ();
  EXPECT_LT (clk_now () - start, CLK_SECOND);
  dup2 (saved, STDOUT_FILENO);
  close (ends[0]);
  close (ends[1]);
  close (saved);
}

/* Guards against a log that grows with the load, and against dropping lines
   about failed requests in favour of those about successful ones.  */
TEST (Log, LimitsTheRateOfAnEvent)
{
  struct log_entry entry;
  int good = 0;
  int failed = 0;

  testing::internal::CaptureStdout ();
  ASSERT_EQ (log_init ("n1", "dc-a", LOG_INFO), 0);
  for (int i = 0; i < 10000; i++)
    {
      std::string id = std::to_string (i);

      if (log_begin (&entry, LOG_INFO, "test", "good", id.c_str ()))
        good++;
      if (log_begin (&entry, LOG_WARNING, "test", "failed", id.c_str ()))
        failed++;
    }
  log_close ();
  testing::internal::GetCapturedStdout ();
  EXPECT_LE (good, 100);
  EXPECT_GE (failed, 2 * good);
  EXPECT_LE (failed, 500);
}

/* Guards against a log that a repeated message fills.  */
TEST (Log, LimitsTheRateOfACallSite)
{
  std::string text;

  testing::internal::CaptureStdout ();
  ASSERT_EQ (log_init ("n1", "dc-a", LOG_INFO), 0);
  for (int i = 0; i < 1000; i++)
    log_write (LOG_INFO, "test", "repeat %d", i);
  log_close ();
  text = testing::internal::GetCapturedStdout ();
  EXPECT_LE (std::count (text.begin (), text.end (), '\n'), 30);
}
