/* Heartbeats of an upstream, and how it drains and deregisters.  */

#include "sup_internal.h"

#include "pfm_names.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Time between two deregistrations.  */
#define DEREGISTER_INTERVAL (50 * CLK_MILLISECOND)

static bool
on_acknowledged (void *context, struct cnx *connection,
                 struct htp_message *message)
{
  struct sup *upstream = context;

  if (message->status / 100 == 2 && cnx_data (connection) != NULL)
    upstream->acknowledged = true;
  if (!cnx_is_persistent (connection))
    {
      cnx_close (connection);
      upstream->heartbeat = NULL;
    }
  return true;
}

static void
on_lost (void *context, struct cnx *connection, enum cnx_failure failure)
{
  struct sup *upstream = context;

  (void)failure;
  cnx_close (connection);
  upstream->heartbeat = NULL;
}

static const struct cnx_handlers heartbeat_handlers
    = { on_acknowledged, on_lost };

static void
put_deregistration (const struct sup *upstream, struct buf *output)
{
  char body[64];

  snprintf (body, sizeof body, "{\"" PFM_BORN "\":%" PRIu64 "}",
            upstream->born);
  htp_put_header (output, "Content-Type", "application/json");
  htp_put_body (output, body, strlen (body));
}

static void
put_heartbeat (const struct sup *upstream, bool draining, uint64_t sequence,
               struct buf *output)
{
  char address[NET_TEXT_SIZE];
  struct buf body = { 0 };

  net_format (upstream->settings.announced_address, address);
  buf_printf (&body,
              "{\"" PFM_ADDRESS "\":\"%s\",\"" PFM_BORN "\":%" PRIu64
              ",\"" PFM_INFO "\":{\"" PFM_SERVICE "\":\"%s\",\"" PFM_ZONE
              "\":\"%s\",\"" PFM_SOFTWARE_VERSION "\":\"%s\",\"" PFM_SLOTS
              "\":%u},\"" PFM_STATUS "\":{\"" PFM_STATE "\":\"%s\",\"" PFM_SEQ
              "\":%" PRIu64 ",\"" PFM_COLD_LEFT_S "\":0}}",
              address, upstream->born, upstream->service,
              upstream->data_centre, upstream->version,
              upstream->settings.slots,
              draining ? PFM_STATE_DRAINING : PFM_STATE_READY, sequence);
  htp_put_header (output, "Content-Type", "application/json");
  htp_put_body (output, body.data, body.length);
  buf_close (&body);
}

void
sup_send_heartbeat (void *context)
{
  static const struct htp_limits limits = { 4096, 4096 };
  struct sup *upstream = context;
  bool leaves = upstream->draining || upstream->deregistering;
  char target[2 * SUP_NAME_SIZE];
  struct buf *output;

  if (upstream->deregistering && upstream->acknowledged)
    return;
  evl_timer_set (&upstream->timer,
                 evl_now (upstream->loop)
                     + (upstream->deregistering
                            ? DEREGISTER_INTERVAL
                            : upstream->settings.heartbeat_interval));
  if (upstream->heartbeat == NULL)
    upstream->heartbeat = cnx_open (upstream->loop, upstream->settings.control,
                                    &heartbeat_handlers, upstream, &limits);
  if (!cnx_is_idle (upstream->heartbeat))
    return;
  upstream->sequence++;
  cnx_set_data (upstream->heartbeat, leaves ? upstream : NULL);
  snprintf (target, sizeof target, "%s%s",
            upstream->deregistering ? PFM_DEREGISTER_PATH : PFM_HEARTBEAT_PATH,
            upstream->name);
  output = cnx_request_buffer (upstream->heartbeat);
  htp_put_request (output, "POST", target);
  htp_put_header (output, "Host", "control");
  if (upstream->deregistering)
    put_deregistration (upstream, output);
  else
    put_heartbeat (upstream, upstream->draining, upstream->sequence, output);
  cnx_send (upstream->heartbeat, false);
}

static bool
on_late_answered (void *context, struct cnx *connection,
                  struct htp_message *message)
{
  struct sup *upstream = context;

  (void)message;
  cnx_close (connection);
  upstream->late_heartbeat = NULL;
  return true;
}

static void
on_late_lost (void *context, struct cnx *connection, enum cnx_failure failure)
{
  struct sup *upstream = context;

  (void)failure;
  cnx_close (connection);
  upstream->late_heartbeat = NULL;
}

static const struct cnx_handlers late_heartbeat_handlers
    = { on_late_answered, on_late_lost };

void
sup_send_late_heartbeat (struct sup *upstream)
{
  static const struct htp_limits limits = { 4096, 4096 };
  char target[2 * SUP_NAME_SIZE];
  struct buf *output;

  cnx_close (upstream->late_heartbeat);
  upstream->late_heartbeat
      = cnx_open (upstream->loop, upstream->settings.control,
                  &late_heartbeat_handlers, upstream, &limits);
  snprintf (target, sizeof target, "%s%s", PFM_HEARTBEAT_PATH, upstream->name);
  output = cnx_request_buffer (upstream->late_heartbeat);
  htp_put_request (output, "POST", target);
  htp_put_header (output, "Host", "control");
  put_heartbeat (upstream, false, 1, output);
  cnx_send (upstream->late_heartbeat, false);
}

void
sup_drain (struct sup *upstream)
{
  upstream->draining = true;
  sup_send_heartbeat (upstream);
}

void
sup_deregister (struct sup *upstream)
{
  upstream->deregistering = true;
  sup_send_heartbeat (upstream);
}

bool
sup_is_drain_acknowledged (const struct sup *upstream)
{
  return upstream->acknowledged;
}
