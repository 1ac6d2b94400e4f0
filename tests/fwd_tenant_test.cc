/* Tenants of callers at real sidecars: which requests are served, what
   upstreams receive, and what operators see of each tenant.  */

#include "base/log.h"
#include "pfm_names.h"
#include "scf.h"
#include "support/sidecar_mesh.h"

#include <cstring>
#include <vector>

/* Header fields of the last request that ran, as "name: value" lines.  */
static std::string last_run;

static void
note_run (const struct htp_message *message)
{
  last_run.clear ();
  for (unsigned i = 0; i < message->header_count; i++)
    last_run += std::string (htp_header_name (message, i)) + ": "
                + htp_header_value (message, i) + "\n";
}

class TenantCalls : public SidecarMesh
{
protected:
  TenantCalls () { on_run = note_run; }

  /* Starts two VMs with an upstream of orders.  */
  void
  start_mesh (bool with_tenants)
  {
    add_vm ("orders");
    add_vm ("orders");
    json_t *document = create_document ();

    if (with_tenants)
      add_tenants (json_object_get (document, PFM_RESOURCES));
    sst_put (store, PFM_CONFIG_KIND, PFM_CONFIG_NAME, document);
    ASSERT_TRUE (run_until_converged (1));
    ASSERT_TRUE (run_until ([&] {
      return call ("/open/") == 200 && call ("/open/", "", 1) == 200;
    }));
  }

  /* Returns a document in which /open/ is public.  */
  static json_t *
  create_document ()
  {
    const char *const services[] = { "orders" };
    const char *const paths[] = { "/open/" };
    json_t *document = scf_create_document (1, services, 1, paths, 1);
    size_t i;
    json_t *entry;

    json_array_foreach (json_object_get (document, PFM_RESOURCES), i, entry)
    {
      json_t *spec = json_object_get (entry, PFM_SPEC);
      const char *path
          = json_string_value (json_object_get (spec, PFM_PATH_PREFIX));

      if (path != nullptr && strcmp (path, "/open/") == 0)
        json_object_set_new (spec, PFM_PUBLIC, json_true ());
    }
    return document;
  }

  static void
  add_tenants (json_t *entries)
  {
    for (const char *name : { "shop", "odd \"one\"\\" })
      json_array_append_new (
          entries, json_pack ("{s:s, s:{s:s}, s:{s:[s+]}}", PFM_ENTRY_TYPE,
                              PFM_TENANTS, PFM_METADATA, PFM_NAME, name,
                              PFM_SPEC, PFM_API_KEYS, "secret-", name));
  }

  /* Sends a request with more header fields and returns the status.  */
  int
  call (const std::string &path, const std::string &fields = "", size_t vm = 0)
  {
    Peer peer = Peer::connect (address_of (vm, calls_port));

    last_run.clear ();
    peer.send ("GET " + path + " HTTP/1.1\r\nHost: mesh.example\r\n"
               + PFM_REQUEST_ID ": " + next_request_id () + "\r\n" + fields
               + "\r\n");
    run_until ([&] { return !peer.receive () || response_status (peer) != 0; },
               2000);
    return response_status (peer);
  }

  /* Returns the value of a series, 0 when there is none.  */
  double
  series (const std::string &name)
  {
    std::string text = metrics ();
    size_t at = text.find ("mulberryshift_" + name + " ");

    return at != std::string::npos
               ? atof (text.c_str () + text.find ("} ", at) + 2)
               : 0;
  }

  std::string
  metrics ()
  {
    Peer peer = Peer::connect (address_of (0, metrics_port));

    peer.send ("GET /metrics HTTP/1.1\r\nHost: m\r\n"
               "Connection: close\r\n\r\n");
    run_until ([&] { return !peer.receive (); }, 2000);
    return peer.received;
  }
};

static const std::string key_of_shop
    = PFM_AUTHORIZATION ": " PFM_KEY_SCHEME " secret-shop\r\n";

/* Guards against series of tenants, or requests that need a key, in a
   deployment without tenants.  */
TEST_F (TenantCalls, LeaveNothingBehindWithoutTenants)
{
  start_mesh (false);
  EXPECT_EQ (call ("/orders/", key_of_shop), 200);
  EXPECT_NE (last_run.find ("secret-shop"), std::string::npos);
  EXPECT_EQ (call ("/orders/", PFM_TENANT_ID ": other\r\n"), 200);
  EXPECT_NE (last_run.find (PFM_TENANT_ID ": other"), std::string::npos);
  EXPECT_EQ (metrics ().find ("tenant_"), std::string::npos);
}

