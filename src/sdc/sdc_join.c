/* Joining the mesh: a node finds the other nodes through the store, computes
   its roles, and makes sure that it gets a configuration.

   On a first start of the whole mesh the store holds no records.  Each node
   then publishes its record first, with its upstream in it, and lists the
   nodes some time later, so that all nodes compute the same roles from the
   start.  This takes two calls to the store per node.  The list may be out of
   date, which costs the store little: nodes that are missing in it are known
   to their parents and arrive over links.  When it holds no other node, it is
   read again as it is now.  Nodes far from the store delay the list, see
   jpl.h.  A node that starts
   while the store is unreachable learns of the other nodes from those that
   open links to it.  */

#include "base/err.h"
#include "base/log.h"
#include "base/rnd.h"
#include "jpl/jpl.h"
#include "sdc/sdc_internal.h"

#include <string.h>

/* A node publishes its first record when its upstream has sent the first
   heartbeat, so that the record need not be written again for it.  It waits
   for some intervals of heartbeats, but not long: on a first start the list of
   all nodes follows, and callers come seconds after the start.  */
#define FIRST_HEARTBEAT_INTERVALS 2.4
#define MAX_FIRST_HEARTBEAT_WAIT (3600 * CLK_MILLISECOND)

/* Delay on a first start between the latest time to publish a record and the
   list of all nodes.  VMs start within 0.3 s of each other.  */
#define FIRST_LIST_DELAY (500 * CLK_MILLISECOND)

/* Time after which a node that knows other nodes joins without a list from the
   store.  */
#define LIST_TIMEOUT (400 * CLK_MILLISECOND)

/* Time after which a node that has received no configuration from other nodes
   reads it from the store, and timeout of that read.  A delay of up to the
   same length, different on each node, is added to the first read, so that
   nodes that start together do not all read it.  */
#define CONFIG_TIMEOUT (900 * CLK_MILLISECOND)

/* A node that has joined without a list of the store learns of the others
   within this time.  Before, it might take itself for the owner of quotas.  */
#define UNLISTED_QUOTA_DELAY CLK_SECOND

/* Returns how long a node far from the store waits before it reads from the
   store.  */
static clk_time
read_delay (const struct sdc *sidecar)
{
  struct jpl_start start
      = { sidecar->settings.first_start, sto_round_trip_time (sidecar->store),
          sidecar->stored_mesh_size };
  struct rnd random;

  rnd_init (&random, rnd_system_seed ());
  return jpl_read_delay (&start, rnd_unit (&random));
}

static void
complete_join (struct sdc *sidecar, clk_time quota_delay)
{
  sidecar->joined = true;
  quo_set_ready (sidecar->quota, evl_now (sidecar->loop) + quota_delay);
  sidecar->list_is_stale = false;
  sidecar->next_join_step_at
      = evl_now (sidecar->loop) + CONFIG_TIMEOUT
        + (clk_time)(rel_hash_name (sidecar->record.name) % CONFIG_TIMEOUT)
        + read_delay (sidecar);
  wch_stop (sidecar->node_watch);
  log_write (LOG_INFO, "sdc", "joined the mesh with %zu known nodes",
             dir_alive_count (sidecar->directory));
  syn_start (sidecar->sync);
}

/* Adds the round trip time to the platform's store to this node's record when
   it is known.  Returns whether the record has it.  Other nodes would take a
   node without it for the nearest to the platform.  */
static bool
add_platform_rtt (struct sdc *sidecar)
{
  clk_time round_trip_time = sto_round_trip_time (sidecar->store);

  if (sidecar->record.platform_distance > 0)
    return true;
  if (round_trip_time == 0)
    return false;
  sidecar->record.platform_distance
      = (uint32_t)(round_trip_time / CLK_MILLISECOND) + 1;
  sidecar->record.sequence++;
  dir_merge (sidecar->directory, &sidecar->record, evl_now (sidecar->loop),
             &sidecar->self);
  return true;
}

