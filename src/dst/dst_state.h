/* State of distribution; private to dst.  */

#ifndef MULBERRYSHIFT_DST_DST_STATE_H
#define MULBERRYSHIFT_DST_DST_STATE_H

#include "base/rnd.h"
#include "dst/dst.h"
#include "mbr/mbr.h"
#include "ver/ver.h"

#define DST_MAX_DATA_CENTRES 32
/* Relay, standby, and the next member by rendezvous hashing.  */
#define DST_RELAY_CANDIDATES 3
#define DST_MAX_FETCHES 16
#define DST_MAX_REMOTES DST_MAX_DATA_CENTRES
#define DST_JOIN_PEERS 5 /* of the seeds; and as many of the directory */

/* Bytes of headers in a TCP exchange: handshake, segments and close.  */
#define DST_TCP_HEADERS 360

#define DST_FAN_OUT 4
/* Longest datagram with a delta, so that it is not fragmented.  */
#define DST_MAX_ANNOUNCEMENT 1200
/* The standby announces a version that nobody announced for this long.  */
#define DST_STANDBY_DELAY (500 * CLK_MILLISECOND)
#define DST_REMOTE_INTERVAL (300 * CLK_MILLISECOND)
/* The region standby offers only after the region relay had time for three
   attempts; so the paid link normally carries one delta a version.  */
#define DST_REGION_STANDBY_DELAY CLK_SECOND
/* Times that the relay announces directly to members that did not report.  */
#define DST_REPEATS 3
/* A node whose peers do not respond serves with what it has after this.  */
#define DST_JOIN_DEADLINE (3 * CLK_SECOND)
#define DST_FETCH_TIMEOUT (3 * CLK_SECOND)
#define DST_NEAR_PROBE_INTERVAL CLK_SECOND
#define DST_FAR_PROBE_INTERVAL (5 * CLK_SECOND)
#define DST_SYNC_INTERVAL (30 * CLK_SECOND)
/* After its join a node may synchronise more often: when many nodes start at
   once, piggybacking all their records would take minutes.  */
#define DST_SETTLING (90 * CLK_SECOND)
#define DST_SETTLING_SYNC (5 * CLK_SECOND)
/* After this long without a sign of the platform's region, a relay outside it
   watches the platform itself.  */
#define DST_SILENCE (15 * CLK_SECOND)
/* A node that slept this long holds records that the others have dropped.  */
#define DST_LONG_FREEZE (300 * CLK_SECOND)

/* The members of one data centre with the highest rendezvous scores: relay,
   standby, and the next one.  */
struct dst_relays
{
  char data_centre[MBR_NAME_SIZE];
  char region[MBR_NAME_SIZE];
  const struct mbr_member *members[DST_RELAY_CANDIDATES];
  uint64_t scores[DST_RELAY_CANDIDATES];
  size_t count;
};

/* Where a version came from and what must follow.  */
struct dst_origin
{
  char root[MBR_NAME_SIZE];   /* of the tree; "": do not forward */
  char region[MBR_NAME_SIZE]; /* of the sender; "": the platform */
  char data_centre[MBR_NAME_SIZE];
  char name[MBR_NAME_SIZE];
  struct net_address ack; /* port 0: no acknowledgement */
};

/* A version that another node holds and this one lacks.  */
struct dst_behind
{
  struct snp_stamp stamp; /* version 0: none */
  struct net_address address;
  struct dst_origin origin;
  clk_time due;
  uint32_t failures;
};

/* A version given to the caller by DST_PUBLISH.  */
struct dst_pending
{
  struct snp_stamp stamp;
  struct snp_stamp base;
  struct buf text;
  struct buf delta;
  struct dst_origin origin;
};

enum dst_purpose
{
  DST_FETCH_JOIN,
  DST_FETCH_DOCUMENT,
  DST_FETCH_SYNC
};

struct dst_fetch
{
  uint64_t id; /* 0: the place is free */
  enum dst_purpose purpose;
  struct net_address address;
  clk_time deadline;
  bool want_members;
};

/* An announcement to another data centre or region, repeated until
   acknowledged.  */
