/* Decides which of two records of a node wins, and selects the records to
   piggyback.  */

#include "mbr/mbr_state.h"

#include <string.h>

/* Records learned later than this before a full reply may be missing in it
   because they were still under way.  */
#define ABSENT_AGE (120 * CLK_SECOND)

/* Sends of a record learned from a full reply.  */
#define SYNC_SENDS 3

static void
raise_own (struct mbr *mbr, const struct mbr_member *changed)
{
  mbr_store (mbr, &mbr->entries[0], changed, 0);
}

bool
mbr_set_upstream (struct mbr *mbr, const char *service, const char *upstream,
                  uint32_t slots)
{
  struct mbr_member changed = *mbr_self (mbr);

  if (strlen (service) >= MBR_NAME_SIZE || strlen (upstream) >= MBR_NAME_SIZE
      || (strcmp (service, changed.service) == 0
          && strcmp (upstream, changed.upstream) == 0
          && slots == changed.slots))
    return false;
  strcpy (changed.service, service);
  strcpy (changed.upstream, upstream);
  changed.slots = slots;
  changed.sequence++;
  raise_own (mbr, &changed);
  return true;
}

void
mbr_leave (struct mbr *mbr)
{
  struct mbr_member changed = *mbr_self (mbr);

  changed.state = MBR_LEAVING;
  changed.sequence++;
  raise_own (mbr, &changed);
}

/* Refutes what others say of this node.  */
static bool
merge_own (struct mbr *mbr, const struct mbr_member *record)
{
  struct mbr_member changed = *mbr_self (mbr);

  if (record->incarnation != changed.incarnation
      || record->sequence < changed.sequence || record->state == MBR_ALIVE
      || record->state == changed.state)
    return false;
  changed.sequence = record->sequence + 1;
  raise_own (mbr, &changed);
  return true;
}

static bool
merge (struct mbr *mbr, const struct mbr_member *record, clk_time now)
{
  struct mbr_entry *entry = mbr_find (mbr, record->name);
  const struct mbr_member *known;
  bool whole = record->data_centre[0] != '\0';

  if (entry == NULL)
    return whole && mbr_add (mbr, record, now) != NULL;
  if (entry == mbr->entries)
    return merge_own (mbr, record);
  known = &entry->member;
  if (record->incarnation == known->incarnation
      && record->sequence == known->sequence)
    {
      if (record->state <= known->state)
        return false;
      mbr_set_state (mbr, entry, record->state, now);
      return true;
    }
  if (!whole || record->incarnation < known->incarnation
      || (record->incarnation == known->incarnation
          && record->sequence < known->sequence))
    return false;
  mbr_store (mbr, entry, record, now);
  mbr_schedule_probe (mbr, entry);
  return true;
}

bool
mbr_merge (struct mbr *mbr, const struct mbr_member *record,
           enum mbr_source source, clk_time now)
{
  static const uint32_t limits[] = { UINT32_MAX, SYNC_SENDS, 0 };
  bool changed;

  mbr->send_limit = limits[source];
  changed = merge (mbr, record, now);
  mbr->send_limit = UINT32_MAX;
  return changed;
}

static bool
is_among (const char *name, const struct mbr_member *records, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (records[i].name, name) == 0)
      return true;
  return false;
}

bool
mbr_merge_absent (struct mbr *mbr, const char *data_centre,
                  const struct mbr_member *records, size_t count, clk_time now)
{
  uint16_t absent[MBR_MAX_MEMBERS];
  size_t absent_count = 0, held = 0;

  for (size_t i = 1; i < mbr->count; i++)
    {
      const struct mbr_entry *entry = &mbr->entries[i];

      if (strcmp (entry->member.data_centre, data_centre) != 0
          || entry->member.state == MBR_DEAD)
        continue;
      held++;
      if (now - entry->learned_at > ABSENT_AGE
          && !is_among (entry->member.name, records, count))
        absent[absent_count++] = (uint16_t)i;
    }
  if (absent_count == 0 || absent_count > held / 20 + 1)
    return false;
  for (size_t i = 0; i < absent_count; i++)
    mbr_set_state (mbr, &mbr->entries[absent[i]], MBR_DEAD, now);
  return true;
}

static void
fill_message (const struct mbr_entry *entry, bool whole, Mesh__Member *message)
{
  mbr_member_to_wire (&entry->member, message);
  if (whole)
    return;
  message->data_centre = "";
  message->region = "";
  message->service = "";
  message->upstream = "";
  message->ip = 0;
  message->port = 0;
  message->slots = 0;
}

/* Appends one record if it fits and is not there yet.  */
static bool
append (const struct mbr_entry *entry, bool whole, Mesh__Member *messages,
        size_t *count, size_t bytes, size_t *used)
{
  size_t length;

  for (size_t i = 0; i < *count; i++)
    if (messages[i].name == entry->member.name)
      return false;
  fill_message (entry, whole, &messages[*count]);
  length = mesh__member__get_packed_size (&messages[*count]) + 3;
  if (*used + length > bytes)
    return false;
  *used += length;
  (*count)++;
  return true;
}

size_t
mbr_take_updates (struct mbr *mbr, const char *to, Mesh__Member *messages,
                  size_t limit, size_t bytes, size_t *used)
{
  const struct mbr_entry *receiver = mbr_find (mbr, to);
  size_t count = 0;
  uint32_t bound = UINT32_MAX;

  *used = 0;
  if (limit > 0 && receiver != NULL && receiver != mbr->entries
      && (receiver->member.state == MBR_SUSPECT
          || receiver->member.state == MBR_DEAD))
    append (receiver, false, messages, &count, bytes, used);
  /* Freshest first: records with the most sends left.  */
  while (mbr->pending > 0 && count < limit && bound > 0)
    {
      uint32_t best = 0;

      for (size_t i = 0; i < mbr->count; i++)
        if (mbr->entries[i].sends_left < bound
            && mbr->entries[i].sends_left > best)
          best = mbr->entries[i].sends_left;
      for (size_t i = 0; i < mbr->count && best > 0 && count < limit; i++)
        {
          struct mbr_entry *entry = &mbr->entries[i];

          if (entry->sends_left != best || entry == receiver
              || !append (entry, entry->whole, messages, &count, bytes, used))
            continue;
          if (--entry->sends_left == 0)
            mbr->pending--;
        }
      bound = best;
    }
  return count;
}
