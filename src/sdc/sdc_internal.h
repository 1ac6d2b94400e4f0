/* State and components of a sidecar.  Used inside this module.  */

#ifndef MULBERRYSHIFT_SDC_SDC_INTERNAL_H
#define MULBERRYSHIFT_SDC_SDC_INTERNAL_H

#include "acc/acc.h"
#include "dir/dir.h"
#include "evl/evl.h"
#include "fwd/fwd.h"
#include "gat/gat.h"
#include "hck/hck.h"
#include "hub/hub.h"
#include "prb/prb.h"
#include "pub/pub.h"
#include "quo/quo.h"
#include "reg/reg.h"
#include "rol/rol.h"
#include "rst/rst.h"
#include "sdc/sdc.h"
#include "snp/snp.h"
#include "srv/srv.h"
#include "sto/sto.h"
#include "stp/stp.h"
#include "syn/syn.h"
#include "wch/wch.h"

/* A draining heartbeat or a deregistration that is acknowledged when this
   node's record is durable.  */
struct sdc_pending_ack
{
  struct srv_exchange *exchange;
  uint64_t sequence; /* of the record that must be durable */
  clk_time deadline;
  struct sdc_pending_ack *next;
};

/* What the store holds for a node, as this node has read it.  */
struct sdc_stored_record
{
  bool is_stored;
  uint64_t revision; /* 0 unless IS_STORED */
  struct mbr_member record;
  clk_time compare_at; /* with the known record; CLK_NEVER: not needed */
};

/* State of restoring records; see sdc_restore.c.  */
struct sdc_restore
{
  uint64_t handled_count; /* restores of the store that were handled */
  bool list_is_first;     /* no list of the nodes has ended since */
  bool is_listing;        /* what the store holds is not known whole */
  clk_time compare_until; /* records received before are compared */
  struct sdc_stored_record *stored; /* by the handles of nodes */
  size_t stored_count;
  clk_time next_write_at;
  struct sto_call *call; /* in progress */
  dir_handle written_node;
  char written_name[MBR_NAME_SIZE];
};

struct sdc
{
  struct cfg_sidecar settings;
  const char *file;
  const struct ptf_platform *platform;
  struct evl *loop;
  struct sto *store;
  struct dir *directory;
  dir_handle self;
  struct mbr_member record; /* this node's own */
  struct reg registration;
  struct hub *hub;
  struct gat *gate;
  struct quo *quota;
  struct fwd *forwarder;
  struct srv *caller_server;
  struct acc account; /* of the memory held for callers; see sdc_memory.c */
  struct srv *readiness_server;
  struct srv *control_server;
  struct srv *metrics_server;
  struct wch *config_watch;
  struct wch *node_watch;
  struct rol *rollouts;       /* null: the setting is off */
  struct wch *rollout_watch;  /* null with it */
  bool has_unknown_orders;    /* of services that the configuration lacks */
  struct prb *probe;          /* probes the store while this node watches it */
  struct hck *health_check;   /* of a restored upstream; see sdc_confirm.c */
  struct hck *end_check;      /* of a departed one; see sdc_departure.c */
  clk_time upstream_ended_at; /* nothing listened at its address then; -1:
                                 not known */
  struct pub *publisher;
  struct syn *sync;
  struct snp_snapshot *snapshot;
  bool *listed; /* nodes seen since the list started, by handle */
  size_t listed_count;
  bool nodes_listed;  /* a list of all nodes was read from the store */
  bool list_is_stale; /* the list being read may be out of date */
  bool joined;        /* see sdc_join.c */
  bool list_delayed;  /* the delay of the first list was decided */
  /* Nodes that an earlier record of this node counted; 0: not known.  */
  uint32_t stored_mesh_size;
  /* Time of the next step of the join, CLK_NEVER when none is scheduled.  */
  clk_time next_join_step_at;
  /* Latest time to publish the first record of this node; CLK_NEVER when that
     is done or is not to be done yet.  */
  clk_time publish_by;
  struct sto_call *config_call; /* reads the configuration after a start */
  clk_time next_report_at;      /* next report of unreachable nodes */
  /* Highest sequence of this node's record that a parent acknowledged.  */
  uint64_t acknowledged_sequence;
  struct sdc_pending_ack *pending_acks;
  struct sdc_restore restore;
  struct evl_timer tick;     /* periodic check of the sidecar's deadlines */
  bool stopping;             /* a shutdown was started */
  struct stp shutdown;       /* valid while STOPPING */
  bool stopped;              /* the shutdown is complete */
  bool owns_loop;            /* the loop is stopped with the sidecar */
  int64_t settings_mtime_ns; /* of the settings file, since the epoch */
};

/* Handlers of the links between nodes, and hooks of the gate.  */
extern const struct hub_handlers sdc_hub_handlers;
struct gat_hooks sdc_gate_hooks (struct sdc *sidecar);

/* Takes the steps of a shutdown that are due.  */
void sdc_check_shutdown (struct sdc *sidecar, clk_time now);

/* Handlers of the watches of the store and of the publisher.  */
extern const struct wch_handlers sdc_config_handlers;
extern const struct wch_handlers sdc_node_handlers;
extern const struct wch_handlers sdc_rollout_handlers;
extern const struct pub_handlers sdc_publish_handlers;

/* Handlers of the servers for heartbeats, probes and metrics.  */
extern const struct srv_handlers sdc_control_handlers;
extern const struct srv_handlers sdc_ready_handlers;
extern const struct srv_handlers sdc_metrics_handlers;

/* Suspends or resumes the watches when the store has become unreachable or
   reachable.  */
void sdc_handle_probe_result (void *context, bool reachable);

/* Handles a change of the store's era; a sto_restored.  */
void sdc_handle_restored (void *context, uint64_t before, uint64_t era);

