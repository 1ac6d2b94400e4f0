/* Relays: which nodes watch the platform, and who passes
   changes on to the others.  Pure; each node works it out from what it knows,
   and nobody grants or leases a role.  A role only offers changes, and a node
   takes only what is newer, so two nodes in one role do no harm.

   In each data centre the largest VMs, and among equals the first by
   rendezvous hashing, are its relays.
   The first relays, those near the platform before others, watch the platform;
   the other relays subscribe to them, and all other nodes to the relays of
   their data centre.  Calls to the platform therefore do not grow with the
   mesh, and the link between regions carries each change a few times.

   The platform may turn some nodes away and serve others.  When the first
   relays cannot reach it, several of the next ones try at once, and one that
   reaches it goes on until enough of those before it report that they reach it
   too.  */

#ifndef MULBERRYSHIFT_REL_REL_H
#define MULBERRYSHIFT_REL_REL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Relays of a data centre, and watchers of the platform.  Two of each: one may
   fail without a gap.  */
#define REL_RELAYS_PER_DATA_CENTRE 2
#define REL_WATCHER_COUNT 2

/* Relays that try to watch although the platform does not answer them; beyond
   these it is taken to be down for all.  */
#define REL_MAX_FAILED_WATCHERS 8

/* Nodes to which one node subscribes.  */
#define REL_MAX_PARENTS 2

/* Relays before this one whose platform status it polls while it watches, or
   while one of them cannot reach the platform.  */
#define REL_MAX_STATUS_PEERS 8

/* Not a node.  */
#define REL_NONE SIZE_MAX

  /* What is known of a node's view of the platform.  */
  enum rel_platform_status
  {
    REL_PLATFORM_UNKNOWN,    /* not reported */
    REL_PLATFORM_REACHABLE,  /* it receives changes at once */
    REL_PLATFORM_UNREACHABLE /* it tried and the platform does not answer it */
  };

  struct rel_node
  {
    const char *data_centre;
    uint64_t name_hash;       /* of the node's name */
    uint32_t platform_rtt_ms; /* round trip to the platform, ms */
    uint32_t cpu_millicores;  /* processor, thousandths of a core */
    bool alive;               /* as far as this node knows */
    enum rel_platform_status platform_status;
  };

  struct rel_roles
  {
    bool is_watcher;                 /* this node watches the platform */
    bool is_relay;                   /* it is a relay of its data centre */
    size_t parents[REL_MAX_PARENTS]; /* to whom it subscribes; REL_NONE at the
                                        end */
    size_t status_peers[REL_MAX_STATUS_PEERS]; /* whose status it polls;
                                                  REL_NONE at the end */
  };

  /* Returns the roles of NODES[SELF], which counts as alive.  */
  struct rel_roles rel_compute_roles (const struct rel_node *nodes,
                                      size_t count, size_t self);

  /* Sets IS_RELAY[i] to whether NODES[i] is a relay of its data centre, for
     each of COUNT nodes.  NODES[SELF] counts as alive.  */
  void rel_mark_relays (const struct rel_node *nodes, size_t count,
                        size_t self, bool *is_relay);

  /* Returns the hash of a node's name.  */
  uint64_t rel_hash_name (const char *name);

#ifdef __cplusplus
}
#endif

#endif
