/* Staging: a version is in effect only after most members of the data centre
   hold it.  A document that is invalid is refused when it should take effect,
   so an invalid version that was staged stays held until the next one.  */

#include "dst/dst_tree.h"

#include <string.h>

void
dst_stage (struct dst *dst, clk_time now, struct dst_actions *actions)
{
  struct dst_origin origin = dst->pending.origin;

  dst_take_pending (dst);
  buf_close (&dst->pending.text);
  buf_close (&dst->pending.delta);
  memset (&dst->pending, 0, sizeof dst->pending);
  if (dst->behind.stamp.version <= dst->held.version)
    memset (&dst->behind, 0, sizeof dst->behind);
  dst_update_roles (dst, now);
  dst_spread (dst, &origin, now, actions);
  dst_report (dst, &origin, actions);
}

static bool
held_by_most (const struct dst *dst)
{
  const struct mbr_member *self = mbr_self (dst->mbr);
  size_t live = 0, holding = 0;

  for (size_t i = 0; i < mbr_count (dst->mbr); i++)
    {
      const struct mbr_entry *entry = mbr_at (dst->mbr, i);

      if (entry->member.state > MBR_SUSPECT
          || strcmp (entry->member.data_centre, self->data_centre) != 0)
        continue;
      live++;
      holding += i == 0 || entry->held >= dst->held.version;
    }
  return holding > live / 2;
}

void
dst_stage_check (struct dst *dst, uint64_t peer_effective, const char *root,
                 struct dst_actions *actions)
{
  const struct ver_document *document;
  struct dst_action *action;

  if (!dst->settings.options.staging
      || dst->held.version <= dst->effective.version
      || ver_equal (dst->held, dst->rejected))
    return;
  if (peer_effective < dst->held.version)
    {
      if (!dst->roles.relay || !held_by_most (dst))
        return;
      root = mbr_self (dst->mbr)->name;
    }
  document = ver_recent_find (&dst->recent, dst->held);
  if (document == NULL)
    return;
  dst->pending.stamp = dst->held;
  action = dst_actions_add (actions, DST_PUBLISH);
  action->stamp = dst->held;
  buf_append (&action->data, buf_text (&document->text),
              document->text.length);
  if (root[0] == '\0')
    return;
  /* The children learn it from the envelope.  */
  dst->effective = dst->held;
  dst_forward_commit (dst, root, actions);
}
