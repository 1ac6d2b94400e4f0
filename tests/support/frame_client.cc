/* Raw client of a gate's link protocol, and a gate in this process.  */

#include "support/frame_client.h"

#include "support/loopback.h"

#include <cstring>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

TestGate::TestGate (FakeUpstream &upstream, unsigned disabled, int slots,
                    int threads, unsigned peer_limit_ms)
    : off (disabled), limit_ms (peer_limit_ms)
{
  struct up_announcement announcement = {};

  settings.mesh_address = loopback_allocate_address ();
  settings.gate_threads = threads;
  settings.gate_queue_capacity = TEST_QUEUE_CAPACITY;
  strcpy (settings.environment, "trial");
  strcpy (announcement.service, "stock");
  strcpy (announcement.name, "stock-1");
  announcement.address = upstream.address ();
  announcement.slots = (uint32_t)slots;
  lease = up_lease_create ();
  /* The lease must outlast a test on a slow machine.  */
  up_lease_renew (lease, &announcement, clk_now () + 600 * CLK_SECOND);
  open (TEST_INCARNATION);
}

void
TestGate::open (uint64_t incarnation)
{
  struct gate_hooks hooks = {};

  hooks.platform = fake_platform_factory (&platform);
  hooks.disabled = off;
  hooks.peer_limit_ms = limit_ms;
  if (gate_create (&settings, incarnation, lease, &hooks, &gate) != GATE_OK)
    abort ();
}

TestGate::~TestGate ()
{
  gate_destroy (gate);
  up_lease_destroy (lease);
}

void
TestGate::restart (uint64_t incarnation)
{
  gate_destroy (gate);
  open (incarnation);
}

static std::string
encode (const Mesh__Frame *frame)
{
  struct buf output = {};
  std::string bytes;

  EXPECT_EQ (frm_encode (frame, &output), FRM_OK);
  bytes.assign ((const char *)output.data, output.length);
  buf_close (&output);
  return bytes;
}

static Mesh__CallId
make_id (uint64_t number)
{
  Mesh__CallId id = MESH__CALL_ID__INIT;

  id.origin = 77;
  id.number = number;
  return id;
}

std::string
encode_hello (uint32_t protocol, const std::string &environment)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Hello hello = MESH__HELLO__INIT;

  hello.protocol = protocol;
  hello.mesh = XXH3_64bits (environment.data (), environment.size ());
  hello.from = (char *)"tester";
  frame.body_case = MESH__FRAME__BODY_HELLO;
  frame.hello = &hello;
  return encode (&frame);
}

std::string
encode_call (const TestCall &call)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Call message = MESH__CALL__INIT;
  Mesh__CallId id = make_id (call.number);

  message.id = &id;
  message.method = (char *)call.method.c_str ();
  message.target = (char *)call.target.c_str ();
  message.remaining_us = call.remaining_ms * 1000;
  message.depth = call.depth;
  message.call_class = call.call_class;
  message.order_key = (char *)call.order_key.c_str ();
  message.order_keys = call.order_keys;
  message.tenant = (char *)call.tenant.c_str ();
  message.body.data = (uint8_t *)call.body.data ();
  message.body.len = call.body.size ();
  message.more = call.more;
  message.service = (char *)"stock";
  message.gate_incarnation = call.incarnation;
  frame.body_case = MESH__FRAME__BODY_CALL;
  frame.call = &message;
  return encode (&frame);
}

std::string
encode_body_part (uint64_t number, const std::string &data, bool more)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__BodyPart part = MESH__BODY_PART__INIT;
  Mesh__CallId id = make_id (number);

  part.id = &id;
  part.data.data = (uint8_t *)data.data ();
  part.data.len = data.size ();
  part.more = more;
  frame.body_case = MESH__FRAME__BODY_CALL_BODY;
  frame.call_body = &part;
  return encode (&frame);
}

