/* Credit of a call's tenant.  */

#include "fwd/fwd_internal.h"

static const char used_up[] = "not run: the tenant's quota is used up";

static void
start (struct fwd_call *call)
{
  struct fwd *forwarder = call->forwarder;

  call->has_credit = call->tenant != NULL;
  bud_count_request (forwarder->budget, call->service,
                     &forwarder->parts.budget, call->arrival);
  fwd_place (call);
}

static void
refuse (struct fwd_call *call, const char *reason, clk_time retry_after)
{
  fwd_fail (call, 429, reason, retry_after);
}

static void
on_credit (void *context, enum quo_status status, clk_time retry_after)
{
  struct fwd_call *call = context;

  call->quota = NULL;
  if (status == QUO_GRANTED)
    start (call);
  else
    refuse (call, used_up, retry_after);
}

/* Returns whether the time that is left of the target latency is shorter than
   a call usually takes.  */
static bool
is_late (const struct fwd_call *call)
{
  clk_time usual = (clk_time)(PLC_DEFAULT_SERVICE_TIME_FRACTION
                              * (double)call->route->target_latency_ms
                              * (double)CLK_MILLISECOND);

  return call->target - evl_now (call->forwarder->parts.loop) < usual;
}

void
fwd_take_credit (struct fwd_call *call)
{
  clk_time retry_after;
  enum quo_status status;

  if (is_late (call)
      && quo_refuses_late (call->forwarder->parts.quota, call->tenant,
                           &retry_after))
    {
      refuse (call, "not run: late, and the tenant's quota is short",
              retry_after);
      return;
    }
  status
      = quo_take (call->forwarder->parts.quota, call->tenant, call->deadline,
                  on_credit, call, &call->quota, &retry_after);

  if (status == QUO_GRANTED)
    start (call);
  else if (status == QUO_REFUSED)
    refuse (call, used_up, retry_after);
}

void
fwd_return_credit (struct fwd_call *call)
{
  if (!call->has_credit)
    return;
  call->has_credit = false;
  quo_return (call->forwarder->parts.quota, call->tenant);
}
