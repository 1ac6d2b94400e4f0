/* HTTP server on an event loop.  */

#include "srv/srv.h"
#include "support/loop_test.h"

#include <cstring>
#include <string>
#include <vector>

class Server : public LoopTest
{
protected:
  explicit Server (bool overlaps = false)
  {
    EXPECT_EQ (srv_create (loop, address,
                           overlaps ? &overlapping_handlers : &handlers, this,
                           &limits, &server),
               SRV_OK);
  }
  ~Server () override
  {
    srv_destroy (server);
    run_for (5);
  }
  static void
  on_request (void *context, struct srv_exchange *connection,
              struct htp_message *message)
  {
    Server *self = static_cast<Server *> (context);

    self->targets.push_back (htp_target (message));
    self->pending.push_back (connection);
    if (self->respond_immediately)
      self->respond ();
  }
  static void
  on_disconnected (void *context, struct srv_exchange *connection)
  {
    Server *self = static_cast<Server *> (context);

    self->disconnected_count++;
    for (size_t i = 0; i < self->pending.size (); i++)
      if (self->pending[i] == connection)
        self->pending.erase (self->pending.begin () + (long)i--);
  }
  void
  respond ()
  {
    struct srv_exchange *connection = pending.front ();

    pending.erase (pending.begin ());
    srv_start_response (connection, 200);
    srv_finish_response (connection, "done", 4);
  }
  static bool
  may_overlap (void *, const struct htp_message *message)
  {
    return std::strncmp (htp_target (message), "/once", 5) != 0;
  }
  static constexpr struct srv_handlers handlers
      = { on_request, on_disconnected, nullptr };
  static constexpr struct srv_handlers overlapping_handlers
      = { on_request, on_disconnected, may_overlap };
  struct srv_limits limits = {
    { 1000, 1000 }, 100 * CLK_MILLISECOND, 300 * CLK_MILLISECOND, 0, 0, 0
  };
  struct net_address address = allocate_address ();
  struct srv *server = nullptr;
  std::vector<std::string> targets;
  std::vector<struct srv_exchange *> pending;
  int disconnected_count = 0;
  bool respond_immediately = true;
};

constexpr struct srv_handlers Server::handlers;
constexpr struct srv_handlers Server::overlapping_handlers;

static const char get[] = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";

/* Guards against a server that closes a persistent connection after one
   request.  */
TEST_F (Server, KeepsConnectionsOpen)
{
  Peer peer = Peer::connect (address);

  for (int i = 0; i < 3; i++)
    {
      peer.received.clear ();
      peer.send (get);
      ASSERT_TRUE (run_until_received (peer, "done"));
      EXPECT_EQ (peer.received.find ("Connection: close"), std::string::npos);
    }
  EXPECT_EQ (targets.size (), 3u);
}

/* Guards against pipelined requests that are lost or get their responses out
   of order: they arrive before the response to the previous one.  */
TEST_F (Server, AnswersRequestsInOrder)
{
  Peer peer = Peer::connect (address);

  respond_immediately = false;
  peer.send (std::string (get) + "GET /2 HTTP/1.1\r\n\r\nGET /3 HT");
  ASSERT_TRUE (run_until ([&] { return pending.size () == 1; }));
  run_for (20);
  EXPECT_EQ (targets.size (), 1u);
  respond ();
  ASSERT_TRUE (run_until ([&] { return pending.size () == 1; }));
  EXPECT_EQ (targets[1], "/2");
  respond ();
  peer.send ("TP/1.1\r\n\r\n");
  ASSERT_TRUE (run_until ([&] { return targets.size () == 3; }));
  respond ();
  EXPECT_TRUE (run_until_received (peer, "done"));
}

/* Guards against work for a caller that has disconnected.  */
TEST_F (Server, ReportsDisconnectedCallers)
{
  Peer peer = Peer::connect (address);
  Peer other = Peer::connect (address);

  respond_immediately = false;
  peer.send (get);
  other.send (get);
  ASSERT_TRUE (run_until ([&] { return pending.size () == 2; }));
  peer.close ();
  EXPECT_TRUE (run_until ([&] { return disconnected_count == 1; }, 500));
  other.close (true);
  EXPECT_TRUE (run_until ([&] { return disconnected_count == 2; }, 500));
  EXPECT_EQ (srv_request_count (server), 0u);
  EXPECT_EQ (srv_connection_count (server), 0u);
}

