/* Messages between nodes about roll-outs: orders that are passed on, and
   reports to the owner and its replies.  */

#include "rol/rol_internal.h"

#include <string.h>

/* Interval at which watchers pass on that the store answers.  */
#define STORE_AGE_INTERVAL (400 * CLK_MILLISECOND)

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
void
rol_forward_store_age (struct rol *rollouts, struct rol_service *service)
{
  if (rol_is_active (service)
      && service->store_seen_at - service->forwarded_at >= STORE_AGE_INTERVAL)
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
        rol_forward_store_age (rollouts, service);
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
  dir_handle owner = rol_find_owner (rollouts, service);

  if (owner == DIR_NONE)
    return;
  rol_fill_message (rollouts, service, &message);
  report.rollout = &message;
  report.node = (char *)self->name;
  report.incarnation = self->incarnation + service->gate.generation;
  report.number = ++rollouts->report_number;
  report.old_calls = (uint32_t)options->hooks.count_other_calls (
      options->hooks.context, service->name, service->run.order.version);
  if (rol_has_gate_of (rollouts, service))
    {
      rol_follow_upstream (rollouts, service);
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
