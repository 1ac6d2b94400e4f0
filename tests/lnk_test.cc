/* Links: whole answers to their own calls, exactness of "not sent".  */

#include "base/err.h"
#include "lnk/lnk.h"
#include "support/fake_gate.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <sys/socket.h>
#include <unistd.h>

namespace
{
struct client
{
  lnk_identity identity = { "test", 1, 2 };
  lnk_pool *pool = lnk_pool_create (&identity);
  std::atomic<uint64_t> next{ 0 };

  explicit client (lnk_options options = { 1, false, false, false, 0, 0 })
  {
    lnk_pool_set_options (pool, &options);
  }
  ~client () { lnk_pool_destroy (pool); }

  /* Returns the answer's body.  NUMBER is the call ID's; 0: a new one.  */
  lnk_status
  call (net_address address, const std::string &body, std::string &answer_body,
        clk_time timeout = 5 * CLK_SECOND, uint64_t number = 0)
  {
    Mesh__Call call = MESH__CALL__INIT;
    Mesh__CallId id = MESH__CALL_ID__INIT;
    Mesh__Answer *answer;
    lnk_status status;

    id.origin = 1;
    id.number = number != 0 ? number : ++next;
    call.id = &id;
    call.method = (char *)"POST";
    call.target = (char *)"/";
    call.body.data = (uint8_t *)body.data ();
    call.body.len = body.size ();
    status = lnk_call (pool, address, &call, clk_now () + timeout, &answer);
    if (status == LNK_OK)
      {
        answer_body.assign ((char *)answer->body.data, answer->body.len);
        mesh__answer__free_unpacked (answer, NULL);
      }
    return status;
  }
};

std::string
body_of (const Mesh__Call *call)
{
  return std::string ((char *)call->body.data, call->body.len);
}

/* Runs four calls at a time on one link.  The gate answers each four in
   reverse order, with a stray answer first and each answer twice.  Returns the
   number of calls that got another call's body.  */
unsigned
count_crossed (bool ignore_ids)
{
  std::mutex lock;
  std::vector<std::pair<Mesh__CallId, std::string> > held;
  fake_gate gate ([&] (fake_link &link, const Mesh__Frame *frame) {
    std::lock_guard<std::mutex> guard (lock);
    if (frame->body_case != MESH__FRAME__BODY_CALL)
      return true;
    Mesh__CallId stray = *frame->call->id;

    held.emplace_back (*frame->call->id, body_of (frame->call));
    if (held.size () < 4)
      return true;
    stray.number += 1000000;
    link.send_answer (stray, "stray");
    for (; !held.empty (); held.pop_back ())
      {
        link.send_answer (held.back ().first, held.back ().second);
        link.send_answer (held.back ().first, "duplicate");
      }
    return true;
  });
  client sender ({ 1, ignore_ids, false, false, 0, 0 });
  sender.next = UINT64_MAX - 200; /* the call number wraps in between */
  std::atomic<unsigned> crossed{ 0 };
  std::vector<std::thread> threads;

  for (int i = 0; i < 4; i++)
    threads.emplace_back ([&, i] {
      for (int j = 0; j < 100; j++)
        {
          std::string mine = std::to_string (i * 1000 + j);
          std::string body;

          if (sender.call (gate.address (), mine, body,
                           (ignore_ids ? CLK_SECOND / 5 : 5 * CLK_SECOND))
                  != LNK_OK
              || body != mine)
            {
              crossed++;
              if (ignore_ids)
                return;
            }
        }
    });
  for (auto &thread : threads)
    thread.join ();
  return crossed;
}
}

/* Guards against an answer that reaches another call: crossed, stray and
   duplicated answers, also where the call number wraps.  */
TEST (Links, EachCallGetsItsOwnAnswer)
{
  EXPECT_EQ (count_crossed (false), 0u);
  EXPECT_GT (count_crossed (true), 0u);
}

