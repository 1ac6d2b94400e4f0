/* Log lines of links between nodes.  */

#include "hub/hub_log.h"

#include "base/log.h"
#include "met/met.h"

void
hub_log_overdue (const struct hub_outbound_link *link)
{
  const struct hub *hub = link->hub;
  clk_time now = evl_now (hub->loop);
  const struct mbr_member *member = dir_get (hub->directory, link->peer);
  struct log_entry entry;

  met_add (met_counter ("pings_overdue_total", ""), 1);
  if (!log_begin (&entry, LOG_WARNING, "hub", "ping overdue", NULL))
    return;
  log_add_text (&entry, "to", member != NULL ? member->name : "(gone)");
  log_add_number (&entry, "link", (int64_t)link->number);
  log_add_ms (&entry, "ping_ms", now - link->ping_time);
  log_add_ms (&entry, "silent_ms",
              now - chn_last_receive_time (link->channel));
  log_add_ms (&entry, "check_late_ms", hub->check_lateness);
  log_add_number (&entry, "outstanding", link->outstanding);
  log_end (&entry);
}

void
hub_log_reset (const struct hub_outbound_link *link, bool is_kept)
{
  const struct hub *hub = link->hub;
  const struct mbr_member *member = dir_get (hub->directory, link->peer);
  struct log_entry entry;

  if (!log_begin (&entry, is_kept ? LOG_WARNING : LOG_INFO, "hub",
                  is_kept ? "retired a link in use" : "closed an idle link",
                  NULL))
    return;
  log_add_text (&entry, "to", member != NULL ? member->name : "(gone)");
  log_add_number (&entry, "link", (int64_t)link->number);
  log_add_number (&entry, "outstanding", link->outstanding);
  if (member != NULL)
    {
      log_add_text (&entry, "state", mbr_state_name (member->state));
      log_add_number (&entry, "incarnation", (int64_t)member->incarnation);
      log_add_number (&entry, "sequence", (int64_t)member->sequence);
    }
  log_add_ms (&entry, "silent_ms",
              evl_now (hub->loop) - chn_last_receive_time (link->channel));
  log_end (&entry);
}
