/* Distribution of configuration versions and upkeep of the membership, as a
   pure state machine: event and time in, actions out.

   Example:

     struct dst_actions actions = { 0 };
     struct dst *dst = dst_create (&settings, clk_now ());

     dst_tick (dst, clk_now (), &actions);
     for (size_t i = 0; i < actions.count; i++)
       carry_out (&actions.items[i]);  // may append: dst_published
     dst_actions_clear (&actions);
     // sleep until dst_next_wake (dst) or the next event

   Not thread-safe: one thread or one lock.  */

#ifndef MULBERRYSHIFT_DST_DST_H
#define MULBERRYSHIFT_DST_DST_H

#include "base/clk.h"
#include "dst/dst_action.h"
#include "wire/mesh.pb-c.h"

#ifdef __cplusplus
extern "C"
{
#endif

#define DST_MAX_SEEDS 16

  /* Switches mechanisms off, for tests only.  Zero is normal operation.  */
  struct dst_options
  {
    bool accept_older;  /* any other version is accepted */
    bool no_hash_check; /* a delta's result is not checked */
    bool no_repair;     /* versions in probes start no fetch, and relays do
                           not repeat announcements */
    bool no_far_watch;  /* relays outside the platform's region never watch
                           the platform */
    bool no_standby;    /* standbys never announce */
    bool no_delta;      /* documents are always sent whole */
    bool staging;       /* a version is in effect only after a majority of the
                           data centre holds it */
  };

  struct dst_settings
  {
    struct mbr_member self; /* incarnation set, sequence 0, state alive */
    uint64_t mesh;          /* XXH3 of the environment's name */
    char platform_region[MBR_NAME_SIZE];
    struct net_address seeds[DST_MAX_SEEDS]; /* nearest first */
    size_t seed_count;
    uint64_t seed; /* of the random numbers */
    struct dst_options options;
  };

  /* What a platform request was, for dst_platform_done.  */
  enum dst_request
  {
    DST_REQUEST_WATCH,
    DST_REQUEST_READ,
    DST_REQUEST_READ_DIRECTORY,
    DST_REQUEST_WRITE_DIRECTORY,
    DST_REQUEST_WRITE_STATUS
  };

  enum dst_traffic
  {
    DST_PROBES,        /* probes and acknowledgements */
    DST_UPDATES,       /* member records in datagrams */
    DST_ANNOUNCEMENTS, /* announcements and Applied */
    DST_FETCHES,       /* requests sent and replies given */
    DST_TRAFFIC_KINDS
  };

  /* Bytes sent, with 28 bytes of IP and UDP headers a datagram; [1] counts
     those that went to another region.  */
  struct dst_counters
  {
    uint64_t bytes[DST_TRAFFIC_KINDS][2];
    uint64_t datagrams;
    uint64_t forks;        /* versions offered with another document */
    uint64_t rejections;   /* invalid documents */
    uint64_t bad_deltas;   /* announcements whose delta did not apply */
    uint64_t busy_replies; /* fetches answered "busy" */
    uint64_t invalid;      /* datagrams or records out of range */
  };

  struct dst_roles
  {
    bool relay;
    bool standby;
    bool region_relay;
    bool region_standby;
  };

  struct dst;

  /* Makes the state of a node that starts now and must join.  */
  struct dst *dst_create (const struct dst_settings *settings, clk_time now);

  /* Frees the state.  */
  void dst_destroy (struct dst *dst);

  /* Does what is due.  Call at dst_next_wake or earlier.  */
  void dst_tick (struct dst *dst, clk_time now, struct dst_actions *actions);

  /* Returns when dst_tick is due next.  */
  clk_time dst_next_wake (const struct dst *dst);

  /* A datagram of this protocol version and mesh arrived from FROM.  Others
     are counted as invalid and ignored.  */
  void dst_datagram (struct dst *dst, struct net_address from,
                     const Mesh__Datagram *datagram, clk_time now,
                     struct dst_actions *actions);

  /* The fetch ID ended: with REPLY, or null when it failed.  Fetches take at
     most 2 s.  */
  void dst_fetched (struct dst *dst, uint64_t id,
                    const Mesh__FetchReply *reply, clk_time now,
                    struct dst_actions *actions);

  /* Result of DST_PUBLISH: VALID, or why not (REASON, may be null).  */
  void dst_published (struct dst *dst, struct snp_stamp stamp, bool valid,
                      const char *reason, clk_time now,
                      struct dst_actions *actions);

  /* A watch or a read returned the configuration object.  */
  void dst_object_seen (struct dst *dst, uint64_t version, const char *text,
                        size_t length, clk_time now,
                        struct dst_actions *actions);

  /* A platform request without an object ended: SUCCEEDED also when a read or
     a watch found no object.  Failed requests are asked for again after a
     back-off; a failed watch is the control thread's to repeat.  */
  void dst_platform_done (struct dst *dst, enum dst_request request,
                          bool succeeded, clk_time now,
                          struct dst_actions *actions);

  /* The directory listed these addresses, own data centre first.  */
  void dst_directory_read (struct dst *dst,
                           const struct net_address *addresses, size_t count,
                           clk_time now, struct dst_actions *actions);

  /* The own upstream changed; "" and 0 when there is none.  */
  void dst_set_upstream (struct dst *dst, const char *service,
                         const char *upstream, uint32_t slots, clk_time now,
                         struct dst_actions *actions);

  /* The node is leaving.  */
  void dst_leave (struct dst *dst, clk_time now, struct dst_actions *actions);

  /* Answers a peer's fetch.  Free REPLY's parts with dst_reply_close.  */
  void dst_answer_fetch (struct dst *dst, const Mesh__FetchRequest *request,
                         clk_time now, Mesh__FetchReply *reply,
                         struct dst_actions *actions);

  /* Frees the parts of a reply that dst_answer_fetch made.  */
  void dst_reply_close (Mesh__FetchReply *reply);

  /* Returns the version in effect; version 0 while there is none.  */
  struct snp_stamp dst_held (const struct dst *dst);

  /* Returns whether the join has finished and a version is held.  */
  bool dst_is_ready (const struct dst *dst);

  /* Returns whether the join has finished.  */
  bool dst_is_joined (const struct dst *dst);

  /* Returns the own record.  */
  const struct mbr_member *dst_self (const struct dst *dst);

  /* Appends up to LIMIT records that are not dead, the own one first, to
     MEMBERS, and returns their number.  */
  size_t dst_members (const struct dst *dst, struct mbr_member *members,
                      size_t limit);

  /* Returns the current roles.  */
  struct dst_roles dst_roles_of (const struct dst *dst);

  /* Returns the counters.  */
  const struct dst_counters *dst_counters_of (const struct dst *dst);

#ifdef __cplusplus
}
#endif

#endif
