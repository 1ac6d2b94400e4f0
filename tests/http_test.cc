/* Front: forwarding, refusals and draining, over raw sockets.  */

#include "base/err.h"
#include "http/http.h"
#include "http/http_admin.h"
#include "http/http_announcement.h"
#include "http/http_header.h"
#include "support/fake_gate.h"
#include "support/loopback.h"
#include "view/view.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{
const char *const kDocument = R"(
[[service]]
name = "stock"
[[route]]
path = "/"
service = "stock"
class = "once"
deadline_ms = 3000
)";

/* A front whose only member is a scripted gate.  */
struct front_fixture
{
  fake_gate gate;
  lnk_identity identity = { "test", 1, 2 };
  lnk_pool *pool = lnk_pool_create (&identity);
  call_runner *runner = call_create (pool, 1);
  cfg_settings settings = {};
  http_front *front = NULL;

  explicit front_fixture (fake_gate::frame_handler script)
      : gate (std::move (script))
  {
    mbr_member self = {};
    mbr_member member = {};
    snp_snapshot *snapshot = NULL;

    strcpy (member.name, "a");
    strcpy (member.service, "stock");
    member.address = gate.address ();
    EXPECT_EQ (snp_create (1, kDocument, strlen (kDocument), &snapshot),
               SNP_OK);
    view_publish (view_create (snapshot, &member, 1, &self));
    snp_release (snapshot);
    settings.http_address = loopback_allocate_address ();
    settings.http_threads = 8;
    settings.http_max_body_bytes = 100000;
    EXPECT_EQ (http_front_create (&settings, runner, &front), HTTP_OK)
        << err_last ();
  }
  ~front_fixture ()
  {
    http_front_destroy (front);
    call_destroy (runner);
    lnk_pool_destroy (pool);
    view_publish (NULL);
  }

  int
  connect_caller () const
  {
    return net_connect (settings.http_address, clk_now () + CLK_SECOND);
  }
};

/* Returns what the server sends until it closes or, with UNTIL, sends that. */
std::string
receive (int socket, const std::string &until = "")
{
  std::string result;
  char data[65536];
  ssize_t count;
  struct timeval limit = { 5, 0 };

  setsockopt (socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  while ((until.empty () || result.find (until) == std::string::npos)
         && (count = recv (socket, data, sizeof data, 0)) > 0)
    result.append (data, (size_t)count);
  return result;
}

std::string
send_request (const front_fixture &fixture, const std::string &request)
{
  int socket = fixture.connect_caller ();
  std::string response;

  send (socket, request.data (), request.size (), MSG_NOSIGNAL);
  response = receive (socket);
  close (socket);
  return response;
}

bool
contains (const std::string &text, const std::string &part)
{
  return text.find (part) != std::string::npos;
}
}

/* Guards against requests that two servers in a row could read differently,
   and against invalid input that reaches an upstream.  */
TEST (Front, RefusesInvalidRequestsWithoutACall)
{
  std::atomic<unsigned> calls{ 0 };
  front_fixture fixture ([&] (fake_link &link, const Mesh__Frame *frame) {
    calls++;
    link.send_answer (*frame->call->id, "x");
    return true;
  });
  const char *const host = "Host: a\r\n";
  struct
  {
    std::string request;
    std::string status;
  } cases[] = {
    { "nonsense\r\n\r\n", "400" },
    { "GET / HTTP/1.1\r\n\r\n", "400" },
    { std::string ("GET / HTTP/1.1\r\nHost: b\r\n") + host + "\r\n", "400" },
    { std::string ("POST / HTTP/1.1\r\n") + host
          + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      "400" },
    { std::string ("POST / HTTP/1.1\r\n") + host
          + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "400" },
    { std::string ("POST / HTTP/1.1\r\n") + host
          + "Content-Length: +3\r\n\r\nabc",
      "400" },
    { std::string ("POST / HTTP/1.1\r\n") + host
          + "Transfer-Encoding: gzip\r\n\r\n",
      "400" },
    { std::string ("POST / HTTP/1.1\r\n") + host
          + "Content-Length: 100001\r\n\r\n",
      "413" },
    { std::string ("POST / HTTP/1.1\r\n") + host
          + "Expect: magic\r\nContent-Length: 1\r\n\r\na",
      "417" },
    { std::string ("GET / HTTP/1.1\r\n") + host
          + "Mulberryshift-Context: depth=1\r\n\r\n",
      "400" },
    { std::string ("GET / HTTP/1.1\r\n") + host
          + "X: " + std::string (20000, 'x') + "\r\n\r\n",
      "4" },
  };

  for (auto &one : cases)
    {
      std::string response = send_request (fixture, one.request);

      EXPECT_TRUE (contains (response, "HTTP/1.1 " + one.status))
          << one.request.substr (0, 80) << " -> " << response;
      EXPECT_TRUE (contains (response, "Connection: close")) << response;
    }
  EXPECT_EQ (calls, 0u);
}

