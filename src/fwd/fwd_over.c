/* Calls of tenants that are over their share at gates; see ovr.h.  */

#include "fwd/fwd_internal.h"

static struct ovr_key
key_of (const struct fwd_call *call, dir_handle peer)
{
  return (struct ovr_key){ .tenant = call->tenant_hash,
                           .peer = peer,
                           .route = call->kind };
}

void
fwd_take_share (struct fwd_call *call, dir_handle peer,
                const Mesh__Answer *answer)
{
  struct ovr *reports = call->forwarder->reports;
  clk_time now = evl_now (call->forwarder->parts.loop);
  struct ovr_key key = key_of (call, peer);

  if (call->tenant == NULL || answer->load == NULL)
    return;
  if (answer->tenant_over_share)
    ovr_add (reports, &key,
             (clk_time)answer->load->over_share_wait_us * CLK_MICROSECOND,
             now);
  else
    ovr_clear_tenant (reports, call->tenant_hash, peer, now);
}

const struct ovr_report *
fwd_find_report (const struct fwd_call *call, dir_handle peer)
{
  struct ovr_key key = key_of (call, peer);

  if (call->tenant == NULL || call->ignores_reports)
    return NULL;
  return ovr_find (call->forwarder->reports, &key,
                   evl_now (call->forwarder->parts.loop));
}

struct plc_load
fwd_call_load (const struct fwd_call *call, dir_handle peer, uint32_t slots)
{
  struct plc_load load
      = fwd_peer_load (call->forwarder, peer, call->kind, slots);
  const struct ovr_report *report = fwd_find_report (call, peer);

  if (report != NULL)
    {
      /* The wait does not fade until the report expires: samples show that it
         has changed.  Fading it by age sent more calls that gates refuse and
         served no more of them; see docs/design/shares.md.  */
      load.expected_wait = report->wait;
      load.reported_at = evl_now (call->forwarder->parts.loop);
    }
  return load;
}

dir_handle
fwd_find_reporter (const struct fwd_call *call, const struct fwd_field *field)
{
  const struct ovr_report *best = NULL;

  for (size_t i = 0; i < field->count; i++)
    {
      const struct ovr_report *report
          = field->candidates[i].usable
                ? fwd_find_report (call, field->peers[i])
                : NULL;

      if (report != NULL && (best == NULL || report->wait < best->wait))
        best = report;
    }
  return best != NULL ? best->key.peer : DIR_NONE;
}

bool
fwd_is_sample (const struct fwd_call *call)
{
  return call->busy_refusals == 0 && call->runs == 0
         && rnd_below (&call->forwarder->random, OVR_SAMPLE_INTERVAL) == 0;
}
