/* Nodes that cannot be reached: their records are removed from the store, so
   that nodes which start later do not wait for them.  A node that is wrongly
   taken for dead says so when it hears of it.  */

#include "base/log.h"
#include "sdc/sdc_internal.h"

/* A node reports another one that it has not reached for this long.  Frozen
   VMs and partitions last for seconds.  */
#define REPORT_AFTER (8 * CLK_SECOND)

/* How often one node reports lost ones.  */
#define REPORT_INTERVAL (2 * CLK_SECOND)

/* A node that watches the platform removes a reported one that it has not
   reached itself for this long.  */
#define REMOVE_AFTER (3 * CLK_SECOND)

/* A removal, which the store answers in milliseconds, may take this long.  */
#define REMOVE_PATIENCE CLK_SECOND

static bool
is_lost (const struct sdc *sidecar, dir_handle node, clk_time limit)
{
  const struct mbr_member *member = dir_get (sidecar->directory, node);

  return member != NULL && member->state != MBR_DEAD
         && hub_unhealthy_since (sidecar->hub, node) <= limit;
}

/* Returns whether so many nodes are lost that this node is more likely to be
   cut off itself.  */
static bool
seems_cut_off (const struct sdc *sidecar)
{
  size_t lost = 0;

  for (dir_handle i = 0; i < dir_handle_limit (sidecar->directory); i++)
    if (is_lost (sidecar, i, CLK_NEVER - 1))
      lost++;
  return 2 * lost >= dir_alive_count (sidecar->directory);
}

static void
on_removed (void *context, const struct sto_request *request,
            const struct sto_reply *reply)
{
  (void)context;
  (void)request;
  log_write (LOG_INFO, "sdc", "removing a record ended: %s",
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
             evl_now (sidecar->loop) + REMOVE_PATIENCE, on_removed, sidecar);
}

void
sdc_suspect (struct sdc *sidecar, dir_handle peer)
{
  const struct mbr_member *member = dir_get (sidecar->directory, peer);
  clk_time now = evl_now (sidecar->loop);

  hub_connect (sidecar->hub, peer);
  if (!is_lost (sidecar, peer, now - REMOVE_AFTER) || seems_cut_off (sidecar)
      || wch_health (sidecar->node_watch) != WCH_CURRENT)
    return;
  log_write (LOG_WARNING, "sdc", "node %s cannot be reached; removing it",
             member->name);
  sdc_remove_record (sidecar, member->name, 0);
  sdc_bury_node (sidecar, peer);
}

void
sdc_check_lost (struct sdc *sidecar, clk_time now)
{
  if (now < sidecar->report_at || !sidecar->joined)
    return;
  sidecar->report_at = now + REPORT_INTERVAL;
  for (dir_handle i = 0; i < dir_handle_limit (sidecar->directory); i++)
    if (is_lost (sidecar, i, now - REPORT_AFTER))
      syn_report_suspect (sidecar->sync, i);
}
