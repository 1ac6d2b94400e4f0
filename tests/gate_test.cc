/* Gate over loopback: outcomes are true, calls run at most once, answers are
   whole, leaving starts nothing and cuts nothing off.  Tests that loop over
   "off" show the failure with the mechanism switched off, then the pass.  */

#include "base/rnd.h"
#include "support/frame_client.h"
#include "support/support.h"
#include "up/up_parse.h"
#include "wire/ctx.h"

#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

static TestCall
make_call (uint64_t number, enum doc_class kind = DOC_AT_MOST_ONCE)
{
  TestCall call;

  call.number = number;
  call.call_class = kind;
  call.target = "/c" + std::to_string (number);
  return call;
}

/* Asks until the call is no longer running.  */
static uint32_t
settle (FrameClient &client, uint64_t number)
{
  uint32_t state;

  while ((state = client.query (number)) == OUT_STATE_RUNNING)
    usleep (1000);
  return state;
}

/* Waits until the gate has nothing in progress.  */
static bool
await_idle (struct gate *gate)
{
  for (int i = 0; i < 20000; i++, usleep (1000))
    if (gate_in_progress (gate) == 0)
      return true;
  return false;
}

/* Guards against I5: a call reported as "not run" by query that runs when its
   frame, cut at any byte, arrives late after all.  */
TEST (NotRun, HoldsForALinkCutAtEachByte)
{
  for (unsigned off : { (unsigned)GATE_FORBID, 0u })
    {
      FakeUpstream upstream;
      TestGate gate (upstream, off);
      size_t length = encode_call (make_call (1000)).size ();
      int broken = 0;

      for (size_t cut = 0; cut <= length; cut++)
        {
          TestCall call = make_call (1000 + cut);
          FrameClient first (gate.address ());

          first.send (encode_call (call).substr (0, cut));
          first.disconnect ();
          FrameClient second (gate.address ());
          uint32_t state = settle (second, call.number);
          second.call (call);
          if (state == OUT_STATE_NOT_RUN && upstream.runs (call.target) > 0)
            broken++;
          /* With the mechanism off, a whole frame that arrives late runs
             again after the query: the failure that this test must show.  */
          if (off == 0)
            {
              EXPECT_LE (upstream.runs (call.target), 1);
            }
        }
      if (off != 0)
        EXPECT_GT (broken, 0);
      else
        EXPECT_EQ (broken, 0);
    }
}

/* Guards against I5 and I6 across a restart: the new process knows nothing of
   the calls of the old one.  */
TEST (NotRun, AnotherIncarnationRefusesAndKnowsNothing)
{
  for (unsigned off : { (unsigned)GATE_INCARNATION_CHECK, 0u })
    {
      FakeUpstream upstream;
      TestGate gate (upstream, off);
      {
        FrameClient client (gate.address ());

        EXPECT_EQ (client.call (make_call (1)), (uint32_t)OUT_ANSWERED);
      }
      gate.restart (TEST_INCARNATION + 1);
      FrameClient client (gate.address ());
      EXPECT_EQ (client.query (1), (uint32_t)OUT_STATE_UNKNOWN);
      EXPECT_EQ (client.call (make_call (1)),
                 (uint32_t)(off != 0 ? OUT_ANSWERED : OUT_NOT_RUN));
      EXPECT_EQ (upstream.runs ("/c1"), off != 0 ? 2 : 1);
    }
}

/* Guards against "not run" for a call whose request had left when the cancel
   came, at any moment around the start.  */
TEST (NotRun, HoldsWhenACancelCrossesTheStart)
{
  for (unsigned off : { (unsigned)GATE_EXACT_OUTCOME, 0u })
    {
      FakeUpstream upstream;
      TestGate gate (upstream, off);
      FrameClient client (gate.address ());
      struct rnd random;
      int broken = 0;

      rnd_init (&random, 1);
      upstream.set_blocked (true);
      for (uint64_t number = 1; number <= 100; number++)
        {
          TestCall call = make_call (number);
          uint32_t outcome;
          int before = upstream.runs ();

          client.send (encode_call (call));
          if (rnd_below (&random, 3) == 0)
            upstream.wait_for_runs (before + 1);
          else
            usleep (rnd_below (&random, 200));
          client.send (encode_cancel (number));
          client.read_answer (&outcome, number);
          EXPECT_NE (outcome, (uint32_t)OUT_ANSWERED);
          if (outcome == OUT_NOT_RUN && upstream.runs (call.target) > 0)
            broken++;
          upstream.set_blocked (false);
          upstream.set_blocked (true);
        }
      if (off != 0)
        EXPECT_GT (broken, 0);
      else
        EXPECT_EQ (broken, 0);
      upstream.set_blocked (false);
    }
}