/* Guards against callers that send more, or more slowly, than the limits
   allow.  */
TEST_F (Server, EnforcesTheLimits)
{
  Peer large = Peer::connect (address);
  Peer body = Peer::connect (address);
  Peer slow = Peer::connect (address);
  Peer idle = Peer::connect (address);
  Peer garbage = Peer::connect (address);

  large.send ("GET / HTTP/1.1\r\nA: " + std::string (2000, 'x'));
  EXPECT_TRUE (run_until_received (large, "HTTP/1.1 431 "));
  body.send ("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n");
  EXPECT_TRUE (run_until_received (body, "HTTP/1.1 413 "));
  garbage.send ("\x01\x02\r\n\r\n");
  EXPECT_TRUE (run_until_received (garbage, "HTTP/1.1 400 "));
  EXPECT_TRUE (run_until_disconnected (garbage));
  slow.send ("GET / HTTP/1.1\r\n");
  EXPECT_TRUE (run_until_received (slow, "HTTP/1.1 408 "));
  EXPECT_TRUE (run_until_disconnected (idle));
  EXPECT_TRUE (idle.received.empty ());
  EXPECT_TRUE (targets.empty ());
}

/* Guards against a shutdown that aborts a request, and against one that still
   accepts requests: after srv_stop_accepting a request in progress gets its
   response and new connections are refused.  */
TEST_F (Server, FinishesRequestsOnShutdown)
{
  Peer working = Peer::connect (address);
  Peer idle = Peer::connect (address);

  respond_immediately = false;
  working.send (get);
  ASSERT_TRUE (run_until ([&] {
    return pending.size () == 1 && srv_connection_count (server) == 2;
  }));
  srv_drain (server);
  EXPECT_TRUE (srv_is_accepting (server));
  srv_stop_accepting (server);
  EXPECT_FALSE (srv_is_accepting (server));
  EXPECT_TRUE (run_until_disconnected (idle));
  int refused = net_connect (address, clk_now () + 200 * CLK_MILLISECOND);
  EXPECT_LT (refused, 0);
  respond ();
  EXPECT_TRUE (run_until_received (working, "Connection: close\r\n"));
  EXPECT_TRUE (run_until_received (working, "done"));
  EXPECT_TRUE (run_until_disconnected (working));
}

/* Guards against a request that is reset because its connection still waits to
   be accepted when a shutdown closes the listener.  */
TEST_F (Server, ServesWaitingConnectionsOnShutdown)
{
  Peer late = Peer::connect (address);

  late.send (get);
  srv_stop_accepting (server);
  EXPECT_TRUE (run_until_received (late, "done"));
}

/* Guards against responses to HEAD that have a body, which the caller would
   parse as the next response.  */
TEST_F (Server, RespondsToHeadWithoutABody)
{
  Peer peer = Peer::connect (address);

  peer.send ("HEAD / HTTP/1.1\r\n\r\n");
  ASSERT_TRUE (run_until_received (peer, "\r\n\r\n"));
  run_for (20);
  peer.receive ();
  EXPECT_EQ (peer.received.find ("done"), std::string::npos);
}

/* Sends a response that the socket buffers cannot hold.  */
static void
respond_with (struct srv_exchange *connection, size_t length)
{
  std::string body (length, 'x');

  srv_start_response (connection, 200);
  srv_finish_response (connection, body.data (), body.size ());
}

#define LARGE_BODY (32u * 1024u * 1024u)

/* Longest wait for bodies of this size, in ms.  */
#define LONG_LIMIT_MS 60000

/* Guards against a process that ends while it still sends responses, because
   their requests count as answered.  */
TEST_F (Server, CountsRequestsUntilTheirResponsesAreSent)
{
  respond_immediately = false;
  limits.idle_timeout = 10 * CLK_SECOND;
  srv_set_limits (server, &limits);
  Peer peer = Peer::connect (address);

  peer.send (get);
  ASSERT_TRUE (run_until ([&] { return pending.size () == 1; }));
  respond_with (pending[0], LARGE_BODY);
  pending.clear ();
  run_for (50);
  EXPECT_EQ (srv_request_count (server), 1u);
  EXPECT_TRUE (run_until ([&] {
    peer.receive ();
    return srv_request_count (server) == 0;
  }));
  EXPECT_TRUE (run_until ([&] {
    peer.receive ();
    return peer.received.size () > LARGE_BODY;
  }));
}

