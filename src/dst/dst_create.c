/* Creation, the periodic tick, leaving, and the accessors.  */

#include "base/mem.h"
#include "dst/dst_state.h"

#include <stdlib.h>
#include <string.h>

struct dst *
dst_create (const struct dst_settings *settings, clk_time now)
{
  struct dst *dst = mem_alloc (1, sizeof *dst);

  dst->settings = *settings;
  rnd_init (&dst->random, settings->seed);
  dst->mbr = mbr_create (&settings->self, settings->seed + 1, now);
  dst->admission = 1;
  dst->admission_at = now;
  dst->standby_due = CLK_NEVER;
  dst->repeat_due = CLK_NEVER;
  for (size_t i = 0; i < 3; i++)
    dst->mismatch_since[i] = CLK_NEVER;
  dst->heard_platform_region = now;
  dst->read_due = CLK_NEVER;
  dst->roles_from = CLK_NEVER;
  dst->resync_due = CLK_NEVER;
  dst->directory_write_due = CLK_NEVER;
  dst->last_tick = now;
  dst_join_start (dst, now);
  return dst;
}

void
dst_destroy (struct dst *dst)
{
  if (dst == NULL)
    return;
  mbr_destroy (dst->mbr);
  ver_recent_close (&dst->recent);
  buf_close (&dst->delta);
  buf_close (&dst->pending.text);
  buf_close (&dst->pending.delta);
  free (dst);
}

clk_time
dst_jitter (struct dst *dst, clk_time now, clk_time delay)
{
  return now + delay / 2
         + (clk_time)(rnd_unit (&dst->random) * (double)delay / 2);
}

void
dst_finish (struct dst *dst, clk_time now, struct dst_actions *actions)
{
  dst_update_roles (dst, now);
  if (dst->reported_generation == mbr_generation (dst->mbr))
    return;
  dst->reported_generation = mbr_generation (dst->mbr);
  dst_actions_add (actions, DST_MEMBERS_CHANGED);
}

void
dst_tick (struct dst *dst, clk_time now, struct dst_actions *actions)
{
  struct mbr_outbox outbox = { 0 };

  if (now - dst->last_tick > DST_LONG_FREEZE)
    {
      mbr_forget (dst->mbr, now);
      dst_join_start (dst, now);
    }
  dst->last_tick = now;
  dst_join_tick (dst, now, actions);
  if (dst->joined)
    {
      mbr_tick (dst->mbr, now, &outbox);
      dst_update_roles (dst, now);
      dst_send_outbox (dst, &outbox, actions);
      dst_sync_tick (dst, now, actions);
      dst_spread_tick (dst, now, actions);
      dst_stage_check (dst, 0, "", actions);
    }
  dst_platform_tick (dst, now, actions);
  dst_fetch_tick (dst, now, actions);
  dst_finish (dst, now, actions);
}

clk_time
dst_next_wake (const struct dst *dst)
{
  clk_time times[]
      = { dst_join_wake (dst), dst_sync_wake (dst), dst_spread_wake (dst),
          dst_platform_wake (dst), dst_fetch_wake (dst) };
  clk_time wake = dst->joined ? mbr_next_wake (dst->mbr) : CLK_NEVER;

  for (size_t i = 0; i < sizeof times / sizeof *times; i++)
    if (times[i] < wake)
      wake = times[i];
  return wake;
}

void
dst_set_upstream (struct dst *dst, const char *service, const char *upstream,
                  uint32_t slots, clk_time now, struct dst_actions *actions)
{
  mbr_set_upstream (dst->mbr, service, upstream, slots);
  dst_finish (dst, now, actions);
}

void
dst_leave (struct dst *dst, clk_time now, struct dst_actions *actions)
{
  const struct mbr_member *self = mbr_self (dst->mbr);
  size_t sent = 0;

  mbr_leave (dst->mbr);
  dst_update_roles (dst, now);
  /* A node that stops soon has no time for ordinary probes.  */
  for (size_t i = 1; i < mbr_count (dst->mbr) && sent < DST_FAN_OUT; i++)
    {
      const struct mbr_member *member = &mbr_at (dst->mbr, i)->member;

      if (member->state != MBR_ALIVE
          || strcmp (member->data_centre, self->data_centre) != 0)
        continue;
      dst_send_probe (dst, member->address, member->name, actions);
      sent++;
    }
  dst_finish (dst, now, actions);
}

struct snp_stamp
dst_held (const struct dst *dst)
{
  return dst->effective;
}

bool
dst_is_joined (const struct dst *dst)
{
  return dst->joined;
}

bool
dst_is_ready (const struct dst *dst)
{
  return dst->joined && dst->effective.version != 0;
}

const struct mbr_member *
dst_self (const struct dst *dst)
{
  return mbr_self (dst->mbr);
}

size_t
dst_members (const struct dst *dst, struct mbr_member *members, size_t limit)
{
  size_t count = 0;

  for (size_t i = 0; i < mbr_count (dst->mbr) && count < limit; i++)
    if (mbr_at (dst->mbr, i)->member.state != MBR_DEAD)
      members[count++] = mbr_at (dst->mbr, i)->member;
  return count;
}

struct dst_roles
dst_roles_of (const struct dst *dst)
{
  return dst->roles;
}

const struct dst_counters *
dst_counters_of (const struct dst *dst)
{
  return &dst->counters;
}
