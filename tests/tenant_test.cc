/* Tests of keys and quotas of tenants with sidecars, upstreams and the
   platform's store.  */

#include "base/log.h"
#include "dir/dir.h"
#include "own/own.h"
#include "pfm_names.h"
#include "quo/quo.h"
#include "support/sidecars.h"
#include "wire/frm.h"

#include <algorithm>
#include <cstring>
#include <map>
#include <numeric>
#include <set>
#include <unistd.h>

/* Returns the credentials of a caller, as a header field.  */
static std::string
credentials_of (const std::string &key,
                const std::string &name = PFM_AUTHORIZATION)
{
  return name + ": " PFM_KEY_SCHEME " " + key + "\r\n";
}

class Keys : public Sidecars
{
protected:
  /* Starts the mesh with tenants red and blue, whose keys are red-key and
     blue-key; /stock/ is public.  */
  void
  start_with_tenants ()
  {
    start_mesh ();
    tenants = { { "red", { "red-key", "red-other" } },
                { "blue", { "blue-key" } } };
    public_paths = { "/stock/" };
    put_config (2);
    ASSERT_TRUE (run_until_converged (2));
  }

  /* Returns the header fields that the upstream which ran the last request of
     /orders/ has received.  */
  std::string
  fields_of_run (const std::string &path, const std::string &fields)
  {
    uint64_t before[2]
        = { sup_run_count (vms[0].upstream), sup_run_count (vms[2].upstream) };

    EXPECT_EQ (status_with (0, path, fields), 200);
    for (size_t i = 0; i < 2; i++)
      if (sup_run_count (vms[2 * i].upstream) > before[i])
        return sup_last_fields (vms[2 * i].upstream);
    ADD_FAILURE () << "no upstream ran the request";
    return "";
  }
};

/* Returns the lines of TEXT that contain PART, in lower case.  */
static std::vector<std::string>
lines_with (std::string text, const std::string &part)
{
  std::vector<std::string> lines;
  size_t start = 0;
  size_t end;

  std::transform (text.begin (), text.end (), text.begin (), tolower);
  while ((end = text.find ('\n', start)) != std::string::npos)
    {
      std::string line = text.substr (start, end - start);

      if (line.find (part) != std::string::npos)
        lines.push_back (line);
      start = end + 1;
    }
  return lines;
}

/* Guards against a request that runs without the key of a tenant.  */
TEST_F (Keys, AreRequired)
{
  start_with_tenants ();
  uint64_t before = sup_request_count (vms[0].upstream)
                    + sup_request_count (vms[2].upstream);

  EXPECT_EQ (status_with (0, "/orders/", ""), 401);
  EXPECT_EQ (status_with (0, "/orders/", credentials_of ("unknown")), 401);
  EXPECT_EQ (status_with (0, "/orders/", credentials_of ("red-ke")), 401);
  EXPECT_EQ (status_with (0, "/orders/", credentials_of ("red-key2")), 401);
  EXPECT_EQ (status_with (0, "/orders/", credentials_of ("")), 401);
  EXPECT_EQ (status_with (0, "/orders/", PFM_AUTHORIZATION ": red-key\r\n"),
             401);
  EXPECT_EQ (
      status_with (0, "/orders/", PFM_AUTHORIZATION ": Basic red-key\r\n"),
      401);
  EXPECT_EQ (
      status_with (0, "/orders/",
                   credentials_of ("red-key") + credentials_of ("red-key")),
      401);
  EXPECT_EQ (status_with (0, "/orders/",
                          credentials_of ("red-key")
                              + credentials_of ("blue-key", "AUTHORIZATION")),
             401);
  EXPECT_EQ (sup_request_count (vms[0].upstream)
                 + sup_request_count (vms[2].upstream),
             before);
  for (size_t i = 0; i < vms.size (); i++)
    EXPECT_EQ (status_with (i, "/orders/", credentials_of ("red-other")), 200);
}

/* Guards against a public route that needs a key.  */
TEST_F (Keys, AreNotRequiredOnPublicRoutes)
{
  start_with_tenants ();
  EXPECT_EQ (status_with (0, "/stock/", ""), 200);
  EXPECT_EQ (status_with (0, "/stock/", credentials_of ("unknown")), 200);
  EXPECT_EQ (status_with (0, "/stock/", credentials_of ("red-key")), 200);
}

/* Guards against a caller that names its tenant itself, and against a key that
   reaches an upstream.  */
