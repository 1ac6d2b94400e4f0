/* Table of the services, their orders and phases.  */

#include "rol/rol_internal.h"

#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"
#include "met/met.h"
#include "own/own.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Nodes for which reports are sent at the shortest interval; with more, nodes
   without a gate of the service report less often.  */
#define FREQUENT_REPORTERS 150

/* Longest interval of reports: an owner that is alive replies within
   ROL_CONTACT_TIME.  */
#define MAX_REPORT_INTERVAL (400 * CLK_MILLISECOND)

/* Interval at which the owner is looked for.  */
#define OWNER_INTERVAL (50 * CLK_MILLISECOND)

/* Longest age of the store's last answer in messages.  */
#define MAX_STORE_AGE (60 * CLK_SECOND)

static void on_timer (void *context);

struct rol *
rol_create (const struct rol_options *options)
{
  struct rol *rollouts = mem_alloc (1, sizeof *rollouts);

  rollouts->options = *options;
  rollouts->created_at = evl_now (options->loop);
  rnd_init (&rollouts->random, rnd_system_seed ());
  evl_timer_init (&rollouts->timer, options->loop, on_timer, rollouts);
  return rollouts;
}

static void
free_service (struct rol_service *service)
{
  sto_cancel (service->write);
  rol_drop_tally (service);
  free (service->plan.canaries);
  free (service);
}

void
rol_destroy (struct rol *rollouts)
{
  if (rollouts == NULL)
    return;
  evl_timer_stop (&rollouts->timer);
  for (size_t i = 0; i < rollouts->service_count; i++)
    free_service (rollouts->services[i]);
  free (rollouts->services);
  free (rollouts);
}

struct rol_service *
rol_find_service (const struct rol *rollouts, const char *name)
{
  for (size_t i = 0; i < rollouts->service_count; i++)
    if (strcmp (rollouts->services[i]->name, name) == 0)
      return rollouts->services[i];
  return NULL;
}

struct rol_service *
rol_add_service (struct rol *rollouts, const char *name)
{
  struct rol_service *service = rol_find_service (rollouts, name);
  size_t length = strlen (name);

  if (service != NULL)
    return service;
  if (rollouts->service_count == ROL_MAX_SERVICES || length >= PTF_NAME_SIZE)
    return NULL;
  service = mem_alloc (1, sizeof *service);
  service->rollouts = rollouts;
  memcpy (service->name, name, length + 1);
  service->contact_at = evl_now (rollouts->options.loop) - ROL_CONTACT_TIME;
  service->store_seen_at = evl_now (rollouts->options.loop) - MAX_STORE_AGE;
  rollouts->services
      = mem_resize (rollouts->services, rollouts->service_count + 1,
                    sizeof (struct rol_service *));
  rollouts->services[rollouts->service_count++] = service;
  return service;
}

bool
rol_is_active (const struct rol_service *service)
{
  return service->run.phase != ROL_NONE && !rol_is_final (&service->run);
}

enum rol_phase
rol_phase_of (const struct rol *rollouts, const char *service)
{
  const struct rol_service *known = rol_find_service (rollouts, service);

  return known != NULL ? known->run.phase : ROL_NONE;
}

/* Sets the gauges of a roll-out.  */
static void
show (struct rol *rollouts, const struct rol_service *service)
{
  clk_time now = evl_now (rollouts->options.loop);
  double share = rol_share_of (service->run.phase, rollouts->options.max_share,
                               service->contact_at, now);
  char labels[PTF_NAME_SIZE + 16];

  snprintf (labels, sizeof labels, "service=\"%s\"", service->name);
  met_set (met_counter ("rollout_phase", labels), service->run.phase);
  met_set (met_counter ("rollout_share_permille", labels),
           (uint64_t)(share * 1000));
}

static bool
is_reachable (void *context, dir_handle node)
{
  const struct rol *rollouts = context;

  return hub_is_responsive (rollouts->options.hub, node);
}

/* Returns the owner, which is looked for among all nodes once an interval. */
dir_handle
rol_find_owner (const struct rol *rollouts, struct rol_service *service)
{
  clk_time now = evl_now (rollouts->options.loop);

  if (service->owner_found_at == 0
      || now - service->owner_found_at >= OWNER_INTERVAL)
    {
      service->owner
          = own_find_owner (rollouts->options.directory, "rollout",
                            service->name, is_reachable, (void *)rollouts);
      service->owner_found_at = now;
    }
  return service->owner;
}

