/* HTTP server on an event loop.  */

#include "srv/srv.h"
#include "support/loop_test.h"

#include <cstring>
#include <string>
#include <vector>

class Server : public LoopTest
{
protected:
  Server ()
  {
    EXPECT_EQ (srv_create (loop, address, &handlers, this, &limits, &server),
               SRV_OK);
  }
  ~Server () override
  {
    srv_destroy (server);
    run_for (5);
  }
  static void
  on_request (void *context, struct srv_connection *connection,
              struct htp_message *message)
  {
    Server *self = static_cast<Server *> (context);

    self->targets.push_back (htp_target (message));
    self->waiting.push_back (connection);
    if (self->at_once)
      self->answer ();
  }
  static void
  on_gone (void *context, struct srv_connection *connection)
  {
    Server *self = static_cast<Server *> (context);

    self->gone++;
    for (size_t i = 0; i < self->waiting.size (); i++)
      if (self->waiting[i] == connection)
        self->waiting.erase (self->waiting.begin () + (long)i--);
  }
  void
  answer ()
  {
    struct srv_connection *connection = waiting.front ();

    waiting.erase (waiting.begin ());
    srv_start_response (connection, 200);
    srv_finish_response (connection, "done", 4);
  }
  static constexpr struct srv_handlers handlers = { on_request, on_gone };
  struct srv_limits limits
      = { { 1000, 1000 }, 100 * CLK_MILLISECOND, 300 * CLK_MILLISECOND, 0 };
  struct net_address address = allocate_address ();
  struct srv *server = nullptr;
  std::vector<std::string> targets;
  std::vector<struct srv_connection *> waiting;
  int gone = 0;
  bool at_once = true;
};

constexpr struct srv_handlers Server::handlers;

static const char get[] = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";

/* Guards against a connection that serves one request only.  */
TEST_F (Server, KeepsConnections)
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

/* Guards against requests that are lost or answered out of order when they
   come before the answer to the one before.  */
TEST_F (Server, AnswersRequestsInOrder)
{
  Peer peer = Peer::connect (address);

  at_once = false;
  peer.send (std::string (get) + "GET /2 HTTP/1.1\r\n\r\nGET /3 HT");
  ASSERT_TRUE (run_until ([&] { return waiting.size () == 1; }));
  run_for (20);
  EXPECT_EQ (targets.size (), 1u);
  answer ();
  ASSERT_TRUE (run_until ([&] { return waiting.size () == 1; }));
  EXPECT_EQ (targets[1], "/2");
  answer ();
  peer.send ("TP/1.1\r\n\r\n");
  ASSERT_TRUE (run_until ([&] { return targets.size () == 3; }));
  answer ();
  EXPECT_TRUE (run_until_received (peer, "done"));
}

/* Guards against work for a caller that has left.  */
TEST_F (Server, NoticesThatACallerLeaves)
{
  Peer peer = Peer::connect (address);
  Peer other = Peer::connect (address);

  at_once = false;
  peer.send (get);
  other.send (get);
  ASSERT_TRUE (run_until ([&] { return waiting.size () == 2; }));
  peer.close ();
  EXPECT_TRUE (run_until ([&] { return gone == 1; }, 500));
  other.close (true);
  EXPECT_TRUE (run_until ([&] { return gone == 2; }, 500));
  EXPECT_EQ (srv_request_count (server), 0u);
  EXPECT_EQ (srv_connection_count (server), 0u);
}

/* Guards against callers that send more, or more slowly, than allowed.  */
TEST_F (Server, KeepsTheLimits)
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

/* Guards against a shutdown that cuts off a request, and against requests that
   are taken until the last moment: after srv_stop_accepting a request in
   progress is answered and nobody else is let in.  */
TEST_F (Server, StopsWithoutCuttingOffRequests)
{
  Peer working = Peer::connect (address);
  Peer idle = Peer::connect (address);

  at_once = false;
  working.send (get);
  ASSERT_TRUE (run_until ([&] {
    return waiting.size () == 1 && srv_connection_count (server) == 2;
  }));
  srv_drain (server);
  EXPECT_TRUE (srv_is_accepting (server));
  srv_stop_accepting (server);
  EXPECT_FALSE (srv_is_accepting (server));
  EXPECT_TRUE (run_until_disconnected (idle));
  int refused = net_connect (address, clk_now () + 200 * CLK_MILLISECOND);
  EXPECT_LT (refused, 0);
  answer ();
  EXPECT_TRUE (run_until_received (working, "Connection: close\r\n"));
  EXPECT_TRUE (run_until_received (working, "done"));
  EXPECT_TRUE (run_until_disconnected (working));
}

/* Guards against a request that waits to be accepted when a shutdown closes
   the listener, and is reset (sdc_test EndAShutdownWithAnswers, once).  */
TEST_F (Server, AnswersWhatWaitsWhenItStopsAccepting)
{
  Peer late = Peer::connect (address);

  late.send (get);
  srv_stop_accepting (server);
  EXPECT_TRUE (run_until_received (late, "done"));
}

/* Guards against answers to HEAD that have a body, which would be taken for
   the next answer.  */
TEST_F (Server, AnswersHeadWithoutABody)
{
  Peer peer = Peer::connect (address);

  peer.send ("HEAD / HTTP/1.1\r\n\r\n");
  ASSERT_TRUE (run_until_received (peer, "\r\n\r\n"));
  run_for (20);
  peer.receive ();
  EXPECT_EQ (peer.received.find ("done"), std::string::npos);
}
