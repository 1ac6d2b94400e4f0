/* Parts of a sidecar.  Used inside this module.  */

#ifndef MULBERRYSHIFT_SDC_SDC_INTERNAL_H
#define MULBERRYSHIFT_SDC_SDC_INTERNAL_H

#include "dir/dir.h"
#include "evl/evl.h"
#include "fwd/fwd.h"
#include "gat/gat.h"
#include "hub/hub.h"
#include "prb/prb.h"
#include "pub/pub.h"
#include "reg/reg.h"
#include "sdc/sdc.h"
#include "snp/snp.h"
#include "srv/srv.h"
#include "sto/sto.h"
#include "syn/syn.h"
#include "wch/wch.h"

/* A heartbeat whose acknowledgement waits until what it says is safe.  */
struct sdc_ack
{
  struct srv_connection *connection;
  uint64_t sequence; /* of the record that must be stored */
  clk_time deadline;
  struct sdc_ack *next;
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
  struct fwd *forwarder;
  struct srv *calls;
  struct srv *ready;
  struct srv *control;
  struct srv *metrics;
  struct wch *config_watch;
  struct wch *node_watch;
  struct prb *probe; /* of the store, while it is watched */
  struct pub *publisher;
  struct syn *sync;
  struct snp_snapshot *snapshot;
  bool *listed; /* nodes named by the list under way, by handle */
  size_t listed_count;
  bool nodes_known;    /* the directory was listed once */
  bool joined;         /* roles are taken; see sdc_join.c */
  clk_time join_at;    /* next step of the join; CLK_NEVER: it waits */
  clk_time publish_at; /* latest time to publish this node on a first start;
                          CLK_NEVER: done, or no first start */
  struct sto_call *config_call; /* reads the configuration after a start */
  clk_time report_at;           /* when lost nodes are reported again */
  uint64_t confirmed; /* sequence of this node's record that a parent holds */
  struct sdc_ack *acks;
  struct evl_timer tick; /* of the sidecar's own deadlines */
  clk_time stop_at;      /* latest end of a shutdown; 0: none is under way */
  clk_time leave_at;     /* when callers have heard of the shutdown */
  clk_time close_at;     /* when no request is taken any more */
  bool ended;            /* the shutdown has come to its end */
  bool runs_alone;       /* the loop is the sidecar's: its end stops it */
  int64_t settings_time; /* of the settings file, ns since the epoch */
};

/* Handlers of the watches of the store.  */
extern const struct wch_handlers sdc_config_handlers;
extern const struct wch_handlers sdc_node_handlers;
extern const struct pub_handlers sdc_publish_handlers;

/* Handlers of the servers for heartbeats, probes and metrics.  */
extern const struct srv_handlers sdc_control_handlers;
extern const struct srv_handlers sdc_ready_handlers;
extern const struct srv_handlers sdc_metrics_handlers;

/* Takes what the probe of the store has found.  */
void sdc_take_probe (void *context, bool answers);

/* Hooks of the spreading between nodes.  */
struct syn_hooks sdc_sync_hooks (struct sdc *sidecar);

/* Starts to join the mesh, and takes the steps that are due.  */
void sdc_join (struct sdc *sidecar);
void sdc_check_join (struct sdc *sidecar, clk_time now);

/* The store's list of nodes has been read: publishes this node, and joins.  */
void sdc_nodes_listed (struct sdc *sidecar);

/* Takes the introduction of a node that opened a link.  */
void sdc_take_hello (struct sdc *sidecar, const Mesh__Hello *hello);

/* Takes a record of a node that another node sent.  Returns whether it was
   news.  */
bool sdc_take_member (struct sdc *sidecar, const struct mbr_member *record);

/* Another node cannot reach PEER: tries it, and removes its record when it
   cannot be reached from here either.  */
void sdc_suspect (struct sdc *sidecar, dir_handle peer);

/* Looks for nodes that have not been reached for a while.  */
void sdc_check_lost (struct sdc *sidecar, clk_time now);

/* Removes a node's record from the store; REVISION is a condition unless it is
   0.  */
void sdc_remove_record (struct sdc *sidecar, const char *name,
                        uint64_t revision);

/* Takes a node for dead and tells the others.  */
void sdc_bury_node (struct sdc *sidecar, dir_handle node);

/* Uses the operator's document from the store if it is valid and newer.  */
void sdc_use_config (struct sdc *sidecar, const json_t *content);

/* Uses a version if it is newer; takes over SNAPSHOT's reference.  */
void sdc_use_snapshot (struct sdc *sidecar, struct snp_snapshot *snapshot);

/* Tells the store and the other nodes what this node's record says now.  */
void sdc_publish_record (struct sdc *sidecar);

/* Passes a change of the registration on: to the gate, the directory and the
   store.  */
void sdc_registration_changed (struct sdc *sidecar);

/* Answers heartbeats whose content is safe, or whose time is over.  */
void sdc_check_acks (struct sdc *sidecar);

#endif
