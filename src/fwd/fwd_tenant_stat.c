/* Metrics of the forwarder for each tenant.  */

#include "fwd/fwd_tenant_stat.h"

#include "met/met_tenant.h"

#include <stdio.h>

static void
count_outcome (const struct fwd_call *call, const char *outcome)
{
  met_count_tenant ("tenant_calls_total",
                    call->tenant != NULL ? call->tenant->name : NULL,
                    "outcome", outcome);
}

void
fwd_count_tenant_answered (const struct fwd_call *call)
{
  clk_time elapsed = evl_now (call->forwarder->parts.loop) - call->arrival;

  if (call->tenant == NULL)
    return;
  count_outcome (call, "answered");
  met_time_tenant ("tenant_call_seconds", call->tenant->name,
                   (uint64_t)elapsed);
}

void
fwd_count_tenant_failed (const struct fwd_call *call, unsigned status)
{
  char text[16];

  if (status == 401)
    count_outcome (call, "unauthorized");
  else if (call->tenant == NULL)
    return;
  else if (status == 429 || status == 503)
    {
      snprintf (text, sizeof text, "%u", status);
      count_outcome (call, "refused");
      met_count_tenant ("tenant_refused_total", call->tenant->name, "status",
                        text);
      if (call->is_over_share && status == 503)
        met_count_tenant ("tenant_refused_reasons_total", call->tenant->name,
                          "reason", "over share");
    }
  else
    count_outcome (call, "failed");
}

void
fwd_count_tenant_gone (const struct fwd_call *call)
{
  if (call->tenant != NULL)
    count_outcome (call, "gone");
}