/* Guards against the late answer of an abandoned call reaching the next one,
   and against abandoned calls that are not cancelled.  */
TEST (Links, LateAnswersAreDroppedAndAbandonedCallsCancelled)
{
  for (bool ignore_ids : { false, true })
    {
      std::atomic<unsigned> cancels{ 0 };
      Mesh__CallId late = MESH__CALL_ID__INIT;
      fake_gate gate ([&] (fake_link &link, const Mesh__Frame *frame) {
        if (frame->body_case == MESH__FRAME__BODY_CANCEL)
          cancels++;
        else if (late.number == 0)
          late = *frame->call->id;
        else
          {
            link.send_answer (late, "late");
            link.send_answer (*frame->call->id, "own");
          }
        return true;
      });
      client sender ({ 1, ignore_ids, false, false, 0, 0 });
      std::string body;

      EXPECT_EQ (sender.call (gate.address (), "", body, 20 * CLK_MILLISECOND),
                 LNK_TIMEOUT);
      EXPECT_EQ (sender.call (gate.address (), "", body), LNK_OK);
      EXPECT_EQ (body, ignore_ids ? "late" : "own");
      EXPECT_EQ (cancels, 1u);
      EXPECT_EQ (gate.accepted_count (), 1u);
    }
}

/* Guards against handing on a truncated body as a whole answer.  */
TEST (Links, ALinkCutInsideABodyLosesTheAnswer)
{
  for (bool accept : { false, true })
    {
      fake_gate gate ([&] (fake_link &link, const Mesh__Frame *frame) {
        link.send_answer (*frame->call->id, "first", true);
        link.send_body_part (*frame->call->id, "second", true);
        link.disconnect ();
        return false;
      });
      client sender ({ 1, false, accept, false, 0, 0 });
      std::string body;

      EXPECT_EQ (sender.call (gate.address (), "", body),
                 accept ? LNK_OK : LNK_LOST);
    }
}

/* Guards against bodies that are reordered, cut or sent beyond the window.  */
TEST (Links, LargeBodiesTravelInChunksUnderTheWindow)
{
  std::string received;
  size_t unacknowledged = 0;
  size_t most = 0;
  size_t granted = 0;
  std::string large (1000001, ' ');
  for (size_t i = 0; i < large.size (); i++)
    large[i] = (char)(i * 7919 >> 8);
  fake_gate gate ([&] (fake_link &link, const Mesh__Frame *frame) {
    if (frame->body_case == MESH__FRAME__BODY_WINDOW_GRANT)
      {
        granted += frame->window_grant->bytes;
        return true;
      }
    bool first = frame->body_case == MESH__FRAME__BODY_CALL;
    const Mesh__CallId &id = first ? *frame->call->id : *frame->call_body->id;
    std::string data = first
                           ? body_of (frame->call)
                           : std::string ((char *)frame->call_body->data.data,
                                          frame->call_body->data.len);
    bool more = first ? frame->call->more : frame->call_body->more;

    received += data;
    unacknowledged += data.size ();
    most = std::max (most, unacknowledged);
    if (unacknowledged > 200000)
      {
        link.send_window_grant (id, (uint32_t)unacknowledged);
        unacknowledged = 0;
      }
    if (!more)
      {
        link.send_answer (id, received.substr (0, LNK_CHUNK), true);
        for (size_t at = LNK_CHUNK; at < received.size (); at += LNK_CHUNK)
          link.send_body_part (id, received.substr (at, LNK_CHUNK),
                               at + LNK_CHUNK < received.size ());
      }
    return true;
  });
  client sender;
  std::string body;

  ASSERT_EQ (sender.call (gate.address (), large, body), LNK_OK)
      << err_last ();
  EXPECT_TRUE (body == large);
  EXPECT_LE (most, (size_t)LNK_WINDOW);
}

/* Guards against reporting "not sent" for a call that a gate has read: the
   link is cut after each number of bytes.  */
