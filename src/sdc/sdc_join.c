/* Joining the mesh: finds the other nodes through the store, takes roles, and
   makes sure that a configuration comes.

   When the whole mesh starts for the first time nobody is in the store yet;
   each node then publishes itself first, together with its upstream, and lists
   the nodes a little later, so that all agree on their roles from the start.
   That takes two calls to the store a node.  A node that starts while
   the store is away learns of the others from those that open links to it.  */

#include "base/err.h"
#include "base/log.h"
#include "sdc/sdc_internal.h"

#include <string.h>

/* On a first start a node publishes itself when its upstream has sent the
   first heartbeat, or this long after one was due.  */
#define FIRST_HEARTBEAT_PATIENCE (200 * CLK_MILLISECOND)

/* On a first start: from the time by which all have published themselves to
   the list of all.  VMs start within 0.3 s of each other.  */
#define FIRST_PAUSE (500 * CLK_MILLISECOND)

/* A node that knows others but not the store's list joins after this time.  */
#define LIST_PATIENCE (400 * CLK_MILLISECOND)

/* A node without a configuration reads it from the store when no other node
   has given it one for this long, and for up to as long again: many nodes that
   start together must not all read it.  */
#define CONFIG_PATIENCE (900 * CLK_MILLISECOND)

static void
take_roles (struct sdc *sidecar)
{
  sidecar->joined = true;
  sidecar->join_at
      = evl_now (sidecar->loop) + CONFIG_PATIENCE
        + (clk_time)(rel_hash_name (sidecar->record.name) % CONFIG_PATIENCE);
  wch_stop (sidecar->node_watch);
  log_write (LOG_INFO, "sdc", "joined, with %zu nodes known",
             dir_alive_count (sidecar->directory));
  syn_start (sidecar->sync);
}

/* Adds the distance to the platform to this node's record once it is known.
   Returns whether it is.  Without it the others would take the node for the
   nearest.  */
static bool
add_distance (struct sdc *sidecar)
{
  clk_time distance = sto_round_trip_time (sidecar->store);

  if (sidecar->record.platform_distance > 0)
    return true;
  if (distance == 0)
    return false;
  sidecar->record.platform_distance
      = (uint32_t)(distance / CLK_MILLISECOND) + 1;
  sidecar->record.sequence++;
  dir_merge (sidecar->directory, &sidecar->record, evl_now (sidecar->loop),
             &sidecar->self);
  return true;
}

void
sdc_nodes_listed (struct sdc *sidecar)
{
  add_distance (sidecar);
  pub_set_record (sidecar->publisher, &sidecar->record);
  if (!sidecar->joined)
    take_roles (sidecar);
}

void
sdc_join (struct sdc *sidecar)
{
  clk_time now = evl_now (sidecar->loop);

  if (!sidecar->settings.first_start)
    {
      sidecar->publish_at = CLK_NEVER;
      sidecar->join_at = CLK_NEVER;
      wch_start (sidecar->node_watch);
      return;
    }
  sto_connect (sidecar->store);
  sidecar->publish_at
      = now + sidecar->settings.heartbeat_interval + FIRST_HEARTBEAT_PATIENCE;
  sidecar->join_at = sidecar->publish_at + FIRST_PAUSE;
}

/* Publishes this node on a first start, with its distance to the platform.  */
static void
publish_first (struct sdc *sidecar, clk_time now)
{
  bool announced = sidecar->registration.state != REG_NONE;

  if (!add_distance (sidecar) || (now < sidecar->publish_at && !announced))
    return;
  sidecar->publish_at = CLK_NEVER;
  pub_set_record (sidecar->publisher, &sidecar->record);
}

static void
on_config (void *context, const struct sto_request *request,
           const struct sto_reply *reply)
{
  struct sdc *sidecar = context;

  (void)request;
  sidecar->config_call = NULL;
  if (reply->status == STO_OK && reply->object_count > 0)
    sdc_use_config (sidecar, reply->objects[0].content);
  else
    log_write (LOG_WARNING, "sdc", "reading the configuration failed: %s",
               sto_status_name (reply->status));
}

static void
read_config (struct sdc *sidecar, clk_time now)
{
  struct sto_request request = { .operation = STO_GET,
                                 .kind = sidecar->platform->config_kind,
                                 .name = sidecar->platform->config_name };

  sidecar->config_call = sto_start (sidecar->store, &request,
                                    now + CONFIG_PATIENCE, on_config, sidecar);
}

void
sdc_check_join (struct sdc *sidecar, clk_time now)
{
  if (sidecar->publish_at != CLK_NEVER)
    publish_first (sidecar, now);
  if (now < sidecar->join_at)
    return;
  if (!sidecar->joined)
    {
      /* The list of a first start, or nodes that have introduced themselves
         while the store is away.  */
      if (!wch_is_started (sidecar->node_watch))
        {
          sidecar->join_at = now + LIST_PATIENCE;
          wch_start (sidecar->node_watch);
        }
      else if (dir_alive_count (sidecar->directory) > 1)
        take_roles (sidecar);
      return;
    }
  if (sidecar->snapshot != NULL)
    {
      sidecar->join_at = CLK_NEVER;
      return;
    }
  sidecar->join_at = now + CONFIG_PATIENCE;
  if (sidecar->config_call == NULL
      && wch_health (sidecar->config_watch) != WCH_CURRENT)
    read_config (sidecar, now);
}

void
sdc_take_hello (struct sdc *sidecar, const Mesh__Hello *hello)
{
  struct mbr_member record;

  if (hello->member == NULL || !mbr_member_from_wire (hello->member, &record))
    {
      log_write (LOG_WARNING, "sdc", "an introduction was not valid");
      return;
    }
  sdc_take_member (sidecar, &record);
  if (!sidecar->joined && sidecar->join_at == CLK_NEVER)
    sidecar->join_at = evl_now (sidecar->loop) + LIST_PATIENCE;
}

static void
version_hook (void *context, struct snp_snapshot *snapshot)
{
  sdc_use_snapshot (context, snapshot);
}

static bool
member_hook (void *context, const struct mbr_member *member)
{
  return sdc_take_member (context, member);
}

static void
watch_hook (void *context, bool watches)
{
  struct sdc *sidecar = context;

  if (watches == wch_is_started (sidecar->config_watch))
    return;
  log_write (LOG_INFO, "sdc",
             watches ? "watching the platform"
                     : "no longer watching the platform");
  if (watches)
    {
      wch_start (sidecar->config_watch);
      wch_start (sidecar->node_watch);
      prb_start (sidecar->probe);
      return;
    }
  prb_stop (sidecar->probe);
  wch_stop (sidecar->config_watch);
  wch_stop (sidecar->node_watch);
  syn_set_platform_status (sidecar->sync, REL_PLATFORM_UNKNOWN);
}

static void
suspect_hook (void *context, dir_handle peer)
{
  sdc_suspect (context, peer);
}

static void
confirmed_hook (void *context, uint64_t sequence)
{
  struct sdc *sidecar = context;

  if (sequence > sidecar->confirmed)
    sidecar->confirmed = sequence;
  sdc_check_acks (sidecar);
}

struct syn_hooks
sdc_sync_hooks (struct sdc *sidecar)
{
  struct syn_hooks hooks = { sidecar,    version_hook, member_hook,
                             watch_hook, suspect_hook, confirmed_hook };

  return hooks;
}