/* Guards against a caller that loses the refusal of a long body: its
   connection was reset while it was still sending, before it read the
   response.  */
TEST (Front, ReadsALongBodyToItsEndAfterTheRefusal)
{
  front_fixture fixture (
      [] (fake_link &, const Mesh__Frame *) { return true; });
  const size_t pieces = 20;
  const std::string piece (50000, 'x');
  int socket = fixture.connect_caller ();
  std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "
                     + std::to_string (pieces * piece.size ()) + "\r\n\r\n";

  EXPECT_EQ (send (socket, head.data (), head.size (), MSG_NOSIGNAL),
             (ssize_t)head.size ());
  for (size_t i = 0; i < pieces; i++)
    {
      ASSERT_EQ (send (socket, piece.data (), piece.size (), MSG_NOSIGNAL),
                 (ssize_t)piece.size ())
          << "piece " << i << ": " << strerror (errno);
      usleep (5000);
    }
  EXPECT_TRUE (contains (receive (socket), "HTTP/1.1 413"));
  close (socket);
}

/* Guards against lost or added parts of a request and its response.  */
TEST (Front, ForwardsMethodHeadersAndBodiesWhole)
{
  std::string seen;
  std::string large (300000, 'y');
  front_fixture fixture ([&] (fake_link &link, const Mesh__Frame *frame) {
    if (frame->body_case != MESH__FRAME__BODY_CALL)
      return true;
    const Mesh__Call *call = frame->call;
    seen = std::string (call->method) + " " + call->target + " "
           + std::string ((char *)call->body.data, call->body.len);
    for (size_t i = 0; i < call->n_headers; i++)
      seen += std::string (" ") + call->headers[i]->name + "="
              + call->headers[i]->value;
    if (strcmp (call->method, "HEAD") == 0)
      link.send_answer (*call->id, "");
    else
      {
        link.send_answer (*call->id, large.substr (0, 100000), true);
        link.send_body_part (*call->id, large.substr (100000, 100000), true);
        link.send_body_part (*call->id, large.substr (200000), false);
      }
    return true;
  });
  std::string response = send_request (
      fixture, "POST /a%20b?c=d HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n"
               "X-Hop: 2\r\nConnection: close, X-Hop\r\n"
               "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
               "0\r\n\r\n");

  EXPECT_EQ (seen, "POST /a%20b?c=d abcde Host=h X-One=1");
  EXPECT_TRUE (contains (response, "Mulberryshift-Outcome: answered\r\n"));
  EXPECT_TRUE (contains (response, "Mulberryshift-Call: 0000000000000001-1"));
  EXPECT_TRUE (contains (response, "\r\n\r\n" + large));
  response = send_request (
      fixture, "HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_EQ (response.substr (response.size () - 4), "\r\n\r\n");
}

/* Guards against a planned stop that cuts off a request in progress, and
   against refusing requests before the front is gone.  */
TEST (Front, DrainingCutsOffNothing)
{
  std::atomic<bool> slow_begun{ false };
  auto fixture = std::make_unique<front_fixture> (
      [&] (fake_link &link, const Mesh__Frame *frame) {
        if (strcmp (frame->call->target, "/slow") == 0)
          {
            slow_begun = true;
            usleep (300000);
          }
        link.send_answer (*frame->call->id, "whole");
        return true;
      });
  int kept = fixture->connect_caller ();
  int slow = fixture->connect_caller ();
  std::string get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  std::string get_slow = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n";

  send (kept, get.data (), get.size (), 0);
  EXPECT_TRUE (contains (receive (kept, "whole"), "Connection: keep-alive"));
  http_front_drain (fixture->front);
  send (kept, get.data (), get.size (), 0);
  EXPECT_TRUE (contains (receive (kept), "Connection: close"));
  EXPECT_TRUE (contains (send_request (*fixture, get), "whole"));
  send (slow, get_slow.data (), get_slow.size (), 0);
  while (!slow_begun)
    usleep (1000);
  fixture.reset ();
  EXPECT_TRUE (contains (receive (slow), "\r\n\r\nwhole"));
  close (kept);
  close (slow);
}

/* Guards against a nested call that loses the ID of its parent.  */
TEST (Front, KeepsTheParentOfANestedCall)
{
  std::atomic<uint64_t> origin{ 0 };
  std::atomic<uint64_t> number{ 0 };
  front_fixture fixture ([&] (fake_link &link, const Mesh__Frame *frame) {
    if (frame->call->parent != NULL)
      {
        origin = frame->call->parent->origin;
        number = frame->call->parent->number;
      }
    link.send_answer (*frame->call->id, "x");
    return true;
  });

  EXPECT_TRUE (contains (
      send_request (fixture,
                    "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                    "Mulberryshift-Context: id=0000018c2f3b4a5d-7;"
                    "remaining_ms=900;depth=1;retries=2\r\n\r\n"),
      "200 OK"));
  EXPECT_EQ (origin, 0x18c2f3b4a5du);
  EXPECT_EQ (number, 7u);
}

/* Guards against a load balancer that goes on sending to a node that stops. */
TEST (Admin, IsNotReadyWhileDraining)
{
  cfg_settings settings = {};
  http_admin_hooks hooks = {};
  http_admin *admin = NULL;
  auto ask = [&] {
    const char request[]
        = "GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    int socket = net_connect (settings.admin_address, clk_now () + CLK_SECOND);
    std::string response;

    send (socket, request, sizeof request - 1, MSG_NOSIGNAL);
    response = receive (socket);
    close (socket);
    return response;
  };

  settings.admin_address = loopback_allocate_address ();
  hooks.is_ready = [] (void *) { return true; };
  ASSERT_EQ (http_admin_create (&settings, NULL, &hooks, &admin), HTTP_OK);
  EXPECT_TRUE (contains (ask (), " 200 "));
  http_admin_drain (admin);
  std::string response = ask ();
  EXPECT_TRUE (contains (response, " 503 ")) << response;
  EXPECT_TRUE (contains (response, "draining")) << response;
  http_admin_destroy (admin);
}

/* Guards against a refusal that does not say which field is wrong and what it
   must be, and against a wrong announcement that is stored.  */
TEST (Announcement, RefusalNamesTheFieldAndItsRange)
{
  auto refusal = [] (const std::string &text) {
    up_announcement announcement;

    return http_read_announcement (text.data (), text.size (), &announcement)
               ? std::string ("valid")
               : std::string (err_last ());
  };
  auto with = [&] (const std::string &rest) {
    return refusal ("{\"service\": \"stock\", \"name\": \"a\", " + rest);
  };
  const std::string address = "\"address\": \"10.0.0.5:8000\"";
  const std::string slots_rule = "it must be a whole number from 1 to 65536";
  const std::string address_rule
      = "it must be a string with an IPv4 address and a port from 1 to 65535, "
        "such as \"10.0.0.5:8000\"";

  EXPECT_EQ (with (address + ", \"slots\": 1}"), "valid");
  EXPECT_EQ (with (address + ", \"slots\": 65536, \"connections\": 0}"),
             "valid");
  EXPECT_EQ (with (address + "}"), "slots is missing; " + slots_rule);
  EXPECT_EQ (with (address + ", \"slots\": \"6\"}"),
             "slots is a string; " + slots_rule);
  for (const char *slots : { "0", "-1", "65537", "4294967297" })
    EXPECT_EQ (with (address + ", \"slots\": " + slots + "}"),
               "slots is out of range; " + slots_rule);
  EXPECT_EQ (with (address + ", \"slots\": 1.5}"),
             "slots is a number with a fraction or an exponent; "
                 + slots_rule);
  EXPECT_EQ (with (address + ", \"slots\": 1, \"connections\": 1000001}"),
             "connections is out of range; it must be a whole number from 0 "
             "to 1000000");
  EXPECT_EQ (with ("\"address\": 8000, \"slots\": 1}"),
             "address is a number; " + address_rule);
  EXPECT_EQ (with ("\"address\": \"10.0.0.5:0\", \"slots\": 1}"),
             "address is not valid; " + address_rule);
  EXPECT_EQ (refusal ("{\"service\": \"a b\"}"),
             "service is not valid; it must be a string of 1 to 63 letters, "
             "digits, '.', '-' and '_'");
  EXPECT_EQ (refusal ("{\"slot\": 1}"),
             "\"slot\" is not a field; the fields are service, name, address, "
             "slots and connections");
  EXPECT_EQ (refusal ("[]"), "it must be a JSON object, not an array");
  EXPECT_TRUE (contains (refusal ("{"), "it is not JSON"));
  EXPECT_TRUE (
      contains (refusal ("{\"slots\": 1, \"slots\": 2}"), "duplicate"));
}

/* Guards against idle callers that hold every thread, so that another caller
   waits for the keep-alive timeout.  */
TEST (Front, IdleConnectionsLeaveThreadsForOthers)
{
  front_fixture fixture ([&] (fake_link &link, const Mesh__Frame *frame) {
    link.send_answer (*frame->call->id, "whole");
    return true;
  });
  std::string get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  std::vector<int> sockets;
  unsigned kept = 0;

  for (int i = 0; i < 12; i++)
    {
      int socket = fixture.connect_caller ();
      std::string response;

      sockets.push_back (socket);
      send (socket, get.data (), get.size (), 0);
      response = receive (socket, "whole");
      EXPECT_TRUE (contains (response, "whole")) << i;
      kept += contains (response, "keep-alive");
    }
  EXPECT_EQ (kept, 6u);
  for (int socket : sockets)
    close (socket);
}