/* The same for a caller that disconnects before it has the response.  */
TEST_F (Server, CountsNoRequestOfAClosedConnection)
{
  respond_immediately = false;
  Peer peer = Peer::connect (address);

  peer.send (get);
  ASSERT_TRUE (run_until ([&] { return pending.size () == 1; }));
  respond_with (pending[0], LARGE_BODY);
  pending.clear ();
  peer.close (true);
  EXPECT_TRUE (run_until ([&] { return srv_request_count (server) == 0; }));
}

/* Guards against a response that is cut by the idle timeout although its
   caller goes on reading.  */
TEST_F (Server, KeepsAConnectionWhoseResponseIsBeingRead)
{
  clk_time start;

  respond_immediately = false;
  limits.idle_timeout = 1500 * CLK_MILLISECOND;
  srv_set_limits (server, &limits);
  Peer peer = Peer::connect (address);

  peer.send (get);
  ASSERT_TRUE (run_until ([&] { return pending.size () == 1; }));
  respond_with (pending[0], LARGE_BODY);
  pending.clear ();
  start = clk_now ();
  for (int i = 0; i < 40 && peer.received.size () <= LARGE_BODY; i++)
    {
      run_for (500);
      peer.receive ();
    }
  EXPECT_GT (peer.received.size (), LARGE_BODY);
  EXPECT_GT (clk_now () - start, limits.idle_timeout);
}

/* Guards against a connection that stays open for good because its caller does
   not read.  */
TEST_F (Server, ClosesAConnectionWhoseResponseIsNotRead)
{
  respond_immediately = false;
  Peer peer = Peer::connect (address);

  peer.send (get);
  ASSERT_TRUE (run_until ([&] { return pending.size () == 1; }));
  respond_with (pending[0], LARGE_BODY);
  pending.clear ();
  EXPECT_TRUE (
      run_until ([&] { return srv_connection_count (server) == 0; }, 1000));
  EXPECT_EQ (srv_request_count (server), 0u);
}

/* Guards against bodies that together exhaust the memory of the process, and
   against memory that is never given back.  */
TEST_F (Server, RejectsABodyThatDoesNotFitBesideOthers)
{
  const std::string post
      = "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 600\r\n\r\n";
  struct htp_budget budget = { 1000, 0 };

  srv_set_budget (server, &budget);
  Peer first = Peer::connect (address);
  Peer second = Peer::connect (address);

  first.send (post + "part");
  run_for (20);
  second.send (post);
  EXPECT_TRUE (run_until_received (second, "HTTP/1.1 503"));
  first.send (std::string (596, 'x'));
  EXPECT_TRUE (run_until_received (first, "done"));
  EXPECT_EQ (budget.used_bytes, 0u);
  Peer third = Peer::connect (address);

  third.send (post + "part");
  run_for (20);
  EXPECT_EQ (budget.used_bytes, 600u);
  third.close (true);
  EXPECT_TRUE (run_until ([&] { return budget.used_bytes == 0; }));
  srv_destroy (server);
  server = nullptr;
}

/* A server that handles requests of a connection at the same time, except
   those to /once.  */
class Pipeline : public Server
{
protected:
  Pipeline () : Server (true) { respond_immediately = false; }

  static std::string
  request (const std::string &target, const std::string &fields = "")
  {
    return "GET " + target + " HTTP/1.1\r\n" + fields + "\r\n";
  }
  /* For tests that send much: a slow machine must not end their connections
     as idle.  */
  void
  set_long_timeouts ()
  {
    limits.idle_timeout = LONG_LIMIT_MS * CLK_MILLISECOND;
    limits.header_timeout = LONG_LIMIT_MS * CLK_MILLISECOND;
    srv_set_limits (server, &limits);
  }
  bool
  run_until_pending (size_t count)
  {
    return run_until ([&] { return pending.size () == count; });
  }
  /* Answers the pending request INDEX with TEXT.  */
  void
  respond_to (size_t index, const std::string &text)
  {
    struct srv_exchange *exchange = pending[index];

    pending.erase (pending.begin () + (long)index);
    srv_start_response (exchange, 200);
    srv_finish_response (exchange, text.data (), text.size ());
  }
  static size_t
  count_of (const std::string &text, const std::string &part)
  {
    size_t count = 0;

    for (size_t at = text.find (part); at != std::string::npos;
         at = text.find (part, at + 1))
      count++;
    return count;
  }
};

