/* Registration of the upstream beside this node.  */

#include "reg/reg.h"

#include "mbr/mbr_start.h"

#include <stdio.h>
#include <string.h>

static struct mbr_start
known_start (const struct reg *registration)
{
  return (struct mbr_start){ registration->upstream.name,
                             registration->upstream.start_ms };
}

static bool
is_same_start (const struct reg *registration, const char *name, uint64_t born)
{
  return registration->state != REG_NONE
         && mbr_start_equal (known_start (registration),
                             (struct mbr_start){ name, born });
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
     anew with each start, distinguishes a new start from a late call.  */
  if (announcement->start_ms != 0 && known->start_ms != 0)
    return announcement->start_ms < known->start_ms;
  return false;
}

/* Takes an announcement that is late.  Leaving is final for a start, so one
   that says so counts whenever it comes.  */
static enum reg_result
handle_late (struct reg *registration,
             const struct ptf_heartbeat *announcement, clk_time now)
{
  if (!announcement->leaving || registration->state == REG_LEAVING
      || !is_same_start (registration, announcement->name,
                         announcement->start_ms))
    return REG_STALE;
  registration->state = REG_LEAVING;
  registration->unconfirmed = false;
  registration->updated_at = now;
  return REG_CHANGED;
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
    return handle_late (registration, announcement, now);
  /* A start that has said that it leaves does not come back.  */
  if (same && before == REG_LEAVING && !announcement->leaving)
    return REG_STALE;
  registration->upstream = *announcement;
  registration->updated_at = now;
  registration->deregistered = false;
  registration->unconfirmed = false;
  registration->warmup_until = now + announcement->warmup_left;
  registration->state = announcement->leaving ? REG_LEAVING : REG_READY;
  if (same && before == registration->state
      && known.slots == announcement->slots
      && strcmp (known.version, announcement->version) == 0
      && strcmp (known.service, announcement->service) == 0)
    return REG_RENEWED;
  return REG_CHANGED;
}

/* Returns whether the start of NAME at BORN (0: not stated) is later than the
   known one, if there is one.  */
static bool
is_later_start (const struct reg *registration, const char *name,
                uint64_t born)
{
  return registration->state == REG_NONE
         || mbr_start_is_later ((struct mbr_start){ name, born },
                                known_start (registration));
}

/* Replaces the known upstream by one of which only the name and the start are
   known.  */
static void
set_upstream (struct reg *registration, const char *name, uint64_t born)
{
  struct ptf_heartbeat *upstream = &registration->upstream;

  memset (upstream, 0, sizeof *upstream);
  snprintf (upstream->name, sizeof upstream->name, "%s", name);
  upstream->start_ms = born;
  registration->state = REG_UNCONFIRMED;
  registration->deregistered = false;
  registration->unconfirmed = false;
}

enum reg_result
reg_deregister (struct reg *registration, const char *name, uint64_t born,
                clk_time now)
{
  bool changed;

  if (!is_same_start (registration, name, born))
    {
      if (!is_later_start (registration, name, born))
        return REG_STALE;
      set_upstream (registration, name, born);
    }
  changed = registration->state != REG_LEAVING;
  registration->state = REG_LEAVING;
  registration->deregistered = true;
  registration->unconfirmed = false;
  registration->updated_at = now;
  return changed ? REG_CHANGED : REG_RENEWED;
}

/* Returns whether the known upstream has described itself, or an earlier
   process has.  */
static bool
is_described (const struct reg *registration)
{
  return registration->state != REG_NONE
         && registration->upstream.service[0] != '\0';
}

bool
reg_restore (struct reg *registration, const struct mbr_member *record,
             struct net_address address, clk_time now)
{
  struct ptf_heartbeat *upstream = &registration->upstream;
  bool departed
      = is_same_start (registration, record->upstream, record->upstream_born);
  bool later
      = is_later_start (registration, record->upstream, record->upstream_born);

  if (record->upstream[0] == '\0' || !(departed || later))
    return false;
  /* What the upstream itself said holds, unless another one followed it.  */
  if (is_described (registration)
      && !(later && registration->state == REG_LEAVING))
    return false;
  set_upstream (registration, record->upstream, record->upstream_born);
  memcpy (upstream->service, record->service, sizeof upstream->service);
  memcpy (upstream->version, record->version, sizeof upstream->version);
  memcpy (upstream->data_centre, record->data_centre,
          sizeof upstream->data_centre);
  upstream->address = address;
  upstream->slots = record->slots;
  upstream->leaving = departed || record->upstream_leaving;
  registration->updated_at = now;
  registration->deregistered = departed;
  registration->unconfirmed = !upstream->leaving;
  if (upstream->leaving)
    registration->state = REG_LEAVING;
  return true;
}

void
reg_require_confirmation (struct reg *registration)
{
  if (registration->state != REG_READY)
    return;
  registration->unconfirmed = true;
  registration->state = REG_UNCONFIRMED;
}

bool
reg_needs_confirmation (const struct reg *registration)
{
  return registration->unconfirmed;
}

void
reg_confirm (struct reg *registration, clk_time now)
{
  registration->unconfirmed = false;
  registration->state = REG_READY;
  registration->updated_at = now;
}

bool
reg_mark_unreachable (struct reg *registration)
{
  if (registration->state != REG_READY
      && registration->state != REG_UNCONFIRMED)
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
  memcpy (record->version, registration->upstream.version,
          sizeof record->version);
  record->slots = registration->upstream.slots;
  record->upstream_born = registration->upstream.start_ms;
  record->upstream_leaving = registration->state == REG_LEAVING;
  return !mbr_member_equal (&before, record);
}

const char *
reg_state_name (enum reg_state state)
{
  static const char *const names[]
      = { "none", "ready", "leaving", "silent", "unconfirmed" };

  return names[state];
}