/* Guards against a query that says "not run" while the call is starting on
   another link.  */
TEST (NotRun, HoldsWhenAQueryCrossesTheStart)
{
  for (unsigned off : { (unsigned)GATE_FORBID, 0u })
    {
      FakeUpstream upstream;
      TestGate gate (upstream, off);
      FrameClient sender (gate.address ());
      FrameClient asker (gate.address ());
      int broken = 0;
      int forbidden = 0;

      for (uint64_t number = 1; number <= 200; number++)
        {
          TestCall call = make_call (number);
          uint32_t outcome;
          uint32_t state;
          std::thread thread ([&] {
            usleep (number % 20 * 10);
            sender.send (encode_call (call));
          });

          usleep (number % 10 * 10);
          state = asker.query (number);
          thread.join ();
          sender.read_answer (&outcome, number);
          if (state == OUT_STATE_NOT_RUN)
            {
              forbidden++;
              broken += upstream.runs (call.target);
            }
          else
            EXPECT_EQ (upstream.runs (call.target), 1);
        }
      EXPECT_GT (forbidden, 0);
      if (off != 0)
        EXPECT_GT (broken, 0);
      else
        EXPECT_EQ (broken, 0);
    }
}

/* Guards against I6: the answer is lost, and the sender sends the same call to
   the same gate again.  */
TEST (AtMostOnce, ARepeatedCallGetsTheFirstAnswer)
{
  for (unsigned off : { (unsigned)GATE_REPEAT_CHECK, 0u })
    {
      FakeUpstream upstream;
      TestGate gate (upstream, off);
      TestCall call = make_call (1);

      upstream.set_blocked (true);
      {
        FrameClient client (gate.address ());

        client.send (encode_call (call));
        ASSERT_TRUE (upstream.wait_for_runs (1));
        client.disconnect ();
      }
      upstream.set_blocked (false);
      FrameClient client (gate.address ());
      ASSERT_TRUE (await_idle (gate.gate));
      EXPECT_EQ (client.call (call), (uint32_t)OUT_ANSWERED);
      EXPECT_EQ (client.body, "ran POST /c1 HTTP/1.1");
      EXPECT_EQ (upstream.runs (), off != 0 ? 2 : 1);
      EXPECT_EQ (client.query (1), (uint32_t)OUT_STATE_FINISHED);
      EXPECT_EQ (client.body, "ran POST /c1 HTTP/1.1");
    }
}

/* Guards against I6: the caller repeats an order with its key as a new call,
   with both methods, also when the platform's answer is lost.  */
TEST (AtMostOnce, AnOrderKeyRunsOnce)
{
  for (unsigned off : { (unsigned)GATE_KEY_CHECK, 0u })
    for (enum doc_key_store method :
         { DOC_KEY_STORE_MEMORY, DOC_KEY_STORE_PLATFORM })
      {
        FakeUpstream upstream;
        TestGate gate (upstream, off);
        FrameClient client (gate.address ());
        TestCall call = make_call (1);

        call.order_key = "order-1";
        call.order_keys = method;
        gate.platform.faults = { FAKE_RESPONSE_LOST };
        EXPECT_EQ (client.call (call), (uint32_t)OUT_ANSWERED);
        EXPECT_FALSE (client.duplicate);
        call.number = 2;
        EXPECT_EQ (client.call (call), (uint32_t)OUT_ANSWERED);
        EXPECT_EQ (client.duplicate, off == 0);
        EXPECT_EQ (client.body, "ran POST /c1 HTTP/1.1");
        call.number = 3;
        call.target = "/other";
        EXPECT_EQ (client.call (call),
                   (uint32_t)(off != 0 ? OUT_ANSWERED : OUT_UNKNOWN));
        EXPECT_EQ (upstream.runs (), off != 0 ? 3 : 1);
      }
}