/* Guards against keys that reach upstreams, tenants that a caller names
   itself, and keys that are accepted though they are repeated or unknown.  */
TEST_F (TenantCalls, AreRecognizedByTheirKey)
{
  start_mesh (true);
  EXPECT_EQ (call ("/orders/", key_of_shop), 200);
  EXPECT_NE (last_run.find (PFM_TENANT_ID ": shop\n"), std::string::npos);
  EXPECT_EQ (last_run.find ("secret"), std::string::npos) << last_run;
  EXPECT_EQ (call ("/orders/", PFM_TENANT_ID ": other\r\n" + key_of_shop),
             200);
  EXPECT_NE (last_run.find (PFM_TENANT_ID ": shop\n"), std::string::npos);
  EXPECT_EQ (last_run.find ("other"), std::string::npos) << last_run;
  for (const std::string &fields :
       { std::string (), key_of_shop + key_of_shop,
         key_of_shop + PFM_AUTHORIZATION ": Basic x\r\n",
         std::string (PFM_TENANT_ID ": shop\r\n"),
         std::string (PFM_AUTHORIZATION ": Token other\r\n"),
         std::string (PFM_CALLER_SERVICE ": orders\r\n") })
    {
      EXPECT_EQ (call ("/orders/", fields), 401) << fields;
      EXPECT_EQ (last_run, "") << fields;
    }
  EXPECT_EQ (call ("/open/", PFM_TENANT_ID ": shop\r\n"), 200);
  EXPECT_EQ (last_run.find (PFM_TENANT_ID), std::string::npos) << last_run;
  EXPECT_EQ (call ("/open/", PFM_AUTHORIZATION ": Token other\r\n"), 200);
  EXPECT_EQ (last_run.find ("Token"), std::string::npos) << last_run;
}

/* Guards against outcomes that are not counted, or counted at another tenant,
   and against names that break the lines of the metrics.  */
TEST_F (TenantCalls, AreCountedByTenant)
{
  const std::string total = "tenant_calls_total{tenant=\"";
  const std::string odd = "odd \\\"one\\\"\\\\";

  start_mesh (true);
  double answered = series (total + "shop\",outcome=\"answered\"}");
  double none = series (total + "none\",outcome=\"unauthorized\"}");

  EXPECT_EQ (call ("/orders/", key_of_shop), 200);
  EXPECT_EQ (call ("/orders/", key_of_shop, 1), 200);
  EXPECT_EQ (
      call ("/orders/", PFM_AUTHORIZATION ": Token secret-odd \"one\"\\\r\n"),
      200);
  EXPECT_EQ (call ("/orders/"), 401);
  EXPECT_EQ (call ("/open/"), 200);
  EXPECT_EQ (series (total + "shop\",outcome=\"answered\"}"), answered + 2);
  EXPECT_EQ (series (total + "none\",outcome=\"unauthorized\"}"), none + 1);
  EXPECT_GE (series (total + odd + "\",outcome=\"answered\"}"), 1);
  EXPECT_EQ (series ("tenant_call_seconds_count{tenant=\"shop\"}"),
             answered + 2);
  EXPECT_GE (series ("tenant_wait_seconds_count{tenant=\"shop\"}"), 2);
}

/* Guards against refusals and lost calls that are missing in a tenant's
   counts.  */
TEST_F (TenantCalls, AreCountedWhenTheyAreNotAnswered)
{
  const std::string total = "tenant_calls_total{tenant=\"shop\",outcome=\"";

  start_mesh (true);
  double failed = series (total + "failed\"}");
  double refused = series (total + "refused\"}");
  double gone = series (total + "gone\"}");

  for (Vm &vm : vms)
    sup_set_fault (vm.upstream, SUP_SILENT);
  EXPECT_EQ (call ("/orders/", key_of_shop + PFM_TIMEOUT_MS ": 200\r\n"), 504);
  Peer peer = Peer::connect (address_of (0, calls_port));
  peer.send ("GET /orders/ HTTP/1.1\r\nHost: mesh.example\r\n" PFM_REQUEST_ID
             ": gone\r\n"
             + key_of_shop + "\r\n");
  run_for (50);
  peer.close ();
  run_for (50);
  for (Vm &vm : vms)
    sup_set_fault (vm.upstream, SUP_SHED);
  EXPECT_EQ (call ("/orders/", key_of_shop), 503);
  EXPECT_EQ (series (total + "failed\"}"), failed + 1);
  EXPECT_EQ (series (total + "gone\"}"), gone + 1);
  EXPECT_EQ (series (total + "refused\"}"), refused + 1);
  EXPECT_GE (series ("tenant_refused_total{tenant=\"shop\",status=\"503\"}"),
             1);
}