/* Handles a restore of the store that the replies show, once.  */
void sdc_check_restore (struct sdc *sidecar);

/* Sets until when records that nodes send are compared with the store.  */
void sdc_start_comparing (struct sdc *sidecar);

/* Forgets what the store holds, which is listed again.  */
void sdc_forget_stored_records (struct sdc *sidecar);

/* Notes that the store holds STORED, which was merged into the directory, at
   REVISION.  */
void sdc_note_stored_record (struct sdc *sidecar,
                             const struct mbr_member *stored,
                             uint64_t revision);

/* Notes that a node sent RECORD, which was merged into the directory and is
   newer than the one known before.  */
void sdc_note_received_record (struct sdc *sidecar,
                               const struct mbr_member *record);

/* Notes that the record of a node was removed from the store.  */
void sdc_note_removed_record (struct sdc *sidecar, const char *name);

/* Handles the end of a list.  Returns false unless it is the first one since a
   restore, whose missing records are written again.  */
bool sdc_finish_first_list (struct sdc *sidecar);

/* Takes the next step of restoring records when it is due.  */
void sdc_restore_records (struct sdc *sidecar, clk_time now);

/* Creates the roll-outs and their watch if the setting is on.  */
void sdc_create_rollouts (struct sdc *sidecar);

/* Starts the watch of roll-outs if this node watches the store and has a
   configuration; lists them again when a service may be new.  */
void sdc_start_rollout_watch (struct sdc *sidecar);

/* Stops the watch of roll-outs.  */
void sdc_stop_rollout_watch (struct sdc *sidecar);

/* Returns the hooks of the propagation between nodes.  */
struct syn_hooks sdc_sync_hooks (struct sdc *sidecar);

/* Returns whether LENGTH bytes of replies to ORIGIN fit beside those that wait
   to be sent on links.  */
bool sdc_has_reply_room (void *context, const struct hub_inbound_link *origin,
                         size_t length);

/* Closes links that take no replies when memory for replies is short, and
   updates the gauges of the account.  */
void sdc_check_memory (struct sdc *sidecar, clk_time now);

/* Starts joining the mesh, and takes the steps of the join that are due.  */
void sdc_start_join (struct sdc *sidecar);
void sdc_advance_join (struct sdc *sidecar, clk_time now);

/* Handles a complete list of the nodes in the store: publishes this node's
   record and completes the join.  */
void sdc_handle_nodes_listed (struct sdc *sidecar);

/* Handles the hello of a node that opened the link INBOUND.  */
void sdc_handle_hello (struct sdc *sidecar, struct hub_inbound_link *inbound,
                       const Mesh__Hello *hello);

/* Sends what this node knows of a departure beside PEER to PEER, which may be
   a process that started after it.  */
void sdc_return_departure (struct sdc *sidecar, dir_handle peer);

/* Does the same on INBOUND, which a node has opened with its RECORD, unless
   the process that has opened it knows of the departure.  */
void sdc_answer_hello (struct sdc *sidecar, struct hub_inbound_link *inbound,
                       const struct mbr_member *record);

/* Starts to check whether an upstream that has left still serves.  */
void sdc_check_upstream_end (struct sdc *sidecar);

/* Returns whether the upstream has left, and nothing listened at its address
   afterwards.  */
bool sdc_has_upstream_ended (const struct sdc *sidecar);

/* Handles a node record from another node.  Returns whether the directory has
   changed and the record is to be propagated.  */
bool sdc_handle_member (struct sdc *sidecar, const struct mbr_member *record);

/* Handles a report that PEER is unreachable: tries to connect to it, and
   declares it dead and removes its record if it has been unreachable from this
   node too and this node does not seem isolated.  */
void sdc_handle_suspect (struct sdc *sidecar, dir_handle peer);

/* Reports nodes that have been unreachable for some time.  */
void sdc_report_unreachable_nodes (struct sdc *sidecar, clk_time now);

/* Removes the record of a node from the store, only at REVISION unless that is
   0.  */
void sdc_remove_record (struct sdc *sidecar, const char *name,
                        uint64_t revision);

/* Marks a node as dead in the directory and propagates that.  */
void sdc_declare_dead (struct sdc *sidecar, dir_handle node);

/* Puts the operator's document from the store into effect if it is valid and
   newer than the held version.  */
void sdc_apply_config (struct sdc *sidecar, const json_t *content);

/* Puts a version into effect if it is newer than the held one.  Takes
   ownership of the reference to SNAPSHOT.  */
void sdc_apply_snapshot (struct sdc *sidecar, struct snp_snapshot *snapshot);

/* Writes this node's record, with the current number of nodes, to the store
   unless it holds an equal one.  */
void sdc_store_record (struct sdc *sidecar);

/* Increments the sequence of this node's record and publishes it in the store
   and to the other nodes.  */
void sdc_publish_record (struct sdc *sidecar);

/* Applies a change of the registration to this node's record, which it
   publishes if it has changed, and to the gate.  */
void sdc_handle_registration_change (struct sdc *sidecar);

/* Returns the target of health checks of a service, null when it is not
   known.  */
const char *sdc_find_health_path (const struct sdc *sidecar,
                                  const char *service);

/* Starts the health check of an upstream that was restored from an earlier
   record, if it is needed and its target is known.  */
void sdc_confirm_upstream (struct sdc *sidecar);

/* Ends the wait for the confirmation of a restored upstream when it is due. */
void sdc_check_confirmation (struct sdc *sidecar, clk_time now);

/* Answers the pending acknowledgements whose record is durable, with status
   200, and those whose deadline has passed, with status 503.  */
void sdc_send_acks (struct sdc *sidecar);

#endif