/* Guards against a keyed order that runs unchecked in a platform outage.  */
TEST (AtMostOnce, APlatformOutageRefusesKeyedOrders)
{
  FakeUpstream upstream;
  TestGate gate (upstream);
  FrameClient client (gate.address ());
  TestCall call = make_call (1);

  call.order_key = "order-1";
  call.order_keys = DOC_KEY_STORE_PLATFORM;
  gate.platform.faults = { FAKE_DOWN };
  EXPECT_EQ (client.call (call), (uint32_t)OUT_NOT_RUN);
  EXPECT_EQ (upstream.runs (), 0);
  call.number = 2;
  EXPECT_EQ (client.call (call), (uint32_t)OUT_ANSWERED);
}

/* Guards against an HTTP client that repeats a request by itself when a kept
   connection closes without a response, and against "not run" for it.  */
TEST (AtMostOnce, AnUpstreamThatClosesAfterRunningIsNotAskedAgain)
{
  for (unsigned off : { (unsigned)GATE_EXACT_OUTCOME, 0u })
    for (enum doc_class kind : { DOC_AT_MOST_ONCE, DOC_IDEMPOTENT })
      {
        FakeUpstream upstream;
        TestGate gate (upstream, off, 1);
        FrameClient client (gate.address ());
        uint64_t number = 1;

        for (; number <= 20; number++)
          {
            upstream.close_after_run = number % 2 == 0;
            EXPECT_EQ (client.call (make_call (number, kind)),
                       (uint32_t)(number % 2 != 0 ? OUT_ANSWERED
                                  : off != 0      ? OUT_NOT_RUN
                                                  : OUT_UNKNOWN));
          }
        EXPECT_EQ (upstream.runs (), 20);
      }
}

/* Guards against I4: a response cut at any byte that is passed on.  */
TEST (WholeAnswer, ATruncatedResponseIsNeverAnswered)
{
  for (unsigned off : { (unsigned)GATE_WHOLE_CHECK, 0u })
    for (bool chunked : { false, true })
      {
        FakeUpstream upstream;
        TestGate gate (upstream, off);
        FrameClient client (gate.address ());
        int broken = 0;

        upstream.chunked = chunked;
        for (int cut = 0; cut < 60; cut++)
          {
            upstream.truncate_at = cut;
            broken
                += client.call (make_call ((uint64_t)cut + 1)) != OUT_UNKNOWN;
          }
        if (off != 0)
          EXPECT_GT (broken, 0);
        else
          EXPECT_EQ (broken, 0);
        upstream.truncate_at = -1;
        EXPECT_EQ (client.call (make_call (100)), (uint32_t)OUT_ANSWERED);
      }
}

/* Guards against a response that is reset in place of an orderly end, or cut
   on a connection that has answered before, and is passed on.  */
TEST (WholeAnswer, AResponseCutOnAKeptConnectionIsNeverAnswered)
{
  for (int form = 0; form < 4; form++)
    {
      FakeUpstream upstream;
      TestGate gate (upstream);
      FrameClient client (gate.address ());
      uint64_t number = 0;

      upstream.chunked = (form & 1) != 0;
      upstream.reset_at_cut = (form & 2) != 0;
      for (int cut = 0; cut < 60; cut++)
        {
          upstream.truncate_at = -1;
          ASSERT_EQ (client.call (make_call (++number)),
                     (uint32_t)OUT_ANSWERED);
          upstream.truncate_at = cut;
          EXPECT_EQ (client.call (make_call (++number)), (uint32_t)OUT_UNKNOWN)
              << "form " << form << " cut at " << cut;
        }
    }
}

/* Guards against bytes that follow a response later and are read as the
   beginning of the next one.  */
TEST (WholeAnswer, LateExtraBytesAreNotOfTheNextResponse)
{
  FakeUpstream upstream;
  TestGate gate (upstream);
  FrameClient client (gate.address ());

  for (uint64_t number = 1; number <= 5; number++)
    {
      EXPECT_EQ (client.call (make_call (number)), (uint32_t)OUT_ANSWERED);
      upstream.send_extra ();
    }
}

