/* Roll-outs: what a node keeps of each, the frames that pass between nodes,
   and the writing of their status to the store.

   The node that own_find_owner names for a service decides about its
   roll-out.  All nodes report to it and get the phase back; a phase that has
   changed is also passed on to subscribers (see syn.h).  Nothing here is
   created unless the setting rollout.max_share is above 0.  */

#ifndef MULBERRYSHIFT_ROL_ROL_H
#define MULBERRYSHIFT_ROL_ROL_H

#include "dir/dir.h"
#include "evl/evl.h"
#include "hub/hub.h"
#include "reg/reg.h"
#include "rol/rol_split.h"
#include "sto/sto.h"

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct rol;

  /* Functions of the owner.  */
  struct rol_hooks
  {
    void *context;
    /* Sends FRAME to the subscribers of this node.  */
    void (*forward) (void *context, const Mesh__Frame *frame);
    /* Returns whether the configuration has this service.  */
    bool (*is_service) (void *context, const char *service);
    /* Returns the calls of this node that are under way to upstreams of the
       service with another version than VERSION.  */
    size_t (*count_other_calls) (void *context, const char *service,
                                 const char *version);
    /* Returns the calls that run or wait at this node's gate.  */
    size_t (*count_gate_calls) (void *context);
    /* The upstream beside this node may have been withdrawn.  */
    void (*withdrawn) (void *context);
  };

  struct rol_options
  {
    struct evl *loop;
    const struct ptf_platform *platform;
    struct hub *hub;
    const struct dir *directory;
    dir_handle self;
    struct sto *store;
    const struct reg *registration;
    double max_share;       /* largest share of a version on trial */
    clk_time rollback_time; /* in which a bad version gets no more requests */
    struct rol_hooks hooks;
  };

  /* Creates the state without roll-outs.  */
  struct rol *rol_create (const struct rol_options *options);

  /* Frees all.  Null is allowed.  */
  void rol_destroy (struct rol *rollouts);

  /* Takes an object of the store's watch, and its removal.  Returns false when
     the order was put off because its service is not in the configuration.  */
  bool rol_handle_object (struct rol *rollouts,
                          const struct sto_object *object);
  void rol_handle_removed (struct rol *rollouts, const char *name);

  /* Sets whether this node watches the store and gets answers.  */
  void rol_set_store_current (struct rol *rollouts, bool current);

  /* Takes a frame from an inbound link, or from the peer of an outbound link.
     Returns false for a frame of another module.  */
  bool rol_handle_request (struct rol *rollouts,
                           struct hub_inbound_link *inbound,
                           const Mesh__Frame *frame);
  bool rol_handle_reply (struct rol *rollouts, const Mesh__Frame *frame);

  /* Sends the known roll-outs to a node that has subscribed.  */
  void rol_greet (struct rol *rollouts, struct hub_inbound_link *inbound);

  /* Forgets a link that has closed.  */
  void rol_handle_inbound_closed (struct rol *rollouts,
                                  const struct hub_inbound_link *inbound);

  /* Counts an answer of the upstream beside this node: BAD ones were failed by
     it, lost or damaged.  ELAPSED is the time in a slot, ns.  */
  void rol_count_run (struct rol *rollouts, uint32_t route, bool bad,
                      clk_time elapsed);

  /* Returns whether the upstream beside this node has a version that was
     rolled back.  */
  bool rol_is_withdrawn (struct rol *rollouts);

  /* Returns the side of a new request for the service, or of one that is
     placed again.  */
  enum rol_side rol_begin_call (struct rol *rollouts, const char *service);
  enum rol_side rol_place_again (struct rol *rollouts, const char *service);

  /* Gives back a request that found no room at the new version.  Returns the
     side to try next; the same one when there is no other.  */
  enum rol_side rol_find_no_room (struct rol *rollouts, const char *service);

  /* Returns whether a request of this side goes to the old version rather than
     wait at the new one.  */
  bool rol_may_turn_back (const struct rol *rollouts, const char *service,
                          enum rol_side side);

  /* Returns whether the upstream of NODE may run a request of this side.  */
  bool rol_allows (struct rol *rollouts, const char *service,
                   enum rol_side side, dir_handle node);

  /* Counts an answer that this node got from the upstream of NODE.  */
  void rol_count_answer (struct rol *rollouts, const char *service,
                         dir_handle node, bool bad);

  /* Returns the phase of the roll-out of a service, ROL_NONE without one.  */
  enum rol_phase rol_phase_of (const struct rol *rollouts,
                               const char *service);

#ifdef __cplusplus
}
#endif

#endif