/* Guards against look-ups that wait for the one before, and against answers
   in the order in which they end.  */
TEST_F (Pipeline, HandlesRequestsAtTheSameTimeAndAnswersInOrder)
{
  Peer peer = Peer::connect (address);

  peer.send (request ("/1") + request ("/2") + request ("/3"));
  ASSERT_TRUE (run_until_pending (3));
  EXPECT_EQ (srv_request_count (server), 3u);
  respond_to (2, "third");
  respond_to (1, "second");
  run_for (20);
  peer.receive ();
  EXPECT_TRUE (peer.received.empty ());
  respond_to (0, "first");
  ASSERT_TRUE (run_until_received (peer, "third"));
  EXPECT_LT (peer.received.find ("first"), peer.received.find ("second"));
  EXPECT_LT (peer.received.find ("second"), peer.received.find ("third"));
  EXPECT_EQ (peer.received.find ("Connection"), std::string::npos);
  EXPECT_EQ (srv_request_count (server), 0u);
}

/* Guards against a request that may run only once and starts although the
   connection may still end before its turn.  */
TEST_F (Pipeline, StartsAnAtMostOnceRequestInItsTurn)
{
  Peer peer = Peer::connect (address);

  peer.send (request ("/1") + request ("/2") + request ("/once"));
  ASSERT_TRUE (run_until_pending (2));
  respond_to (1, "second");
  run_for (20);
  EXPECT_EQ (targets.size (), 2u);
  respond_to (0, "first");
  ASSERT_TRUE (run_until_pending (1));
  EXPECT_EQ (targets[2], "/once");
  respond_to (0, "third");
  EXPECT_TRUE (run_until_received (peer, "third"));
}

/* Guards against a request that may run only once and starts behind a response
   that closes the connection, or behind one that never comes: its caller sends
   it again.  */
TEST_F (Pipeline, StartsNothingBehindAClose)
{
  Peer peer = Peer::connect (address);
  Peer other = Peer::connect (address);

  peer.send (request ("/1", "Connection: close\r\n") + request ("/once")
             + request ("/2"));
  ASSERT_TRUE (run_until_pending (1));
  respond_to (0, "first");
  EXPECT_TRUE (run_until_received (peer, "Connection: close\r\n"));
  EXPECT_TRUE (run_until_disconnected (peer));
  other.send (request ("/3") + request ("/4") + request ("/once"));
  ASSERT_TRUE (run_until_pending (2));
  srv_abort (pending[0]);
  EXPECT_TRUE (run_until_disconnected (other));
  EXPECT_TRUE (run_until ([&] { return disconnected_count == 1; }));
  EXPECT_EQ (targets, (std::vector<std::string>{ "/1", "/3", "/4" }));
  EXPECT_EQ (srv_request_count (server), 0u);
}

/* Guards against a shutdown that answers a part of the requests that were
   read, closes before the last of them, or reads more.  */
TEST_F (Pipeline, AnswersAllThatWasReadOnShutdown)
{
  Peer peer = Peer::connect (address);

  peer.send (request ("/1") + request ("/once") + "GET /3");
  ASSERT_TRUE (run_until_pending (1));
  srv_drain (server);
  peer.send (" HTTP/1.1\r\n\r\n" + request ("/4"));
  run_for (20);
  srv_stop_accepting (server);
  EXPECT_EQ (srv_request_count (server), 2u);
  respond_to (0, "first");
  ASSERT_TRUE (run_until_pending (1));
  ASSERT_TRUE (run_until_received (peer, "first"));
  EXPECT_EQ (peer.received.find ("Connection"), std::string::npos);
  respond_to (0, "second");
  EXPECT_TRUE (run_until_disconnected (peer));
  EXPECT_EQ (count_of (peer.received, "Connection: close\r\n"), 1u);
  EXPECT_NE (peer.received.find ("second"), std::string::npos);
  EXPECT_EQ (targets.size (), 2u);
  EXPECT_EQ (srv_request_count (server), 0u);
}

