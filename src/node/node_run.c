/* Assembles a node, waits for a signal, drains and stops it.  */

#include "node/node.h"

#include "base/err.h"
#include "base/log.h"
#include "call/call.h"
#include "ctl/ctl.h"
#include "gate/gate.h"
#include "http/http.h"
#include "http/http_admin.h"
#include "lnk/lnk.h"
#include "met/met.h"
#include "plt/plt.h"
#include "up/up_lease.h"
#include "view/view.h"

#include <malloc.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

/* Callers that were notified of the shutdown need this long to come back
   elsewhere, and members this long to learn of it.  */
#define LEAVE_PAUSE (2 * CLK_SECOND)
/* glibc opens up to 8 arenas a core, each with its own unused memory; with a
   few arenas a node's resident memory is smaller and varies less.  */
#define MAX_ARENAS 2

struct node
{
  const struct cfg_settings *settings;
  struct up_lease *lease;
  struct ctl *ctl;
  struct gate *gate;
  struct lnk_pool *pool;
  struct call_runner *runner;
  struct http_front *front;
  struct http_admin *admin;
};

static void
fetch_hook (void *context, const Mesh__FetchRequest *request,
            Mesh__FetchReply *reply)
{
  struct node *node = context;

  ctl_fetch (node->ctl, request, reply);
}

/* What the configuration in effect says of a tenant.  */
static void
policy_hook (void *context, const char *tenant, struct gate_policy *policy)
{
  struct view *view = view_acquire ();
  const struct doc_document *document;

  (void)context;
  if (view != NULL && view->snapshot != NULL)
    {
      document = view->snapshot->document;
      memcpy (policy->preference, document->preference,
              sizeof policy->preference);
      for (size_t i = 0; i < document->tenant_count; i++)
        if (strcmp (document->tenants[i].name, tenant) == 0)
          {
            policy->tenant_known = true;
            policy->tenant_max = document->tenants[i].max_in_progress;
          }
    }
  view_release (view);
}

static struct plt_client
platform_hook (void *context)
{
  struct node *node = context;

  return plt_open_http (node->settings->platform_url);
}

static bool
ready_hook (void *context)
{
  struct node *node = context;

  return ctl_is_ready (node->ctl);
}

static json_t *
status_hook (void *context)
{
  struct node *node = context;

  return ctl_status (node->ctl);
}

static void
metrics_hook (void *context, struct buf *output)
{
  struct node *node = context;

  ctl_metrics (node->ctl);
  met_expose (output);
  buf_printf (output, "mulberryshift_calls_in_progress %zu\n",
              http_front_in_progress (node->front));
}

static json_t *
trace_hook (void *context, const char *id)
{
  struct node *node = context;

  return call_trace (node->runner, id);
}

static bool
start_parts (struct node *node)
{
  uint64_t incarnation = clk_wall_ms ();
  const char *environment = node->settings->environment;
  struct lnk_identity identity
      = { .name = node->settings->name,
          .incarnation = incarnation,
          .mesh = XXH3_64bits (environment, strlen (environment)) };
  struct gate_hooks gate_hooks = { .context = node,
                                   .fetch = fetch_hook,
                                   .policy = policy_hook,
                                   .platform = { node, platform_hook } };
  struct http_admin_hooks admin_hooks
      = { node, ready_hook, status_hook, metrics_hook, trace_hook };
  struct ctl_parts parts;

  node->lease = up_lease_create ();
  node->pool = lnk_pool_create (&identity);
  node->runner = call_create (node->pool, incarnation);
  parts = (struct ctl_parts){ node->settings, incarnation, node->lease,
                              node->pool };
  return ctl_create (&parts, &node->ctl) == CTL_OK
         && gate_create (node->settings, incarnation, node->lease, &gate_hooks,
                         &node->gate)
                == GATE_OK
         && http_front_create (node->settings, node->runner, &node->front)
                == HTTP_OK
         && http_admin_create (node->settings, node->lease, &admin_hooks,
                               &node->admin)
                == HTTP_OK;
}

/* Refuses new work, then waits until running calls have finished.  */
static void
drain (struct node *node)
{
  clk_time now = clk_now ();
  clk_time earliest = now + LEAVE_PAUSE;
  clk_time latest = now + node->settings->drain_ms * CLK_MILLISECOND;

  log_write (LOG_INFO, "node", "draining");
  http_admin_drain (node->admin);
  gate_leave (node->gate);
  ctl_leave (node->ctl);
  http_front_drain (node->front);
  while (now < latest
         && (now < earliest || gate_in_progress (node->gate) > 0
             || http_front_in_progress (node->front) > 0))
    {
      usleep (10000);
      now = clk_now ();
    }
}

static void
stop_parts (struct node *node)
{
  http_front_destroy (node->front);
  http_admin_destroy (node->admin);
  gate_destroy (node->gate);
  ctl_destroy (node->ctl);
  call_destroy (node->runner);
  lnk_pool_destroy (node->pool);
  up_lease_destroy (node->lease);
}

/* Reads the settings again and applies those that may change while a node
   runs: the log level.  Invalid settings change nothing.  */
static void
reload_settings (const char *file)
{
  struct cfg_settings settings;
  struct buf report = { 0 };

  if (cfg_load (file, &settings, &report) == CFG_OK)
    {
      log_set_level ((enum log_level)settings.log_level);
      log_write (LOG_INFO, "node",
                 "settings read again; the log level is in "
                 "effect, the rest needs a restart");
    }
  else
    log_write (LOG_ERROR, "node", "settings not read again: %s%s",
               buf_text (&report), err_last ());
  buf_close (&report);
}

/* Returns when a signal asks for a shutdown.  */
static void
wait_for_shutdown (const sigset_t *signals, const char *file)
{
  int number = 0;

  while (number != SIGTERM && number != SIGINT)
    if (sigwait (signals, &number) == 0 && number == SIGHUP)
      reload_settings (file);
}

int
node_run (const struct cfg_settings *settings, const char *file)
{
  struct node node = { .settings = settings };
  sigset_t signals;
  bool started;

  mallopt (M_ARENA_MAX, MAX_ARENAS);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigaddset (&signals, SIGHUP);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  started = start_parts (&node);
  if (started)
    {
      log_write (LOG_INFO, "node", "started");
      wait_for_shutdown (&signals, file);
      drain (&node);
    }
  else
    log_write (LOG_ERROR, "node", "cannot start: %s", err_last ());
  stop_parts (&node);
  log_write (LOG_INFO, "node", "stopped");
  return started ? 0 : 1;
}
