/* Roles by rendezvous hashing over the live members.  */

#include "dst/dst_state.h"

#include <string.h>
#include <xxhash.h>

static uint64_t
score (uint64_t name_hash, const char *scope)
{
  return XXH3_64bits_withSeed (scope, strlen (scope), name_hash);
}

static struct dst_relays *
find_relays (struct dst *dst, const struct mbr_member *member)
{
  for (size_t i = 0; i < dst->data_centre_count; i++)
    if (strcmp (dst->relays[i].data_centre, member->data_centre) == 0)
      return &dst->relays[i];
  if (dst->data_centre_count == DST_MAX_DATA_CENTRES)
    return NULL;
  struct dst_relays *relays = &dst->relays[dst->data_centre_count++];

  memset (relays, 0, sizeof *relays);
  memcpy (relays->data_centre, member->data_centre, MBR_NAME_SIZE);
  memcpy (relays->region, member->region, MBR_NAME_SIZE);
  return relays;
}

static void
insert (struct dst_relays *relays, const struct mbr_member *member,
        uint64_t value)
{
  size_t place = relays->count;

  while (place > 0 && relays->scores[place - 1] < value)
    place--;
  if (place == DST_RELAY_CANDIDATES)
    return;
  if (relays->count < DST_RELAY_CANDIDATES)
    relays->count++;
  for (size_t i = relays->count - 1; i > place; i--)
    {
      relays->members[i] = relays->members[i - 1];
      relays->scores[i] = relays->scores[i - 1];
    }
  relays->members[place] = member;
  relays->scores[place] = value;
}

/* Returns the data centres of REGION that have a relay, best first, in ORDER.
 */
static size_t
order_region (const struct dst *dst, const char *region,
              const struct dst_relays *order[DST_MAX_DATA_CENTRES])
{
  uint64_t values[DST_MAX_DATA_CENTRES];
  size_t count = 0;

  for (size_t i = 0; i < dst->data_centre_count; i++)
    {
      const struct dst_relays *relays = &dst->relays[i];
      size_t place = count;
      uint64_t value;

      if (relays->count == 0 || strcmp (relays->region, region) != 0)
        continue;
      value = score (relays->scores[0], region);
      for (; place > 0 && values[place - 1] < value; place--)
        {
          values[place] = values[place - 1];
          order[place] = order[place - 1];
        }
      values[place] = value;
      order[place] = relays;
      count++;
    }
  return count;
}

size_t
dst_region_members (const struct dst *dst, const char *region,
                    const struct mbr_member *out[DST_RELAY_CANDIDATES])
{
  const struct dst_relays *order[DST_MAX_DATA_CENTRES];
  size_t ordered = order_region (dst, region, order);
  size_t count = 0;

  if (ordered == 0)
    return 0;
  out[count++] = order[0]->members[0];
  if (ordered > 1)
    out[count++] = order[1]->members[0];
  if (order[0]->count > 1)
    out[count++] = order[0]->members[1];
  return count;
}

static void
set_roles (struct dst *dst, clk_time now)
{
  const struct mbr_member *self = mbr_self (dst->mbr);
  const struct dst_relays *relays = dst_relays_of (dst, self->data_centre);
  const struct mbr_member *region[DST_RELAY_CANDIDATES];
  size_t count = dst_region_members (dst, self->region, region);
  struct dst_roles before = dst->roles;

  memset (&dst->roles, 0, sizeof dst->roles);
  if (dst->roles_from != CLK_NEVER)
    return;
  if (relays != NULL)
    {
      dst->roles.relay = relays->count > 0 && relays->members[0] == self;
      dst->roles.standby = relays->count > 1 && relays->members[1] == self;
    }
  dst->roles.region_relay = count > 0 && region[0] == self;
  dst->roles.region_standby = count > 1 && region[1] == self;
  if (dst->roles.relay && !before.relay)
    {
      dst->heard_platform_region = now;
      dst->next_near_probe = now;
      dst->next_discovery = now;
      dst->directory_write_due = now + 2 * CLK_SECOND;
      /* The new relay does not know what the members hold.  */
      if (dst->held.version != 0)
        dst_start_repeats (dst, now);
    }
  if (dst->roles.region_relay && !before.region_relay)
    {
      dst->heard_platform_region = now;
      dst->next_far_probe = now;
    }
}

void
dst_update_roles (struct dst *dst, clk_time now)
{
  if (dst->roles_generation == mbr_generation (dst->mbr) + 1)
    return;
  dst->roles_generation = mbr_generation (dst->mbr) + 1;
  dst->data_centre_count = 0;
  for (size_t i = 0; i < mbr_count (dst->mbr); i++)
    {
      const struct mbr_entry *entry = mbr_at (dst->mbr, i);
      struct dst_relays *relays;

      /* A suspect loses its role at once, which is harmless because relays
         can only offer versions; waiting for its death would cost 3 s.  */
      if (entry->member.state != MBR_ALIVE || (i == 0 && !dst->joined))
        continue;
      relays = find_relays (dst, &entry->member);
      if (relays != NULL)
        insert (relays, &entry->member,
                score (entry->name_hash, entry->member.data_centre));
    }
  set_roles (dst, now);
}

const struct dst_relays *
dst_relays_of (const struct dst *dst, const char *data_centre)
{
  for (size_t i = 0; i < dst->data_centre_count; i++)
    if (strcmp (dst->relays[i].data_centre, data_centre) == 0)
      return &dst->relays[i];
  return NULL;
}