/* Guards against an error that overtakes the answers to good requests, or
   replaces them.  */
TEST_F (Pipeline, RejectsABadRequestInItsTurn)
{
  const struct
  {
    std::string text;
    const char *status;
  } bad[] = { { "\x01\x02\r\n\r\n", "HTTP/1.1 400 " },
              { request ("/", "A: " + std::string (2000, 'x') + "\r\n"),
                "HTTP/1.1 431 " },
              { "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n",
                "HTTP/1.1 413 " } };

  for (const auto &item : bad)
    {
      Peer peer = Peer::connect (address);

      peer.send (request ("/1") + request ("/2") + item.text + request ("/3"));
      ASSERT_TRUE (run_until_pending (2));
      respond_to (1, "second");
      run_for (20);
      peer.receive ();
      EXPECT_TRUE (peer.received.empty ());
      respond_to (0, "first");
      ASSERT_TRUE (run_until_disconnected (peer));
      EXPECT_LT (peer.received.find ("second"),
                 peer.received.find (item.status));
      EXPECT_NE (peer.received.find (item.status), std::string::npos);
      EXPECT_EQ (count_of (peer.received, "Connection: close\r\n"), 1u);
      EXPECT_EQ (srv_request_count (server), 0u);
    }
  EXPECT_EQ (targets.size (), 6u);
}

/* Guards against work for requests whose caller has left.  */
TEST_F (Pipeline, CancelsAllRequestsOfACallerThatLeaves)
{
  Peer peer = Peer::connect (address);

  peer.send (request ("/1") + request ("/2") + request ("/once"));
  ASSERT_TRUE (run_until_pending (2));
  respond_to (1, "second");
  peer.close (true);
  EXPECT_TRUE (run_until ([&] { return disconnected_count == 1; }));
  run_for (20);
  EXPECT_EQ (disconnected_count, 1);
  EXPECT_EQ (targets.size (), 2u);
  EXPECT_EQ (srv_request_count (server), 0u);
  EXPECT_EQ (srv_connection_count (server), 0u);
}

/* Guards against a handler that ends an exchange of a connection that was
   closed in the same loop iteration.  */
TEST_F (Pipeline, IgnoresResponsesOfAClosedConnection)
{
  Peer peer = Peer::connect (address);

  peer.send (request ("/1") + request ("/2") + request ("/3"));
  ASSERT_TRUE (run_until_pending (3));
  srv_abort (pending[0]);
  respond_to (1, "second");
  run_for (20);
  EXPECT_EQ (disconnected_count, 1);
  EXPECT_EQ (srv_request_count (server), 0u);
}

/* Guards against a caller that makes the server hold any number of
   requests.  */
TEST_F (Pipeline, BoundsTheRequestsOfAConnection)
{
  Peer peer = Peer::connect (address);
  std::string text;

  limits.max_pipelined = 3;
  srv_set_limits (server, &limits);
  for (int i = 0; i < 10; i++)
    text += request ("/" + std::to_string (i));
  peer.send (text);
  ASSERT_TRUE (run_until_pending (3));
  run_for (20);
  EXPECT_EQ (targets.size (), 3u);
  for (int i = 0; i < 10; i++)
    {
      ASSERT_TRUE (run_until ([&] { return !pending.empty (); }));
      respond_to (0, "answer " + std::to_string (i));
    }
  EXPECT_TRUE (run_until_received (peer, "answer 9"));
  EXPECT_EQ (targets.size (), 10u);
}

/* Guards against a caller that makes the server hold any number of bytes of
   requests, and against bytes that are counted for good.  */
