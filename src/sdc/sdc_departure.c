/* Departures that outlive the process which acknowledged them.

   An upstream that has left may serve on for many seconds, and its earlier
   heartbeats may arrive late.  A process that starts beside it knows nothing
   of the departure, so others must hold it until the upstream has ended: the
   store in the record of the node, and the other nodes in their directories.
   The store may have been away when the departure was acknowledged, or have
   come back from an earlier copy.  So a node that has a link with another one
   returns what it knows of a departure there.  */

#include "base/log.h"
#include "sdc/sdc_internal.h"

/* Timeout of the check whether an upstream that has left still serves.  */
#define END_CHECK_TIMEOUT CLK_SECOND

static void
return_departure (struct sdc *sidecar, struct hub_inbound_link *inbound,
                  dir_handle peer)
{
  const struct mbr_member *departure
      = dir_departure (sidecar->directory, peer);
  const struct mbr_member *newest = dir_get (sidecar->directory, peer);
  struct mbr_member record;

  if (departure == NULL || peer == sidecar->self)
    return;
  if (departure != newest)
    log_write (LOG_INFO, "sdc",
               "node %s may not know that upstream %s has left; returning the "
               "record of its earlier process",
               newest->name, departure->upstream);
  /* A process that is declared dead publishes its record again; this one may
     follow the one that was.  */
  record = *departure;
  record.state = MBR_LEAVING;
  syn_return_record (sidecar->sync, inbound, peer, &record);
}

void
sdc_return_departure (struct sdc *sidecar, dir_handle peer)
{
  return_departure (sidecar, NULL, peer);
}

void
sdc_answer_hello (struct sdc *sidecar, struct hub_inbound_link *inbound,
                  const struct mbr_member *record)
{
  dir_handle peer = dir_find (sidecar->directory, record->name);
  const struct mbr_member *departure
      = dir_departure (sidecar->directory, peer);

  if (departure != NULL && departure->incarnation != record->incarnation)
    return_departure (sidecar, inbound, peer);
}

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
