/* Scripted gate for tests of the sending side.  */

#include "support/fake_gate.h"

#include "out/out_table.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

void
fake_link::send (const Mesh__Frame &frame)
{
  std::lock_guard<std::mutex> guard (lock);
  size_t sent;

  frm_write (socket, clk_now () + 5 * CLK_SECOND, &frame, &sent);
}

void
fake_link::send_answer (const Mesh__CallId &id, const std::string &body,
                        bool more, uint32_t outcome, uint32_t status)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Answer message = MESH__ANSWER__INIT;
  Mesh__CallId copy = id;

  message.id = &copy;
  message.outcome = outcome;
  message.status = status;
  message.body.data = (uint8_t *)body.data ();
  message.body.len = body.size ();
  message.more = more;
  frame.body_case = MESH__FRAME__BODY_ANSWER;
  frame.answer = &message;
  send (frame);
}

void
fake_link::send_body_part (const Mesh__CallId &id, const std::string &body,
                           bool more)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__BodyPart message = MESH__BODY_PART__INIT;
  Mesh__CallId copy = id;

  message.id = &copy;
  message.data.data = (uint8_t *)body.data ();
  message.data.len = body.size ();
  message.more = more;
  frame.body_case = MESH__FRAME__BODY_ANSWER_BODY;
  frame.answer_body = &message;
  send (frame);
}

void
fake_link::send_window_grant (const Mesh__CallId &id, uint32_t bytes)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__WindowGrant message = MESH__WINDOW_GRANT__INIT;
  Mesh__CallId copy = id;

  message.id = &copy;
  message.bytes = bytes;
  frame.body_case = MESH__FRAME__BODY_WINDOW_GRANT;
  frame.window_grant = &message;
  send (frame);
}

void
fake_link::send_query_reply (const Mesh__CallId &id, uint32_t state,
                             const std::string &finished_body)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__QueryReply message = MESH__QUERY_REPLY__INIT;
  Mesh__Answer finished = MESH__ANSWER__INIT;
  Mesh__CallId copy = id;

  message.id = &copy;
  message.state = state;
  if (state == OUT_STATE_FINISHED)
    {
      finished.id = &copy;
      finished.status = 200;
      finished.body.data = (uint8_t *)finished_body.data ();
      finished.body.len = finished_body.size ();
      message.answer = &finished;
    }
  frame.body_case = MESH__FRAME__BODY_QUERY_REPLY;
  frame.query_reply = &message;
  send (frame);
}

void
fake_link::send_refusal (const std::string &reason)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Refusal message = MESH__REFUSAL__INIT;

  message.protocol = FRM_PROTOCOL;
  message.reason = (char *)reason.c_str ();
  frame.body_case = MESH__FRAME__BODY_REFUSAL;
  frame.refusal = &message;
  send (frame);
}

void
fake_link::disconnect ()
{
  shutdown (socket, SHUT_RDWR);
}

fake_gate::fake_gate (frame_handler on_frame)
    : on_frame_ (std::move (on_frame))
{
  struct sockaddr_in where;
  socklen_t size = sizeof where;

  listener_ = net_listen ({ 0x7f000001, 0 });
  getsockname (listener_, (struct sockaddr *)&where, &size);
  address_ = { 0x7f000001, ntohs (where.sin_port) };
  acceptor_ = std::thread ([this] { accept_links (); });
}

fake_gate::~fake_gate ()
{
  stopping_ = true;
  shutdown (listener_, SHUT_RDWR);
  acceptor_.join ();
  {
    std::lock_guard<std::mutex> guard (lock_);
    for (int socket : sockets_)
      shutdown (socket, SHUT_RDWR);
  }
  for (auto &thread : threads_)
    thread.join ();
  close (listener_);
}

void
fake_gate::accept_links ()
{
  while (!stopping_)
    {
      int socket = accept (listener_, NULL, NULL);

      if (socket < 0)
        continue;
      accepted_++;
      std::lock_guard<std::mutex> guard (lock_);
      sockets_.insert (socket);
      threads_.emplace_back ([this, socket] { serve (socket); });
    }
}

void
fake_gate::serve (int socket)
{
  fake_link link;
  Mesh__Frame *frame;
  bool more = true;

  link.socket = socket;
  while (more
         && frm_read (socket, clk_now () + 30 * CLK_SECOND, &frame) == FRM_OK)
    {
      if (frame->body_case != MESH__FRAME__BODY_HELLO)
        more = on_frame_ (link, frame);
      frm_free (frame);
    }
  std::lock_guard<std::mutex> guard (lock_);
  sockets_.erase (socket);
  close (socket);
}
