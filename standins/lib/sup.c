/* Stand-in of an upstream: creation, settings and counters.  */

#include "sup_internal.h"

#include "base/mem.h"

#include <stdio.h>
#include <stdlib.h>

static const struct srv_handlers handlers
    = { sup_handle_request, sup_handle_gone, NULL };

struct sup *
sup_create (struct evl *loop, const struct sup_settings *settings)
{
  static const struct srv_limits limits = {
    { 16384, 64u * 1024u * 1024u }, 60 * CLK_SECOND, 10 * CLK_SECOND, 0, 0, 0
  };
  struct sup *upstream = mem_alloc (1, sizeof *upstream);

  upstream->loop = loop;
  upstream->settings = *settings;
  if (settings->announced_address.port == 0)
    upstream->settings.announced_address = settings->address;
  upstream->last_descriptor = -1;
  upstream->born = clk_wall_ms ();
  snprintf (upstream->name, SUP_NAME_SIZE, "%s", settings->name);
  snprintf (upstream->service, SUP_NAME_SIZE, "%s", settings->service);
  snprintf (upstream->data_centre, SUP_NAME_SIZE, "%s", settings->data_centre);
  snprintf (upstream->version, SUP_NAME_SIZE, "%s",
            settings->version != NULL ? settings->version : "v1");
  evl_timer_init (&upstream->timer, loop, sup_send_heartbeat, upstream);
  if (srv_create (loop, settings->address, &handlers, upstream, &limits,
                  &upstream->server)
      != SRV_OK)
    {
      free (upstream);
      return NULL;
    }
  sup_send_heartbeat (upstream);
  return upstream;
}

void
sup_destroy (struct sup *upstream)
{
  struct lst_entry *link;

  if (upstream == NULL)
    return;
  while ((link = lst_pop_front (&upstream->runs)) != NULL)
    sup_free_run (LST_ITEM (link, struct sup_run, list));
  evl_timer_stop (&upstream->timer);
  cnx_close (upstream->heartbeat);
  cnx_close (upstream->late_heartbeat);
  srv_destroy (upstream->server);
  buf_close (&upstream->last_fields);
  free (upstream);
}

void
sup_go_dark (struct sup *upstream)
{
  upstream->fault = SUP_SILENT;
  evl_timer_stop (&upstream->timer);
  cnx_close (upstream->heartbeat);
  upstream->heartbeat = NULL;
  srv_stop_accepting (upstream->server);
}

void
sup_set_body_size (struct sup *upstream, size_t bytes)
{
  upstream->body_size = bytes;
}

void
sup_set_service_time (struct sup *upstream, clk_time work)
{
  upstream->settings.service_time = work;
}

uint64_t
sup_run_count (const struct sup *upstream)
{
  return upstream->done_count;
}

uint64_t
sup_request_count (const struct sup *upstream)
{
  return upstream->arrivals;
}

uint64_t
sup_duplicate_count (const struct sup *upstream)
{
  return upstream->repeats;
}

void
sup_set_health_failing (struct sup *upstream, bool on)
{
  upstream->health_failing = on;
}

void
sup_set_health_passing (struct sup *upstream, bool on)
{
  upstream->health_passing = on;
}

uint64_t
sup_health_check_count (const struct sup *upstream)
{
  return upstream->health_checks;
}

clk_time
sup_last_request_time (const struct sup *upstream)
{
  return upstream->last_arrival;
}
