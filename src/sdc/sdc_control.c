/* Servers for heartbeats of the upstream, readiness probes and metrics.  */

#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"
#include "met/met.h"
#include "sdc/sdc_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Timeout of an acknowledgement; the upstream waits one second for it.  */
#define ACK_TIMEOUT (850 * CLK_MILLISECOND)

static void
send_json_response (struct srv_exchange *exchange, unsigned status,
                    const char *body)
{
  struct buf *output = srv_start_response (exchange, status);

  htp_put_header (output, "Content-Type", "application/json");
  srv_finish_response (exchange, body, strlen (body));
}

/* Returns who holds this node's record with SEQUENCE, or a later one, so that
   it survives the loss of this process; null while nobody does.  */
static const char *
find_holder (const struct sdc *sidecar, uint64_t sequence)
{
  if (pub_holds (sidecar->publisher, sequence))
    return "the store";
  return sidecar->acknowledged_sequence >= sequence ? "another node" : NULL;
}

/* Answers the departure that this node's record has since SEQUENCE.  HOLDER is
   null when it is not durable.  */
static void
answer_departure (const struct sdc *sidecar, struct srv_exchange *exchange,
                  uint64_t sequence, const char *holder)
{
  const struct ptf_heartbeat *upstream = &sidecar->registration.upstream;

  if (holder != NULL)
    log_write (LOG_INFO, "sdc",
               "acknowledged that upstream %s leaves: %s holds record %" PRIu64
               " of this node",
               upstream->name, holder, sequence);
  else
    log_write (
        LOG_WARNING, "sdc",
        "did not acknowledge that upstream %s leaves: neither the store "
        "nor another node holds record %" PRIu64 " of this node",
        upstream->name, sequence);
  send_json_response (exchange, holder != NULL ? 200 : 503, "{}");
}

/* Acknowledges a draining heartbeat or a deregistration when this node's
   record is durable.  */
static void
acknowledge_when_durable (struct sdc *sidecar, struct srv_exchange *exchange)
{
  uint64_t sequence = sidecar->record.sequence;
  const char *holder = find_holder (sidecar, sequence);
  struct sdc_pending_ack *ack;

  if (holder != NULL)
    {
      answer_departure (sidecar, exchange, sequence, holder);
      return;
    }
  ack = mem_alloc (1, sizeof *ack);
  ack->exchange = exchange;
  ack->sequence = sequence;
  ack->deadline = evl_now (sidecar->loop) + ACK_TIMEOUT;
  ack->next = sidecar->pending_acks;
  sidecar->pending_acks = ack;
}

void
sdc_send_acks (struct sdc *sidecar)
{
  struct sdc_pending_ack **position = &sidecar->pending_acks;
  clk_time now = evl_now (sidecar->loop);

  while (*position != NULL)
    {
      struct sdc_pending_ack *ack = *position;
      const char *holder = find_holder (sidecar, ack->sequence);

      if (holder == NULL && now < ack->deadline)
        {
          position = &ack->next;
          continue;
        }
      *position = ack->next;
      answer_departure (sidecar, ack->exchange, ack->sequence, holder);
      free (ack);
    }
}

static void
on_control_disconnected (void *context, struct srv_exchange *exchange)
{
  struct sdc *sidecar = context;

  for (struct sdc_pending_ack **position = &sidecar->pending_acks;
       *position != NULL; position = &(*position)->next)
    if ((*position)->exchange == exchange)
      {
        struct sdc_pending_ack *ack = *position;

        *position = ack->next;
        free (ack);
        return;
      }
}

/* Returns whether a heartbeat can be from the upstream on this VM: it has its
   address, and its service is known.  */
static bool
is_plausible (const struct sdc *sidecar, const struct ptf_heartbeat *heartbeat)
{
  const struct doc_document *document;

  if (heartbeat->address.ip != sidecar->settings.upstream_address.ip)
    return false;
  if (sidecar->snapshot == NULL
      || strcmp (heartbeat->service, sidecar->settings.service) == 0)
    return true;
  document = sidecar->snapshot->document;
  for (size_t i = 0; i < document->service_count; i++)
    if (strcmp (document->services[i].name, heartbeat->service) == 0)
      return true;
  return false;
}

static void
log_registration (const struct sdc *sidecar)
{
  const struct ptf_heartbeat *upstream = &sidecar->registration.upstream;

  log_write (LOG_INFO, "sdc", "upstream %s of service %s is now %s",
             upstream->name,
             upstream->service[0] != '\0' ? upstream->service : "(unknown)",
             reg_state_name (sidecar->registration.state));
}

