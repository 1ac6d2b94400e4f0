/* Scripted gate for tests of the sending side.  */

#ifndef MULBERRYSHIFT_TESTS_FAKE_GATE_H
#define MULBERRYSHIFT_TESTS_FAKE_GATE_H

#include "base/net.h"
#include "wire/frm.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

/* One connection of a sender.  */
struct fake_link
{
  int socket;
  std::mutex lock;

  /* Sends frames; a failure is ignored, as the sender may have gone.  */
  void send (const Mesh__Frame &frame);
  void send_answer (const Mesh__CallId &id, const std::string &body,
                    bool more = false, uint32_t outcome = 0,
                    uint32_t status = 200);
  void send_body_part (const Mesh__CallId &id, const std::string &body,
                       bool more);
  void send_window_grant (const Mesh__CallId &id, uint32_t bytes);
  /* Answers a Query; FINISHED_BODY is sent with out_state FINISHED.  */
  void send_query_reply (const Mesh__CallId &id, uint32_t state,
                         const std::string &finished_body = "");
  void send_refusal (const std::string &reason);

  /* Closes so that the peer's next write or read fails.  */
  void disconnect ();
};

/* Listens on loopback; runs SCRIPT for each frame but Hello, in one thread a
   connection, until it returns false.  */
class fake_gate
{
public:
  using frame_handler = std::function<bool (fake_link &, const Mesh__Frame *)>;

  explicit fake_gate (frame_handler on_frame);
  ~fake_gate ();

  net_address
  address () const
  {
    return address_;
  }
  unsigned
  accepted_count () const
  {
    return accepted_;
  }

private:
  void accept_links ();
  void serve (int socket);

  frame_handler on_frame_;
  int listener_;
  net_address address_;
  std::atomic<unsigned> accepted_{ 0 };
  std::atomic<bool> stopping_{ false };
  std::mutex lock_;
  std::set<int> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

#endif