struct dst_remote
{
  char target[MBR_NAME_SIZE]; /* data centre; region if FAR */
  bool far;
  bool plain; /* without the delta */
  uint64_t version;
  uint32_t tries;
  clk_time next; /* CLK_NEVER: done */
};

struct dst_join
{
  struct net_address asked[2 * DST_JOIN_PEERS];
  size_t asked_count;
  size_t response_count;
  struct snp_stamp best;
  bool got_members;
  bool directory_read;
  clk_time start;
  clk_time ask_due; /* seeds are asked then while no peer was asked */
  clk_time directory_due;
  clk_time members_due;
  clk_time deadline;
};

struct dst
{
  struct dst_settings settings;
  struct mbr *mbr;
  struct rnd random;
  struct ver_recent recent;
  struct dst_counters counters;
  uint64_t reported_generation;

  struct snp_stamp held;
  struct snp_stamp effective; /* differs from held only with staging */
  uint64_t commit_forwarded;
  struct snp_stamp rejected;
  struct snp_stamp last_fork;
  char reason[DST_REASON_SIZE];
  struct snp_stamp delta_base;
  struct buf delta; /* from delta_base to held; may be empty */
  struct dst_pending pending;
  struct dst_behind behind;

  struct dst_relays relays[DST_MAX_DATA_CENTRES];
  size_t data_centre_count;
  uint64_t roles_generation; /* + 1 */
  struct dst_roles roles;

  bool joined;
  clk_time roles_from; /* no roles before; CLK_NEVER: roles were taken */
  clk_time resync_due;
  clk_time settled_at; /* end of the time of frequent synchronisation */
  struct dst_join join;
  struct dst_fetch fetches[DST_MAX_FETCHES];
  uint64_t next_fetch;
  double admission; /* fetches that may be served now */
  clk_time admission_at;

  uint64_t announced; /* highest version seen in a tree */
  uint64_t forwarded; /* version last sent down the tree */
  clk_time standby_due;
  uint64_t repeat_version;
  size_t repeat_step;
  clk_time repeat_due;
  clk_time repeat_start;
  struct dst_remote remotes[DST_MAX_REMOTES];
  size_t remote_count;

  clk_time next_near_probe;
  clk_time next_far_probe;
  clk_time next_discovery;
  struct net_address directory[DST_MAX_SEEDS];
  size_t directory_count;
  /* Of the own data centre, the region's others, and other regions: data
     centres can agree among themselves and differ from the others.
     CLK_NEVER: the last digest matched.  */
  clk_time mismatch_since[3];
  uint32_t mismatches[3];
  clk_time next_sync;
  /* Last datagram that shows a path to the platform's region: directly at a
     region relay, through the region relay elsewhere.  */
  clk_time heard_platform_region;

  bool watching;
  clk_time read_due; /* of the platform, without a version */
  uint32_t read_failures;
  struct dst_status status; /* last written */
  clk_time status_due;
  clk_time status_refresh;
  struct dst_directory written_directory;
  clk_time directory_write_due;
  clk_time last_tick;
};

/* dst_roles.c: roles */
void dst_update_roles (struct dst *dst, clk_time now);
const struct dst_relays *dst_relays_of (const struct dst *dst,
                                        const char *data_centre);
/* Fills OUT with the members to address in a region, best first.  */
size_t dst_region_members (const struct dst *dst, const char *region,
                           const struct mbr_member *out[DST_RELAY_CANDIDATES]);

/* dst_send.c */
void dst_send (struct dst *dst, struct net_address to, const char *to_name,
               Mesh__Datagram *datagram, enum dst_traffic kind,
               struct dst_actions *actions);
void dst_send_probe (struct dst *dst, struct net_address to,
                     const char *to_name, struct dst_actions *actions);
void dst_send_outbox (struct dst *dst, const struct mbr_outbox *outbox,
                      struct dst_actions *actions);
void dst_send_applied (struct dst *dst, struct net_address to,
                       const char *to_name, struct dst_actions *actions);
void dst_count (struct dst *dst, enum dst_traffic kind, bool far,
                uint64_t bytes);
