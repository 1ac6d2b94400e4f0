/* Graceful shutdown of a sidecar.  */

#include "base/log.h"
#include "sdc/sdc_internal.h"

void
sdc_terminate (struct sdc *sidecar)
{
  if (sidecar->stopping)
    return;
  log_write (LOG_INFO, "sdc", "shutting down");
  sidecar->stopping = true;
  sidecar->shutdown
      = stp_begin (evl_now (sidecar->loop), sidecar->settings.grace_period);
  fwd_set_drain_deadline (sidecar->forwarder, sidecar->shutdown.answer_by,
                          sidecar->shutdown.screen_at);
  gat_set_end (sidecar->gate, sidecar->shutdown.answer_by);
  srv_drain (sidecar->caller_server);
  sdc_check_upstream_end (sidecar);
}

/* Returns whether nobody needs the record of this node any more.  It must
   outlive an upstream that has left and serves on: a later process of this
   node learns of the departure from it.  */
static bool
has_left_for_good (const struct sdc *sidecar)
{
  if (sidecar->registration.state == REG_NONE)
    return sidecar->nodes_listed;
  return sdc_has_upstream_ended (sidecar);
}

/* Drains the gate and publishes that this node leaves.  Until then the
   upstream still receives calls, because it is reachable only through this
   node.  */
static void
leave_mesh (struct sdc *sidecar)
{
  if (sidecar->record.state == MBR_LEAVING)
    return;
  gat_drain (sidecar->gate);
  sidecar->record.state = MBR_LEAVING;
  sdc_publish_record (sidecar);
  if (!has_left_for_good (sidecar))
    return;
  log_write (LOG_INFO, "sdc",
             "removing the record of this node, which has no upstream any "
             "more");
  pub_withdraw (sidecar->publisher);
}

static struct stp_steps
find_shutdown_steps (const struct sdc *sidecar, clk_time now)
{
  struct stp_state state
      = { .now = now,
          .last_request_at = srv_last_request_time (sidecar->caller_server),
          .is_accepting = srv_is_accepting (sidecar->caller_server),
          .request_count = srv_request_count (sidecar->caller_server),
          .call_count = gat_in_progress (sidecar->gate),
          .unsent_bytes = hub_unsent_replies (sidecar->hub) };

  return stp_check (&sidecar->shutdown, &state);
}

void
sdc_check_shutdown (struct sdc *sidecar, clk_time now)
{
  struct stp_steps steps;

  if (!sidecar->stopping)
    return;
  steps = find_shutdown_steps (sidecar, now);
  if (steps.drain)
    leave_mesh (sidecar);
  if (steps.stop_accepting && srv_is_accepting (sidecar->caller_server))
    {
      /* Reads the requests that have arrived meanwhile.  */
      srv_stop_accepting (sidecar->caller_server);
      steps = find_shutdown_steps (sidecar, now);
    }
  if (!steps.stop)
    return;
  fwd_fail_all (sidecar->forwarder);
  sidecar->stopped = true;
  if (sidecar->owns_loop)
    evl_stop (sidecar->loop);
}
