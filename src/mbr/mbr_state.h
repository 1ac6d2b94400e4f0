/* The membership table; private to mbr.  */

#ifndef MULBERRYSHIFT_MBR_MBR_STATE_H
#define MULBERRYSHIFT_MBR_MBR_STATE_H

#include "base/rnd.h"
#include "mbr/mbr.h"

/* Twice the records, so that probe sequences stay short.  */
#define MBR_INDEX_SIZE (2 * MBR_MAX_MEMBERS)
#define MBR_MAX_RELAYED 16

/* A probe made for another node.  */
struct mbr_relayed
{
  uint32_t nonce; /* of the own probe; 0: the place is free */
  uint32_t origin_nonce;
  struct net_address origin;
  char origin_name[MBR_NAME_SIZE];
  clk_time deadline;
};

struct mbr
{
  struct mbr_entry *entries; /* the own one first */
  size_t count;
  size_t capacity;
  uint16_t index[MBR_INDEX_SIZE]; /* entry + 1; 0: free */
  uint64_t digest;
  uint64_t generation;
  size_t pending;      /* entries with sends left */
  uint32_t send_limit; /* of records that are being merged */
  struct rnd random;

  uint64_t *order; /* name hashes still to be probed in this round */
  size_t order_count;
  size_t order_capacity;
  uint32_t next_nonce;
  uint32_t nonce; /* of the probe in progress; 0: none */
  uint64_t target;
  bool indirect_sent;
  clk_time direct_ends;
  clk_time probe_ends;
  clk_time next_probe;
  clk_time next_timer; /* of suspicions and dead records */
  struct mbr_relayed relayed[MBR_MAX_RELAYED];
};

/* Returns the entry with this name hash, or null.  */
struct mbr_entry *mbr_find_hash (const struct mbr *mbr, uint64_t name_hash);

/* Adds an entry for MEMBER; null when the table is full.  */
struct mbr_entry *mbr_add (struct mbr *mbr, const struct mbr_member *member,
                           clk_time now);

/* Removes an entry.  The last one takes its place.  */
void mbr_remove (struct mbr *mbr, struct mbr_entry *entry);

/* Stores MEMBER in ENTRY and queues it for piggybacking.  */
void mbr_store (struct mbr *mbr, struct mbr_entry *entry,
                const struct mbr_member *member, clk_time now);

/* Sets only the state.  */
void mbr_set_state (struct mbr *mbr, struct mbr_entry *entry,
                    enum mbr_state state, clk_time now);

/* Puts an entry into the current round of probes.  */
void mbr_schedule_probe (struct mbr *mbr, const struct mbr_entry *entry);

#endif
