/* Propagation of changes from node to node: configuration versions, as deltas,
   and node records.  A node subscribes to its parents (see rel.h), which push
   changes to it; it forwards what is newer than what it holds to its own
   subscribers.  */

#ifndef MULBERRYSHIFT_SYN_SYN_H
#define MULBERRYSHIFT_SYN_SYN_H

#include "dir/dir.h"
#include "evl/evl.h"
#include "hub/hub.h"
#include "rel/rel.h"
#include "snp/snp.h"

#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct syn;

  /* Functions of the owner that report what has happened.  */
  struct syn_hooks
  {
    void *context;
    /* A newer version was received; the hook takes ownership of the reference
       to SNAPSHOT.  */
    void (*version_received) (void *context, struct snp_snapshot *snapshot);
    /* The record of a node was received.  Returns true when it is newer than
       the known one; it is then propagated.  */
    bool (*member_received) (void *context, const struct mbr_member *member);
    /* This node must start or stop watching the platform's store.  */
    void (*watch_changed) (void *context, bool watches);
    /* A node reported that PEER is unreachable.  Called on watchers only.  */
    void (*peer_suspected) (void *context, dir_handle peer);
    /* A parent acknowledged this node's record with this sequence.  */
    void (*record_acknowledged) (void *context, uint64_t sequence);
    /* A node has subscribed on INBOUND.  */
    void (*subscribed) (void *context, struct hub_inbound_link *inbound);
    /* The node FROM has sent all its records.  */
    void (*directory_offered) (void *context, const char *from);
  };

  /* Creates the propagation for the node SELF of DIRECTORY.  It has no parents
     before syn_start.  */
  struct syn *syn_create (struct evl *loop, struct hub *hub,
                          const struct dir *directory, dir_handle self,
                          const struct syn_hooks *hooks);

  /* Frees SYNC and drops its references.  Null is allowed.  */
  void syn_destroy (struct syn *sync);

  /* Computes this node's roles from now on; the directory must have been
     read.  */
  void syn_start (struct syn *sync);

  /* Sets whether this node gets answers from the platform's store, and
     notifies the subscribers of a change.  */
  void syn_set_platform_status (struct syn *sync,
                                enum rel_platform_status status);

  /* Makes SNAPSHOT the held version, with a reference of its own, and pushes
     it to the subscribers.  */
  void syn_set_snapshot (struct syn *sync, struct snp_snapshot *snapshot);

  /* Propagates a record that was read from the platform's store or is this
     node's own.  Parents acknowledge this node's own record.  */
  void syn_publish (struct syn *sync, const struct mbr_member *member);

  /* Sends RECORD, an earlier one of a node, to that node itself: on INBOUND,
     or to PEER when INBOUND is null.  */
  void syn_return_record (struct syn *sync, struct hub_inbound_link *inbound,
                          dir_handle peer, const struct mbr_member *record);

  /* Sends FRAME, of another module, to the subscribers.  */
  void syn_forward (struct syn *sync, const Mesh__Frame *frame);

  /* Reports to the watchers that PEER is unreachable.  */
  void syn_report_suspect (struct syn *sync, dir_handle peer);

  /* Removes the subscriber of a closed inbound link, if there is one, and ends
     what is being sent on it.  */
  void syn_remove_subscriber (struct syn *sync,
                              const struct hub_inbound_link *inbound);

  /* Handles a new outbound link to PEER: subscribes again if PEER is a
     parent.  */
  void syn_peer_connected (struct syn *sync, dir_handle peer);

  /* Computes this node's roles again, at the end of the current loop
     iteration.  To be called when the directory or the health of a peer has
     changed.  */
  void syn_refresh_roles (struct syn *sync);

  /* Notes that PEER holds VERSION.  A version newer than the held one is
     fetched from PEER unless a parent pushes it first.  */
  void syn_note_peer_version (struct syn *sync, dir_handle peer,
                              uint64_t version);

  /* Notes that PEER has opened a link to this node.  DIR_NONE is allowed.  */
  void syn_note_hello (struct syn *sync, dir_handle peer);

  /* Resets the state kept for PEER, whose handle now means another node.  */
  void syn_reset_peer (struct syn *sync, dir_handle peer);

  /* Handles a frame from an inbound link, or from the peer of an outbound
     link.  Returns false for a frame of another module.  */
  bool syn_handle_request (struct syn *sync, struct hub_inbound_link *inbound,
                           const Mesh__Frame *frame);
  bool syn_handle_reply (struct syn *sync, dir_handle peer,
                         const Mesh__Frame *frame);

  /* Returns what syn_set_platform_status set.  */
  enum rel_platform_status syn_platform_status (const struct syn *sync);

#ifdef __cplusplus
}
#endif

#endif