/* Returns how long a node waits for the first heartbeat of its upstream.  */
static clk_time
first_heartbeat_wait (const struct sdc *sidecar)
{
  clk_time wait = (clk_time)(FIRST_HEARTBEAT_INTERVALS
                             * (double)sidecar->settings.heartbeat_interval);

  return wait < MAX_FIRST_HEARTBEAT_WAIT ? wait : MAX_FIRST_HEARTBEAT_WAIT;
}

/* Publishes the record of this node now if the store may hold one, or if its
   upstream has sent a heartbeat; else later.  Until then other nodes learn of
   it over links.  */
static void
publish_after_list (struct sdc *sidecar)
{
  if (pub_is_stored (sidecar->publisher)
      || sidecar->registration.state != REG_NONE)
    {
      sidecar->publish_by = CLK_NEVER;
      sdc_store_record (sidecar);
    }
  else if (sidecar->publish_by == CLK_NEVER)
    sidecar->publish_by
        = evl_now (sidecar->loop) + first_heartbeat_wait (sidecar);
}

void
sdc_handle_nodes_listed (struct sdc *sidecar)
{
  add_platform_rtt (sidecar);
  if (sidecar->list_is_stale && dir_alive_count (sidecar->directory) <= 1)
    {
      sidecar->list_is_stale = false;
      wch_stop (sidecar->node_watch);
      wch_start (sidecar->node_watch);
      return;
    }
  sidecar->list_is_stale = false;
  publish_after_list (sidecar);
  if (!sidecar->joined)
    complete_join (sidecar, 0);
}

void
sdc_start_join (struct sdc *sidecar)
{
  clk_time now = evl_now (sidecar->loop);

  if (!sidecar->settings.first_start)
    {
      sidecar->publish_by = CLK_NEVER;
      sidecar->next_join_step_at = CLK_NEVER;
      sdc_start_comparing (sidecar);
      wch_start (sidecar->node_watch);
      return;
    }
  sto_connect (sidecar->store);
  sidecar->publish_by = now + first_heartbeat_wait (sidecar);
  sidecar->next_join_step_at = sidecar->publish_by + FIRST_LIST_DELAY;
}

/* Publishes the first record of this node when its round trip time to the
   platform's store is known.  */
static void
publish_first_record (struct sdc *sidecar, clk_time now)
{
  bool announced = sidecar->registration.state != REG_NONE;

  if (!add_platform_rtt (sidecar) || (now < sidecar->publish_by && !announced))
    return;
  sidecar->publish_by = CLK_NEVER;
  sdc_store_record (sidecar);
}

static void
on_config_reply (void *context, const struct sto_request *request,
                 const struct sto_reply *reply)
{
  struct sdc *sidecar = context;

  (void)request;
  sidecar->config_call = NULL;
  if (reply->status == STO_OK && reply->object_count > 0)
    sdc_apply_config (sidecar, reply->objects[0].content);
  else
    log_write (LOG_WARNING, "sdc",
               "reading the configuration from the store failed (%s); it is "
               "read again unless another node sends one",
               sto_status_name (reply->status));
}

static void
read_config (struct sdc *sidecar, clk_time now)
{
  struct sto_request request = { .operation = STO_GET,
                                 .kind = sidecar->platform->config_kind,
                                 .name = sidecar->platform->config_name };

  sidecar->config_call
      = sto_start (sidecar->store, &request, now + CONFIG_TIMEOUT,
                   on_config_reply, sidecar);
}

/* Delays the first list of a first start.  Returns whether it is delayed.  */
static bool
delay_list (struct sdc *sidecar, clk_time now)
{
  if (sidecar->list_delayed)
    return false;
  sidecar->list_delayed = true;
  sidecar->next_join_step_at = now + read_delay (sidecar);
  return now < sidecar->next_join_step_at;
}

