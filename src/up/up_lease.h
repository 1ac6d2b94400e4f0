/* The upstream beside this node, as it announced itself.  Shared between the
   administration server, the gate and the control thread.  */

#ifndef MULBERRYSHIFT_UP_UP_LEASE_H
#define MULBERRYSHIFT_UP_UP_LEASE_H

#include "base/clk.h"
#include "base/net.h"
#include "mbr/mbr_member.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* An announcement is valid this long; upstreams renew it every second.  */
#define UP_LEASE_LENGTH (5 * CLK_SECOND)

  struct up_announcement
  {
    char service[MBR_NAME_SIZE];
    char name[MBR_NAME_SIZE];
    struct net_address address;
    uint32_t slots;       /* calls served at the same time */
    uint32_t connections; /* connections accepted */
  };

  struct up_lease;

  /* Creates a lease without an upstream.  */
  struct up_lease *up_lease_create (void);

  /* Frees the lease.  */
  void up_lease_destroy (struct up_lease *lease);

  /* Stores an announcement received at NOW.  */
  void up_lease_renew (struct up_lease *lease,
                       const struct up_announcement *announcement,
                       clk_time now);

  /* Ends the lease at once; the upstream is leaving.  */
  void up_lease_end (struct up_lease *lease);

  /* Copies the announcement.  Returns false when none is valid at NOW.  */
  bool up_lease_get (struct up_lease *lease, clk_time now,
                     struct up_announcement *announcement);

#ifdef __cplusplus
}
#endif

#endif