TEST_F (Pipeline, BoundsTheBytesOfRequestsThatAreReadAhead)
{
  const std::string fields = "A: " + std::string (900, 'x') + "\r\n";
  struct acc account;
  Peer peer = Peer::connect (address);
  std::string text;

  acc_init (&account, 16u * 1024u * 1024u);
  srv_set_account (server, &account);
  limits.max_pipelined = 1000;
  limits.max_read_ahead = 8192;
  srv_set_limits (server, &limits);
  for (int i = 0; i < 400; i++)
    text += request ("/" + std::to_string (i), fields);
  peer.send (text);
  run_for (50);
  EXPECT_GT (pending.size (), 5u);
  EXPECT_LT (pending.size (), 20u);
  EXPECT_LE (account.used[ACC_READ_AHEAD], 8192u + 64u * 1024u);
  EXPECT_GT (account.used[ACC_READ_AHEAD], 0u);
  while (targets.size () < 400 || !pending.empty ())
    {
      ASSERT_TRUE (run_until ([&] { return !pending.empty (); }));
      respond_to (0, "x");
    }
  EXPECT_EQ (account.used[ACC_READ_AHEAD], 0u);
  srv_destroy (server);
  server = nullptr;
}

/* Guards against requests that are lost, joined or answered in a wrong order
   because of where their bytes are divided.  */
TEST_F (Pipeline, ReadsAPipelineDividedAnywhere)
{
  const std::string text
      = request ("/1") + "POST /once HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody"
        + request ("/3", "Connection: close\r\n");

  for (size_t at = 1; at < text.size (); at++)
    {
      Peer peer = Peer::connect (address);

      SCOPED_TRACE (at);
      targets.clear ();
      peer.send (text.substr (0, at));
      run_for (1);
      peer.send (text.substr (at));
      ASSERT_TRUE (run_until_pending (2));
      respond_to (1, "third");
      respond_to (0, "first");
      ASSERT_TRUE (run_until_pending (1));
      respond_to (0, "second");
      ASSERT_TRUE (run_until_disconnected (peer));
      EXPECT_EQ (targets, (std::vector<std::string>{ "/1", "/3", "/once" }));
      EXPECT_LT (peer.received.find ("first"), peer.received.find ("second"));
      EXPECT_LT (peer.received.find ("second"), peer.received.find ("third"));
    }
}

/* Guards against an interim response that the caller takes for the answer to
   an earlier request, and against a caller that waits for one in vain.  */
TEST_F (Pipeline, SendsContinueWhenNothingIsPending)
{
  Peer peer = Peer::connect (address);

  peer.send (request ("/1")
             + "POST /2 HTTP/1.1\r\nExpect: 100-continue\r\n"
               "Content-Length: 4\r\n\r\n");
  ASSERT_TRUE (run_until_pending (1));
  run_for (20);
  peer.receive ();
  EXPECT_TRUE (peer.received.empty ());
  respond_to (0, "first");
  ASSERT_TRUE (run_until_received (peer, "HTTP/1.1 100 Continue"));
  EXPECT_LT (peer.received.find ("first"), peer.received.find (" 100 "));
  peer.send ("body");
  EXPECT_TRUE (run_until_pending (1));
}

/* Guards against a connection that is closed as idle, or for an incomplete
   request, while an earlier request is handled.  */
TEST_F (Pipeline, IsNotIdleWithAnUnansweredRequest)
{
  Peer peer = Peer::connect (address);

  peer.send (request ("/1") + "GET /2 HT");
  ASSERT_TRUE (run_until_pending (1));
  run_for (400);
  EXPECT_EQ (srv_connection_count (server), 1u);
  respond_to (0, "first");
  EXPECT_TRUE (run_until_received (peer, "first"));
  EXPECT_TRUE (run_until_received (peer, "HTTP/1.1 408 "));
  EXPECT_TRUE (run_until_disconnected (peer));
}

/* Guards against a caller that reads nothing and makes the server run and hold
   answer after answer.  */
TEST_F (Pipeline, StartsNoRequestWhileItsCallerDoesNotRead)
{
  set_long_timeouts ();
  Peer peer = Peer::connect (address);

  peer.send (request ("/1"));
  ASSERT_TRUE (run_until_pending (1));
  respond_to (0, std::string (LARGE_BODY, 'x'));
  peer.send (request ("/2"));
  run_for (50);
  EXPECT_EQ (targets.size (), 1u);
  ASSERT_TRUE (run_until (
      [&] {
        peer.receive ();
        return targets.size () == 2;
      },
      LONG_LIMIT_MS));
  respond_to (0, "second");
  EXPECT_TRUE (run_until (
      [&] {
        peer.receive ();
        return peer.received.size () > LARGE_BODY
               && peer.received.find ("second", LARGE_BODY)
                      != std::string::npos;
      },
      LONG_LIMIT_MS));
}