void
sdc_advance_join (struct sdc *sidecar, clk_time now)
{
  if (sidecar->publish_by != CLK_NEVER)
    publish_first_record (sidecar, now);
  if (now < sidecar->next_join_step_at)
    return;
  if (!sidecar->joined)
    {
      /* Either the list of a first start is due, or nodes have sent a hello
         while the store was unreachable.  */
      if (!wch_is_started (sidecar->node_watch))
        {
          if (delay_list (sidecar, now))
            return;
          sidecar->next_join_step_at = now + LIST_TIMEOUT;
          sidecar->list_is_stale = true;
          wch_start_stale (sidecar->node_watch);
        }
      else if (dir_alive_count (sidecar->directory) > 1)
        complete_join (sidecar, UNLISTED_QUOTA_DELAY);
      return;
    }
  if (sidecar->snapshot != NULL)
    {
      sidecar->next_join_step_at = CLK_NEVER;
      return;
    }
  sidecar->next_join_step_at = now + CONFIG_TIMEOUT;
  if (sidecar->config_call == NULL
      && wch_health (sidecar->config_watch) != WCH_CURRENT)
    read_config (sidecar, now);
}

void
sdc_handle_hello (struct sdc *sidecar, struct hub_inbound_link *inbound,
                  const Mesh__Hello *hello)
{
  struct mbr_member record;

  if (hello->member == NULL || !mbr_member_from_wire (hello->member, &record))
    {
      log_write (LOG_WARNING, "sdc", "ignored an invalid hello of a node");
      return;
    }
  /* The watch of the store may bring the record later, when it is not new
     any more.  */
  if (sdc_handle_member (sidecar, &record))
    syn_publish (sidecar->sync, &record);
  sdc_answer_hello (sidecar, inbound, &record);
  syn_note_hello (sidecar->sync, dir_find (sidecar->directory, record.name));
  if (!sidecar->joined && sidecar->next_join_step_at == CLK_NEVER)
    sidecar->next_join_step_at = evl_now (sidecar->loop) + LIST_TIMEOUT;
}

/* Joins with the records of the node FROM instead of a list.  The store may
   hold an earlier record of this node, which the first write then returns.  */
static void
on_directory_offered (void *context, const char *from)
{
  struct sdc *sidecar = context;

  if (sidecar->joined)
    return;
  log_write (LOG_INFO, "sdc", "joined by an offer of %s", from);
  add_platform_rtt (sidecar);
  sidecar->nodes_listed = true;
  publish_after_list (sidecar);
  complete_join (sidecar, UNLISTED_QUOTA_DELAY);
}

static void
on_version_received (void *context, struct snp_snapshot *snapshot)
{
  sdc_apply_snapshot (context, snapshot);
}

static bool
on_member_received (void *context, const struct mbr_member *member)
{
  return sdc_handle_member (context, member);
}

static void
on_watch_changed (void *context, bool watches)
{
  struct sdc *sidecar = context;

  if (watches == wch_is_started (sidecar->config_watch))
    return;
  log_write (LOG_INFO, "sdc",
             watches ? "this node watches the platform's store"
                     : "this node no longer watches the platform's store");
  if (watches)
    {
      wch_start (sidecar->config_watch);
      wch_start (sidecar->node_watch);
      sdc_start_rollout_watch (sidecar);
      prb_start (sidecar->probe);
      return;
    }
  prb_stop (sidecar->probe);
  wch_stop (sidecar->config_watch);
  wch_stop (sidecar->node_watch);
  sdc_stop_rollout_watch (sidecar);
  syn_set_platform_status (sidecar->sync, REL_PLATFORM_UNKNOWN);
}

static void
on_peer_suspected (void *context, dir_handle peer)
{
  sdc_handle_suspect (context, peer);
}

static void
on_record_acknowledged (void *context, uint64_t sequence)
{
  struct sdc *sidecar = context;

  if (sequence > sidecar->acknowledged_sequence)
    sidecar->acknowledged_sequence = sequence;
  sdc_send_acks (sidecar);
}

static void
on_subscribed (void *context, struct hub_inbound_link *inbound)
{
  struct sdc *sidecar = context;

  if (sidecar->rollouts != NULL)
    rol_greet (sidecar->rollouts, inbound);
}

struct syn_hooks
sdc_sync_hooks (struct sdc *sidecar)
{
  struct syn_hooks hooks
      = { sidecar,          on_version_received, on_member_received,
          on_watch_changed, on_peer_suspected,   on_record_acknowledged,
          on_subscribed,    on_directory_offered };

  return hooks;
}
