/* Stand-in of an upstream on the users' platform, as a process.

   Usage: standin-mesh_upstream LISTEN ANNOUNCED CONTROL NAME SERVICE
                                DATA-CENTRE WORK-MS

   Prints "run ID TENANT CREDENTIALS" when a request begins to run: the tenant
   that it names, or "-", and "none", or "some" when it brings the caller's
   key.  Prints "cut ID" when the connection of a running request ends.  A
   request with the query "work_ms=N" runs N ms.  SIGTERM makes it say that it
   leaves; it prints "acknowledged" once that was acknowledged, serves for
   three more seconds, and ends.  SIGUSR2 makes it deregister instead; it then
   serves for 13 more seconds, while heartbeats from before arrive late.
   SIGUSR1 makes it lose answers for a while.  */

#include "base/err.h"
#include "pfm_names.h"
#include "sup.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define SLOTS 6
#define HEARTBEAT (300 * CLK_MILLISECOND)

/* After a departure: how long it is served, and how long an acknowledgement
   may take.  */
#define DEPARTURE_TIME (3 * CLK_SECOND)
#define DEREGISTERED_TIME (13 * CLK_SECOND)
#define ACKNOWLEDGEMENT_WAIT (6 * CLK_SECOND)
#define POLL_INTERVAL (50 * CLK_MILLISECOND)
#define LOSING (2 * CLK_SECOND)

/* Heartbeats that arrive late after a deregistration.  */
#define LATE_HEARTBEAT_INTERVAL (500 * CLK_MILLISECOND)
#define LATE_HEARTBEAT_COUNT 24

static struct evl *loop;
static struct sup *upstream;
static struct evl_timer look;
static struct evl_timer recovery;
static struct evl_timer late;
static clk_time end;
static clk_time departure_time = DEPARTURE_TIME;
static bool acknowledged;
static unsigned late_count;

static void
on_run (const struct htp_message *message)
{
  const char *tenant = htp_find_header (message, PFM_TENANT_ID);

  printf ("run %s %s %s\n", htp_find_header (message, PFM_REQUEST_ID),
          tenant != NULL ? tenant : "-",
          htp_find_header (message, PFM_AUTHORIZATION) != NULL ? "some"
                                                               : "none");
  fflush (stdout);
}

static void
on_cut (const char *id)
{
  printf ("cut %s\n", id);
  fflush (stdout);
}

static void
on_late_heartbeat (void *context)
{
  (void)context;
  if (late_count++ == LATE_HEARTBEAT_COUNT)
    return;
  sup_send_late_heartbeat (upstream);
  evl_timer_set (&late, evl_now (loop) + LATE_HEARTBEAT_INTERVAL);
}

static void
on_look (void *context)
{
  clk_time now = evl_now (loop);

  (void)context;
  if (!acknowledged && sup_is_drain_acknowledged (upstream))
    {
      acknowledged = true;
      printf ("acknowledged\n");
      fflush (stdout);
      end = now + departure_time;
      if (departure_time == DEREGISTERED_TIME)
        evl_timer_set (&late, now + LATE_HEARTBEAT_INTERVAL);
    }
  if (now >= end)
    evl_stop (loop);
  else
    evl_timer_set (&look, now + POLL_INTERVAL);
}

static void
on_terminate (void *context)
{
  (void)context;
  end = evl_now (loop) + ACKNOWLEDGEMENT_WAIT;
  sup_drain (upstream);
  on_look (NULL);
}

static void
on_deregister (void *context)
{
  end = evl_now (loop) + ACKNOWLEDGEMENT_WAIT;
  departure_time = DEREGISTERED_TIME;
  sup_deregister (upstream);
  on_look (context);
}

static void
on_recovery (void *context)
{
  (void)context;
  sup_set_fault (upstream, SUP_HEALTHY);
}

static void
on_lose (void *context)
{
  (void)context;
  sup_set_fault (upstream, SUP_LOSE_RESPONSE);
  evl_timer_set (&recovery, evl_now (loop) + LOSING);
}

int
main (int count, char **arguments)
{
  struct sup_settings settings = { .slots = SLOTS,
                                   .heartbeat_interval = HEARTBEAT,
                                   .on_run = on_run,
                                   .on_cut = on_cut };

  if (count != 8 || !net_parse (arguments[1], &settings.address)
      || !net_parse (arguments[2], &settings.announced_address)
      || !net_parse (arguments[3], &settings.control))
    {
      fprintf (stderr, "usage: standin-mesh_upstream LISTEN ANNOUNCED CONTROL "
                       "NAME SERVICE DATA-CENTRE WORK-MS\n");
      return 2;
    }
  settings.name = arguments[4];
  settings.service = arguments[5];
  settings.data_centre = arguments[6];
  settings.service_time = strtol (arguments[7], NULL, 10) * CLK_MILLISECOND;
  signal (SIGPIPE, SIG_IGN);
  loop = evl_create ();
  evl_timer_init (&look, loop, on_look, NULL);
  evl_timer_init (&recovery, loop, on_recovery, NULL);
  evl_timer_init (&late, loop, on_late_heartbeat, NULL);
  upstream = sup_create (loop, &settings);
  if (upstream == NULL)
    {
      fprintf (stderr, "%s\n", err_last ());
      return 1;
    }
  evl_on_signal (loop, SIGTERM, on_terminate, NULL);
  evl_on_signal (loop, SIGUSR1, on_lose, NULL);
  evl_on_signal (loop, SIGUSR2, on_deregister, NULL);
  evl_run (loop);
  sup_destroy (upstream);
  return 0;
}