Mesh__Stamp dst_to_wire (struct snp_stamp stamp);
struct snp_stamp dst_from_wire (const Mesh__Stamp *stamp);

/* dst_spread.c */
void dst_announcement_seen (struct dst *dst, struct net_address from,
                            const struct dst_origin *sender,
                            const Mesh__Announcement *message, clk_time now,
                            struct dst_actions *actions);
void dst_spread (struct dst *dst, const struct dst_origin *origin,
                 clk_time now, struct dst_actions *actions);
void dst_start_repeats (struct dst *dst, clk_time now);
void dst_spread_tick (struct dst *dst, clk_time now,
                      struct dst_actions *actions);
clk_time dst_spread_wake (const struct dst *dst);
/* Ends the remote announcements, up to VERSION, to the sender's data centre or
   region.  */
void dst_acknowledge (struct dst *dst, const char *data_centre,
                      const char *region, uint64_t version);

/* dst_stage.c: staging */
/* Holds the pending version without putting it into effect.  */
void dst_stage (struct dst *dst, clk_time now, struct dst_actions *actions);
/* Puts the held version into effect if a peer did or, at the relay, if most
   members of the data centre hold it.  */
void dst_stage_check (struct dst *dst, uint64_t peer_effective,
                      const char *root, struct dst_actions *actions);

/* dst_accept.c */
/* Publishes a document if it may replace the held one.  */
void dst_offer (struct dst *dst, struct snp_stamp stamp, const char *text,
                size_t length, const struct dst_origin *origin,
                struct snp_stamp base, const struct buf *delta, clk_time now,
                struct dst_actions *actions);
/* Takes the pending document as the held one.  */
void dst_take_pending (struct dst *dst);
/* Reports to the relay and the standby what this node holds.  */
void dst_report (struct dst *dst, const struct dst_origin *origin,
                 struct dst_actions *actions);
/* Returns whether STAMP would be published; counts forks.  */
bool dst_wants (struct dst *dst, struct snp_stamp stamp);
/* Remembers that the node at ADDRESS holds STAMP.  */
void dst_set_behind (struct dst *dst, struct snp_stamp stamp,
                     struct net_address address,
                     const struct dst_origin *origin, clk_time due);

/* dst_fetch.c */
struct dst_fetch *dst_start_fetch (struct dst *dst, enum dst_purpose purpose,
                                   struct net_address address,
                                   bool want_members, clk_time now,
                                   struct dst_actions *actions);
void dst_fetch_tick (struct dst *dst, clk_time now,
                     struct dst_actions *actions);
bool dst_is_fetching (const struct dst *dst, enum dst_purpose purpose);
clk_time dst_fetch_wake (const struct dst *dst);

/* dst_join.c */
void dst_join_start (struct dst *dst, clk_time now);
void dst_join_reply (struct dst *dst, const struct dst_fetch *fetch,
                     const Mesh__FetchReply *reply, clk_time now,
                     struct dst_actions *actions);
void dst_join_tick (struct dst *dst, clk_time now,
                    struct dst_actions *actions);
clk_time dst_join_wake (const struct dst *dst);

/* dst_sync.c: relay probes, digests and synchronisation */
void dst_sync_digest (struct dst *dst, struct net_address from,
                      const struct mbr_entry *sender, uint64_t digest,
                      clk_time now, struct dst_actions *actions);
void dst_sync_reply (struct dst *dst, const Mesh__FetchReply *reply,
                     clk_time now);
void dst_sync_tick (struct dst *dst, clk_time now,
                    struct dst_actions *actions);
clk_time dst_sync_wake (const struct dst *dst);

/* dst_platform.c */
void dst_platform_tick (struct dst *dst, clk_time now,
                        struct dst_actions *actions);
clk_time dst_platform_wake (const struct dst *dst);

/* dst_create.c */
/* Appends DST_MEMBERS_CHANGED if records changed since the last call.  */
void dst_finish (struct dst *dst, clk_time now, struct dst_actions *actions);
/* Returns a time between DELAY / 2 and DELAY from NOW.  */
clk_time dst_jitter (struct dst *dst, clk_time now, clk_time delay);

#endif