class TenantUploads : public TenantCalls
{
protected:
  /* Starts a node of callers and one with an upstream that runs 20 uploads a
     second.  */
  void
  start_upload_mesh ()
  {
    slots = 2;
    work = 100 * CLK_MILLISECOND;
    add_vm ("front", "a", "r", false, false);
    add_vm ("orders");
    json_t *document = create_document ();
    size_t i;
    json_t *entry;

    json_array_foreach (json_object_get (document, PFM_RESOURCES), i, entry)
    {
      json_t *spec = json_object_get (entry, PFM_SPEC);

      if (json_object_get (spec, PFM_ROUTE_TYPE) != nullptr)
        json_object_set_new (spec, PFM_ROUTE_TYPE,
                             json_string (PFM_ROUTE_UPLOAD));
    }
    add_tenants (json_object_get (document, PFM_RESOURCES));
    sst_put (store, PFM_CONFIG_KIND, PFM_CONFIG_NAME, document);
    ASSERT_TRUE (run_until_converged (1));
    ASSERT_TRUE (run_until ([&] { return call ("/open/") == 200; }));
  }

  /* Sends an upload of 60 KB with the key of a tenant.  */
  Peer
  upload (const std::string &key)
  {
    Peer peer = Peer::connect (address_of (0, calls_port));

    peer.send (
        "POST /orders/ HTTP/1.1\r\nHost: mesh.example\r\n" PFM_REQUEST_ID ": "
        + next_request_id () + "\r\n" + key + "Content-Length: 60000\r\n\r\n"
        + std::string (60000, 'b'));
    return peer;
  }

  /* Waits for all answers and returns how many of them have TEXT.  */
  size_t
  count_answers (std::vector<Peer> &peers, const std::string &text)
  {
    size_t count = 0;

    for (Peer &peer : peers)
      {
        run_until (
            [&] { return !peer.receive () || response_status (peer) != 0; });
        count += peer.received.find (text) != std::string::npos;
      }
    return count;
  }
};

/* Guards against uploads that cross the link only to be refused by the gate,
   against others that are refused with them, and against a tenant that stays
   refused after its burst.  One tenant sends five times what the upstream
   runs, the other a tenth of it.  */
TEST_F (TenantUploads, AreRefusedUnsentOverTheShare)
{
  const std::string key_of_odd
      = PFM_AUTHORIZATION ": Token secret-odd \"one\"\\\r\n";
  const std::string reasons = "tenant_refused_reasons_total{tenant=\"shop\","
                              "reason=\"over share\"}";
  std::vector<Peer> shop;
  std::vector<Peer> odd;

  start_upload_mesh ();
  double counted = series (reasons);

  testing::internal::CaptureStdout ();
  ASSERT_EQ (log_init ("n1", "dc-a", LOG_INFO), 0);
  odd.push_back (upload (key_of_odd));
  for (int i = 0; i < 300; i++)
    {
      shop.push_back (upload (key_of_shop));
      if (i >= 100 && i % 40 == 0)
        odd.push_back (upload (key_of_odd));
      run_for (10);
    }
  size_t unsent = count_answers (shop, "the tenant is over its share");

  log_close ();
  std::string text = testing::internal::GetCapturedStdout ();

  EXPECT_GT (unsent, 10u);
  EXPECT_EQ (series (reasons), counted + (double)unsent);
  EXPECT_GE (count_answers (shop, "Retry-After: "), unsent);
  EXPECT_GT (count_answers (shop, " 200 "), 20u);
  EXPECT_EQ (count_answers (odd, " 200 "), odd.size ());
  for (const char *part : { "\"event\":\"over share\"", "\"peer\":\"vm-1\"",
                            "\"tenant\":\"shop\"", "\"report_age_ms\":" })
    EXPECT_NE (text.find (part), std::string::npos) << part;
  run_for (1100);
  std::vector<Peer> last;

  last.push_back (upload (key_of_shop));
  EXPECT_EQ (count_answers (last, " 200 "), 1u);
}
