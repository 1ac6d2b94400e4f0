/* State of the spreading.  Used inside this module.  */

#ifndef MULBERRYSHIFT_SYN_SYN_INTERNAL_H
#define MULBERRYSHIFT_SYN_SYN_INTERNAL_H

#include "base/buf.h"
#include "syn/syn.h"

/* A node that hears from this one.  */
struct syn_subscriber
{
  struct hub_inbound_link *origin;
  struct snp_stamp held; /* as far as this node knows */
  struct syn_subscriber *next;
};

/* How a node said that it sees the platform, and when.  */
struct syn_platform_status
{
  enum rel_platform_status sight;
  clk_time heard;
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
  struct snp_snapshot *previous; /* the version before, as base of deltas */
  struct buf delta; /* from the previous version to the held one; empty: not
                       made yet */
  struct buf whole; /* the held version, compressed; empty: not made yet */
  const Mesh__FetchReply *received; /* the version that is being taken; null:
                                       none */
  enum rel_platform_status sight;
  struct syn_platform_status *sights; /* of the nodes, by handle */
  dir_handle sight_count;
  dir_handle parents[REL_MAX_PARENTS];
  dir_handle
      asked[REL_MAX_STATUS_PEERS]; /* whose sight this node keeps asking for */
  bool watches;
  bool started;
  uint64_t heard_version;
  dir_handle heard_peer;  /* that holds a newer version; DIR_NONE: none */
  struct evl_timer heard; /* when it is asked for */
  clk_time fetch_after;   /* no version is asked for again before */
  struct evl_task refresh;
  struct evl_timer settle; /* of a change of roles */
  struct evl_timer expiry; /* of what was heard of other nodes' sights */
};

/* Sends the held version to a subscriber that does not have it.  */
void syn_push (struct syn *sync, struct syn_subscriber *subscriber);

/* Answers a request for the held version.  */
void syn_answer_fetch (struct syn *sync, struct hub_inbound_link *origin,
                       const Mesh__FetchRequest *request);

/* Takes a version that was pushed or asked for.  */
void syn_take_version (struct syn *sync, dir_handle peer,
                       const Mesh__FetchReply *reply);

/* Asks PEER for the version that it holds.  */
void syn_fetch (struct syn *sync, dir_handle peer, bool whole);

/* Drops the compressed forms and keeps the held version as the previous
   one.  */
void syn_replace_snapshot (struct syn *sync, struct snp_snapshot *snapshot);

/* Returns the stamp of the held version; version 0 when there is none.  */
struct snp_stamp syn_held (const struct syn *sync);

#endif
