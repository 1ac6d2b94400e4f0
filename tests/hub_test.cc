/* Links between nodes that carry long bodies beside other frames.  */

#include "pfm_names.h"
#include "scf.h"
#include "support/sidecar_mesh.h"

#include <string>

class LongBodies : public SidecarMesh
{
protected:
  /* Makes /stock/ a route with long responses.  */
  void
  put_bulk_config (uint64_t version)
  {
    const char *const services[] = { "orders", "stock" };
    const char *const paths[] = { "/slow/" };
    json_t *document = scf_create_document (version, services, 2, paths, 1);
    json_t *entry;
    size_t index;

    json_array_foreach (json_object_get (document, PFM_RESOURCES), index,
                        entry)
    {
      json_t *spec = json_object_get (entry, PFM_SPEC);
      const char *path
          = json_string_value (json_object_get (spec, PFM_PATH_PREFIX));

      if (path == nullptr)
        continue;
      json_object_set_new (spec, PFM_TIMEOUT_S, json_real (20));
      if (std::string (path) == "/stock/")
        json_object_set_new (spec, PFM_ROUTE_TYPE,
                             json_string (PFM_ROUTE_DOWNLOAD));
    }
    sst_put (store, PFM_CONFIG_KIND, PFM_CONFIG_NAME, document);
  }

  /* Starts a node with an upstream of orders and one of stock, whose link has
     1 Mbit/s.  */
  void
  start_mesh ()
  {
    link_mbps = 1;
    add_vm ("orders");
    add_vm ("stock");
    put_bulk_config (1);
    ASSERT_TRUE (run_until_converged (1));
    ASSERT_TRUE (run_until ([&] {
      return status_of (0, "/orders/") == 200
             && status_of (0, "/stock/", "", 5000) == 200;
    }));
  }
};

/* Guards against short calls, pings and configurations that wait behind long
   bodies on a link.  The body takes three seconds at the rate that is allowed;
   a version and its effect arrive before its end.  */
TEST_F (LongBodies, AreOvertakenByOtherFrames)
{
  start_mesh ();
  uint64_t runs = sup_run_count (vms[1].upstream);

  sup_set_body_size (vms[1].upstream, 300000);
  Peer caller = send_call (0, "/stock/", "long", 20000);

  ASSERT_TRUE (
      run_until ([&] { return sup_run_count (vms[1].upstream) > runs; }));
  run_for (300);
  put_bulk_config (2);
  ASSERT_TRUE (run_until_converged (2));
  EXPECT_EQ (status_of (1, "/orders/"), 200);
  caller.receive ();
  EXPECT_EQ (response_status (caller), 0);
  ASSERT_TRUE (run_until (
      [&] {
        caller.receive ();
        return caller.received.size () > 300000;
      },
      20000));
  EXPECT_EQ (response_status (caller), 200);
  EXPECT_EQ (sup_run_count (vms[1].upstream), runs + 1);
}

/* Guards against frames of a closed link that are sent to another one, or used
   after it is freed, and against long bodies that stop for good after it.  */
TEST_F (LongBodies, EndWithTheirLink)
{
  start_mesh ();
  uint64_t runs = sup_run_count (vms[1].upstream);

  sup_set_body_size (vms[1].upstream, 300000);
  Peer caller = send_call (0, "/stock/", "long", 20000);

  ASSERT_TRUE (
      run_until ([&] { return sup_run_count (vms[1].upstream) > runs; }));
  run_for (300);
  kill_sidecar (0);
  run_for (300);
  sup_set_body_size (vms[1].upstream, 1000);
  start_sidecar (0);
  ASSERT_TRUE (run_until_converged (1));
  EXPECT_TRUE (run_until (
      [&] { return status_of (0, "/stock/", "", 10000) == 200; }, 15000));
}
