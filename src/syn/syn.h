/* Spreading of changes between nodes: configuration versions as deltas, and
   records of nodes.  A node subscribes to its parents (rel.h), which push what
   changes; whatever is newer is passed on to its own subscribers.  */

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

  struct syn_hooks
  {
    void *context;
    /* A newer version has come; the hook takes over SNAPSHOT's reference.  */
    void (*version_received) (void *context, struct snp_snapshot *snapshot);
    /* The record of a node has come; true when it was newer than the known
       one and is passed on.  */
    bool (*member_received) (void *context, const struct mbr_member *member);
    /* This node starts or stops to watch the platform.  */
    void (*watch_changed) (void *context, bool watches);
    /* A node says that it cannot reach PEER; called on nodes that watch the
       platform.  */
    void (*peer_suspected) (void *context, dir_handle peer);
    /* A parent holds the record that syn_publish sent.  */
    void (*record_acknowledged) (void *context, uint64_t sequence);
  };

  /* Creates the spreading; it does nothing before syn_start.  */
  struct syn *syn_create (struct evl *loop, struct hub *hub,
                          const struct dir *directory, dir_handle self,
                          const struct syn_hooks *hooks);

  /* Frees it.  Null is allowed.  */
  void syn_destroy (struct syn *sync);

  /* Takes roles from now on: the directory is known.  */
  void syn_start (struct syn *sync);

  /* Tells how this node sees the platform.  */
  void syn_set_platform_status (struct syn *sync,
                                enum rel_platform_status sight);

  /* Uses SNAPSHOT as the held version and passes it on.  */
  void syn_set_snapshot (struct syn *sync, struct snp_snapshot *snapshot);

  /* Passes on a record that came from the platform or is this node's own.  */
  void syn_publish (struct syn *sync, const struct mbr_member *member);

  /* Tells the nodes that watch the platform that PEER cannot be reached.  */
  void syn_report_suspect (struct syn *sync, dir_handle peer);

  /* Removes a subscriber that is gone.  */
  void syn_remove_subscriber (struct syn *sync,
                              const struct hub_inbound_link *origin);

  /* PEER can be reached again on a new link.  */
  void syn_peer_connected (struct syn *sync, dir_handle peer);

  /* The directory, or what is known of a peer's health, has changed.  */
  void syn_refresh_roles (struct syn *sync);

  /* PEER holds VERSION; a newer one is asked for.  */
  void syn_note_peer_version (struct syn *sync, dir_handle peer,
                              uint64_t version);

  /* The handle PEER is given to another node.  */
  void syn_reset_peer (struct syn *sync, dir_handle peer);

  /* Takes a frame of a subscriber, or of a parent.  Returns false when the
     frame is for somebody else.  */
  bool syn_handle_request (struct syn *sync, struct hub_inbound_link *origin,
                           const Mesh__Frame *frame);
  bool syn_handle_reply (struct syn *sync, dir_handle peer,
                         const Mesh__Frame *frame);

  /* Returns how this node sees the platform, for pongs.  */
  enum rel_platform_status syn_platform_status (const struct syn *sync);

#ifdef __cplusplus
}
#endif

#endif
