/* A mesh of four sidecars in two regions, as most tests of sidecars use it. */

#ifndef TESTS_SUPPORT_SIDECARS_H
#define TESTS_SUPPORT_SIDECARS_H

#include "support/sidecar_mesh.h"

class Sidecars : public SidecarMesh
{
protected:
  /* Starts two data centres in two regions, each with an upstream of both
     services, and waits until all calls succeed.  */
  void
  start_mesh (bool first_start = true)
  {
    add_vm ("orders", "a", "near", first_start);
    add_vm ("stock", "a", "near", first_start);
    add_vm ("orders", "b", "far", first_start);
    add_vm ("stock", "b", "far", first_start);
    put_config (1);
    ASSERT_TRUE (run_until_converged (1));
    ASSERT_TRUE (run_until ([&] {
      return status_of (0, "/orders/") == 200
             && status_of (3, "/stock/") == 200
             && status_of (0, "/stock/") == 200
             && status_of (3, "/orders/") == 200;
    }));
  }

  void
  restart_all_sidecars ()
  {
    for (size_t i = 0; i < vms.size (); i++)
      kill_sidecar (i);
    for (size_t i = 0; i < vms.size (); i++)
      start_sidecar (i);
  }
};

#endif
