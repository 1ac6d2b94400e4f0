/* Decides whether an offered version replaces the held one, and reports what
   is held to the relays.  */

#include "dst/dst_state.h"

#include <stdio.h>
#include <string.h>

bool
dst_wants (struct dst *dst, struct snp_stamp stamp)
{
  if (stamp.version == 0 || ver_equal (stamp, dst->rejected)
      || ver_equal (stamp, dst->pending.stamp))
    return false;
  switch (ver_decide (dst->held, stamp))
    {
    case VER_ACCEPT:
      return true;
    case VER_FORK:
      if (!ver_equal (stamp, dst->last_fork))
        {
          dst->last_fork = stamp;
          dst->counters.forks++;
        }
      break;
    case VER_IGNORE:
      break;
    }
  return dst->settings.options.accept_older && !ver_equal (stamp, dst->held);
}

void
dst_set_behind (struct dst *dst, struct snp_stamp stamp,
                struct net_address address, const struct dst_origin *origin,
                clk_time due)
{
  struct dst_behind *behind = &dst->behind;

  if (!dst_wants (dst, stamp)
      || (stamp.version < behind->stamp.version
          && !dst->settings.options.accept_older))
    return;
  /* A failed fetch keeps its back-off, but may go to another node.  */
  if (stamp.version > behind->stamp.version)
    {
      behind->due = due;
      behind->failures = 0;
    }
  else if (behind->failures == 0 && due < behind->due)
    behind->due = due;
  /* Keeps the place in the tree that an announcement gave.  */
  if (stamp.version > behind->stamp.version || origin->root[0] != '\0'
      || origin->ack.port != 0 || behind->origin.root[0] == '\0')
    behind->origin = *origin;
  behind->stamp = stamp;
  behind->address = address;
}

void
dst_offer (struct dst *dst, struct snp_stamp stamp, const char *text,
           size_t length, const struct dst_origin *origin,
           struct snp_stamp base, const struct buf *delta, clk_time now,
           struct dst_actions *actions)
{
  struct dst_pending *pending = &dst->pending;
  struct dst_action *action;

  if (!dst_wants (dst, stamp))
    return;
  buf_close (&pending->text);
  buf_close (&pending->delta);
  pending->stamp = stamp;
  pending->base = base;
  pending->origin = *origin;
  buf_append (&pending->text, text, length);
  if (delta != NULL)
    buf_append (&pending->delta, delta->data, delta->length);
  if (dst->settings.options.staging)
    {
      dst_stage (dst, now, actions);
      return;
    }
  action = dst_actions_add (actions, DST_PUBLISH);
  action->stamp = stamp;
  buf_append (&action->data, text, length);
}

void
dst_report (struct dst *dst, const struct dst_origin *origin,
            struct dst_actions *actions)
{
  const struct mbr_member *self = mbr_self (dst->mbr);
  const struct dst_relays *relays = dst_relays_of (dst, self->data_centre);

  for (size_t i = 0; relays != NULL && i < relays->count && i < 2; i++)
    if (relays->members[i] != self
        && (origin->ack.port == 0
            || !net_equal (relays->members[i]->address, origin->ack)))
      dst_send_applied (dst, relays->members[i]->address,
                        relays->members[i]->name, actions);
  if (origin->ack.port != 0)
    dst_send_applied (dst, origin->ack, origin->name, actions);
}

void
dst_take_pending (struct dst *dst)
{
  struct dst_pending *pending = &dst->pending;

  ver_recent_add (&dst->recent, pending->stamp, buf_text (&pending->text),
                  pending->text.length);
  buf_close (&dst->delta);
  dst->delta_base = dst->held;
  if (pending->delta.length > 0)
    {
      dst->delta_base = pending->base;
      dst->delta = pending->delta;
      memset (&pending->delta, 0, sizeof pending->delta);
    }
  else if (!dst->settings.options.no_delta)
    {
      const struct ver_document *base
          = ver_recent_find (&dst->recent, dst->held);

      if (base != NULL)
        ver_encode (buf_text (&base->text), base->text.length,
                    buf_text (&pending->text), pending->text.length,
                    &dst->delta);
    }
  dst->held = pending->stamp;
}

void
dst_published (struct dst *dst, struct snp_stamp stamp, bool valid,
               const char *reason, clk_time now, struct dst_actions *actions)
{
  struct dst_pending *pending = &dst->pending;
  struct dst_origin origin = pending->origin;

  if (!ver_equal (stamp, pending->stamp) || stamp.version == 0)
    return;
  if (valid)
    {
      if (!dst->settings.options.staging)
        dst_take_pending (dst);
      dst->effective = stamp;
    }
  else
    {
      dst->rejected = stamp;
      dst->counters.rejections++;
      snprintf (dst->reason, sizeof dst->reason, "%s",
                reason != NULL ? reason : "");
    }
  if (dst->behind.stamp.version <= dst->held.version
      || ver_equal (dst->behind.stamp, dst->rejected))
    memset (&dst->behind, 0, sizeof dst->behind);
  buf_close (&pending->text);
  buf_close (&pending->delta);
  memset (pending, 0, sizeof *pending);
  dst_update_roles (dst, now);
  if (valid && !dst->settings.options.staging)
    dst_spread (dst, &origin, now, actions);
  if (!dst->settings.options.staging)
    dst_report (dst, &origin, actions);
  dst_finish (dst, now, actions);
}
