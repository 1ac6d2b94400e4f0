/* Use of the platform: the watch, reads, status and directory.  */

#include "dst/dst_state.h"

#include <stdio.h>
#include <string.h>

#define STATUS_INTERVAL CLK_SECOND
#define STATUS_REFRESH (60 * CLK_SECOND)
#define DIRECTORY_INTERVAL (60 * CLK_SECOND)
#define READ_BACKOFF (10 * CLK_SECOND)
#define LONGEST_READ_BACKOFF (60 * CLK_SECOND)

static bool
wants_watch (const struct dst *dst, clk_time now)
{
  const struct mbr_member *self = mbr_self (dst->mbr);

  if (!dst->joined)
    return false;
  if (strcmp (self->region, dst->settings.platform_region) == 0)
    return dst->roles.relay
           || (dst->roles.standby && !dst->settings.options.no_standby);
  return dst->roles.relay && !dst->settings.options.no_far_watch
         && now - dst->heard_platform_region >= DST_SILENCE;
}

static void
build_status (const struct dst *dst, struct dst_status *status)
{
  const struct mbr_member *self = mbr_self (dst->mbr);

  memset (status, 0, sizeof *status);
  memcpy (status->data_centre, self->data_centre, MBR_NAME_SIZE);
  memcpy (status->relay, self->name, MBR_NAME_SIZE);
  status->highest = dst->held.version;
  status->lowest = dst->held.version;
  status->forks = dst->counters.forks;
  status->rejected = dst->rejected.version;
  memcpy (status->reason, dst->reason, sizeof status->reason);
  for (size_t i = 0; i < mbr_count (dst->mbr); i++)
    {
      const struct mbr_entry *entry = mbr_at (dst->mbr, i);
      uint64_t held = i == 0 ? dst->held.version : entry->held;

      if (strcmp (entry->member.data_centre, self->data_centre) != 0)
        continue;
      if (entry->member.state == MBR_ALIVE)
        {
          status->members++;
          status->at_highest += held >= dst->held.version;
          if (held != 0 && held < status->lowest)
            status->lowest = held;
        }
      else if (entry->member.state != MBR_LEAVING)
        {
          if (status->unreachable_count < DST_MAX_UNREACHABLE)
            memcpy (status->unreachable[status->unreachable_count],
                    entry->member.name, MBR_NAME_SIZE);
          status->unreachable_count++;
        }
    }
}

static bool
status_equal (const struct dst_status *left, const struct dst_status *right)
{
  bool equal
      = strcmp (left->relay, right->relay) == 0
        && left->members == right->members && left->highest == right->highest
        && left->lowest == right->lowest
        && left->at_highest == right->at_highest && left->forks == right->forks
        && left->rejected == right->rejected
        && strcmp (left->reason, right->reason) == 0
        && left->unreachable_count == right->unreachable_count;

  for (size_t i = 0; i < DST_MAX_UNREACHABLE; i++)
    equal = equal && strcmp (left->unreachable[i], right->unreachable[i]) == 0;
  return equal;
}

static bool
directory_equal (const struct dst_directory *left,
                 const struct dst_directory *right)
{
  bool equal = left->count == right->count;

  for (size_t i = 0; equal && i < left->count; i++)
    equal = net_equal (left->addresses[i], right->addresses[i]);
  return equal;
}

static void
write_status (struct dst *dst, clk_time now, struct dst_actions *actions)
{
  struct dst_status status;

  dst->status_due = now + STATUS_INTERVAL;
  build_status (dst, &status);
  if (status_equal (&status, &dst->status) && now < dst->status_refresh)
    return;
  dst->status = status;
  dst->status_refresh = now + STATUS_REFRESH;
  dst_actions_add (actions, DST_WRITE_STATUS)->status = status;
}

static void
write_directory (struct dst *dst, clk_time now, struct dst_actions *actions)
{
  const char *data_centre = mbr_self (dst->mbr)->data_centre;
  struct dst_directory directory;

  memset (&directory, 0, sizeof directory);
  for (size_t i = 0; i < mbr_count (dst->mbr); i++)
    {
      const struct mbr_member *member = &mbr_at (dst->mbr, i)->member;

      if (member->state == MBR_ALIVE && directory.count < DST_MAX_DIRECTORY
          && strcmp (member->data_centre, data_centre) == 0)
        directory.addresses[directory.count++] = member->address;
    }
  dst->directory_write_due = now + DIRECTORY_INTERVAL;
  /* Other data centres may not have been listed before.  */
  if (dst->data_centre_count <= 1)
    dst_actions_add (actions, DST_READ_DIRECTORY);
  if (directory_equal (&directory, &dst->written_directory))
    return;
  dst->written_directory = directory;
  dst_actions_add (actions, DST_WRITE_DIRECTORY)->directory = directory;
}

void
dst_platform_tick (struct dst *dst, clk_time now, struct dst_actions *actions)
{
  bool watch = wants_watch (dst, now);

  if (watch != dst->watching)
    {
      dst->watching = watch;
      dst_actions_add (actions, DST_WATCH)->on = watch;
    }
  if (now >= dst->read_due)
    {
      dst->read_due = CLK_NEVER;
      if (dst->held.version == 0 && !dst->watching)
        dst_actions_add (actions, DST_READ);
    }
  if (!dst->roles.relay)
    return;
  if (now >= dst->status_due)
    write_status (dst, now, actions);
  if (now >= dst->directory_write_due)
    write_directory (dst, now, actions);
}

clk_time
dst_platform_wake (const struct dst *dst)
{
  clk_time wake = dst->read_due;

  if (!dst->roles.relay)
    return wake;
  if (dst->status_due < wake)
    wake = dst->status_due;
  return dst->directory_write_due < wake ? dst->directory_write_due : wake;
}

void
dst_object_seen (struct dst *dst, uint64_t version, const char *text,
                 size_t length, clk_time now, struct dst_actions *actions)
{
  struct snp_stamp stamp = { version, snp_hash (text, length) };
  struct dst_origin origin = { 0 };
  struct snp_stamp none = { 0 };

  if (length > VER_MAX_LENGTH)
    dst->counters.invalid++;
  else
    dst_offer (dst, stamp, text, length, &origin, none, NULL, now, actions);
  dst_finish (dst, now, actions);
}

void
dst_platform_done (struct dst *dst, enum dst_request request, bool succeeded,
                   clk_time now, struct dst_actions *actions)
{
  clk_time delay = READ_BACKOFF;

  switch (request)
    {
    case DST_REQUEST_WATCH:
      break;
    case DST_REQUEST_READ:
      for (uint32_t i = 0;
           i < dst->read_failures && delay < LONGEST_READ_BACKOFF; i++)
        delay *= 2;
      dst->read_failures = succeeded ? 0 : dst->read_failures + 1;
      if (dst->held.version == 0)
        dst->read_due = dst_jitter (dst, now, delay);
      break;
    case DST_REQUEST_READ_DIRECTORY:
      dst->join.directory_read = true;
      break;
    case DST_REQUEST_WRITE_DIRECTORY:
      if (!succeeded)
        memset (&dst->written_directory, 0, sizeof dst->written_directory);
      break;
    case DST_REQUEST_WRITE_STATUS:
      if (!succeeded)
        {
          memset (&dst->status, 0, sizeof dst->status);
          dst->status_due = dst_jitter (dst, now, READ_BACKOFF);
        }
      break;
    }
  dst_finish (dst, now, actions);
}