/* Guards against a beginning of a response that counts as the whole one,
   however its bytes arrive.  */
TEST (WholeAnswer, NoBeginningIsWhole)
{
  static const std::string ok = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n";
  static const struct
  {
    std::string text;
    bool is_head;
  } responses[]
      = { { ok + "Content-Length: 12\r\n\r\nhello, world", false },
          { ok + "Content-Length: 0\r\n\r\n", false },
          { ok
                + "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n"
                  "10\r\n, wide old world\r\n0\r\nX-T: v\r\n\r\n",
            false },
          { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n" + ok
                + "Content-Length: 2\r\n\r\nok",
            false },
          { "HTTP/1.1 204 No Content\r\n\r\n", false },
          { "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", false },
          { ok + "Content-Length: 12\r\n\r\n", true } };

  for (const auto &response : responses)
    for (size_t length = 0; length <= response.text.size (); length++)
      for (size_t step : { (size_t)1, response.text.size () })
        {
          enum up_parse_status status = UP_PARSE_MORE;
          struct up_parser parser;

          up_parser_init (&parser, response.is_head);
          for (size_t at = 0; at < length; at += step)
            status = up_parser_feed (
                &parser, (const uint8_t *)response.text.data () + at,
                std::min (step, length - at));
          EXPECT_EQ (status, length == response.text.size () ? UP_PARSE_WHOLE
                                                             : UP_PARSE_MORE)
              << response.text << " cut at " << length;
          up_parser_close (&parser);
        }
}

/* Guards against responses that two parsers could read differently, and
   against one whose end cannot be checked.  */
TEST (WholeAnswer, AmbiguousResponsesAreInvalid)
{
  const char *bad[]
      = { "HTTP/1.1 200 OK\r\n\r\nbody",
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
          ("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: "
           "chunked\r\n\r\n"),
          "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab",
          "HTTP/1.1 200 OK\r\n folded\r\n\r\n",
          "HTTP/2 200 OK\r\n\r\n",
          "HTTP/1.1 101 Go\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
          ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "0 2\r\nok\r\n0\r\n\r\n"),
          ("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\r\n"
           "Content-Length: 1\r\n\r\na"),
          "HTTP/1.1 200 OK\rA: b\r\nContent-Length: 1\r\n\r\na",
          "HTTP/1.1 200 OKHTTP/1.1 500 No\r\nContent-Length: 1\r\n\r\na",
          ("HTTP/1.1 200 OK\r\nDate: MonHTTP/1.1 500 No\r\n"
           "Content-Length: 1\r\n\r\na") };

  for (const char *text : bad)
    for (size_t step : { (size_t)1, strlen (text) })
      {
        struct up_parser parser;
        enum up_parse_status status = UP_PARSE_MORE;

        up_parser_init (&parser, false);
        for (size_t i = 0; i < strlen (text) && status != UP_PARSE_INVALID;
             i += step)
          status = up_parser_feed (&parser, (const uint8_t *)text + i, step);
        EXPECT_EQ (status, UP_PARSE_INVALID) << text;
        up_parser_close (&parser);
      }
}

/* Guards against a status that no final response has and that is passed on as
   an answer.  */
TEST (WholeAnswer, StatusesOutOfRangeAreInvalid)
{
  for (const char *status : { "000", "0", "20", "099", "101", "600", "999",
                              "1000", "0200", "20O", "", " 200", "-200" })
    {
      std::string text = std::string ("HTTP/1.1 ") + status
                         + " OK\r\nContent-Length: 1\r\n\r\nx";
      struct up_parser parser;

      up_parser_init (&parser, false);
      EXPECT_EQ (up_parser_feed (&parser, (const uint8_t *)text.data (),
                                 text.size ()),
                 UP_PARSE_INVALID)
          << status;
      up_parser_close (&parser);
    }
}

/* Guards against an upstream that keeps a thread busy until the deadline with
   bytes without end beside the body of its response.  */