/* Returns whether this process has read the records of the nodes from the
   store or has links with other nodes, so that it knows of a departure that an
   earlier process acknowledged.  */
static bool
knows_departures (const struct sdc *sidecar)
{
  return sidecar->settings.first_start || sidecar->joined;
}

static void
handle_heartbeat (struct sdc *sidecar, struct srv_exchange *exchange,
                  const struct ptf_heartbeat *heartbeat)
{
  enum reg_result result;

  if (!is_plausible (sidecar, heartbeat))
    {
      log_write (LOG_WARNING, "sdc",
                 "rejected a heartbeat of upstream %s: its address is not on "
                 "this VM or its service is not in the configuration",
                 heartbeat->name);
      send_json_response (exchange, 400, "{}");
      return;
    }
  result = reg_handle_heartbeat (&sidecar->registration, heartbeat,
                                 evl_now (sidecar->loop));
  if (result == REG_CHANGED && !knows_departures (sidecar))
    reg_require_confirmation (&sidecar->registration);
  if (result == REG_CHANGED)
    {
      log_registration (sidecar);
      sdc_handle_registration_change (sidecar);
      sdc_confirm_upstream (sidecar);
    }
  if (heartbeat->leaving)
    acknowledge_when_durable (sidecar, exchange);
  else
    send_json_response (exchange, 200, "{}");
}

static void
handle_deregistration (struct sdc *sidecar, struct srv_exchange *exchange,
                       const struct ptf_heartbeat *heartbeat)
{
  enum reg_result result
      = reg_deregister (&sidecar->registration, heartbeat->name,
                        heartbeat->start_ms, evl_now (sidecar->loop));

  if (result == REG_CHANGED)
    {
      log_registration (sidecar);
      sdc_handle_registration_change (sidecar);
    }
  else if (result == REG_STALE)
    log_write (LOG_INFO, "sdc",
               "upstream %s, which deregisters, has been replaced by upstream "
               "%s",
               heartbeat->name, sidecar->registration.upstream.name);
  acknowledge_when_durable (sidecar, exchange);
}

static void
on_control (void *context, struct srv_exchange *exchange,
            struct htp_message *message)
{
  struct sdc *sidecar = context;
  struct ptf_heartbeat heartbeat;
  enum ptf_control control;

  if (sidecar->platform->read_control (message, &control, &heartbeat)
      != PTF_OK)
    {
      log_write (LOG_WARNING, "sdc",
                 "rejected an invalid heartbeat or deregistration: %s",
                 err_last ());
      send_json_response (exchange, 400, "{}");
    }
  else if (control == PTF_CONTROL_HEARTBEAT)
    handle_heartbeat (sidecar, exchange, &heartbeat);
  else if (control == PTF_CONTROL_DEREGISTER)
    handle_deregistration (sidecar, exchange, &heartbeat);
  else
    send_json_response (exchange, 404, "{}");
}

const struct srv_handlers sdc_control_handlers
    = { on_control, on_control_disconnected, NULL };

bool
sdc_is_ready (const struct sdc *sidecar)
{
  return sidecar->snapshot != NULL && !sidecar->stopping;
}

static void
on_ready (void *context, struct srv_exchange *exchange,
          struct htp_message *message)
{
  const struct sdc *sidecar = context;
  unsigned status = 404;

  if (strcmp (htp_target (message), sidecar->platform->ready_target) == 0)
    status = sdc_is_ready (sidecar) ? 200 : 503;
  srv_start_response (exchange, status);
  srv_finish_response (exchange, NULL, 0);
}

static void
on_disconnected (void *context, struct srv_exchange *exchange)
{
  (void)context;
  (void)exchange;
}

const struct srv_handlers sdc_ready_handlers
    = { on_ready, on_disconnected, NULL };

static void
on_metrics (void *context, struct srv_exchange *exchange,
            struct htp_message *message)
{
  struct buf text = { 0 };
  struct buf *output;

  (void)context;
  (void)message;
  met_expose (&text);
  output = srv_start_response (exchange, 200);
  htp_put_header (output, "Content-Type", "text/plain; version=0.0.4");
  srv_finish_response (exchange, text.data, text.length);
  buf_close (&text);
}

const struct srv_handlers sdc_metrics_handlers
    = { on_metrics, on_disconnected, NULL };
