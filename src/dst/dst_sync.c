/* Relay probes between data centres, digests and full synchronisation.  */

#include "base/mem.h"
#include "dst/dst_state.h"

#include <stdlib.h>
#include <string.h>

/* A change needs about 10 s to reach every node by piggybacking; a digest that
   differs for less is no reason to transfer all records.  */
#define MISMATCH_NEAR (10 * CLK_SECOND)
#define MISMATCH_FAR (30 * CLK_SECOND)
#define DISCOVERY_INTERVAL (10 * CLK_SECOND)
#define ISOLATED_INTERVAL (3 * CLK_SECOND)

/* Returns 0 for the own data centre, 1 for the region, 2 for others.  */
static size_t
scope_of (const struct dst *dst, const struct mbr_entry *sender)
{
  const struct mbr_member *self = mbr_self (dst->mbr);

  if (sender == NULL
      || strcmp (sender->member.data_centre, self->data_centre) == 0)
    return 0;
  return strcmp (sender->member.region, self->region) == 0 ? 1 : 2;
}

void
dst_sync_digest (struct dst *dst, struct net_address from,
                 const struct mbr_entry *sender, uint64_t digest, clk_time now,
                 struct dst_actions *actions)
{
  size_t scope = scope_of (dst, sender);
  clk_time *since = &dst->mismatch_since[scope];
  clk_time required = scope == 2 ? MISMATCH_FAR : MISMATCH_NEAR;

  if (digest == mbr_digest (dst->mbr))
    {
      *since = CLK_NEVER;
      dst->mismatches[scope] = 0;
      return;
    }
  dst->mismatches[scope]++;
  if (*since == CLK_NEVER)
    *since = now;
  if (now < dst->settled_at)
    required = CLK_SECOND;
  if (now < dst->next_sync
      || (sender != NULL
          && (dst->mismatches[scope] < 2 || now - *since < required)))
    return;
  dst->next_sync = now < dst->settled_at
                       ? dst_jitter (dst, now, 2 * DST_SETTLING_SYNC)
                       : now + DST_SYNC_INTERVAL;
  *since = CLK_NEVER;
  dst_start_fetch (dst, DST_FETCH_SYNC, from, true, now, actions);
}

void
dst_sync_reply (struct dst *dst, const Mesh__FetchReply *reply, clk_time now)
{
  struct mbr_member *records
      = mem_alloc (reply->n_members, sizeof (struct mbr_member));
  enum mbr_source source = dst->joined ? MBR_SYNC : MBR_JOIN;
  size_t count = 0;

  /* What comes from another data centre is new to the whole own one, whose
     nodes agree among themselves and so would not ask for it.  */
  if (dst->joined && reply->n_members > 0
      && strcmp (reply->members[0]->data_centre,
                 mbr_self (dst->mbr)->data_centre)
             != 0)
    source = MBR_GOSSIP;
  for (size_t i = 0; i < reply->n_members; i++)
    if (mbr_member_from_wire (reply->members[i], &records[count]))
      mbr_merge (dst->mbr, &records[count++], source, now);
    else
      dst->counters.invalid++;
  /* The first record is that of the node that replied.  */
  if (count > 1)
    mbr_merge_absent (dst->mbr, records[0].data_centre, records, count, now);
  if (!dst->joined)
    dst->join.got_members = true;
  free (records);
}

static bool
is_live_address (const struct dst *dst, struct net_address address)
{
  for (size_t i = 0; i < mbr_count (dst->mbr); i++)
    {
      const struct mbr_member *member = &mbr_at (dst->mbr, i)->member;

      if (member->state != MBR_DEAD && net_equal (member->address, address))
        return true;
    }
  return false;
}

static bool
is_isolated (const struct dst *dst)
{
  const struct dst_relays *relays
      = dst_relays_of (dst, mbr_self (dst->mbr)->data_centre);

  return relays == NULL || relays->count <= 1;
}

/* Contacts addresses that no live member has, so that groups of nodes that
   have lost contact with each other meet again.  */
static void
discover (struct dst *dst, clk_time now, struct dst_actions *actions)
{
  const struct dst_settings *settings = &dst->settings;
  bool isolated = is_isolated (dst);

  dst->next_discovery = dst_jitter (
      dst, now, isolated ? ISOLATED_INTERVAL : DISCOVERY_INTERVAL);
  if (isolated && settings->seed_count > 0)
    {
      struct net_address seed = settings->seeds[rnd_below (
          &dst->random, (uint32_t)settings->seed_count)];

      if (!net_equal (seed, settings->self.address))
        dst_start_fetch (dst, DST_FETCH_SYNC, seed, true, now, actions);
    }
  for (size_t i = 0; i < settings->seed_count; i++)
    if (!is_live_address (dst, settings->seeds[i]))
      dst_send_probe (dst, settings->seeds[i], "", actions);
  for (size_t i = 0; i < dst->directory_count; i++)
    if (!is_live_address (dst, dst->directory[i]))
      dst_send_probe (dst, dst->directory[i], "", actions);
}

static void
probe_near (struct dst *dst, struct dst_actions *actions)
{
  const struct mbr_member *self = mbr_self (dst->mbr);

  for (size_t i = 0; i < dst->data_centre_count; i++)
    {
      const struct dst_relays *relays = &dst->relays[i];

      if (relays->count > 0 && strcmp (relays->region, self->region) == 0
          && strcmp (relays->data_centre, self->data_centre) != 0)
        dst_send_probe (dst, relays->members[0]->address,
                        relays->members[0]->name, actions);
    }
}

static void
probe_far (struct dst *dst, struct dst_actions *actions)
{
  const struct mbr_member *self = mbr_self (dst->mbr);

  for (size_t i = 0; i < dst->data_centre_count; i++)
    {
      const char *region = dst->relays[i].region;
      const struct mbr_member *members[DST_RELAY_CANDIDATES];
      bool seen = strcmp (region, self->region) == 0;

      for (size_t j = 0; j < i; j++)
        seen = seen || strcmp (dst->relays[j].region, region) == 0;
      /* Any of the candidates, so that a dead relay of the other region does
         not stay unnoticed.  */
      if (!seen)
        {
          size_t count = dst_region_members (dst, region, members);

          if (count > 0)
            {
              size_t chosen = rnd_below (&dst->random, 4) > 0
                                  ? 0
                                  : rnd_below (&dst->random, (uint32_t)count);

              dst_send_probe (dst, members[chosen]->address,
                              members[chosen]->name, actions);
            }
        }
    }
}

void
dst_sync_tick (struct dst *dst, clk_time now, struct dst_actions *actions)
{
  if (!dst->roles.relay)
    return;
  if (now >= dst->next_near_probe)
    {
      dst->next_near_probe = now + DST_NEAR_PROBE_INTERVAL;
      probe_near (dst, actions);
    }
  if (now >= dst->next_discovery)
    discover (dst, now, actions);
  if (dst->roles.region_relay && now >= dst->next_far_probe)
    {
      dst->next_far_probe = now + DST_FAR_PROBE_INTERVAL;
      probe_far (dst, actions);
    }
}

clk_time
dst_sync_wake (const struct dst *dst)
{
  clk_time wake = dst->next_near_probe < dst->next_discovery
                      ? dst->next_near_probe
                      : dst->next_discovery;

  if (!dst->roles.relay)
    return CLK_NEVER;
  return dst->roles.region_relay && dst->next_far_probe < wake
             ? dst->next_far_probe
             : wake;
}