TEST (WholeAnswer, BytesBesideTheBodyEnd)
{
  static const std::string chunked
      = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  static const struct
  {
    std::string start;
    std::string filler;
  } floods[]
      = { { "", "HTTP/1.1 100 Continue\r\n\r\n" },
          { chunked + "0\r\n", "x: y\r\n" },
          { chunked, "0000001;" + std::string (1000, 'x') + "\r\na\r\n" } };

  for (const auto &flood : floods)
    {
      struct up_parser parser;
      enum up_parse_status status;
      size_t sent = 0;

      up_parser_init (&parser, false);
      status = up_parser_feed (&parser, (const uint8_t *)flood.start.data (),
                               flood.start.size ());
      while (status == UP_PARSE_MORE && sent < 16 * UP_MAX_HEAD)
        {
          status
              = up_parser_feed (&parser, (const uint8_t *)flood.filler.data (),
                                flood.filler.size ());
          sent += flood.filler.size ();
        }
      EXPECT_EQ (status, UP_PARSE_INVALID) << flood.filler;
      up_parser_close (&parser);
    }
}

/* Guards against hops that retry a call whose upstream says that the retries
   of its nested call are spent, and against outcomes that an upstream sets. */
TEST (WholeAnswer, OnlySpentRetriesPassFromTheUpstream)
{
  const char *text = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n"
                     "Mulberryshift-Retries: spent\r\n"
                     "Mulberryshift-Outcome: not-run\r\n\r\n";
  struct up_parser parser;

  up_parser_init (&parser, false);
  ASSERT_EQ (up_parser_feed (&parser, (const uint8_t *)text, strlen (text)),
             UP_PARSE_WHOLE);
  ASSERT_EQ (parser.header_count, 1u);
  EXPECT_STREQ (parser.headers[0]->name, "Mulberryshift-Retries");
  up_parser_close (&parser);
}

/* Guards against an answer that reaches another call, when many calls of one
   link are answered in any order.  */
TEST (WholeAnswer, CrossedAnswersReachTheirCalls)
{
  FakeUpstream upstream;
  TestGate gate (upstream, 0, 4);
  FrameClient client (gate.address ());
  std::string calls;
  std::map<uint64_t, std::string> bodies;

  for (uint64_t number = 1; number <= 60; number++)
    calls += encode_call (make_call (number, (enum doc_class) (number % 2)));
  client.send (calls);
  for (int i = 0; i < 60; i++)
    {
      FramePointer frame = client.read ();

      ASSERT_NE (frame, nullptr);
      ASSERT_EQ (frame->body_case, MESH__FRAME__BODY_ANSWER);
      ASSERT_EQ (frame->answer->outcome, (uint32_t)OUT_ANSWERED)
          << frame->answer->reason;
      bodies[frame->answer->id->number].assign (
          (char *)frame->answer->body.data, frame->answer->body.len);
    }
  for (uint64_t number = 1; number <= 60; number++)
    EXPECT_EQ (bodies[number],
               "ran POST /c" + std::to_string (number) + " HTTP/1.1");
  EXPECT_LE (upstream.max_concurrent (), 4);
  EXPECT_EQ (upstream.runs (), 60);
}

/* Guards against bytes lost or repeated between body parts and windows, in
   both directions, and against a link cut inside a body.  */
TEST (WholeAnswer, LargeBodiesPassInParts)
{
  FakeUpstream upstream;
  TestGate gate (upstream);
  std::string body = fake_body (1000000);
  TestCall call = make_call (1);
  uint32_t outcome;

  upstream.body_size = 2000001;
  for (bool chunked : { false, true })
    {
      FrameClient client (gate.address ());
      size_t credit = 256 * 1024;

      upstream.chunked = chunked;
      call.number++;
      call.more = true;
      client.send (encode_call (call));
      for (size_t done = 0; done < body.size (); done += 32768)
        {
          while (credit < 32768)
            {
              FramePointer frame = client.read ();

              ASSERT_NE (frame, nullptr);
              ASSERT_EQ (frame->body_case, MESH__FRAME__BODY_WINDOW_GRANT);
              credit += frame->window_grant->bytes;
            }
          credit -= 32768;
          client.send (encode_body_part (call.number,
                                         body.substr (done, 32768),
                                         done + 32768 < body.size ()));
        }
      EXPECT_EQ (client.read_answer (&outcome), fake_body (2000001));
      EXPECT_EQ (outcome, (uint32_t)OUT_ANSWERED);
      EXPECT_EQ (upstream.last_body (), body);
      client.send (encode_call (make_call (call.number + 10)));
      ASSERT_NE (client.read (), nullptr);
      client.disconnect ();
      EXPECT_TRUE (await_idle (gate.gate));
    }
}