TEST (Links, NotSentOnlyIfNoByteOfTheCallLeft)
{
  unsigned false_reports[2] = { 0, 0 };

  for (bool assume : { false, true })
    for (size_t cut = 0; cut <= 80; cut++)
      {
        int listener = net_listen ({ 0x7f000001, 0 });
        struct sockaddr_storage where;
        socklen_t size = sizeof where;
        std::atomic<size_t> seen{ 0 };
        client sender ({ 1, false, false, assume, 0, 0 });
        std::string body;

        getsockname (listener, (struct sockaddr *)&where, &size);
        uint16_t port = 0;
        memcpy (&port, (char *)&where + 2, 2);
        port = (uint16_t)(port << 8 | port >> 8);
        std::thread server ([&] {
          int socket;
          while ((socket = accept (listener, NULL, NULL)) >= 0)
            {
              char byte[128];
              Mesh__Frame *hello;
              size_t done = 0;
              ssize_t count = 1;

              if (frm_read (socket, clk_now () + CLK_SECOND, &hello) == FRM_OK)
                frm_free (hello);
              while (done < cut && count > 0)
                {
                  count = recv (socket, byte, 1, 0);
                  done += count > 0;
                  if (done == 30)
                    count = 0; /* the whole call: it runs, then the cut */
                }
              seen += done;
              close (socket);
            }
        });
        lnk_status status = sender.call ({ 0x7f000001, port }, "0123456789",
                                         body, 500 * CLK_MILLISECOND);
        EXPECT_NE (status, LNK_OK);
        shutdown (listener, SHUT_RDWR);
        server.join ();
        close (listener);
        false_reports[assume] += status == LNK_NOT_SENT && seen > 0;
      }
  EXPECT_EQ (false_reports[0], 0u);
  EXPECT_GT (false_reports[1], 50u);
}

/* Guards against a refused link that counts as an unknown outcome, and against
   losing the reason.  */
TEST (Links, ARefusedLinkRanNothing)
{
  fake_gate gate ([&] (fake_link &link, const Mesh__Frame *) {
    link.send_refusal ("protocol 9 is not supported");
    link.disconnect ();
    return false;
  });
  client sender;
  std::string body;

  EXPECT_EQ (sender.call (gate.address (), "x", body), LNK_NOT_SENT);
  EXPECT_NE (std::string (err_last ()).find ("protocol 9"), std::string::npos);
}

/* Guards against lost calls when the peer closed an unused link, and against
   more links than allowed.  */
TEST (Links, ReconnectsAfterTheGateClosedAndKeepsToTheLimit)
{
  fake_gate gate ([&] (fake_link &link, const Mesh__Frame *frame) {
    link.send_answer (*frame->call->id, body_of (frame->call));
    return body_of (frame->call) != "last";
  });
  client sender ({ 2, false, false, false, 0, 0 });
  std::vector<std::thread> threads;
  std::string body;

  for (int i = 0; i < 8; i++)
    threads.emplace_back ([&, i] {
      for (int j = 0; j < 50; j++)
        {
          std::string mine = std::to_string (i * 100 + j);
          std::string theirs;

          EXPECT_EQ (sender.call (gate.address (), mine, theirs), LNK_OK);
          EXPECT_EQ (mine, theirs);
        }
    });
  for (auto &thread : threads)
    thread.join ();
  EXPECT_LE (gate.accepted_count (), 2u);
  for (int i = 0; i < 5; i++)
    {
      EXPECT_EQ (sender.call (gate.address (), "last", body), LNK_OK);
      usleep (5000);
    }
}

/* Guards against a caller's deadline that breaks the link for others, blocks
   beyond itself, or reports "not sent" for a call that arrives later.  */
