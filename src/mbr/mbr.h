/* Membership: SWIM with suspicion inside one data centre, and the records of
   all data centres.  Pure: events and time in, messages out.  */

#ifndef MULBERRYSHIFT_MBR_MBR_H
#define MULBERRYSHIFT_MBR_MBR_H

#include "base/clk.h"
#include "mbr/mbr_member.h"

#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Records kept at most; further ones are refused.  */
#define MBR_MAX_MEMBERS 2048
#define MBR_PROBE_INTERVAL CLK_SECOND
#define MBR_DIRECT_TIMEOUT (500 * CLK_MILLISECOND)
/* How long the whole probe may take, with indirect probes.  */
#define MBR_PROBE_TIMEOUT CLK_SECOND
#define MBR_INDIRECT_PROBES 3
#define MBR_SUSPICION (3 * CLK_SECOND)
#define MBR_DEAD_KEPT (600 * CLK_SECOND)
/* Messages that one event produces at most.  */
#define MBR_MAX_MESSAGES 16
/* With more records than this to piggyback, each is passed on less often.  */
#define MBR_MANY_PENDING 64

  enum mbr_message_kind
  {
    MBR_PROBE,
    MBR_PROBE_REQUEST, /* probe NAME and pass its acknowledgement on */
    MBR_ACK            /* NAME answered */
  };

  struct mbr_message
  {
    enum mbr_message_kind kind;
    struct net_address to;
    uint32_t nonce;
    char to_name[MBR_NAME_SIZE];
    char name[MBR_NAME_SIZE]; /* target or subject; else "" */
  };

  struct mbr_outbox
  {
    struct mbr_message messages[MBR_MAX_MESSAGES];
    size_t count;
  };

  /* How a record came, which decides how often it is passed on.  */
  enum mbr_source
  {
    MBR_GOSSIP, /* in a datagram, or pushed by its owner */
    MBR_SYNC,   /* in a full reply: most nodes know it already */
    MBR_JOIN    /* in a full reply while joining: all others know it */
  };

  /* A record and what this node knows of it.  */
  struct mbr_entry
  {
    struct mbr_member member;
    uint64_t name_hash;
    uint64_t held;           /* version that it last reported; 0: unknown */
    clk_time suspicion_ends; /* CLK_NEVER: not suspected */
    clk_time dropped_at;     /* of a dead record; else CLK_NEVER */
    clk_time learned_at;
    uint32_t sends_left; /* piggybacks left */
    bool whole;          /* piggyback all fields, not only the state */
  };

  struct mbr;

  /* Makes a table with SELF only.  */
  struct mbr *mbr_create (const struct mbr_member *self, uint64_t seed,
                          clk_time now);

  /* Frees the table.  */
  void mbr_destroy (struct mbr *mbr);

  /* Returns the own record.  */
  const struct mbr_member *mbr_self (const struct mbr *mbr);

  /* Replaces the upstream fields of the own record and raises the sequence.
     Returns whether anything changed.  */
  bool mbr_set_upstream (struct mbr *mbr, const char *service,
                         const char *upstream, uint32_t slots);

  /* Marks the own record as leaving.  */
  void mbr_leave (struct mbr *mbr);

  /* Merges a record from another node.  A record without a data centre only
     changes the state of a record already known.  A claim that this node is
     suspect or dead raises the own sequence.  Returns whether any record
     changed.  */
  bool mbr_merge (struct mbr *mbr, const struct mbr_member *record,
                  enum mbr_source source, clk_time now);

  /* A reply with all records came from a member of DATA_CENTRE: marks as dead
     the records of that data centre that are not among RECORDS, which were
     learned more than 120 s ago.  Does nothing when more than 1 in 20 (and
     more than one) would go: such a reply comes from a node that does not
     know its data centre yet.
     Returns whether any record changed.  */
  bool mbr_merge_absent (struct mbr *mbr, const char *data_centre,
                         const struct mbr_member *records, size_t count,
                         clk_time now);

  /* Runs probes and timers.  Returns whether any record changed.  */
  bool mbr_tick (struct mbr *mbr, clk_time now, struct mbr_outbox *outbox);

  /* Returns when mbr_tick is due next.  */
  clk_time mbr_next_wake (const struct mbr *mbr);

  /* A probe came from the node NAME at FROM.  */
  void mbr_on_probe (struct net_address from, const char *name, uint32_t nonce,
                     struct mbr_outbox *outbox);

  /* A request came from the node NAME at FROM to probe TARGET.  */
  void mbr_on_probe_request (struct mbr *mbr, struct net_address from,
                             const char *name, uint32_t nonce,
                             const char *target, clk_time now,
                             struct mbr_outbox *outbox);

  /* SUBJECT acknowledged a probe.  */
  void mbr_on_ack (struct mbr *mbr, uint32_t nonce, const char *subject,
                   clk_time now, struct mbr_outbox *outbox);

  /* Chooses records to piggyback on a datagram to the node TO (may be ""): at
     most LIMIT and BYTES bytes in packed form.  The record of TO comes first
     when it is suspect or dead, so that it can refute.  Fills MESSAGES, whose
     strings point into the table, and returns their number; *USED gets the
     bytes.  */
  size_t mbr_take_updates (struct mbr *mbr, const char *to,
                           Mesh__Member *messages, size_t limit, size_t bytes,
                           size_t *used);

  /* Returns the number of records still to be piggybacked.  */
  size_t mbr_pending (const struct mbr *mbr);

  /* Returns a digest of all records that are not dead.  */
  uint64_t mbr_digest (const struct mbr *mbr);

  /* Returns the number of records, the own one included.  */
  size_t mbr_count (const struct mbr *mbr);

  /* Returns record INDEX; the own one is 0.  Valid until the next change.  */
  struct mbr_entry *mbr_at (const struct mbr *mbr, size_t index);

  /* Returns the record of this name, or null.  */
  struct mbr_entry *mbr_find (const struct mbr *mbr, const char *name);

  /* Forgets all records but the own one, and the probes in progress.  */
  void mbr_forget (struct mbr *mbr, clk_time now);

  /* Returns a number that changes with every change of a record.  */
  uint64_t mbr_generation (const struct mbr *mbr);

#ifdef __cplusplus
}
#endif

#endif