TEST_F (Keys, GiveTheUpstreamTheNameOfTheTenant)
{
  const std::string forged[]
      = { "", PFM_TENANT_ID ": blue\r\n",
          PFM_TENANT_ID ": blue\r\n" PFM_TENANT_ID ": blue\r\n",
          "x-mulberryshift-TENANT-id: blue\r\n",
          PFM_TENANT_ID ":\r\n" PFM_TENANT_ID ": red, blue\r\n" };

  start_with_tenants ();
  for (const std::string &fields : forged)
    for (const char *name : { "Authorization", "AUTHORIZATION" })
      {
        std::string received = fields_of_run (
            "/orders/", fields + credentials_of ("red-key", name) + fields);

        SCOPED_TRACE (received);
        EXPECT_EQ (
            lines_with (received, "tenant-id"),
            std::vector<std::string>{ "x-mulberryshift-tenant-id: red" });
        EXPECT_EQ (received.find ("red-key"), std::string::npos);
        EXPECT_TRUE (lines_with (received, "authorization").empty ());
      }
}

/* Guards against a forged tenant on a public route, and against a key that
   reaches an upstream there.  */
TEST_F (Keys, AreWithheldOnPublicRoutes)
{
  start_with_tenants ();
  EXPECT_EQ (
      status_with (0, "/stock/",
                   PFM_TENANT_ID ": blue\r\n" + credentials_of ("unknown")),
      200);
  for (size_t i : { 1, 3 })
    {
      std::string received = sup_last_fields (vms[i].upstream);

      EXPECT_EQ (received.find ("blue"), std::string::npos) << received;
      EXPECT_EQ (received.find ("unknown"), std::string::npos) << received;
    }
}

/* Guards against a connection that keeps the keys of the version with which it
   was opened.  */
TEST_F (Keys, ChangeOnAKeptConnection)
{
  start_with_tenants ();
  Peer peer = Peer::connect (address_of (0, calls_port));
  auto ask = [&] (const std::string &key) {
    peer.received.clear ();
    send_with (peer, "/orders/", credentials_of (key));
    run_until ([&] { return !peer.receive () || response_status (peer) != 0; },
               2000);
    return response_status (peer);
  };

  EXPECT_EQ (ask ("red-key"), 200);
  EXPECT_EQ (ask ("new-key"), 401);
  tenants[0].keys = { "red-other", "new-key" };
  put_config (3);
  ASSERT_TRUE (run_until_converged (3));
  EXPECT_EQ (ask ("red-key"), 401);
  EXPECT_EQ (ask ("new-key"), 200);
  EXPECT_EQ (ask ("red-other"), 200);
  tenants.erase (tenants.begin ());
  put_config (4);
  ASSERT_TRUE (run_until_converged (4));
  EXPECT_EQ (ask ("red-other"), 401);
  EXPECT_EQ (ask ("blue-key"), 200);
}

/* Guards against a node that refuses a key for good (401) because it does not
   know the tenants yet.  */
TEST_F (Keys, AreNotJudgedWithoutAConfiguration)
{
  add_vm ("orders");
  run_for (200);
  EXPECT_EQ (status_with (0, "/orders/", credentials_of ("red-key")), 503);
  EXPECT_EQ (status_with (0, "/orders/", ""), 503);
}

