/* The table of member records: look-up by name, digest, and the queue of
   changes to piggyback.  */

#include "base/mem.h"
#include "mbr/mbr_state.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static uint64_t
contribution (const struct mbr_entry *entry)
{
  uint64_t words[3] = { entry->name_hash, entry->member.incarnation,
                        entry->member.sequence };

  /* Dead records are dropped at different times on different nodes.  */
  return entry->member.state == MBR_DEAD ? 0
                                         : XXH3_64bits (words, sizeof words);
}

static void
index_entry (struct mbr *mbr, size_t entry)
{
  size_t place = mbr->entries[entry].name_hash % MBR_INDEX_SIZE;

  while (mbr->index[place] != 0)
    place = (place + 1) % MBR_INDEX_SIZE;
  mbr->index[place] = (uint16_t)(entry + 1);
}

static void
rebuild_index (struct mbr *mbr)
{
  memset (mbr->index, 0, sizeof mbr->index);
  for (size_t i = 0; i < mbr->count; i++)
    index_entry (mbr, i);
}

/* Passing a record on log2 (n) + 2 times reaches all but about one node in
   10,000, which the digest finds; 3 log2 (n) would triple the bytes.  */
static void
queue (struct mbr *mbr, struct mbr_entry *entry, bool whole)
{
  uint32_t sends = 2;

  for (size_t n = mbr->count; n > 1; n /= 2)
    sends++;
  /* So many changes at once travel by full synchronisation.  */
  if (mbr->pending > MBR_MANY_PENDING)
    sends = 5;
  if (sends > mbr->send_limit && entry != mbr->entries)
    sends = mbr->send_limit;
  entry->whole = whole || (entry->sends_left > 0 && entry->whole);
  mbr->pending -= entry->sends_left > 0;
  entry->sends_left = sends;
  mbr->pending += sends > 0;
  mbr->generation++;
}

struct mbr *
mbr_create (const struct mbr_member *self, uint64_t seed, clk_time now)
{
  struct mbr *mbr = mem_alloc (1, sizeof *mbr);

  mbr->send_limit = UINT32_MAX;
  rnd_init (&mbr->random, seed);
  mbr_add (mbr, self, now);
  mbr_forget (mbr, now);
  return mbr;
}

void
mbr_destroy (struct mbr *mbr)
{
  if (mbr == NULL)
    return;
  free (mbr->entries);
  free (mbr->order);
  free (mbr);
}

void
mbr_forget (struct mbr *mbr, clk_time now)
{
  mbr->count = 1;
  mbr->digest = contribution (&mbr->entries[0]);
  mbr->pending = 0;
  mbr->entries[0].sends_left = 0;
  queue (mbr, &mbr->entries[0], true);
  rebuild_index (mbr);
  mbr->order_count = 0;
  mbr->nonce = 0;
  mbr->probe_ends = CLK_NEVER;
  mbr->direct_ends = CLK_NEVER;
  /* Spreads the probes of nodes that start together over the second.  */
  mbr->next_probe
      = now + (clk_time)(rnd_unit (&mbr->random) * MBR_PROBE_INTERVAL);
  mbr->next_timer = CLK_NEVER;
  memset (mbr->relayed, 0, sizeof mbr->relayed);
}

static bool
make_room (struct mbr *mbr)
{
  struct mbr_entry *oldest = NULL;

  if (mbr->count < MBR_MAX_MEMBERS)
    return true;
  for (size_t i = 1; i < mbr->count; i++)
    if (mbr->entries[i].member.state == MBR_DEAD
        && (oldest == NULL || mbr->entries[i].dropped_at < oldest->dropped_at))
      oldest = &mbr->entries[i];
  if (oldest == NULL)
    return false;
  mbr_remove (mbr, oldest);
  return true;
}

