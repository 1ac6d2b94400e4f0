/* Watch of the roll-outs in the store, and their hooks.  */

#include "base/log.h"
#include "sdc/sdc_internal.h"

#include <string.h>

/* Orders come minutes apart and their status twice, so calls wait long; the
   probe of the store notices when it does not answer.  */
static const struct wch_timing timing = { 10000, 0 };

static void
forward (void *context, const Mesh__Frame *frame)
{
  struct sdc *sidecar = context;

  syn_forward (sidecar->sync, frame);
}

static bool
is_service (void *context, const char *service)
{
  const struct sdc *sidecar = context;
  const struct doc_document *document;

  if (sidecar->snapshot == NULL)
    return false;
  document = sidecar->snapshot->document;
  for (size_t i = 0; i < document->service_count; i++)
    if (strcmp (document->services[i].name, service) == 0)
      return true;
  return false;
}

static size_t
count_other_calls (void *context, const char *service, const char *version)
{
  const struct sdc *sidecar = context;

  return fwd_count_other_calls (sidecar->forwarder, service, version);
}

static size_t
count_gate_calls (void *context)
{
  const struct sdc *sidecar = context;

  return gat_in_progress (sidecar->gate);
}

/* The calls that wait at the gate are refused, so that their senders place
   them at the old version.  */
static void
withdrawn (void *context)
{
  struct sdc *sidecar = context;

  gat_apply_registration (sidecar->gate);
}

static void
on_updated (void *context, const struct sto_object *object)
{
  struct sdc *sidecar = context;

  if (!rol_handle_object (sidecar->rollouts, object))
    sidecar->has_unknown_orders = true;
}

static void
on_removed (void *context, const char *name)
{
  struct sdc *sidecar = context;

  rol_handle_removed (sidecar->rollouts, name);
}

static void
ignore_event (void *context)
{
  (void)context;
}

static void
on_health_changed (void *context, enum wch_health health)
{
  struct sdc *sidecar = context;

  rol_set_store_current (sidecar->rollouts, health == WCH_CURRENT);
}

const struct wch_handlers sdc_rollout_handlers
    = { on_updated, on_removed, ignore_event, ignore_event,
        on_health_changed };

void
sdc_create_rollouts (struct sdc *sidecar)
{
  const struct cfg_sidecar *settings = &sidecar->settings;
  struct rol_options options
      = { .loop = sidecar->loop,
          .platform = sidecar->platform,
          .hub = sidecar->hub,
          .directory = sidecar->directory,
          .self = sidecar->self,
          .store = sidecar->store,
          .registration = &sidecar->registration,
          .max_share = settings->max_rollout_share,
          .rollback_time = settings->rollback_time,
          .hooks = { sidecar, forward, is_service, count_other_calls,
                     count_gate_calls, withdrawn } };

  if (settings->max_rollout_share <= 0)
    return;
  sidecar->rollouts = rol_create (&options);
  sidecar->rollout_watch = wch_create (sidecar->loop, sidecar->store,
                                       sidecar->platform->rollout_kind, timing,
                                       &sdc_rollout_handlers, sidecar);
}

void
sdc_start_rollout_watch (struct sdc *sidecar)
{
  if (sidecar->rollout_watch == NULL || sidecar->snapshot == NULL
      || !wch_is_started (sidecar->config_watch))
    return;
  if (sidecar->has_unknown_orders)
    wch_stop (sidecar->rollout_watch);
  sidecar->has_unknown_orders = false;
  wch_start (sidecar->rollout_watch);
}

void
sdc_stop_rollout_watch (struct sdc *sidecar)
{
  if (sidecar->rollout_watch == NULL)
    return;
  wch_stop (sidecar->rollout_watch);
  rol_set_store_current (sidecar->rollouts, false);
}