bool
rol_is_owner (const struct rol *rollouts, struct rol_service *service)
{
  return rol_find_owner (rollouts, service) == rollouts->options.self;
}

void
rol_fill_message (const struct rol *rollouts, struct rol_service *service,
                  Mesh__Rollout *message)
{
  const struct rol_order *order = &service->run.order;
  clk_time now = evl_now (rollouts->options.loop);
  clk_time age = now - service->store_seen_at;

  mesh__rollout__init (message);
  message->service = (char *)order->service;
  message->version = (char *)order->version;
  message->revision = order->revision;
  message->phase = service->run.phase;
  message->stored = order->stored;
  message->duration_ms = (uint64_t)(order->duration / CLK_MILLISECOND);
  message->left_ms = (order->deadline - now) / CLK_MILLISECOND;
  message->store_age_ms
      = (uint32_t)((age < MAX_STORE_AGE ? age : MAX_STORE_AGE)
                   / CLK_MILLISECOND);
  message->from_owner = rol_is_owner (rollouts, service);
}

void
rol_forward (struct rol *rollouts, struct rol_service *service)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Rollout message;

  rol_fill_message (rollouts, service, &message);
  frame.body_case = MESH__FRAME__BODY_ROLLOUT_ORDER;
  frame.rollout_order = &message;
  service->forwarded_at = service->store_seen_at;
  rollouts->options.hooks.forward (rollouts->options.hooks.context, &frame);
}

/* Logs a step of a roll-out with the counts that decided it.  */
static void
log_step (const struct rol *rollouts, const struct rol_service *service,
          const char *reason)
{
  const struct rol_order *order = &service->run.order;
  struct log_entry entry;

  if (!log_begin (&entry,
                  service->run.phase == ROL_ROLLED_BACK ? LOG_WARNING
                                                        : LOG_INFO,
                  "rol", "roll-out", NULL))
    return;
  log_add_text (&entry, "service", service->name);
  log_add_text (&entry, "to", order->version);
  log_add_text (&entry, "phase", rol_phase_name (service->run.phase));
  log_add_text (&entry, "stored", rol_phase_name (order->stored));
  log_add_text (&entry, "reason", reason);
  log_add_number (&entry, "revision", (int64_t)order->revision);
  log_add_ms (&entry, "left_ms",
              order->deadline - evl_now (rollouts->options.loop));
  if (service->tally != NULL)
    {
      const struct rol_evidence *evidence = &service->tally->evidence;

      log_add_number (&entry, "old_answers",
                      (int64_t)evidence->old_version.answers);
      log_add_number (&entry, "old_bad", (int64_t)evidence->old_version.bad);
      log_add_number (&entry, "new_answers",
                      (int64_t)evidence->new_version.answers);
      log_add_number (&entry, "new_bad", (int64_t)evidence->new_version.bad);
      log_add_number (&entry, "failure_score_x100",
                      (int64_t)(evidence->failure_score * 100));
      log_add_number (&entry, "time_ratio_x100",
                      (int64_t)(evidence->time_ratio * 100));
    }
  log_end (&entry);
}

void
rol_announce_phase (struct rol *rollouts, struct rol_service *service,
                    const char *reason)
{
  log_step (rollouts, service, reason);
  show (rollouts, service);
  service->plan.made_at = 0;
  rol_tell_reporters (rollouts, service);
  rol_forward (rollouts, service);
  if (service->run.phase == ROL_ROLLED_BACK)
    rollouts->options.hooks.withdrawn (rollouts->options.hooks.context);
}

/* Starts counting for a new order.  */
static void
reset_counts (struct rol_service *service)
{
  uint64_t generation = service->gate.generation;

  memset (&service->gate, 0, sizeof service->gate);
  service->gate.generation = generation + 1;
  memset (&service->old_answers, 0, sizeof service->old_answers);
  memset (&service->new_answers, 0, sizeof service->new_answers);
  memset (&service->share, 0, sizeof service->share);
  rol_drop_tally (service);
  sto_cancel (service->write);
  service->write = NULL;
  service->next_write_at = 0;
  service->write_failures = 0;
}

static void
set_timer (struct rol *rollouts)
{
  clk_time next = evl_now (rollouts->options.loop) + ROL_REPORT_INTERVAL / 2;

  if (rollouts->timer.deadline == CLK_NEVER || rollouts->timer.deadline > next)
    evl_timer_set (&rollouts->timer, next);
}

