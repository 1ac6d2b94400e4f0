/* Memory that the sidecar holds for callers; see acc/acc.h.  */

#include "base/log.h"
#include "met/met.h"
#include "sdc/sdc_internal.h"

/* Links are closed while queued replies take more than their limit divided by
   this.  */
#define CLOSE_LINKS_DIVISOR 4

/* A link on which queued replies make no progress for this long is closed when
   they take much memory.  A node that pauses, or a link that loses packets,
   goes on earlier.  */
#define STALL_TIME CLK_SECOND

static void
log_no_room (size_t length, size_t queued, size_t limit)
{
  struct log_entry entry;

  met_add (met_counter ("replies_without_room_total", ""), 1);
  if (!log_begin (&entry, LOG_WARNING, "sdc", "no room for replies on links",
                  NULL))
    return;
  log_add_number (&entry, "needed_bytes", (int64_t)length);
  log_add_number (&entry, "queued_bytes", (int64_t)queued);
  log_add_number (&entry, "max_bytes", (int64_t)limit);
  log_end (&entry);
}

static bool
fits (size_t queued, size_t length, size_t limit)
{
  return queued == 0 || queued + length <= limit;
}

bool
sdc_has_reply_room (void *context, const struct hub_inbound_link *origin,
                    size_t length)
{
  const struct sdc *sidecar = context;
  size_t limit = sidecar->account.limits.replies;
  size_t queued;

  if (hub_is_loopback (origin))
    return true;
  queued = hub_unsent_replies (sidecar->hub);
  if (fits (queued, length, limit))
    return true;
  /* Replies of this loop iteration were not sent yet.  */
  hub_flush_replies (sidecar->hub);
  queued = hub_unsent_replies (sidecar->hub);
  if (fits (queued, length, limit))
    return true;
  log_no_room (length, queued, limit);
  return false;
}

static void
close_stalled_links (struct sdc *sidecar, clk_time now, size_t queued)
{
  size_t dropped = hub_close_stalled (sidecar->hub, now - STALL_TIME);
  struct log_entry entry;

  if (dropped == 0)
    return;
  met_add (met_counter ("replies_dropped_bytes_total", ""), dropped);
  if (!log_begin (&entry, LOG_WARNING, "sdc",
                  "closed links whose nodes read no replies", NULL))
    return;
  log_add_number (&entry, "dropped_bytes", (int64_t)dropped);
  log_add_number (&entry, "queued_bytes", (int64_t)queued);
  log_add_number (&entry, "max_bytes",
                  (int64_t)sidecar->account.limits.replies);
  log_end (&entry);
}

static void
set_gauges (const struct acc *account, size_t queued, size_t bulk)
{
  met_set (met_counter ("held_bytes", "kind=\"unsent\""),
           account->used[ACC_UNSENT]);
  met_set (met_counter ("held_bytes", "kind=\"partial\""),
           account->used[ACC_PARTIAL]);
  met_set (met_counter ("held_bytes", "kind=\"read_ahead\""),
           account->used[ACC_READ_AHEAD]);
  met_set (met_counter ("held_bytes", "kind=\"bodies\""),
           account->caller_bodies.used_bytes);
  met_set (met_counter ("held_bytes", "kind=\"replies\""), queued);
  met_set (met_counter ("link_waiting_bytes", ""), bulk);
}

void
sdc_check_memory (struct sdc *sidecar, clk_time now)
{
  size_t queued = hub_unsent_replies (sidecar->hub);

  if (queued > sidecar->account.limits.replies / CLOSE_LINKS_DIVISOR)
    close_stalled_links (sidecar, now, queued);
  set_gauges (&sidecar->account, queued, hub_bulk_bytes (sidecar->hub));
}