std::string
encode_cancel (uint64_t number)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Cancel cancel = MESH__CANCEL__INIT;
  Mesh__CallId id = make_id (number);

  cancel.id = &id;
  frame.body_case = MESH__FRAME__BODY_CANCEL;
  frame.cancel = &cancel;
  return encode (&frame);
}

std::string
encode_window_grant (uint64_t number, uint32_t bytes)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__WindowGrant grant = MESH__WINDOW_GRANT__INIT;
  Mesh__CallId id = make_id (number);

  grant.id = &id;
  grant.bytes = bytes;
  frame.body_case = MESH__FRAME__BODY_WINDOW_GRANT;
  frame.window_grant = &grant;
  return encode (&frame);
}

FrameClient::FrameClient (struct net_address address, bool hello)
    : socket (net_connect (address, clk_now () + 20 * CLK_SECOND))
{
  EXPECT_GE (socket, 0);
  if (hello)
    send (encode_hello (FRM_PROTOCOL, "trial"));
}

FrameClient::~FrameClient ()
{
  if (socket >= 0)
    close (socket);
}

void
FrameClient::send (const std::string &bytes)
{
  size_t done = 0;
  ssize_t count = 1;
  int flags = fcntl (socket, F_GETFL);

  fcntl (socket, F_SETFL, flags & ~O_NONBLOCK);
  while (done < bytes.size () && count > 0)
    {
      count = ::send (socket, bytes.data () + done, bytes.size () - done,
                      MSG_NOSIGNAL);
      done += count > 0 ? (size_t)count : 0;
    }
}

void
FrameClient::disconnect ()
{
  close (socket);
  socket = -1;
}

FramePointer
FrameClient::read (int timeout_ms)
{
  Mesh__Frame *frame = nullptr;

  frm_read (socket, clk_now () + timeout_ms * CLK_MILLISECOND, &frame);
  return FramePointer (frame, frm_free);
}

std::string
FrameClient::read_answer (uint32_t *outcome, uint64_t number)
{
  bool more = true;

  body.clear ();
  reason = "no answer";
  *outcome = 99;
  while (more)
    {
      FramePointer frame = read ();

      if (frame == nullptr)
        break;
      if (frame->body_case == MESH__FRAME__BODY_ANSWER)
        {
          const Mesh__Answer *answer = frame->answer;

          if (number != 0 && answer->id->number != number)
            continue;
          *outcome = answer->outcome;
          reason = answer->reason;
          body.assign ((char *)answer->body.data, answer->body.len);
          more = answer->more;
          duplicate = false;
          for (size_t i = 0; i < answer->n_headers; i++)
            duplicate
                |= strcmp (answer->headers[i]->name, "Mulberryshift-Duplicate")
                   == 0;
        }
      else if (frame->body_case == MESH__FRAME__BODY_ANSWER_BODY)
        {
          const Mesh__BodyPart *part = frame->answer_body;

          body.append ((char *)part->data.data, part->data.len);
          more = part->more;
          send (encode_window_grant (part->id->number,
                                     (uint32_t)part->data.len));
        }
    }
  if (more)
    *outcome = 99;
  return body;
}

uint32_t
FrameClient::call (const TestCall &call)
{
  uint32_t outcome;

  send (encode_call (call));
  read_answer (&outcome, call.number);
  return outcome;
}

uint32_t
FrameClient::query (uint64_t number, uint64_t incarnation)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Query message = MESH__QUERY__INIT;
  Mesh__CallId id = make_id (number);

  message.id = &id;
  message.gate_incarnation = incarnation;
  frame.body_case = MESH__FRAME__BODY_QUERY;
  frame.query = &message;
  send (encode (&frame));
  for (;;)
    {
      FramePointer reply = read ();

      if (reply == nullptr)
        return 99;
      if (reply->body_case != MESH__FRAME__BODY_QUERY_REPLY)
        continue;
      const Mesh__QueryReply *found = reply->query_reply;
      body.clear ();
      if (found->answer != nullptr)
        body.assign ((char *)found->answer->body.data,
                     found->answer->body.len);
      return found->state;
    }
}
