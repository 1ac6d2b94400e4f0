/* Probes, suspicion and the timers of member records.  */

#include "base/mem.h"
#include "mbr/mbr_state.h"

#include <stdlib.h>
#include <string.h>

/* A node whose tick comes later than this was frozen: its timers say nothing
   about the others.  */
#define LATE (2 * CLK_SECOND)

static void
copy_name (char to[MBR_NAME_SIZE], const char *from)
{
  size_t length = strnlen (from, MBR_NAME_SIZE - 1);

  memcpy (to, from, length);
  to[length] = '\0';
}

static struct mbr_message *
add_message (struct mbr_outbox *outbox, enum mbr_message_kind kind,
             struct net_address to, const char *to_name, uint32_t nonce)
{
  struct mbr_message *message;

  if (outbox->count == MBR_MAX_MESSAGES)
    return NULL;
  message = &outbox->messages[outbox->count++];
  memset (message, 0, sizeof *message);
  message->kind = kind;
  message->to = to;
  message->nonce = nonce;
  copy_name (message->to_name, to_name);
  return message;
}

static void
set_subject (struct mbr_message *message, const char *name)
{
  if (message != NULL)
    copy_name (message->name, name);
}

static bool
is_probed (const struct mbr *mbr, const struct mbr_entry *entry)
{
  return entry != mbr->entries && entry->member.state != MBR_DEAD
         && strcmp (entry->member.data_centre,
                    mbr->entries[0].member.data_centre)
                == 0;
}

void
mbr_schedule_probe (struct mbr *mbr, const struct mbr_entry *entry)
{
  size_t place;

  if (!is_probed (mbr, entry))
    return;
  for (size_t i = 0; i < mbr->order_count; i++)
    if (mbr->order[i] == entry->name_hash)
      return;
  if (mbr->order_count == mbr->order_capacity)
    {
      mbr->order_capacity
          = mbr->order_capacity == 0 ? 16 : mbr->order_capacity * 2;
      mbr->order
          = mem_resize (mbr->order, mbr->order_capacity, sizeof *mbr->order);
    }
  place = rnd_below (&mbr->random, (uint32_t)mbr->order_count + 1);
  mbr->order[mbr->order_count] = mbr->order[place];
  mbr->order[place] = entry->name_hash;
  mbr->order_count++;
}

static uint32_t
make_nonce (struct mbr *mbr)
{
  if (++mbr->next_nonce == 0)
    mbr->next_nonce = 1;
  return mbr->next_nonce;
}

/* Takes the next member of the round; starts a new round when it is over.  */
static struct mbr_entry *
next_target (struct mbr *mbr)
{
  for (int round = 0; round < 2; round++)
    {
      while (mbr->order_count > 0)
        {
          struct mbr_entry *entry
              = mbr_find_hash (mbr, mbr->order[--mbr->order_count]);

          if (entry != NULL && is_probed (mbr, entry))
            return entry;
        }
      for (size_t i = 1; i < mbr->count; i++)
        mbr_schedule_probe (mbr, &mbr->entries[i]);
    }
  return NULL;
}

static void
start_probe (struct mbr *mbr, clk_time now, struct mbr_outbox *outbox)
{
  struct mbr_entry *entry = next_target (mbr);

  mbr->next_probe += MBR_PROBE_INTERVAL;
  if (mbr->next_probe <= now)
    mbr->next_probe = now + MBR_PROBE_INTERVAL;
  if (entry == NULL)
    return;
  mbr->nonce = make_nonce (mbr);
  mbr->target = entry->name_hash;
  mbr->indirect_sent = false;
  mbr->direct_ends = now + MBR_DIRECT_TIMEOUT;
  mbr->probe_ends = now + MBR_PROBE_TIMEOUT;
  add_message (outbox, MBR_PROBE, entry->member.address, entry->member.name,
               mbr->nonce);
}

static void
probe_indirectly (struct mbr *mbr, struct mbr_outbox *outbox)
{
  const struct mbr_entry *target = mbr_find_hash (mbr, mbr->target);
  size_t chosen[MBR_INDIRECT_PROBES];
  size_t count = 0;

  mbr->direct_ends = CLK_NEVER;
  if (target == NULL)
    return;
  for (int attempt = 0; attempt < 64 && count < MBR_INDIRECT_PROBES; attempt++)
    {
      size_t i = rnd_below (&mbr->random, (uint32_t)mbr->count);
      const struct mbr_entry *helper = &mbr->entries[i];
      bool taken = !is_probed (mbr, helper) || helper == target
                   || helper->member.state == MBR_SUSPECT;

      for (size_t j = 0; j < count; j++)
        taken = taken || chosen[j] == i;
      if (taken)
        continue;
      chosen[count++] = i;
      set_subject (add_message (outbox, MBR_PROBE_REQUEST,
                                helper->member.address, helper->member.name,
                                mbr->nonce),
                   target->member.name);
    }
}