TEST (Links, AStalledPeerDelaysNobodyBeyondTheDeadline)
{
  std::atomic<bool> stalled{ true };
  std::atomic<unsigned> calls{ 0 };
  fake_gate gate ([&] (fake_link &link, const Mesh__Frame *frame) {
    while (stalled)
      usleep (1000);
    if (frame->body_case == MESH__FRAME__BODY_CALL)
      {
        calls++;
        link.send_answer (*frame->call->id, "x");
      }
    return true;
  });
  client sender;
  std::string large (LNK_CHUNK, 'l');
  std::string body;
  unsigned sent = 0;
  unsigned not_sent = 0;

  while (not_sent < 3 && sent < 2000)
    {
      clk_time begun = clk_now ();
      lnk_status status
          = sender.call (gate.address (), large, body, 3 * CLK_MILLISECOND);

      ASSERT_TRUE (status == LNK_TIMEOUT || status == LNK_NOT_SENT);
      ASSERT_LT (clk_now () - begun, CLK_SECOND);
      (status == LNK_TIMEOUT ? sent : not_sent)++;
    }
  EXPECT_EQ (not_sent, 3u);
  stalled = false;
  EXPECT_EQ (sender.call (gate.address (), "", body), LNK_OK);
  EXPECT_EQ (calls, sent + 1);
  EXPECT_EQ (gate.accepted_count (), 1u);
}

/* Guards against connect storms: after a failed connect there is a pause.  */
TEST (Links, AnUnreachablePeerIsNotSent)
{
  client sender;
  std::string body;

  for (int i = 0; i < 20; i++)
    EXPECT_EQ (sender.call ({ 0x7f000001, 1 }, "x", body), LNK_NOT_SENT);
  EXPECT_EQ (lnk_pool_count (sender.pool), 0u);
}

/* Returns how many links are open after a call to one gate, a pause, and a
   call to another.  */
static size_t
count_links_after_pause (clk_time idle_limit)
{
  auto script = [] (fake_link &link, const Mesh__Frame *frame) {
    if (frame->body_case == MESH__FRAME__BODY_CALL)
      link.send_answer (*frame->call->id, "");
    return true;
  };
  fake_gate first (script), second (script);
  client sender ({ 1, false, false, false, idle_limit, 0 });
  std::string body;

  EXPECT_EQ (sender.call (first.address (), "", body), LNK_OK);
  std::this_thread::sleep_for (std::chrono::milliseconds (20));
  EXPECT_EQ (sender.call (second.address (), "", body), LNK_OK);
  return lnk_pool_count (sender.pool);
}

/* Guards against links to peers that are no longer called, which would fill
   the pool.  */
TEST (Links, UnusedLinksAreClosed)
{
  EXPECT_EQ (count_links_after_pause (CLK_MILLISECOND), 1u);
  EXPECT_EQ (count_links_after_pause (0), 2u);
}

/* Guards against memory taken by answers that do not end, and against a bound
   that is used up by calls which have ended.  */
TEST (Links, UnfinishedAnswersAreBounded)
{
  for (size_t limit : { (size_t)50000, (size_t)0 })
    {
      fake_gate gate ([&] (fake_link &link, const Mesh__Frame *frame) {
        if (frame->body_case != MESH__FRAME__BODY_CALL)
          return true;
        const Mesh__CallId &id = *frame->call->id;
        bool large = body_of (frame->call) == "large";

        link.send_answer (id, std::string (20000, 'x'), true);
        if (large)
          link.send_body_part (id, std::string (20000, 'y'), true);
        link.send_body_part (id, std::string (20000, 'z'), false);
        return true;
      });
      client sender ({ 1, false, false, false, 0, limit });
      std::string body;

      for (int i = 0; i < 5; i++)
        {
          EXPECT_EQ (sender.call (gate.address (), "large", body),
                     limit != 0 ? LNK_LOST : LNK_OK);
          EXPECT_EQ (sender.call (gate.address (), "small", body), LNK_OK);
          EXPECT_EQ (body.size (), 40000u);
        }
    }
}
