/* Table of the services, orders, and messages between nodes.  */

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

/* Interval at which watchers pass on that the store answers.  */
#define STORE_NEWS_INTERVAL (400 * CLK_MILLISECOND)

/* Nodes for which reports are sent at the shortest interval; with more, nodes
   without a gate of the service report less often.  */
#define FREQUENT_REPORTERS 150

/* Longest interval of reports: an owner that is alive is heard of within
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
static dir_handle
find_owner (const struct rol *rollouts, struct rol_service *service)
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
  return find_owner (rollouts, service) == rollouts->options.self;
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

/* Copies the order of a message.  Returns false when it is not valid.  */
static bool
read_message (const struct rol *rollouts, const Mesh__Rollout *message,
              struct rol_order *order)
{
  size_t service_length = strlen (message->service);
  size_t version_length = strlen (message->version);
  clk_time now = evl_now (rollouts->options.loop);

  if (service_length == 0 || service_length >= PTF_NAME_SIZE
      || version_length == 0 || version_length >= PTF_NAME_SIZE
      || message->phase > ROL_ROLLED_BACK || message->stored > ROL_ROLLED_BACK
      || message->duration_ms > (uint64_t)(ROL_MAX_DURATION / CLK_MILLISECOND)
      || message->left_ms > ROL_MAX_DURATION / CLK_MILLISECOND
      || message->left_ms < -ROL_MAX_DURATION / CLK_MILLISECOND)
    return false;
  memset (order, 0, sizeof *order);
  memcpy (order->service, message->service, service_length + 1);
  memcpy (order->version, message->version, version_length + 1);
  order->duration = (clk_time)message->duration_ms * CLK_MILLISECOND;
  order->deadline = now + message->left_ms * CLK_MILLISECOND;
  order->revision = message->revision;
  order->stored = (enum rol_phase)message->stored;
  return true;
}

/* Takes what another node knows of a roll-out.  Returns the service, null when
   the message is not valid or about an order that was replaced.  */
static struct rol_service *
take_message (struct rol *rollouts, const Mesh__Rollout *message)
{
  clk_time now = evl_now (rollouts->options.loop);
  struct rol_service *service;
  struct rol_order order;
  clk_time store_seen_at;

  if (message == NULL || !read_message (rollouts, message, &order))
    return NULL;
  service = rol_add_service (rollouts, order.service);
  if (service == NULL)
    return NULL;
  rol_apply_order (rollouts, service, &order, "another node");
  if (strcmp (service->run.order.version, order.version) != 0
      || rol_is_earlier (&service->run, &order))
    return NULL;
  store_seen_at = now - (clk_time)message->store_age_ms * CLK_MILLISECOND;
  if (store_seen_at > service->store_seen_at)
    service->store_seen_at = store_seen_at;
  if (rol_take_phase (&service->run, (enum rol_phase)message->phase, now))
    rol_announce_phase (rollouts, service, "another node");
  return service;
}

static void
handle_report (struct rol *rollouts, struct hub_inbound_link *inbound,
               const Mesh__RolloutReport *report)
{
  struct rol_service *service = take_message (rollouts, report->rollout);
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Rollout message;

  if (service != NULL)
    rol_take_report (rollouts, service, inbound, report);
  /* A node that reports on an order that was replaced learns of the one that
     replaced it.  */
  else if (report->rollout != NULL)
    service = rol_find_service (rollouts, report->rollout->service);
  if (service == NULL || service->run.phase == ROL_NONE)
    return;
  rol_fill_message (rollouts, service, &message);
  frame.body_case = MESH__FRAME__BODY_ROLLOUT_STATE;
  frame.rollout_state = &message;
  hub_reply (rollouts->options.hub, inbound, &frame);
}

/* Passes on that the store answers, at most once an interval.  */
static void
forward_store_news (struct rol *rollouts, struct rol_service *service)
{
  if (rol_is_active (service)
      && service->store_seen_at - service->forwarded_at >= STORE_NEWS_INTERVAL)
    rol_forward (rollouts, service);
}

/* Sends a report.  The reply to one of them is awaited, so that an owner that
   has fallen silent is noticed.  */
static void
send_report (struct rol *rollouts, struct rol_service *service,
             dir_handle owner, const Mesh__Frame *frame)
{
  uint64_t link;

  if (hub_send (rollouts->options.hub, owner, frame,
                service->awaits_reply ? 0 : 1, &link)
      != HUB_OK)
    return;
  if (!service->awaits_reply)
    {
      service->awaits_reply = true;
      service->link = link;
    }
  else if (service->link != link)
    {
      hub_end_request (rollouts->options.hub, service->link);
      service->awaits_reply = false;
    }
}

/* Ends the wait for the reply to a report.  */
static void
end_wait (struct rol *rollouts, struct rol_service *service)
{
  if (!service->awaits_reply)
    return;
  service->awaits_reply = false;
  hub_end_request (rollouts->options.hub, service->link);
}

bool
rol_handle_request (struct rol *rollouts, struct hub_inbound_link *inbound,
                    const Mesh__Frame *frame)
{
  if (frame->body_case != MESH__FRAME__BODY_ROLLOUT_REPORT)
    return false;
  handle_report (rollouts, inbound, frame->rollout_report);
  return true;
}

