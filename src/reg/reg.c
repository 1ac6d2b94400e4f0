/* Registration of the upstream beside this node.  */

#include "reg/reg.h"

#include <string.h>

static bool
is_same_start (const struct reg *registration, const char *name, uint64_t born)
{
  const struct ptf_heartbeat *known = &registration->upstream;

  return registration->state != REG_NONE && strcmp (known->name, name) == 0
         && (known->start_ms == born || known->start_ms == 0 || born == 0);
}

/* Returns whether an announcement is of an earlier time than what is
   known.  */
static bool
is_late (const struct reg *registration,
         const struct ptf_heartbeat *announcement)
{
  const struct ptf_heartbeat *known = &registration->upstream;

  if (registration->state == REG_NONE)
    return false;
  if (is_same_start (registration, announcement->name, announcement->start_ms))
    return registration->deregistered
           || announcement->sequence < known->sequence;
  /* Starts are ordered by their time; without it the sequence, which begins
     anew with each start, tells a new start from a late call.  */
  if (announcement->start_ms != 0 && known->start_ms != 0)
    return announcement->start_ms < known->start_ms;
  return false;
}

enum reg_result
reg_handle_heartbeat (struct reg *registration,
                      const struct ptf_heartbeat *announcement, clk_time now)
{
  enum reg_state before = registration->state;
  struct ptf_heartbeat known = registration->upstream;
  bool same = is_same_start (registration, announcement->name,
                             announcement->start_ms);

  if (is_late (registration, announcement))
    return REG_STALE;
  /* A start that has said that it leaves does not come back.  */
  if (same && before == REG_LEAVING && !announcement->leaving)
    return REG_STALE;
  registration->upstream = *announcement;
  registration->updated_at = now;
  registration->deregistered = false;
  registration->warmup_until = now + announcement->warmup_left;
  registration->state = announcement->leaving ? REG_LEAVING : REG_READY;
  if (same && before == registration->state
      && known.slots == announcement->slots
      && strcmp (known.service, announcement->service) == 0)
    return REG_RENEWED;
  return REG_CHANGED;
}

enum reg_result
reg_deregister (struct reg *registration, const char *name, uint64_t born,
                clk_time now)
{
  bool changed = registration->state != REG_LEAVING;

  if (!is_same_start (registration, name, born))
    return REG_STALE;
  registration->state = REG_LEAVING;
  registration->deregistered = true;
  registration->updated_at = now;
  return changed ? REG_CHANGED : REG_RENEWED;
}

bool
reg_restore (struct reg *registration, const struct mbr_member *record,
             struct net_address address, clk_time now)
{
  struct ptf_heartbeat *upstream = &registration->upstream;

  if (registration->state != REG_NONE || record->upstream[0] == '\0')
    return false;
  memset (upstream, 0, sizeof *upstream);
  memcpy (upstream->name, record->upstream, sizeof upstream->name);
  memcpy (upstream->service, record->service, sizeof upstream->service);
  memcpy (upstream->data_centre, record->data_centre,
          sizeof upstream->data_centre);
  upstream->address = address;
  upstream->slots = record->slots;
  upstream->start_ms = record->upstream_born;
  upstream->leaving = record->upstream_leaving;
  registration->updated_at = now;
  registration->state = record->upstream_leaving ? REG_LEAVING : REG_READY;
  return true;
}

bool
reg_mark_unreachable (struct reg *registration)
{
  if (registration->state != REG_READY)
    return false;
  registration->state = REG_UNREACHABLE;
  return true;
}

bool
reg_fill_record (const struct reg *registration, struct mbr_member *record)
{
  struct mbr_member before = *record;

  if (registration->state == REG_NONE)
    return false;
  memcpy (record->upstream, registration->upstream.name,
          sizeof record->upstream);
  memcpy (record->service, registration->upstream.service,
          sizeof record->service);
  record->slots = registration->upstream.slots;
  record->upstream_born = registration->upstream.start_ms;
  record->upstream_leaving = registration->state == REG_LEAVING;
  return !mbr_member_equal (&before, record);
}

const char *
reg_state_name (enum reg_state state)
{
  static const char *const names[] = { "none", "ready", "leaving", "silent" };

  return names[state];
}