/* The probe had no acknowledgement.  Returns whether a record changed.  */
static bool
fail_probe (struct mbr *mbr, clk_time now)
{
  struct mbr_entry *entry = mbr_find_hash (mbr, mbr->target);

  mbr->nonce = 0;
  mbr->probe_ends = CLK_NEVER;
  mbr->direct_ends = CLK_NEVER;
  if (entry == NULL || entry->suspicion_ends != CLK_NEVER)
    return false;
  if (entry->member.state == MBR_ALIVE)
    {
      mbr_set_state (mbr, entry, MBR_SUSPECT, now);
      return true;
    }
  if (entry->member.state == MBR_LEAVING)
    {
      entry->suspicion_ends = now + MBR_SUSPICION;
      if (entry->suspicion_ends < mbr->next_timer)
        mbr->next_timer = entry->suspicion_ends;
    }
  return false;
}

/* Returns whether a record changed.  */
static bool
run_timers (struct mbr *mbr, clk_time now)
{
  bool changed = false;

  mbr->next_timer = CLK_NEVER;
  for (size_t i = mbr->count; i-- > 1;)
    {
      struct mbr_entry *entry = &mbr->entries[i];

      if (entry->suspicion_ends <= now)
        {
          mbr_set_state (mbr, entry, MBR_DEAD, now);
          changed = true;
        }
      if (entry->dropped_at <= now)
        {
          mbr_remove (mbr, entry);
          continue;
        }
      if (entry->suspicion_ends < mbr->next_timer)
        mbr->next_timer = entry->suspicion_ends;
      if (entry->dropped_at < mbr->next_timer)
        mbr->next_timer = entry->dropped_at;
    }
  return changed;
}

/* After a freeze: gives every suspect the whole time to refute.  */
static void
restart_timers (struct mbr *mbr, clk_time now)
{
  mbr->nonce = 0;
  mbr->probe_ends = CLK_NEVER;
  mbr->direct_ends = CLK_NEVER;
  for (size_t i = 1; i < mbr->count; i++)
    if (mbr->entries[i].suspicion_ends != CLK_NEVER)
      mbr->entries[i].suspicion_ends = now + MBR_SUSPICION;
}

bool
mbr_tick (struct mbr *mbr, clk_time now, struct mbr_outbox *outbox)
{
  bool changed = false;

  if (now - mbr->next_probe > LATE)
    restart_timers (mbr, now);
  if (now >= mbr->probe_ends)
    changed = fail_probe (mbr, now);
  if (now >= mbr->direct_ends)
    probe_indirectly (mbr, outbox);
  if (now >= mbr->next_timer)
    changed = run_timers (mbr, now) || changed;
  if (now >= mbr->next_probe)
    start_probe (mbr, now, outbox);
  return changed;
}

clk_time
mbr_next_wake (const struct mbr *mbr)
{
  clk_time wake = mbr->next_probe;

  if (mbr->probe_ends < wake)
    wake = mbr->probe_ends;
  if (mbr->direct_ends < wake)
    wake = mbr->direct_ends;
  return mbr->next_timer < wake ? mbr->next_timer : wake;
}

void
mbr_on_probe (struct net_address from, const char *name, uint32_t nonce,
              struct mbr_outbox *outbox)
{
  add_message (outbox, MBR_ACK, from, name, nonce);
}

void
mbr_on_probe_request (struct mbr *mbr, struct net_address from,
                      const char *name, uint32_t nonce, const char *target,
                      clk_time now, struct mbr_outbox *outbox)
{
  const struct mbr_entry *entry = mbr_find (mbr, target);

  if (entry == NULL || entry == mbr->entries)
    return;
  for (size_t i = 0; i < MBR_MAX_RELAYED; i++)
    {
      struct mbr_relayed *relayed = &mbr->relayed[i];

      if (relayed->nonce != 0 && relayed->deadline > now)
        continue;
      relayed->nonce = make_nonce (mbr);
      relayed->origin_nonce = nonce;
      relayed->origin = from;
      memset (relayed->origin_name, 0, MBR_NAME_SIZE);
      copy_name (relayed->origin_name, name);
      relayed->deadline = now + MBR_PROBE_TIMEOUT;
      add_message (outbox, MBR_PROBE, entry->member.address,
                   entry->member.name, relayed->nonce);
      return;
    }
}

void
mbr_on_ack (struct mbr *mbr, uint32_t nonce, const char *subject, clk_time now,
            struct mbr_outbox *outbox)
{
  const struct mbr_entry *target = mbr_find_hash (mbr, mbr->target);

  if (nonce == 0)
    return;
  if (nonce == mbr->nonce && target != NULL
      && strcmp (target->member.name, subject) == 0)
    {
      mbr->nonce = 0;
      mbr->probe_ends = CLK_NEVER;
      mbr->direct_ends = CLK_NEVER;
      return;
    }
  for (size_t i = 0; i < MBR_MAX_RELAYED; i++)
    {
      struct mbr_relayed *relayed = &mbr->relayed[i];

      if (relayed->nonce != nonce || relayed->deadline <= now)
        continue;
      set_subject (add_message (outbox, MBR_ACK, relayed->origin,
                                relayed->origin_name, relayed->origin_nonce),
                   subject);
      relayed->nonce = 0;
      return;
    }
}