/* Guards against a slow reader that takes the memory of others, and against
   one that reads and is closed in its place.  */
TEST_F (Pipeline, ClosesTheSlowestReaderWhenMemoryIsShort)
{
  const size_t body = 16u * 1024u * 1024u;
  struct acc account;
  Peer slow = Peer::connect (address);
  Peer later = Peer::connect (address);
  Peer prompt = Peer::connect (address);

  acc_init (&account, 100u * 1024u * 1024u);
  srv_set_account (server, &account);
  limits.idle_timeout = 10 * CLK_SECOND;
  srv_set_limits (server, &limits);
  slow.send (request ("/slow"));
  ASSERT_TRUE (run_until_pending (1));
  respond_to (0, std::string (body, 's'));
  run_for (20);
  EXPECT_GT (account.used[ACC_UNSENT], 0u);
  prompt.send (request ("/prompt"));
  ASSERT_TRUE (run_until_pending (1));
  respond_to (0, std::string (body, 'p'));
  EXPECT_EQ (srv_connection_count (server), 2u);
  EXPECT_TRUE (run_until_disconnected (slow));
  EXPECT_LT (slow.received.size (), body);
  EXPECT_TRUE (run_until (
      [&] {
        prompt.receive ();
        return prompt.received.size () > body;
      },
      LONG_LIMIT_MS));
  later.send (request ("/later"));
  ASSERT_TRUE (run_until_pending (1));
  respond_to (0, "done");
  EXPECT_TRUE (run_until_received (later, "done"));
  EXPECT_TRUE (run_until ([&] { return account.used[ACC_UNSENT] == 0; },
                          LONG_LIMIT_MS));
  srv_destroy (server);
  server = nullptr;
}

/* Guards against memory that is kept until the last byte of a response is
   sent.  */
TEST_F (Pipeline, GivesMemoryBackWhileAResponseIsSent)
{
  struct acc account;
  Peer peer = Peer::connect (address);
  size_t before;

  acc_init (&account, 512u * 1024u * 1024u);
  srv_set_account (server, &account);
  limits.idle_timeout = 10 * CLK_SECOND;
  srv_set_limits (server, &limits);
  peer.send (request ("/1"));
  ASSERT_TRUE (run_until_pending (1));
  respond_to (0, std::string (LARGE_BODY, 'x'));
  run_for (20);
  before = account.used[ACC_UNSENT];
  EXPECT_GT (before, LARGE_BODY / 2);
  EXPECT_TRUE (run_until (
      [&] {
        peer.receive ();
        return account.used[ACC_UNSENT] < before / 2;
      },
      LONG_LIMIT_MS));
  EXPECT_GT (account.used[ACC_UNSENT], 0u);
  EXPECT_TRUE (run_until (
      [&] {
        peer.receive ();
        return peer.received.size () > LARGE_BODY;
      },
      LONG_LIMIT_MS));
  EXPECT_EQ (peer.received.substr (peer.received.size () - LARGE_BODY),
             std::string (LARGE_BODY, 'x'));
  EXPECT_EQ (account.used[ACC_UNSENT], 0u);
  srv_destroy (server);
  server = nullptr;
}

/* Guards against a response to HEAD with a body, or a wrong order, where it
   stands between others.  */
TEST_F (Pipeline, KeepsTheKindOfEachRequest)
{
  Peer peer = Peer::connect (address);

  peer.send ("HEAD /1 HTTP/1.1\r\n\r\n" + request ("/2"));
  ASSERT_TRUE (run_until_pending (2));
  respond_to (1, "second");
  respond_to (0, "first");
  ASSERT_TRUE (run_until_received (peer, "second"));
  EXPECT_EQ (peer.received.find ("first"), std::string::npos);
  EXPECT_EQ (count_of (peer.received, "HTTP/1.1 200 "), 2u);
}

