/* State of the propagation.  Used inside this module.  */

#ifndef MULBERRYSHIFT_SYN_SYN_INTERNAL_H
#define MULBERRYSHIFT_SYN_SYN_INTERNAL_H

#include "base/buf.h"
#include "syn/syn.h"
#include "syn/syn_part.h"

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

/* An encoded version.  Transfers in progress share it.  */
struct syn_payload
{
  struct buf bytes;
  unsigned references;
};

/* What a payload is and how it is sent.  */
struct syn_version_header
{
  struct snp_stamp base; /* version 0: the payload is a whole document */
  struct snp_stamp result;
  bool is_fetch_reply; /* false: it is pushed */
};

/* A version of which a part was received, until it is held or given up.  */
struct syn_missing
{
  uint64_t version; /* 0: none */
  dir_handle peer;  /* has sent the last part */
  unsigned fetches; /* since the last part */
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
     version compressed.  Null until first needed.  */
  struct syn_payload *delta_payload;
  struct syn_payload *full_payload;
  struct syn_transfer *transfers; /* the earliest first */
  clk_time next_part_at;          /* earliest time of the next part */
  struct evl_timer transfer_timer;
  struct syn_collector collector;
  /* The last parent, and the version, whose transfer was ended because the
     version had come from elsewhere.  DIR_NONE: none.  */
  dir_handle stopped_sender;
  uint64_t stopped_version;
  struct syn_missing missing;
  struct evl_timer missing_timer; /* fetches the missing version again */
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

/* Computes this node's roles and applies what has changed.  Callback of a
   task, like the next two of timers.  */
void syn_recompute_roles (void *context);

/* Computes the roles again after a platform status has expired.  */
void syn_on_status_expiry (void *context);

/* Notifies the owner that this node starts or stops to watch the store.  */
void syn_report_watch_change (void *context);

/* Returns whether PEER is a parent of this node.  */
bool syn_is_parent (const struct syn *sync, dir_handle peer);

/* Notes the platform status and the version of PEER.  */
void syn_handle_pong (struct syn *sync, dir_handle peer,
                      const Mesh__Pong *pong);

/* Starts or ends the subscription of the node of INBOUND.  */
void syn_handle_subscribe (struct syn *sync, struct hub_inbound_link *inbound,
                           const Mesh__Subscribe *message);

/* Handles records from the inbound link SOURCE, or from SOURCE_PEER when
   SOURCE is null.  */
void syn_handle_members (struct syn *sync, const Mesh__Members *message,
                         struct hub_inbound_link *source,
                         dir_handle source_peer);

/* Forwards a suspect report towards the watchers.  Ignores a report on an
   earlier incarnation than the known one, on a dead node or on this node.  */
void syn_handle_suspect (struct syn *sync, const Mesh__Suspect *message);

/* Returns the place of the subscriber on INBOUND, or the end of the list.  */
struct syn_subscriber **
syn_find_subscriber (struct syn *sync, const struct hub_inbound_link *inbound);

/* Subscribes to PARENT, or ends the subscription when END is true.  */
void syn_send_subscribe (struct syn *sync, dir_handle parent, bool end);

/* Sends LENGTH bytes of a payload on the link INBOUND, as one of COUNT
   parts.  */
void syn_send_part (struct syn *sync, struct hub_inbound_link *inbound,
                    const struct syn_version_header *header, uint8_t *data,
                    size_t length, uint32_t part, uint32_t count);

/* Drops a reference.  Null is allowed.  */
void syn_payload_release (struct syn_payload *payload);

/* Starts to send PAYLOAD in parts on the link INBOUND, on which there must be
   no transfer; takes a reference to PAYLOAD.  */
void syn_transfer_start (struct syn *sync, struct hub_inbound_link *inbound,
                         struct syn_payload *payload,
                         const struct syn_version_header *header);

/* Returns what is being sent in parts on the link INBOUND, null for
   nothing.  */
const struct syn_version_header *
syn_transfer_find (struct syn *sync, const struct hub_inbound_link *inbound);

/* Ends the transfer on the link INBOUND, if there is one.  */
void syn_transfer_cancel (struct syn *sync,
                          const struct hub_inbound_link *inbound);

/* Ends the transfer on the link INBOUND if its node, which holds HELD, has
   received the version from another node.  */
void syn_transfer_cancel_held (struct syn *sync,
                               const struct hub_inbound_link *inbound,
                               struct snp_stamp held);

/* Sends the parts that the links take now.  */
void syn_transfer_run (void *context);

/* Ends all transfers.  */
void syn_transfer_close (struct syn *sync);

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

/* Gives up the missing version and what was collected of it.  */
void syn_forget_missing (struct syn *sync);

/* Fetches the missing version when its next part has not come in time.  */
void syn_fetch_missing (void *context);

/* Makes SNAPSHOT the held version and the held one the previous version;
   clears the payloads.  */
void syn_replace_snapshot (struct syn *sync, struct snp_snapshot *snapshot);

/* Returns the stamp of a message; version 0 for null.  */
struct snp_stamp syn_read_stamp (const Mesh__Stamp *stamp);

/* Initializes MESSAGE with STAMP.  */
void syn_write_stamp (struct snp_stamp stamp, Mesh__Stamp *message);

/* Returns the stamp of the held version; version 0 when there is none.  */
struct snp_stamp syn_held_stamp (const struct syn *sync);

#endif