/* Guards against a key in the log or among the metrics.  */
TEST_F (Keys, AreNotLogged)
{
  start_with_tenants ();
  testing::internal::CaptureStdout ();
  ASSERT_EQ (log_init ("n1", "dc-a", LOG_DEBUG), 0);
  EXPECT_EQ (status_with (0, "/orders/", credentials_of ("red-key")), 200);
  EXPECT_EQ (status_with (0, "/orders/", credentials_of ("wrong-key")), 401);
  EXPECT_EQ (status_with (0, "/nowhere/", credentials_of ("red-key")), 404);
  tenants[0].keys = { "red-new" };
  put_config (3);
  ASSERT_TRUE (run_until_converged (3));
  EXPECT_EQ (status_with (0, "/orders/", credentials_of ("red-new")), 200);
  log_close ();
  std::string text = testing::internal::GetCapturedStdout ();
  Peer metrics = Peer::connect (address_of (0, metrics_port));

  metrics.send ("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  run_until_disconnected (metrics);
  EXPECT_NE (text.find ("401"), std::string::npos);
  EXPECT_NE (metrics.received.find ("calls_answered_total"),
             std::string::npos);
  for (const char *key : { "red-key", "wrong-key", "red-new", "red-other" })
    {
      EXPECT_EQ (text.find (key), std::string::npos) << text;
      EXPECT_EQ (metrics.received.find (key), std::string::npos);
    }
}

class Quotas : public Sidecars
{
protected:
  /* Starts the mesh with tenant red, 40 requests a second and a burst of 20,
     and waits until its bucket is full.  */
  void
  start_limited ()
  {
    start_mesh ();
    tenants = { { "red", { "red-key" }, 40, 20 },
                { "blue", { "blue-key" }, 0, 0 } };
    put_config (2);
    ASSERT_TRUE (run_until_converged (2));
    ASSERT_EQ (status_with (0, "/orders/", credentials_of ("red-key")), 200);
    run_for (1500);
  }

  /* Sends requests at GAP_MS for TIME_MS, in turn to all VMs that run, and
     counts the answers by status.  */
  std::map<int, int>
  send_for (int time_ms, int gap_ms, const std::string &key,
            int timeout_ms = 1000)
  {
    std::vector<Peer> peers;
    std::map<int, int> counts;
    clk_time end = clk_now () + time_ms * CLK_MILLISECOND;

    for (size_t i = 0; clk_now () < end; i++)
      {
        size_t vm = i % vms.size ();

        run_for (gap_ms);
        if (vms[vm].sidecar == nullptr)
          continue;
        peers.push_back (Peer::connect (address_of (vm, calls_port)));
        send_with (peers.back (), "/orders/", credentials_of (key),
                   timeout_ms);
      }
    for (Peer &peer : peers)
      {
        run_until (
            [&] { return !peer.receive () || response_status (peer) != 0; },
            1500);
        counts[response_status (peer)]++;
        if (response_status (peer) == 429)
          note_retry (peer.received);
      }
    return counts;
  }

  /* Adds the Retry-After of a response, in s.  */
  void
  note_retry (const std::string &response)
  {
    size_t at = response.find ("Retry-After: ");

    ASSERT_NE (at, std::string::npos) << response;
    retries.push_back (atof (response.c_str () + at + 13));
  }

  /* Returns the VM that owns red's quota.  */
  size_t
  find_owner ()
  {
    struct dir *directory = dir_create ();
    dir_handle owner;

    for (const Vm &vm : vms)
      {
        struct mbr_member member = {};
        dir_handle handle;

        snprintf (member.name, sizeof member.name, "%s", vm.name.c_str ());
        member.incarnation = 1;
        dir_merge (directory, &member, 0, &handle);
      }
    owner = own_find_owner (
        directory, QUO_OWNER_KIND, "red",
        [] (void *, dir_handle) { return true; }, nullptr);
    dir_destroy (directory);
    return owner;
  }

  std::vector<double> retries;
};

/* Guards against requests inside the quota that are refused, and against a
   tenant without a limit that is limited.  */
TEST_F (Quotas, ServeAllInsideTheQuota)
{
  start_limited ();
  std::map<int, int> counts = send_for (2000, 40, "red-key");

  EXPECT_EQ (counts[429], 0);
  EXPECT_GT (counts[200], 30);
  counts = send_for (1000, 5, "blue-key");
  EXPECT_EQ (counts[429], 0);
}

/* Guards against a limit that each node applies for itself, and against
   refused callers that all come back at the same time.  */
TEST_F (Quotas, LimitTheSumOfAllNodes)
{
  start_limited ();
  std::map<int, int> counts = send_for (3000, 3, "red-key");

  EXPECT_LE (counts[200], (40 * 3 + 20) * 1.1 + 20);
  EXPECT_GE (counts[200], 40 * 3 * 0.8);
  EXPECT_GT (counts[429], 50);
  EXPECT_EQ (counts[200] + counts[429],
             std::accumulate (counts.begin (), counts.end (), 0,
                              [] (int sum, const auto &count) {
                                return sum + count.second;
                              }));
  for (double retry : retries)
    {
      EXPECT_GE (retry, 0.05);
      EXPECT_LE (retry, 2);
    }
  EXPECT_GT (std::set<double> (retries.begin (), retries.end ()).size (),
             retries.size () / 3);
}

/* Guards against scarce credit that goes to callers who come back too late to
   be answered in time, and against such callers who are refused although there
   is credit.  */
TEST_F (Quotas, GiveScarceCreditToRequestsThatCanBeOnTime)
{
  start_limited ();
  send_for (2000, 30, "red-key");
  std::map<int, int> counts = send_for (200, 40, "red-key", 300);

  EXPECT_EQ (counts[429], 0);
  for (int i = 0; i < 4; i++)
    {
      counts = send_for (300, 3, "red-key");
      EXPECT_GT (counts[429], 0);
      counts = send_for (60, 3, "red-key", 300);
      EXPECT_EQ (counts[200], 0);
    }
}

/* Guards against a lost owner whose tenants run without a limit, or not at
   all.  */
TEST_F (Quotas, OutliveTheirOwner)
{
  start_limited ();
  kill_sidecar (find_owner ());
  run_for (300);
  std::map<int, int> counts = send_for (3000, 3, "red-key");

  EXPECT_LE (counts[200], (40 * 3 + 20) * 1.1 + 20);
  EXPECT_GE (counts[200], 40 * 3 * 0.6);
}

/* Guards against credit that is lost with requests that no upstream could
   run.  */
TEST_F (Quotas, GiveCreditBackForRequestsThatHaveNotRun)
{
  start_limited ();
  for (size_t i : { 0, 2 })
    kill_upstream (i);
  run_for (100);
  std::map<int, int> counts = send_for (1000, 4, "red-key");

  EXPECT_EQ (counts[200], 0);
  EXPECT_EQ (counts[429], 0) << "of " << counts[503];
}