/* Guards against I7: a gate that leaves starts calls that wait or arrive, and
   I8: it cuts off the one that runs.  */
TEST (Leaving, StartsNothingAndCutsNothingOff)
{
  for (unsigned off : { (unsigned)GATE_LEAVE_CHECK, 0u })
    {
      FakeUpstream upstream;
      TestGate gate (upstream, off, 1);
      FrameClient running (gate.address ());
      FrameClient late (gate.address ());
      uint32_t outcome;

      upstream.set_blocked (true);
      running.send (encode_call (make_call (1)));
      ASSERT_TRUE (upstream.wait_for_runs (1));
      running.send (encode_call (make_call (2)));
      while (gate_in_progress (gate.gate) < 2)
        usleep (1000);
      gate_leave (gate.gate);
      for (int i = 0; i < 5000 && gate_in_progress (gate.gate) > 1; i++)
        usleep (1000);
      EXPECT_EQ (gate_in_progress (gate.gate), 1u);
      late.send (encode_call (make_call (3)));
      if (off == 0)
        {
          late.read_answer (&outcome, 3);
          EXPECT_EQ (outcome, (uint32_t)OUT_NOT_RUN);
        }
      upstream.set_blocked (false);
      running.read_answer (&outcome, 1);
      EXPECT_EQ (outcome, (uint32_t)OUT_ANSWERED);
      if (off != 0)
        late.read_answer (&outcome, 3);
      EXPECT_EQ (upstream.runs (), off != 0 ? 2 : 1);
      EXPECT_TRUE (await_idle (gate.gate));
    }
}

/* Guards against I8: a node that stops before the answers of its running calls
   have left.  Without the wait for gate_in_progress the answer is lost.  */
TEST (Leaving, ADrainedGateHasSentEveryAnswer)
{
  for (bool wait : { false, true })
    {
      FakeUpstream upstream;
      TestGate gate (upstream);
      FrameClient client (gate.address ());
      uint32_t outcome;

      upstream.body_size = 3000000;
      upstream.set_blocked (true);
      client.send (encode_call (make_call (1)));
      ASSERT_TRUE (upstream.wait_for_runs (1));
      gate_leave (gate.gate);
      std::thread reader ([&] { client.read_answer (&outcome, 1); });
      if (wait)
        {
          upstream.set_blocked (false);
          EXPECT_TRUE (await_idle (gate.gate));
        }
      gate.restart (TEST_INCARNATION + 1);
      reader.join ();
      EXPECT_EQ (outcome, wait ? (uint32_t)OUT_ANSWERED : 99u);
      EXPECT_EQ (client.body == fake_body (3000000), wait);
    }
}

/* Guards against calls for an upstream that has announced its leave.  */
TEST (Leaving, AnUpstreamThatLeftGetsNoWaitingCall)
{
  FakeUpstream upstream;
  TestGate gate (upstream, 0, 1);
  FrameClient client (gate.address ());
  uint32_t outcome;

  upstream.set_blocked (true);
  client.send (encode_call (make_call (1)) + encode_call (make_call (2)));
  ASSERT_TRUE (upstream.wait_for_runs (1));
  while (gate_in_progress (gate.gate) < 2)
    usleep (1000);
  up_lease_end (gate.lease);
  upstream.set_blocked (false);
  client.read_answer (&outcome, 2);
  EXPECT_EQ (outcome, (uint32_t)OUT_NOT_RUN);
  EXPECT_EQ (client.call (make_call (3)), (uint32_t)OUT_NOT_RUN);
  EXPECT_EQ (upstream.runs (), 1);
}

/* Guards against waiting calls that occupy the threads which read frames:
   a query must be answered while every slot is taken and calls wait.  */