/* Guards against a caller that waits for its interim response in vain because
   the response before was still being sent when it asked.  */
TEST_F (Pipeline, SendsContinueAfterALongResponse)
{
  limits.idle_timeout = LONG_LIMIT_MS * CLK_MILLISECOND;
  srv_set_limits (server, &limits);
  Peer peer = Peer::connect (address);

  peer.send (request ("/1")
             + "POST /2 HTTP/1.1\r\nExpect: 100-continue\r\n"
               "Content-Length: 4\r\n\r\n");
  ASSERT_TRUE (run_until_pending (1));
  respond_to (0, std::string (LARGE_BODY, 'x'));
  ASSERT_TRUE (run_until (
      [&] {
        peer.receive ();
        return peer.received.size () > LARGE_BODY;
      },
      LONG_LIMIT_MS));
  ASSERT_TRUE (run_until (
      [&] {
        peer.receive ();
        return peer.received.find ("HTTP/1.1 ", LARGE_BODY)
               != std::string::npos;
      },
      LONG_LIMIT_MS));
  EXPECT_NE (peer.received.find ("HTTP/1.1 100 Continue", LARGE_BODY),
             std::string::npos);
  peer.send ("body");
  EXPECT_TRUE (run_until_pending (1));
}

/* Guards against calls that nest once for each request of a pipeline, and
   against answers that are lost or given twice.  */
TEST_F (Pipeline, AnswersAThousandRequestsInTheirHandler)
{
  const size_t count = 1000;
  Peer peer = Peer::connect (address);
  std::string text;

  respond_immediately = true;
  for (size_t i = 0; i < count; i++)
    text += request ("/" + std::to_string (i));
  peer.send (text);
  ASSERT_TRUE (run_until ([&] {
    peer.receive ();
    return count_of (peer.received, "HTTP/1.1 200 ") == count;
  }));
  EXPECT_EQ (targets.size (), count);
  EXPECT_EQ (srv_request_count (server), 0u);
}

/* Guards against exchanges that are used after their connection was closed by
   one of them: the others are reported, and answers to them are ignored.  */
TEST_F (Pipeline, AbortsAConnectionFromOneOfItsRequests)
{
  Peer peer = Peer::connect (address);

  peer.send (request ("/1") + request ("/2") + request ("/3")
             + request ("/once"));
  ASSERT_TRUE (run_until_pending (3));
  struct srv_exchange *second = pending[1];

  pending.erase (pending.begin () + 1);
  srv_abort (second);
  respond_to (0, "first");
  EXPECT_EQ (srv_request_count (server), 0u);
  ASSERT_TRUE (run_until ([&] { return disconnected_count == 1; }));
  ASSERT_TRUE (run_until_disconnected (peer));
  EXPECT_TRUE (pending.empty ());
  EXPECT_EQ (targets.size (), 3u);
  EXPECT_TRUE (peer.received.empty ());
}

/* Guards against other bytes for callers that do not pipeline than before
   there was pipelining.  */
TEST_F (Server, SendsTheBytesThatItSentWithoutPipelining)
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string closed = "Connection: close\r\n";
  const std::string done = "Content-Length: 4\r\n\r\ndone";
  const std::string none = "Content-Length: 0\r\n\r\n";
  const struct
  {
    std::string request;
    std::string response;
  } cases[] = {
    { get, ok + done },
    { "HEAD /1 HTTP/1.1\r\n\r\n", ok + none },
    { "GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n", ok + closed + done },
    { "GET /1 HTTP/1.0\r\n\r\n", ok + closed + done },
    { "BAD\r\n\r\n", "HTTP/1.1 400 Bad Request\r\n" + closed + none },
    { "POST /1 HTTP/1.1\r\nContent-Length: 1001\r\n\r\n",
      "HTTP/1.1 413 Payload Too Large\r\n" + closed + none },
    { "GET /1 HT", "HTTP/1.1 408 Request Timeout\r\n" + closed + none }
  };

  for (const auto &example : cases)
    {
      Peer peer = Peer::connect (address);

      peer.send (example.request);
      run_until_disconnected (peer, 350);
      EXPECT_EQ (peer.received, example.response) << example.request;
    }
}
