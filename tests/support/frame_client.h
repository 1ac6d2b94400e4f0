/* Raw client of a gate's link protocol, and a gate in this process.  */

#ifndef MULBERRYSHIFT_TESTS_FRAME_CLIENT_H
#define MULBERRYSHIFT_TESTS_FRAME_CLIENT_H

#include "gate/gate.h"
#include "out/out.h"
#include "out/out_table.h"
#include "support/fake_platform.h"
#include "support/fake_upstream.h"
#include "wire/frm.h"

#include <memory>
#include <string>

#define TEST_INCARNATION 1000u
/* Calls that may wait at the gate.  */
#define TEST_QUEUE_CAPACITY 128u

/* One gate on a loopback port with one upstream of the service "stock".  */
class TestGate
{
public:
  explicit TestGate (FakeUpstream &upstream, unsigned disabled = 0,
                     int slots = 4, int threads = 6,
                     unsigned peer_limit_ms = 0);
  ~TestGate ();
  /* Stops the gate and starts another incarnation on the same port.  */
  void restart (uint64_t incarnation);
  struct net_address
  address () const
  {
    return settings.mesh_address;
  }
  struct gate *gate = nullptr;
  struct up_lease *lease = nullptr;
  struct fake_platform platform;

private:
  void open (uint64_t incarnation);
  struct cfg_settings settings = {};
  unsigned off;
  unsigned limit_ms;
};

struct TestCall
{
  uint64_t number = 1;
  enum doc_class call_class = DOC_AT_MOST_ONCE;
  std::string target = "/x";
  std::string order_key = "";
  enum doc_key_store order_keys = DOC_KEY_STORE_MEMORY;
  std::string body = "";
  bool more = false;
  uint64_t remaining_ms = 20000;
  uint32_t depth = 1;
  uint64_t incarnation = TEST_INCARNATION;
  std::string method = "POST";
  std::string tenant = "";
};

/* A decoded frame that frees itself; null after a close or a timeout.  */
using FramePointer = std::unique_ptr<Mesh__Frame, void (*) (Mesh__Frame *)>;

class FrameClient
{
public:
  explicit FrameClient (struct net_address address, bool hello = true);
  ~FrameClient ();
  void send (const std::string &bytes);
  void disconnect (); /* resets the connection */
  FramePointer read (int timeout_ms = 20000);
  /* Reads a whole answer, granting as the body comes.  */
  std::string read_answer (uint32_t *outcome, uint64_t number = 0);
  /* Sends a call and returns its outcome.  */
  uint32_t call (const TestCall &call);
  uint32_t query (uint64_t number, uint64_t incarnation = TEST_INCARNATION);
  std::string reason;     /* of the last answer */
  std::string body;       /* of the last answer */
  bool duplicate = false; /* the last answer has the header for duplicates */

private:
  int socket;
};

std::string encode_hello (uint32_t protocol, const std::string &environment);
std::string encode_call (const TestCall &call);
std::string encode_body_part (uint64_t number, const std::string &data,
                              bool more);
std::string encode_cancel (uint64_t number);
std::string encode_window_grant (uint64_t number, uint32_t bytes);

#endif
