/* How a version travels: down the tree, to members that missed it, and to
   other data centres.  */

#include "dst/dst_tree.h"

#include <string.h>

/* When the relay repeats an announcement, after the first one.  */
static const clk_time repeat_delays[DST_REPEATS]
    = { 400 * CLK_MILLISECOND, 1200 * CLK_MILLISECOND,
        3000 * CLK_MILLISECOND };
/* Attempts at the short interval; then it doubles, since a partition can last
   for minutes and the link is billed by volume.  */
#define SHORT_TRIES 10
#define LONGEST_INTERVAL (5 * CLK_SECOND)

/* Decodes the delta into a document whose hash is right.  */
static bool
apply_delta (struct dst *dst, const struct dst_origin *origin,
             const Mesh__Announcement *message, clk_time now,
             struct dst_actions *actions)
{
  struct snp_stamp result = dst_from_wire (message->result);
  struct snp_stamp base = dst_from_wire (message->base_stamp);
  const struct ver_document *document = ver_recent_find (&dst->recent, base);
  struct buf delta = { .data = message->delta.data,
                       .length = message->delta.len,
                       .capacity = message->delta.len };
  struct buf text = { 0 };
  bool valid;

  if (message->delta.len == 0 || document == NULL)
    return false;
  valid = ver_decode (buf_text (&document->text), document->text.length,
                      message->delta.data, message->delta.len, &text)
              == VER_OK
          && (dst->settings.options.no_hash_check
              || snp_hash (buf_text (&text), text.length) == result.hash);
  if (valid)
    dst_offer (dst, result, buf_text (&text), text.length, origin, base,
               &delta, now, actions);
  else
    dst->counters.bad_deltas++;
  buf_close (&text);
  return valid;
}

void
dst_announcement_seen (struct dst *dst, struct net_address from,
                       const struct dst_origin *sender,
                       const Mesh__Announcement *message, clk_time now,
                       struct dst_actions *actions)
{
  struct snp_stamp result = dst_from_wire (message->result);
  struct dst_origin origin = *sender;

  if (strlen (message->root) >= MBR_NAME_SIZE)
    return;
  strcpy (origin.root, message->root);
  if (message->acknowledge)
    origin.ack = from;
  /* A remote announcement only reaches this node.  */
  if (origin.root[0] != '\0' && result.version > dst->announced)
    dst->announced = result.version;
  if (!dst_wants (dst, result))
    {
      if (ver_equal (result, dst->held) && origin.root[0] != '\0')
        dst_forward (dst, origin.root, actions);
      if (message->acknowledge)
        dst_send_applied (dst, from, origin.name, actions);
    }
  else if (!apply_delta (dst, &origin, message, now, actions))
    dst_set_behind (dst, result, from, &origin, now);
}

static void
add_remote (struct dst *dst, const char *target, bool far, bool plain,
            clk_time next)
{
  struct dst_remote *remote = NULL;

  for (size_t i = 0; i < dst->remote_count; i++)
    if (dst->remotes[i].far == far
        && strcmp (dst->remotes[i].target, target) == 0)
      remote = &dst->remotes[i];
  if (remote == NULL && dst->remote_count == DST_MAX_REMOTES)
    return;
  if (remote == NULL)
    remote = &dst->remotes[dst->remote_count++];
  else if (remote->version == dst->held.version)
    return;
  memset (remote, 0, sizeof *remote);
  strcpy (remote->target, target);
  remote->far = far;
  remote->plain = plain;
  remote->version = dst->held.version;
  remote->next = next;
}

/* Schedules the announcements to other regions and data centres.  */
static void
schedule_remotes (struct dst *dst, const struct dst_origin *origin,
                  clk_time now)
{
  const struct mbr_member *self = mbr_self (dst->mbr);
  bool plain = !dst->roles.region_relay;
  clk_time next = plain ? now + DST_REGION_STANDBY_DELAY : now;
  /* A version that came to the region standby from another region was not
     taken by the region relay.  */
  bool from_far = origin->region[0] != '\0'
                  && strcmp (origin->region, self->region) != 0;
  bool near_watch = strcmp (self->region, dst->settings.platform_region) == 0
                    && origin->region[0] == '\0';

  if (!dst->roles.region_relay
      && (!dst->roles.region_standby || dst->settings.options.no_standby))
    return;
  for (size_t i = 0; i < dst->data_centre_count; i++)
    {
      const struct dst_relays *relays = &dst->relays[i];

      if (strcmp (relays->region, self->region) != 0)
        {
          /* What the region standby has from its own region came through the
             region relay, which announces to the other regions itself.  */
          if (strcmp (relays->region, origin->region) != 0
              && (!plain || strcmp (origin->region, self->region) != 0))
            add_remote (dst, relays->region, true, plain, next);
        }
      else if (!near_watch
               && strcmp (relays->data_centre, self->data_centre) != 0
               && strcmp (relays->data_centre, origin->data_centre) != 0)
        add_remote (dst, relays->data_centre, false, plain && !from_far,
                    from_far ? now : next);
    }
}