bool
rol_handle_reply (struct rol *rollouts, const Mesh__Frame *frame)
{
  struct rol_service *service;

  if (frame->body_case == MESH__FRAME__BODY_ROLLOUT_ORDER)
    {
      service = take_message (rollouts, frame->rollout_order);
      if (service != NULL)
        forward_store_news (rollouts, service);
      return true;
    }
  if (frame->body_case != MESH__FRAME__BODY_ROLLOUT_STATE)
    return false;
  service = take_message (rollouts, frame->rollout_state);
  if (service != NULL)
    end_wait (rollouts, service);
  if (service != NULL && frame->rollout_state->from_owner)
    service->contact_at = evl_now (rollouts->options.loop);
  return true;
}

void
rol_greet (struct rol *rollouts, struct hub_inbound_link *inbound)
{
  for (size_t i = 0; i < rollouts->service_count; i++)
    {
      struct rol_service *service = rollouts->services[i];
      Mesh__Frame frame = MESH__FRAME__INIT;
      Mesh__Rollout message;

      if (service->run.phase == ROL_NONE)
        continue;
      rol_fill_message (rollouts, service, &message);
      frame.body_case = MESH__FRAME__BODY_ROLLOUT_ORDER;
      frame.rollout_order = &message;
      hub_reply (rollouts->options.hub, inbound, &frame);
    }
}

size_t
rol_find_route (struct rol_routes *routes, uint32_t hash)
{
  size_t i;

  for (i = 0; i + 1 < ROL_MAX_ROUTES && routes->hashes[i] != 0; i++)
    if (routes->hashes[i] == hash)
      return i;
  if (i + 1 < ROL_MAX_ROUTES)
    routes->hashes[i] = hash;
  return i;
}

static bool
has_gate_of (const struct rol *rollouts, const struct rol_service *service)
{
  const struct reg *registration = rollouts->options.registration;

  return registration->state != REG_NONE
         && strcmp (registration->upstream.service, service->name) == 0;
}

/* Starts the counts of the gate anew when the version of its upstream has
   changed.  */
static void
follow_upstream (struct rol *rollouts, struct rol_service *service)
{
  const char *version = rollouts->options.registration->upstream.version;
  struct rol_gate_counts *gate = &service->gate;
  uint64_t generation = gate->generation;

  if (strcmp (gate->version, version) == 0)
    return;
  memset (gate, 0, sizeof *gate);
  gate->generation = generation + 1;
  memcpy (gate->version, version, sizeof gate->version);
}

void
rol_count_run (struct rol *rollouts, uint32_t route, bool bad,
               clk_time elapsed)
{
  const struct reg *registration = rollouts->options.registration;
  struct rol_service *service
      = rol_find_service (rollouts, registration->upstream.service);
  double seconds = (double)elapsed / CLK_SECOND;
  struct rol_count *count;

  if (service == NULL || !rol_is_active (service)
      || evl_now (rollouts->options.loop) < registration->warmup_until)
    return;
  follow_upstream (rollouts, service);
  count = &service->gate.counts[rol_find_route (&service->gate.routes, route)];
  count->answers++;
  if (bad)
    {
      count->bad++;
      return;
    }
  count->seconds += seconds;
  count->squares += seconds * seconds;
}

/* Fills in the counts of the gate.  Returns their number.  */
static size_t
fill_counts (const struct rol_gate_counts *gate, Mesh__RolloutCount *counts,
             Mesh__RolloutCount **pointers)
{
  size_t number = 0;

  for (size_t i = 0; i < ROL_MAX_ROUTES; i++)
    {
      Mesh__RolloutCount *count = &counts[number];

      if (gate->counts[i].answers == 0)
        continue;
      mesh__rollout_count__init (count);
      count->route = gate->routes.hashes[i];
      count->answers = gate->counts[i].answers;
      count->bad = gate->counts[i].bad;
      count->seconds = gate->counts[i].seconds;
      count->squares = gate->counts[i].squares;
      pointers[number++] = count;
    }
  return number;
}

void
rol_report (struct rol *rollouts, struct rol_service *service)
{
  const struct rol_options *options = &rollouts->options;
  const struct mbr_member *self = dir_get (options->directory, options->self);
  Mesh__RolloutReport report = MESH__ROLLOUT_REPORT__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__RolloutCount counts[ROL_MAX_ROUTES];
  Mesh__RolloutCount *pointers[ROL_MAX_ROUTES];
  Mesh__Rollout message;
  dir_handle owner = find_owner (rollouts, service);

  if (owner == DIR_NONE)
    return;
  rol_fill_message (rollouts, service, &message);
  report.rollout = &message;
  report.node = (char *)self->name;
  report.incarnation = self->incarnation + service->gate.generation;
  report.number = ++rollouts->report_number;
  report.old_calls = (uint32_t)options->hooks.count_other_calls (
      options->hooks.context, service->name, service->run.order.version);
  if (has_gate_of (rollouts, service))
    {
      follow_upstream (rollouts, service);
      report.incarnation = self->incarnation + service->gate.generation;
      report.gate_version = service->gate.version;
      report.gate_calls
          = (uint32_t)options->hooks.count_gate_calls (options->hooks.context);
      report.counts = pointers;
      report.n_counts = fill_counts (&service->gate, counts, pointers);
    }
  frame.body_case = MESH__FRAME__BODY_ROLLOUT_REPORT;
  frame.rollout_report = &report;
  send_report (rollouts, service, owner, &frame);
}

/* Returns whether this node reports in this step of the timer.  */
static bool
is_report_due (const struct rol *rollouts, const struct rol_service *service,
               clk_time now)
{
  size_t nodes = dir_alive_count (rollouts->options.directory);
  clk_time interval = ROL_REPORT_INTERVAL;

  if (nodes > FREQUENT_REPORTERS && !has_gate_of (rollouts, service))
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
  forward_store_news (rollouts, service);
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
