/* Puts versions of the operator's document into effect.  */

#include "base/err.h"
#include "base/log.h"
#include "dlt/dlt.h"
#include "sdc/sdc_internal.h"

#include <inttypes.h>

/* Limits of callers that the configuration does not set.  */
static const struct srv_limits default_limits = {
  { 16384, 16u * 1024u * 1024u }, 5 * CLK_SECOND, 60 * CLK_SECOND, 0, 0, 0
};

static void
apply_limits (struct sdc *sidecar)
{
  const struct doc_caller_limits *configured
      = &sidecar->snapshot->document->caller_limits;
  struct srv_limits limits = default_limits;
  uint64_t max_body_bytes = sidecar->account.limits.caller_bodies;

  limits.max_pipelined = (size_t)sidecar->settings.pipelined_requests;
  limits.max_read_ahead = (size_t)sidecar->settings.read_ahead_kb * 1024;
  if (configured->max_header_bytes > 0)
    limits.sizes.max_header_bytes = configured->max_header_bytes;
  if (configured->max_body_bytes > 0)
    limits.sizes.max_body_bytes = configured->max_body_bytes;
  if (limits.sizes.max_body_bytes > max_body_bytes)
    limits.sizes.max_body_bytes = max_body_bytes;
  if (configured->header_timeout_ms > 0)
    limits.header_timeout = configured->header_timeout_ms * CLK_MILLISECOND;
  if (configured->idle_timeout_ms > 0)
    limits.idle_timeout = configured->idle_timeout_ms * CLK_MILLISECOND;
  srv_set_limits (sidecar->caller_server, &limits);
  srv_set_provisional (sidecar->caller_server, false);
}

void
sdc_apply_snapshot (struct sdc *sidecar, struct snp_snapshot *snapshot)
{
  if (snapshot->stamp.version <= sdc_config_version (sidecar))
    {
      snp_release (snapshot);
      return;
    }
  /* The version may have come from another node.  */
  sto_cancel (sidecar->config_call);
  sidecar->config_call = NULL;
  snp_release (sidecar->snapshot);
  sidecar->snapshot = snapshot;
  quo_set_snapshot (sidecar->quota, snapshot);
  fwd_set_snapshot (sidecar->forwarder, snapshot);
  syn_set_snapshot (sidecar->sync, snapshot);
  apply_limits (sidecar);
  log_set_config_version (snapshot->stamp.version);
  log_write (LOG_INFO, "sdc", "version %" PRIu64 " is in effect",
             snapshot->stamp.version);
  sdc_confirm_upstream (sidecar);
  sdc_start_rollout_watch (sidecar);
}

void
sdc_apply_config (struct sdc *sidecar, const json_t *content)
{
  struct doc_document *document;
  uint64_t version;

  if (sidecar->platform->read_config (content, &version, &document) != PTF_OK)
    log_write (LOG_ERROR, "sdc",
               "the configuration in the store is invalid and is not used: "
               "%s",
               err_last ());
  else
    sdc_apply_snapshot (
        sidecar, snp_compile (version, dlt_digest (document), document));
}
