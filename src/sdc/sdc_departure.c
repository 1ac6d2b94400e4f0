/* Departures that outlive the process which acknowledged them.

   An upstream that has left may serve on for many seconds, and its earlier
   heartbeats may arrive late.  A process that starts beside it knows nothing
   of the departure, so the store must hold it until the upstream has ended, in
   the record of the node.  */

#include "base/log.h"
#include "sdc/sdc_internal.h"

/* Timeout of the check whether an upstream that has left still serves.  */
#define END_CHECK_TIMEOUT CLK_SECOND

static void
on_end_checked (void *context, enum hck_result result)
{
  struct sdc *sidecar = context;

  sidecar->end_check = NULL;
  log_write (LOG_INFO, "sdc",
             "upstream %s has left; a check whether it still serves gave: %s",
             sidecar->registration.upstream.name, hck_result_name (result));
  if (result == HCK_REFUSED)
    sidecar->upstream_ended_at = evl_now (sidecar->loop);
}

void
sdc_check_upstream_end (struct sdc *sidecar)
{
  const struct reg *registration = &sidecar->registration;
  const struct ptf_heartbeat *upstream = &registration->upstream;
  struct hck_request request
      = { .address = upstream->address.port != 0
                         ? upstream->address
                         : sidecar->settings.upstream_address,
          .path = sdc_find_health_path (sidecar, upstream->service),
          .name = upstream->name,
          .name_header = sidecar->platform->headers[PTF_UPSTREAM_NAME],
          .deadline = evl_now (sidecar->loop) + END_CHECK_TIMEOUT };

  if (registration->state != REG_LEAVING || sidecar->end_check != NULL
      || request.path == NULL)
    return;
  sidecar->end_check
      = hck_start (sidecar->loop, &request, on_end_checked, sidecar);
}

bool
sdc_has_upstream_ended (const struct sdc *sidecar)
{
  const struct reg *registration = &sidecar->registration;

  return registration->state == REG_LEAVING
         && registration->updated_at <= sidecar->upstream_ended_at;
}