struct mbr_entry *
mbr_add (struct mbr *mbr, const struct mbr_member *member, clk_time now)
{
  struct mbr_entry *entry;

  if (!make_room (mbr))
    return NULL;
  if (mbr->count == mbr->capacity)
    {
      mbr->capacity = mbr->capacity == 0 ? 16 : mbr->capacity * 2;
      mbr->entries
          = mem_resize (mbr->entries, mbr->capacity, sizeof *mbr->entries);
    }
  entry = &mbr->entries[mbr->count++];
  memset (entry, 0, sizeof *entry);
  entry->member = *member;
  entry->name_hash = XXH3_64bits (member->name, strlen (member->name));
  entry->suspicion_ends = CLK_NEVER;
  entry->dropped_at = CLK_NEVER;
  entry->learned_at = now;
  index_entry (mbr, mbr->count - 1);
  mbr->digest ^= contribution (entry);
  queue (mbr, entry, true);
  mbr_set_state (mbr, entry, member->state, now);
  mbr_schedule_probe (mbr, entry);
  return entry;
}

void
mbr_remove (struct mbr *mbr, struct mbr_entry *entry)
{
  mbr->digest ^= contribution (entry);
  mbr->pending -= entry->sends_left > 0;
  mbr->generation++;
  mbr->count--;
  if (entry != &mbr->entries[mbr->count])
    *entry = mbr->entries[mbr->count];
  rebuild_index (mbr);
}

static void
set_timers (struct mbr *mbr, struct mbr_entry *entry, clk_time now)
{
  const struct mbr_member *self = &mbr->entries[0].member;
  bool near = strcmp (entry->member.data_centre, self->data_centre) == 0;

  /* Only the own data centre's members are probed, so only they may be
     declared dead here.  */
  entry->suspicion_ends = entry->member.state == MBR_SUSPECT && near
                              ? now + MBR_SUSPICION
                              : CLK_NEVER;
  entry->dropped_at
      = entry->member.state == MBR_DEAD ? now + MBR_DEAD_KEPT : CLK_NEVER;
  if (entry->suspicion_ends < mbr->next_timer)
    mbr->next_timer = entry->suspicion_ends;
  if (entry->dropped_at < mbr->next_timer)
    mbr->next_timer = entry->dropped_at;
}

void
mbr_store (struct mbr *mbr, struct mbr_entry *entry,
           const struct mbr_member *member, clk_time now)
{
  if (member->incarnation != entry->member.incarnation)
    {
      entry->learned_at = now;
      entry->held = 0;
    }
  mbr->digest ^= contribution (entry);
  entry->member = *member;
  mbr->digest ^= contribution (entry);
  queue (mbr, entry, true);
  set_timers (mbr, entry, now);
}

void
mbr_set_state (struct mbr *mbr, struct mbr_entry *entry, enum mbr_state state,
               clk_time now)
{
  mbr->digest ^= contribution (entry);
  entry->member.state = state;
  mbr->digest ^= contribution (entry);
  queue (mbr, entry, false);
  set_timers (mbr, entry, now);
}

struct mbr_entry *
mbr_find_hash (const struct mbr *mbr, uint64_t name_hash)
{
  for (size_t place = name_hash % MBR_INDEX_SIZE; mbr->index[place] != 0;
       place = (place + 1) % MBR_INDEX_SIZE)
    if (mbr->entries[mbr->index[place] - 1].name_hash == name_hash)
      return &mbr->entries[mbr->index[place] - 1];
  return NULL;
}

struct mbr_entry *
mbr_find (const struct mbr *mbr, const char *name)
{
  struct mbr_entry *entry
      = mbr_find_hash (mbr, XXH3_64bits (name, strlen (name)));

  return entry != NULL && strcmp (entry->member.name, name) == 0 ? entry
                                                                 : NULL;
}

const struct mbr_member *
mbr_self (const struct mbr *mbr)
{
  return &mbr->entries[0].member;
}

uint64_t
mbr_digest (const struct mbr *mbr)
{
  return mbr->digest;
}

size_t
mbr_count (const struct mbr *mbr)
{
  return mbr->count;
}

struct mbr_entry *
mbr_at (const struct mbr *mbr, size_t index)
{
  return &mbr->entries[index];
}

uint64_t
mbr_generation (const struct mbr *mbr)
{
  return mbr->generation;
}

size_t
mbr_pending (const struct mbr *mbr)
{
  return mbr->pending;
}
