/* Registration of the upstream beside this node.  */

#include "reg/reg.h"

#include <string.h>

static bool
is_same_start (const struct reg *registration, const char *name, uint64_t born)
{
  const struct ptf_announcement *known = &registration->upstream;

  return registration->state != REG_NONE && strcmp (known->name, name) == 0
         && (known->born == born || known->born == 0 || born == 0);
}

/* Returns whether an announcement is of an earlier time than what is
   known.  */
static bool
is_late (const struct reg *registration,
         const struct ptf_announcement *announcement)
{
  const struct ptf_announcement *known = &registration->upstream;

  if (registration->state == REG_NONE)
    return false;
  if (is_same_start (registration, announcement->name, announcement->born))
    return registration->left || announcement->sequence < known->sequence;
  /* Starts are ordered by their time; without it the sequence, which begins
     anew with each start, tells a new start from a late call.  */
  if (announcement->born != 0 && known->born != 0)
    return announcement->born < known->born;
  return false;
}

enum reg_verdict
reg_announce (struct reg *registration,
              const struct ptf_announcement *announcement, clk_time now)
{
  enum reg_state before = registration->state;
  bool same
      = is_same_start (registration, announcement->name, announcement->born);
  uint32_t slots = registration->upstream.slots;

  if (is_late (registration, announcement))
    return REG_LATE;
  /* A start that has said that it leaves does not come back.  */
  if (same && before == REG_LEAVING && !announcement->leaving)
    return REG_LATE;
  registration->upstream = *announcement;
  registration->heard = now;
  registration->left = false;
  registration->cold_until = now + announcement->cold_time;
  registration->state = announcement->leaving ? REG_LEAVING : REG_READY;
  if (same && before == registration->state && slots == announcement->slots)
    return REG_RENEWED;
  return REG_CHANGED;
}

enum reg_verdict
reg_leave (struct reg *registration, const char *name, uint64_t born,
           clk_time now)
{
  bool changed = registration->state != REG_LEAVING;

  if (!is_same_start (registration, name, born))
    return REG_LATE;
  registration->state = REG_LEAVING;
  registration->left = true;
  registration->heard = now;
  return changed ? REG_CHANGED : REG_RENEWED;
}

bool
reg_adopt (struct reg *registration, const struct mbr_member *record,
           struct net_address address, clk_time now)
{
  struct ptf_announcement *upstream = &registration->upstream;

  if (registration->state != REG_NONE || record->upstream[0] == '\0')
    return false;
  memset (upstream, 0, sizeof *upstream);
  memcpy (upstream->name, record->upstream, sizeof upstream->name);
  memcpy (upstream->service, record->service, sizeof upstream->service);
  memcpy (upstream->data_centre, record->data_centre,
          sizeof upstream->data_centre);
  upstream->address = address;
  upstream->slots = record->slots;
  upstream->born = record->upstream_born;
  upstream->leaving = record->upstream_leaving;
  registration->heard = now;
  registration->state = record->upstream_leaving ? REG_LEAVING : REG_READY;
  return true;
}

bool
reg_set_silent (struct reg *registration)
{
  if (registration->state != REG_READY)
    return false;
  registration->state = REG_SILENT;
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
  record->upstream_born = registration->upstream.born;
  record->upstream_leaving = registration->state == REG_LEAVING;
  return !mbr_member_equal (&before, record);
}

const char *
reg_state_name (enum reg_state state)
{
  static const char *const names[] = { "none", "ready", "leaving", "silent" };

  return names[state];
}
