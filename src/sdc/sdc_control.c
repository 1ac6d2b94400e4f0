/* Heartbeats of the upstream, readiness probes and metrics.  */

#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"
#include "met/met.h"
#include "sdc/sdc_internal.h"

#include <stdlib.h>
#include <string.h>

/* The upstream waits one second for an acknowledgement.  */
#define ACK_PATIENCE (850 * CLK_MILLISECOND)

static void
answer_json (struct srv_connection *connection, unsigned status,
             const char *body)
{
  struct buf *output = srv_start_response (connection, status);

  htp_put_header (output, "Content-Type", "application/json");
  srv_finish_response (connection, body, strlen (body));
}

/* Returns whether the store, or another node, holds what this node's record
   says.  */
static bool
is_safe (const struct sdc *sidecar)
{
  return (sidecar->nodes_known && pub_is_up_to_date (sidecar->publisher))
         || sidecar->confirmed >= sidecar->record.sequence;
}

/* Acknowledges once the departure would survive this process.  */
static void
acknowledge_later (struct sdc *sidecar, struct srv_connection *connection)
{
  struct sdc_ack *ack;

  if (is_safe (sidecar))
    {
      answer_json (connection, 200, "{}");
      return;
    }
  ack = mem_alloc (1, sizeof *ack);
  ack->connection = connection;
  ack->sequence = sidecar->record.sequence;
  ack->deadline = evl_now (sidecar->loop) + ACK_PATIENCE;
  ack->next = sidecar->acks;
  sidecar->acks = ack;
}

void
sdc_check_acks (struct sdc *sidecar)
{
  struct sdc_ack **place = &sidecar->acks;
  clk_time now = evl_now (sidecar->loop);
  bool safe = is_safe (sidecar);

  while (*place != NULL)
    {
      struct sdc_ack *ack = *place;

      if (!safe && now < ack->deadline)
        {
          place = &ack->next;
          continue;
        }
      *place = ack->next;
      answer_json (ack->connection, safe ? 200 : 503, "{}");
      free (ack);
    }
}

static void
on_control_gone (void *context, struct srv_connection *connection)
{
  struct sdc *sidecar = context;

  for (struct sdc_ack **place = &sidecar->acks; *place != NULL;
       place = &(*place)->next)
    if ((*place)->connection == connection)
      {
        struct sdc_ack *ack = *place;

        *place = ack->next;
        free (ack);
        return;
      }
}

/* Returns whether an announcement can be of the upstream on this VM.  */
static bool
is_plausible (const struct sdc *sidecar,
              const struct ptf_heartbeat *announcement)
{
  const struct doc_document *document;

  if (announcement->address.ip != sidecar->settings.upstream_address.ip)
    return false;
  if (sidecar->snapshot == NULL
      || strcmp (announcement->service, sidecar->settings.service) == 0)
    return true;
  document = sidecar->snapshot->document;
  for (size_t i = 0; i < document->service_count; i++)
    if (strcmp (document->services[i].name, announcement->service) == 0)
      return true;
  return false;
}

static void
log_registration (const struct sdc *sidecar)
{
  const struct ptf_heartbeat *upstream = &sidecar->registration.upstream;

  log_write (LOG_INFO, "sdc", "upstream %s of %s is %s", upstream->name,
             upstream->service, reg_state_name (sidecar->registration.state));
}

static void
take_announcement (struct sdc *sidecar, struct srv_connection *connection,
                   const struct ptf_heartbeat *announcement)
{
  enum reg_result verdict;

  if (!is_plausible (sidecar, announcement))
    {
      log_write (LOG_WARNING, "sdc",
                 "a heartbeat of %s was refused: it is not of this VM or its "
                 "service is unknown",
                 announcement->name);
      answer_json (connection, 400, "{}");
      return;
    }
  verdict = reg_handle_heartbeat (&sidecar->registration, announcement,
                                  evl_now (sidecar->loop));
  if (verdict == REG_CHANGED)
    {
      log_registration (sidecar);
      sdc_registration_changed (sidecar);
    }
  if (announcement->leaving)
    acknowledge_later (sidecar, connection);
  else
    answer_json (connection, 200, "{}");
}

static void
take_farewell (struct sdc *sidecar, struct srv_connection *connection,
               const struct ptf_heartbeat *announcement)
{
  enum reg_result verdict
      = reg_deregister (&sidecar->registration, announcement->name,
                        announcement->start_ms, evl_now (sidecar->loop));

  if (verdict == REG_CHANGED)
    {
      log_registration (sidecar);
      sdc_registration_changed (sidecar);
    }
  acknowledge_later (sidecar, connection);
}

static void
on_control (void *context, struct srv_connection *connection,
            struct htp_message *message)
{
  struct sdc *sidecar = context;
  struct ptf_heartbeat announcement;
  enum ptf_control control;

  if (sidecar->platform->read_control (message, &control, &announcement)
      != PTF_OK)
    {
      log_write (LOG_WARNING, "sdc", "a heartbeat was refused: %s",
                 err_last ());
      answer_json (connection, 400, "{}");
    }
  else if (control == PTF_CONTROL_HEARTBEAT)
    take_announcement (sidecar, connection, &announcement);
  else if (control == PTF_CONTROL_DEREGISTER)
    take_farewell (sidecar, connection, &announcement);
  else
    answer_json (connection, 404, "{}");
}

const struct srv_handlers sdc_control_handlers
    = { on_control, on_control_gone };

bool
sdc_is_ready (const struct sdc *sidecar)
{
  return sidecar->snapshot != NULL && sidecar->stop_at == 0;
}

static void
on_ready (void *context, struct srv_connection *connection,
          struct htp_message *message)
{
  const struct sdc *sidecar = context;
  unsigned status = 404;

  if (strcmp (htp_target (message), sidecar->platform->ready_target) == 0)
    status = sdc_is_ready (sidecar) ? 200 : 503;
  srv_start_response (connection, status);
  srv_finish_response (connection, NULL, 0);
}

static void
on_gone (void *context, struct srv_connection *connection)
{
  (void)context;
  (void)connection;
}

const struct srv_handlers sdc_ready_handlers = { on_ready, on_gone };

static void
on_metrics (void *context, struct srv_connection *connection,
            struct htp_message *message)
{
  struct buf text = { 0 };
  struct buf *output;

  (void)context;
  (void)message;
  met_expose (&text);
  output = srv_start_response (connection, 200);
  htp_put_header (output, "Content-Type", "text/plain; version=0.0.4");
  srv_finish_response (connection, text.data, text.length);
  buf_close (&text);
}

const struct srv_handlers sdc_metrics_handlers = { on_metrics, on_gone };
