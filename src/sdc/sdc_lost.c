/* Unreachable nodes: their records are removed from the store, so that nodes
   that start later do not wait for them.  A node that is wrongly declared dead
   publishes a new record when it learns of it.  */

#include "base/log.h"
#include "sdc/sdc_internal.h"

/* Time for which a node is unreachable before it is reported.  Frozen VMs and
   network partitions last for seconds.  */
#define UNREACHABLE_REPORT_DELAY (8 * CLK_SECOND)

/* Interval of the reports of one node.  */
#define REPORT_INTERVAL (2 * CLK_SECOND)

/* A watcher declares a reported node dead when it is unreachable from the
   watcher too, for this long.  */
#define REMOVAL_DELAY (3 * CLK_SECOND)

/* Timeout of a removal, which the store usually answers in milliseconds.  */
#define REMOVE_TIMEOUT CLK_SECOND

static bool
is_unreachable (const struct sdc *sidecar, dir_handle node, clk_time latest)
{
  const struct mbr_member *member = dir_get (sidecar->directory, node);

  return member != NULL && member->state != MBR_DEAD
         && hub_unhealthy_since (sidecar->hub, node) <= latest;
}

/* Returns whether half of the nodes or more are unreachable, so that this node
   itself is probably the isolated one.  */
static bool
seems_isolated (const struct sdc *sidecar)
{
  size_t unreachable_count = 0;

  for (dir_handle i = 0; i < dir_handle_limit (sidecar->directory); i++)
    if (is_unreachable (sidecar, i, CLK_NEVER - 1))
      unreachable_count++;
  return 2 * unreachable_count >= dir_alive_count (sidecar->directory);
}

static void
on_removed (void *context, const struct sto_request *request,
            const struct sto_reply *reply)
{
  (void)context;
  (void)request;
  log_write (LOG_INFO, "sdc",
             "removal of a node's record from the store ended: %s",
             sto_status_name (reply->status));
}

void
sdc_remove_record (struct sdc *sidecar, const char *name, uint64_t revision)
{
  struct sto_request request = { .operation = STO_REMOVE,
                                 .kind = PUB_KIND,
                                 .name = name,
                                 .revision = revision };

  sto_start (sidecar->store, &request,
             evl_now (sidecar->loop) + REMOVE_TIMEOUT, on_removed, sidecar);
}

void
sdc_handle_suspect (struct sdc *sidecar, dir_handle peer)
{
  const struct mbr_member *member = dir_get (sidecar->directory, peer);
  clk_time now = evl_now (sidecar->loop);

  hub_connect (sidecar->hub, peer);
  if (!is_unreachable (sidecar, peer, now - REMOVAL_DELAY)
      || seems_isolated (sidecar)
      || wch_health (sidecar->node_watch) != WCH_CURRENT)
    return;
  log_write (LOG_WARNING, "sdc",
             "node %s is unreachable; removing its record from the store",
             member->name);
  sdc_remove_record (sidecar, member->name, 0);
  sdc_declare_dead (sidecar, peer);
}

void
sdc_report_unreachable_nodes (struct sdc *sidecar, clk_time now)
{
  if (now < sidecar->next_report_at || !sidecar->joined)
    return;
  sidecar->next_report_at = now + REPORT_INTERVAL;
  for (dir_handle i = 0; i < dir_handle_limit (sidecar->directory); i++)
    if (is_unreachable (sidecar, i, now - UNREACHABLE_REPORT_DELAY))
      syn_report_suspect (sidecar->sync, i);
}