TEST (Pool, WaitingCallsHoldNoThread)
{
  FakeUpstream upstream;
  TestGate gate (upstream, 0, 16, 4);
  FrameClient client (gate.address ());
  FrameClient other (gate.address ());
  uint32_t outcome;

  upstream.set_blocked (true);
  for (uint64_t number = 1; number <= 20; number++)
    client.send (encode_call (make_call (number)));
  ASSERT_TRUE (upstream.wait_for_runs (2));
  while (gate_in_progress (gate.gate) < 20)
    usleep (1000);
  EXPECT_EQ (upstream.runs (), 2);
  EXPECT_EQ (other.query (1), (uint32_t)OUT_STATE_RUNNING);
  EXPECT_EQ (settle (other, 20), (uint32_t)OUT_STATE_NOT_RUN);
  client.read_answer (&outcome, 20);
  EXPECT_EQ (outcome, (uint32_t)OUT_NOT_RUN);
  upstream.set_blocked (false);
  for (int i = 0; i < 19; i++)
    {
      client.read_answer (&outcome);
      EXPECT_EQ (outcome, (uint32_t)OUT_ANSWERED);
    }
  EXPECT_EQ (upstream.max_concurrent (), 2);
}

/* Guards against a queue longer than the settings allow: calls wait in vain
   where another member could still run them.  */
TEST (Pool, RefusesCallsBeyondTheQueueOfTheSettings)
{
  FakeUpstream upstream;
  TestGate gate (upstream, 0, 1);
  FrameClient client (gate.address ());
  uint32_t outcome;

  upstream.set_blocked (true);
  for (uint64_t number = 1; number <= TEST_QUEUE_CAPACITY + 2; number++)
    client.send (encode_call (make_call (number)));
  client.read_answer (&outcome, TEST_QUEUE_CAPACITY + 2);
  EXPECT_EQ (outcome, (uint32_t)OUT_NOT_RUN);
  upstream.set_blocked (false);
  for (unsigned i = 0; i < TEST_QUEUE_CAPACITY + 1; i++)
    {
      client.read_answer (&outcome);
      EXPECT_EQ (outcome, (uint32_t)OUT_ANSWERED);
    }
}

/* Guards against a call past its deadline that waits for ever.  */
TEST (Pool, WaitingCallsExpire)
{
  FakeUpstream upstream;
  TestGate gate (upstream, 0, 1);
  FrameClient client (gate.address ());
  TestCall call = make_call (2);

  upstream.set_blocked (true);
  client.send (encode_call (make_call (1)));
  ASSERT_TRUE (upstream.wait_for_runs (1));
  call.remaining_ms = 30;
  EXPECT_EQ (client.call (call), (uint32_t)OUT_NOT_RUN);
  upstream.set_blocked (false);
}

/* Guards against a once call that is aborted with its link, and a repeatable
   one that goes on for nobody.  */
TEST (Pool, ABrokenLinkAbortsOnlyRepeatableCalls)
{
  for (enum doc_class kind : { DOC_AT_MOST_ONCE, DOC_IDEMPOTENT })
    {
      FakeUpstream upstream;
      TestGate gate (upstream);
      FrameClient first (gate.address ());
      FrameClient second (gate.address ());

      upstream.set_blocked (true);
      first.send (encode_call (make_call (1, kind)));
      ASSERT_TRUE (upstream.wait_for_runs (1));
      first.disconnect ();
      if (kind == DOC_IDEMPOTENT)
        {
          ASSERT_TRUE (await_idle (gate.gate));
        }
      upstream.set_blocked (false);
      EXPECT_EQ (settle (second, 1), (uint32_t)OUT_STATE_FINISHED);
      EXPECT_EQ (second.body,
                 kind == DOC_AT_MOST_ONCE ? "ran POST /c1 HTTP/1.1" : "");
    }
}

/* Guards against a peer that takes no output and thereby stops other links,
   or makes the gate hold memory without a bound.  */
TEST (Pool, ASlowReaderDoesNotStopOthers)
{
  FakeUpstream upstream;
  TestGate gate (upstream, 0, 2, 4);
  FrameClient slow (gate.address ());
  FrameClient other (gate.address ());

  upstream.body_size = 4000000;
  for (uint64_t number = 1; number <= 4; number++)
    slow.send (encode_call (make_call (number, DOC_IDEMPOTENT)));
  ASSERT_TRUE (upstream.wait_for_runs (4));
  upstream.body_size = 0;
  for (uint64_t number = 100; number < 120; number++)
    EXPECT_EQ (other.call (make_call (number)), (uint32_t)OUT_ANSWERED);
}

