/* State of the propagation.  Used inside this module.  */

#ifndef MULBERRYSHIFT_SYN_SYN_INTERNAL_H
#define MULBERRYSHIFT_SYN_SYN_INTERNAL_H

#include "base/buf.h"
#include "syn/syn.h"

/* A node that receives updates from this one.  */
struct syn_subscriber
{
  struct hub_inbound_link *inbound;
  struct snp_stamp held; /* last version that it reported or was sent */
  struct syn_subscriber *next;
};

/* Last platform status received from a peer.  */
struct syn_peer_status
{
  enum rel_platform_status platform_status;
  clk_time received_at;
};

struct syn
{
  struct evl *loop;
  struct hub *hub;
  const struct dir *directory;
  dir_handle self;
  struct syn_hooks hooks;
  struct syn_subscriber *subscribers;
  struct snp_snapshot *snapshot;
  /* The version held before, the base of deltas.  */
  struct snp_snapshot *previous;
  /* Compressed delta from the previous to the held version, and the whole held
     version compressed.  Empty until first needed.  */
  struct buf delta_payload;
  struct buf full_payload;
  /* The reply whose version is being put into effect, null otherwise.  */
  const Mesh__FetchReply *received_reply;
  enum rel_platform_status platform_status;
  struct syn_peer_status *peer_statuses; /* by handle */
  dir_handle peer_status_count;
  dir_handle parents[REL_MAX_PARENTS];
  /* Peers that are polled for their platform status.  */
  dir_handle status_peers[REL_MAX_STATUS_PEERS];
  bool is_watcher;
  bool started;
  /* A version newer than the held one and the peer that holds it; DIR_NONE
     when no such version is known.  */
  uint64_t newer_version;
  dir_handle newer_version_peer;
  struct evl_timer fetch_timer;         /* fetches the newer version */
  clk_time next_fetch_at;               /* earliest time of the next fetch */
  struct evl_task refresh_task;         /* recomputes the roles */
  struct evl_timer watch_change_timer;  /* reports a change of is_watcher */
  struct evl_timer status_expiry_timer; /* next expiry in peer_statuses */
  struct syn_offers *offers;            /* see syn_offer.c */
};

/* Create and free the state of the offers.  */
void syn_create_offers (struct syn *sync);
void syn_destroy_offers (struct syn *sync);

/* Notes that PEER is new in the directory.  */
void syn_note_learned (struct syn *sync, dir_handle peer);

/* Plans the offers of this node by its ROLES.  HANDLES are those of the COUNT
   nodes, of which this one is SELF.  */
void syn_plan_offers (struct syn *sync, const struct rel_node *nodes,
                      const dir_handle *handles, size_t count, size_t self,
                      const struct rel_roles *roles);

/* Handles the offer in a message whose records were merged, if there is
   one.  */
void syn_handle_offer (struct syn *sync, const Mesh__Members *message);

/* Sends the held version to a subscriber that holds an older one.  */
void syn_push_version (struct syn *sync, struct syn_subscriber *subscriber);

/* Answers a fetch request if the held version is newer than the sender's.  */
void syn_handle_fetch (struct syn *sync, struct hub_inbound_link *inbound,
                       const Mesh__FetchRequest *request);

/* Handles a version that was pushed or fetched.  A version that cannot be
   decoded is fetched from PEER as a whole.  */
void syn_handle_version (struct syn *sync, dir_handle peer,
                         const Mesh__FetchReply *reply);

/* Requests the version that PEER holds: as a delta if possible, or the whole
   document when FULL is true.  Does nothing for a while after another fetch,
   whose reply may still arrive.  */
void syn_fetch_version (struct syn *sync, dir_handle peer, bool full);

/* Makes SNAPSHOT the held version and the held one the previous version;
   clears the payloads.  */
void syn_replace_snapshot (struct syn *sync, struct snp_snapshot *snapshot);

/* Returns the stamp of the held version; version 0 when there is none.  */
struct snp_stamp syn_held_stamp (const struct syn *sync);

#endif
