/* Confirmation of an upstream that was restored from a record of an earlier
   process, or that announced itself before this process could learn from
   others whether it has left.

   The record only says what was known when it was last written, and the
   announcement may have arrived late.  The upstream may have left since: while
   the store was away its departure was acknowledged because another node held
   it, and that node may have been killed as well.  So it gets no calls before
   its next heartbeat, or before it says in a health check that it takes calls.
   Calls that come meanwhile wait at the gate for a short time.  */

#include "base/log.h"
#include "sdc/sdc_internal.h"

#include <string.h>

/* Timeout of a health check, and longest wait for the configuration, which
   names the target of the check.  */
#define CHECK_TIMEOUT (500 * CLK_MILLISECOND)

const char *
sdc_find_health_path (const struct sdc *sidecar, const char *service)
{
  const struct doc_document *document;

  if (sidecar->snapshot == NULL)
    return NULL;
  document = sidecar->snapshot->document;
  for (size_t i = 0; i < document->service_count; i++)
    if (strcmp (document->services[i].name, service) == 0)
      return document->services[i].health_path;
  return NULL;
}

/* Takes the upstream out of use until its next heartbeat.  */
static void
stop_waiting (struct sdc *sidecar, const char *reason)
{
  if (!reg_mark_unreachable (&sidecar->registration))
    return;
  log_write (LOG_INFO, "sdc",
             "upstream %s is not confirmed (%s); it gets no calls until its "
             "next heartbeat",
             sidecar->registration.upstream.name, reason);
  gat_apply_registration (sidecar->gate);
}

static void
on_checked (void *context, enum hck_result result)
{
  struct sdc *sidecar = context;
  struct reg *registration = &sidecar->registration;

  sidecar->health_check = NULL;
  if (!reg_needs_confirmation (registration))
    return;
  if (result != HCK_HEALTHY)
    {
      stop_waiting (sidecar, hck_result_name (result));
      return;
    }
  reg_confirm (registration, evl_now (sidecar->loop));
  log_write (LOG_INFO, "sdc", "upstream %s is confirmed: it takes calls",
             registration->upstream.name);
  gat_apply_registration (sidecar->gate);
}

void
sdc_confirm_upstream (struct sdc *sidecar)
{
  const struct ptf_heartbeat *upstream = &sidecar->registration.upstream;
  struct hck_request request
      = { .address = upstream->address,
          .path = sdc_find_health_path (sidecar, upstream->service),
          .name = upstream->name };

  if (!reg_needs_confirmation (&sidecar->registration)
      || sidecar->health_check != NULL || request.path == NULL)
    return;
  request.name_header = sidecar->platform->headers[PTF_UPSTREAM_NAME];
  request.deadline = evl_now (sidecar->loop) + CHECK_TIMEOUT;
  sidecar->health_check
      = hck_start (sidecar->loop, &request, on_checked, sidecar);
}

void
sdc_check_confirmation (struct sdc *sidecar, clk_time now)
{
  const struct reg *registration = &sidecar->registration;

  if (registration->state == REG_UNCONFIRMED && sidecar->health_check == NULL
      && now - registration->updated_at >= CHECK_TIMEOUT)
    stop_waiting (sidecar, "no health check is known");
}