/* Guards against a chain of calls without end, and checks what the upstream
   is notified.  */
TEST (Protocol, SendsTheContextAndRefusesDeepChains)
{
  FakeUpstream upstream;
  TestGate gate (upstream);
  FrameClient client (gate.address ());
  TestCall call = make_call (5);
  struct ctx context;

  call.depth = 8;
  EXPECT_EQ (client.call (call), (uint32_t)OUT_ANSWERED);
  ASSERT_EQ (ctx_decode (upstream.last_context ().c_str (), &context), CTX_OK);
  EXPECT_EQ (context.origin, 77u);
  EXPECT_EQ (context.number, 5u);
  EXPECT_EQ (context.depth, 8u);
  EXPECT_LE (context.remaining_ms, 20000u);
  call.number = 6;
  call.depth = 9;
  EXPECT_EQ (client.call (call), (uint32_t)OUT_NOT_RUN);
  EXPECT_EQ (upstream.runs (), 1);
}

/* Guards against a header or target that adds a request of its own.  */
TEST (Protocol, RefusesATargetWithALineEnd)
{
  FakeUpstream upstream;
  TestGate gate (upstream);
  FrameClient client (gate.address ());
  TestCall call = make_call (1);

  call.target = "/x HTTP/1.1\r\nHost: y\r\n\r\nGET /z";
  EXPECT_EQ (client.call (call), (uint32_t)OUT_NOT_RUN);
  EXPECT_EQ (upstream.runs (), 0);
}

/* Guards against peers of another version or mesh, and against malformed
   input that does more than close its own link.  */
TEST (Protocol, RefusesStrangersAndMalformedFrames)
{
  FakeUpstream upstream;
  TestGate gate (upstream);
  std::string hello = encode_hello (FRM_PROTOCOL, "trial");

  for (const std::string &bytes :
       { encode_hello (FRM_PROTOCOL + 1, "trial"),
         encode_hello (FRM_PROTOCOL, "production") })
    {
      FrameClient client (gate.address (), false);

      client.send (bytes + encode_call (make_call (1)));
      FramePointer frame = client.read ();
      ASSERT_NE (frame, nullptr);
      EXPECT_EQ (frame->body_case, MESH__FRAME__BODY_REFUSAL);
      EXPECT_EQ (client.read (), nullptr);
    }
  for (const std::string &bytes :
       { encode_call (make_call (1)), hello + hello,
         hello + std::string ("\0\4\0\1", 4),
         hello + std::string ("\0\0\0\2xx", 6),
         hello + encode_body_part (1, std::string (32769, 'a'), true) })
    {
      FrameClient client (gate.address (), false);

      client.send (bytes);
      while (FramePointer frame = client.read ())
        EXPECT_NE (frame->body_case, MESH__FRAME__BODY_ANSWER);
    }
  EXPECT_EQ (upstream.runs (), 0);
  FrameClient client (gate.address ());
  EXPECT_EQ (client.call (make_call (2)), (uint32_t)OUT_ANSWERED);
}

/* Guards against peers that hold links without a Hello, with half a frame, or
   without taking output.  */
TEST (Protocol, ClosesSilentPeers)
{
  FakeUpstream upstream;
  TestGate gate (upstream, 0, 4, 6, 50);
  std::string call = encode_call (make_call (1));

  for (const std::string &bytes : { std::string (), std::string ("\0\0", 2),
                                    encode_hello (FRM_PROTOCOL, "trial")
                                        + call.substr (0, call.size () - 1) })
    {
      FrameClient client (gate.address (), false);

      client.send (bytes);
      EXPECT_EQ (client.read (), nullptr);
    }
  /* A longer limit, so that a busy machine delivers the Hello in time.  */
  TestGate patient (upstream, 0, 4, 6, 1500);
  FrameClient slow (patient.address ());
  upstream.body_size = 4000000;
  for (uint64_t number = 1; number <= 40; number++)
    slow.send (encode_call (make_call (number, DOC_IDEMPOTENT)));
  EXPECT_TRUE (upstream.wait_for_runs (4));
  EXPECT_TRUE (await_idle (patient.gate));
}