bool
rol_apply_order (struct rol *rollouts, struct rol_service *service,
                 const struct rol_order *order, const char *source)
{
  clk_time now = evl_now (rollouts->options.loop);
  struct rol_run before = service->run;
  bool is_new = rol_take_order (&service->run, order, now);
  bool changed = is_new || before.phase != service->run.phase
                 || before.order.stored != service->run.order.stored
                 || before.order.deadline != service->run.order.deadline;

  if (is_new)
    reset_counts (service);
  if (is_new || before.phase != service->run.phase)
    rol_announce_phase (rollouts, service, source);
  else if (changed)
    {
      log_step (rollouts, service, source);
      rol_tell_reporters (rollouts, service);
      rol_forward (rollouts, service);
    }
  service->plan.made_at = changed ? 0 : service->plan.made_at;
  if (rol_is_active (service))
    set_timer (rollouts);
  return changed;
}

bool
rol_handle_object (struct rol *rollouts, const struct sto_object *object)
{
  struct rol_order order;
  struct rol_service *service;

  if (object->removed)
    {
      rol_handle_removed (rollouts, object->name);
      return true;
    }
  if (rol_read_order (rollouts->options.platform, object, &order)
      != ROL_ORDER_OK)
    {
      met_add (met_counter ("rollout_orders_invalid_total", ""), 1);
      log_write (LOG_WARNING, "rol",
                 "ignored the invalid roll-out %.80s in the store: %s",
                 object->name, err_last ());
      return true;
    }
  if (!rollouts->options.hooks.is_service (rollouts->options.hooks.context,
                                           order.service))
    {
      met_add (met_counter ("rollout_orders_invalid_total", ""), 1);
      log_write (LOG_WARNING, "rol",
                 "ignored the roll-out of %s: the configuration has no such "
                 "service",
                 order.service);
      return false;
    }
  service = rol_add_service (rollouts, order.service);
  if (service == NULL)
    {
      log_write (LOG_ERROR, "rol",
                 "ignored the roll-out of %s: too many services",
                 order.service);
      return true;
    }
  service->store_seen_at = evl_now (rollouts->options.loop);
  rol_apply_order (rollouts, service, &order, "the store");
  return true;
}

void
rol_handle_removed (struct rol *rollouts, const char *name)
{
  struct rol_service *service = rol_find_service (rollouts, name);
  enum rol_phase stored = ROL_ROLLED_BACK;

  if (service == NULL || !rol_is_active (service))
    return;
  if (service->run.phase == ROL_COMPLETED)
    stored = ROL_COMPLETED;
  rol_take_stored (&service->run, service->run.order.revision, stored,
                   evl_now (rollouts->options.loop));
  rol_announce_phase (rollouts, service, "the order was removed");
}

void
rol_set_store_current (struct rol *rollouts, bool current)
{
  rollouts->store_current = current;
}

/* Returns whether this node reports in this step of the timer.  */
static bool
is_report_due (const struct rol *rollouts, const struct rol_service *service,
               clk_time now)
{
  size_t nodes = dir_alive_count (rollouts->options.directory);
  clk_time interval = ROL_REPORT_INTERVAL;

  if (nodes > FREQUENT_REPORTERS && !rol_has_gate_of (rollouts, service))
    interval = MAX_REPORT_INTERVAL;
  if (interval > rollouts->options.rollback_time / 10)
    interval = rollouts->options.rollback_time / 10;
  /* The timer may be late by a part of its interval.  */
  return now - service->reported_at >= interval - ROL_REPORT_INTERVAL / 4;
}

static void
advance (struct rol *rollouts, struct rol_service *service, clk_time now)
{
  clk_time answered_at = sto_last_answer_time (rollouts->options.store);

  if (answered_at > service->store_seen_at)
    service->store_seen_at = answered_at;
  rol_forward_store_age (rollouts, service);
  if (is_report_due (rollouts, service, now))
    {
      service->reported_at = now;
      rol_report (rollouts, service);
      rol_judge_service (rollouts, service);
    }
  if (rol_is_active (service))
    rol_write_status (rollouts, service);
  show (rollouts, service);
}

static void
on_timer (void *context)
{
  struct rol *rollouts = context;
  clk_time now = evl_now (rollouts->options.loop);
  bool any = false;

  evl_timer_stop (&rollouts->timer);
  for (size_t i = 0; i < rollouts->service_count; i++)
    if (rol_is_active (rollouts->services[i]))
      {
        any = true;
        advance (rollouts, rollouts->services[i], now);
      }
  if (any)
    set_timer (rollouts);
}
