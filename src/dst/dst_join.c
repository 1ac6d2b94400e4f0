/* Joining: learning versions and members from peers, or else from the
   platform.  */

#include "dst/dst_state.h"

#include <string.h>

/* Spreads the requests of nodes that start at once.  */
#define START_SPREAD (200 * CLK_MILLISECOND)
#define DIRECTORY_DELAY CLK_SECOND
#define MEMBERS_RETRY (400 * CLK_MILLISECOND)
/* Without a seed that can be asked, seeds are looked at again after this.  */
#define ASK_RETRY (400 * CLK_MILLISECOND)
/* After the join a relay usually brings the version; only then each node
   reads the platform itself, spread over this time.  */
#define READ_DELAY (2 * CLK_SECOND)
#define READ_SPREAD (8 * CLK_SECOND)

void
dst_join_start (struct dst *dst, clk_time now)
{
  struct dst_join *join = &dst->join;

  memset (join, 0, sizeof *join);
  dst->joined = false;
  dst->roles_generation = 0;
  join->start = now + (clk_time)(rnd_unit (&dst->random) * START_SPREAD);
  join->ask_due = join->start;
  join->directory_due = join->start + DIRECTORY_DELAY;
  join->members_due = CLK_NEVER;
  join->deadline = join->start + DST_JOIN_DEADLINE;
}

/* When no peer has a version, many nodes may have started at once and know
   few others: each would take itself for the relay and call the platform.
   They exchange members for this time first.  */
#define COLD_START (1500 * CLK_MILLISECOND)
#define COLD_SYNC (500 * CLK_MILLISECOND)

static size_t
majority (const struct dst_join *join)
{
  size_t asked = join->asked_count < DST_JOIN_PEERS ? join->asked_count
                                                    : DST_JOIN_PEERS;

  return asked / 2 + 1;
}

static void
ask (struct dst *dst, const struct net_address *addresses, size_t count,
     size_t limit, clk_time now, struct dst_actions *actions)
{
  struct dst_join *join = &dst->join;

  for (size_t i = 0; i < count && join->asked_count < limit; i++)
    {
      bool known = net_equal (addresses[i], dst->settings.self.address);

      for (size_t j = 0; j < join->asked_count; j++)
        known = known || net_equal (addresses[i], join->asked[j]);
      if (known)
        continue;
      if (dst_start_fetch (dst, DST_FETCH_JOIN, addresses[i],
                           join->asked_count == 0, now, actions)
          == NULL)
        return;
      join->asked[join->asked_count++] = addresses[i];
      join->members_due = now + MEMBERS_RETRY;
    }
}

void
dst_directory_read (struct dst *dst, const struct net_address *addresses,
                    size_t count, clk_time now, struct dst_actions *actions)
{
  dst->directory_count = count < DST_MAX_SEEDS ? count : DST_MAX_SEEDS;
  for (size_t i = 0; i < dst->directory_count; i++)
    dst->directory[i] = addresses[i];
  if (!dst->joined)
    ask (dst, addresses, count, dst->join.asked_count + DST_JOIN_PEERS, now,
         actions);
  dst_finish (dst, now, actions);
}

static void
finish (struct dst *dst, clk_time now)
{
  dst->joined = true;
  dst->settled_at = now + DST_SETTLING;
  dst->roles_generation = 0;
  if (dst->held.version == 0 && dst->join.best.version == 0)
    {
      dst->roles_from = now + COLD_START;
      dst->resync_due = now;
    }
  if (dst->held.version == 0)
    dst->read_due
        = now + READ_DELAY + (clk_time)(rnd_unit (&dst->random) * READ_SPREAD);
}

static void
fetch_best (struct dst *dst, clk_time now)
{
  if (dst->behind.stamp.version != 0
      && dst->join.response_count >= majority (&dst->join)
      && now < dst->behind.due && dst->behind.failures == 0)
    dst->behind.due = now;
}

void
dst_join_reply (struct dst *dst, const struct dst_fetch *fetch,
                const Mesh__FetchReply *reply, clk_time now,
                struct dst_actions *actions)
{
  struct dst_join *join = &dst->join;
  struct snp_stamp result = dst_from_wire (reply->result);
  struct dst_origin origin = { 0 };

  (void)actions;
  if (dst->joined)
    return;
  if (reply->n_members > 0)
    join->got_members = true;
  if (fetch->want_members && reply->retry_after_ms != 0)
    join->members_due = now + reply->retry_after_ms * CLK_MILLISECOND / 2;
  join->response_count++;
  if (result.version > join->best.version)
    {
      join->best = result;
      /* Waits for the majority, so that the highest version is the first.  */
      dst_set_behind (dst, result, fetch->address, &origin, join->deadline);
    }
  fetch_best (dst, now);
}

static void
retry_members (struct dst *dst, clk_time now, struct dst_actions *actions)
{
  struct dst_join *join = &dst->join;

  join->members_due = dst_jitter (dst, now, 2 * MEMBERS_RETRY);
  if (!join->got_members && join->asked_count > 0)
    dst_start_fetch (
        dst, DST_FETCH_SYNC,
        join->asked[rnd_below (&dst->random, (uint32_t)join->asked_count)],
        true, now, actions);
}

static void
cold_tick (struct dst *dst, clk_time now, struct dst_actions *actions)
{
  const struct dst_join *join = &dst->join;

  if (now >= dst->roles_from)
    {
      dst->roles_from = CLK_NEVER;
      dst->resync_due = CLK_NEVER;
      dst->roles_generation = 0;
    }
  if (now < dst->resync_due)
    return;
  dst->resync_due = dst_jitter (dst, now, COLD_SYNC);
  if (join->asked_count > 0)
    dst_start_fetch (
        dst, DST_FETCH_SYNC,
        join->asked[rnd_below (&dst->random, (uint32_t)join->asked_count)],
        true, now, actions);
}

void
dst_join_tick (struct dst *dst, clk_time now, struct dst_actions *actions)
{
  struct dst_join *join = &dst->join;
  bool enough;

  if (dst->joined)
    cold_tick (dst, now, actions);
  if (dst->joined || now < join->start)
    return;
  if (join->asked_count == 0 && now >= join->ask_due)
    {
      join->ask_due = now + ASK_RETRY;
      ask (dst, dst->settings.seeds, dst->settings.seed_count, DST_JOIN_PEERS,
           now, actions);
    }
  enough = join->asked_count > 0 && join->response_count >= majority (join);
  if (now >= join->directory_due)
    {
      join->directory_due = CLK_NEVER;
      if (!enough)
        dst_actions_add (actions, DST_READ_DIRECTORY);
    }
  if (now >= join->members_due)
    retry_members (dst, now, actions);
  if (now >= join->deadline
      || (enough && join->got_members
          && (join->best.version <= dst->held.version
              || ver_equal (join->best, dst->rejected))))
    finish (dst, now);
}

clk_time
dst_join_wake (const struct dst *dst)
{
  const struct dst_join *join = &dst->join;
  clk_time wake = join->deadline;

  if (dst->joined)
    return dst->roles_from < dst->resync_due ? dst->roles_from
                                             : dst->resync_due;
  if (join->asked_count == 0 && join->ask_due < wake)
    wake = join->ask_due;
  if (join->directory_due < wake)
    wake = join->directory_due;
  return join->members_due < wake ? join->members_due : wake;
}