void
dst_start_repeats (struct dst *dst, clk_time now)
{
  if (dst->settings.options.no_repair)
    return;
  dst->repeat_version = dst->held.version;
  dst->repeat_step = 0;
  dst->repeat_start = now;
  dst->repeat_due = now + repeat_delays[0];
}

static void
announce_as_root (struct dst *dst, clk_time now, struct dst_actions *actions)
{
  dst_forward (dst, mbr_self (dst->mbr)->name, actions);
  dst_start_repeats (dst, now);
}

void
dst_spread (struct dst *dst, const struct dst_origin *origin, clk_time now,
            struct dst_actions *actions)
{
  if (origin->root[0] != '\0')
    dst_forward (dst, origin->root, actions);
  if (dst->roles.relay)
    announce_as_root (dst, now, actions);
  else if (dst->roles.standby && origin->root[0] == '\0'
           && !dst->settings.options.no_standby)
    dst->standby_due = now + DST_STANDBY_DELAY;
  schedule_remotes (dst, origin, now);
}

/* Announces directly to the members not known to hold the version.  */
static void
repeat (struct dst *dst, clk_time now, struct dst_actions *actions)
{
  const struct mbr_member *self = mbr_self (dst->mbr);
  struct dst_announcement how = { "", true, true };

  for (size_t i = 1; i < mbr_count (dst->mbr); i++)
    {
      const struct mbr_entry *entry = mbr_at (dst->mbr, i);

      if (entry->member.state <= MBR_SUSPECT && entry->held < dst->held.version
          && strcmp (entry->member.data_centre, self->data_centre) == 0)
        dst_announce (dst, &entry->member, &how, actions);
    }
  dst->repeat_step++;
  dst->repeat_due = dst->repeat_step < DST_REPEATS
                        ? dst->repeat_start + repeat_delays[dst->repeat_step]
                        : CLK_NEVER;
  if (dst->repeat_due < now)
    dst->repeat_due = now;
}

static void
send_remote (struct dst *dst, struct dst_remote *remote, clk_time now,
             struct dst_actions *actions)
{
  const struct mbr_member *members[DST_RELAY_CANDIDATES];
  struct dst_announcement how = { "", !remote->plain, true };
  clk_time interval = DST_REMOTE_INTERVAL;
  size_t count = 0;

  if (remote->far)
    count = dst_region_members (dst, remote->target, members);
  else
    {
      const struct dst_relays *relays = dst_relays_of (dst, remote->target);

      for (; relays != NULL && count < relays->count; count++)
        members[count] = relays->members[count];
    }
  if (dst->settings.options.no_standby && count > 1)
    count = 1;
  for (uint32_t i = SHORT_TRIES; i < remote->tries; i++)
    if (interval < LONGEST_INTERVAL)
      interval *= 2;
  remote->next
      = now + (interval < LONGEST_INTERVAL ? interval : LONGEST_INTERVAL);
  if (remote->version != dst->held.version)
    remote->next = CLK_NEVER;
  else if (count > 0)
    dst_announce (dst, members[remote->tries++ % count], &how, actions);
  if (dst->settings.options.no_repair)
    remote->next = CLK_NEVER;
}

void
dst_acknowledge (struct dst *dst, const char *data_centre, const char *region,
                 uint64_t version)
{
  for (size_t i = 0; i < dst->remote_count; i++)
    {
      struct dst_remote *remote = &dst->remotes[i];

      if (version >= remote->version
          && strcmp (remote->target, remote->far ? region : data_centre) == 0)
        remote->next = CLK_NEVER;
    }
}

void
dst_spread_tick (struct dst *dst, clk_time now, struct dst_actions *actions)
{
  if (now >= dst->standby_due)
    {
      dst->standby_due = CLK_NEVER;
      if (dst->announced < dst->held.version)
        announce_as_root (dst, now, actions);
    }
  if (now >= dst->repeat_due)
    {
      if (dst->repeat_version == dst->held.version)
        repeat (dst, now, actions);
      else
        dst->repeat_due = CLK_NEVER;
    }
  for (size_t i = 0; i < dst->remote_count; i++)
    if (now >= dst->remotes[i].next)
      send_remote (dst, &dst->remotes[i], now, actions);
}

clk_time
dst_spread_wake (const struct dst *dst)
{
  clk_time wake = dst->standby_due < dst->repeat_due ? dst->standby_due
                                                     : dst->repeat_due;

  for (size_t i = 0; i < dst->remote_count; i++)
    if (dst->remotes[i].next < wake)
      wake = dst->remotes[i].next;
  return wake;
}
