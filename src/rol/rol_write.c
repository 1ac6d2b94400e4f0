/* Writes the status of a roll-out to the store.  Each write requires the
   revision that is known, so that of two writers one fails, and a write whose
   reply was lost cannot take effect after a later one.  */

#include "rol/rol_internal.h"

#include "base/log.h"

/* Timeout of a write, which the store usually answers in milliseconds.  */
#define WRITE_TIMEOUT CLK_SECOND

/* Delay after a failed write; it doubles with each failure up to the maximum.
 */
#define INITIAL_BACKOFF (200 * CLK_MILLISECOND)
#define MAX_BACKOFF (1600 * CLK_MILLISECOND)

/* Time after a change of phase from which a node that watches the store writes
   the status in place of an owner that has not: the store may refuse the
   owner. */
#define SUBSTITUTE_DELAY CLK_SECOND

static enum ptf_rollout_state
state_of (enum rol_phase phase)
{
  switch (phase)
    {
    case ROL_COMPLETED:
      return PTF_ROLLOUT_COMPLETED;
    case ROL_ROLLED_BACK:
      return PTF_ROLLOUT_ROLLED_BACK;
    default:
      return PTF_ROLLOUT_RUNNING;
    }
}

/* Plans the next write after a failure.  Random jitter keeps writers apart. */
static void
back_off (struct rol *rollouts, struct rol_service *service,
          const struct sto_reply *reply)
{
  clk_time delay = INITIAL_BACKOFF;

  for (unsigned i = 0; i < service->write_failures && delay < MAX_BACKOFF; i++)
    delay *= 2;
  service->write_failures++;
  delay = (clk_time)((double)delay * (0.5 + rnd_unit (&rollouts->random) / 2));
  service->next_write_at = evl_now (rollouts->options.loop) + delay;
  log_write (LOG_WARNING, "rol",
             "writing the status of the roll-out of %s failed (%s); retrying "
             "with backoff",
             service->name, sto_status_name (reply->status));
}

/* Returns whether the store came back from a copy since the order was read.
   Its revision may then be that of another order.  */
static bool
is_outdated (const struct rol *rollouts, const struct rol_service *service)
{
  uint64_t era = sto_era (rollouts->options.store);

  return sto_is_earlier_era (service->run.order.revision,
                             sto_revision_in_era (0, era));
}

/* Takes the object that the store holds instead of the expected one.  */
static void
take_conflict (struct rol *rollouts, struct rol_service *service,
               const struct sto_object *object)
{
  struct rol_order order;

  if (rol_read_order (rollouts->options.platform, object, &order)
      == ROL_ORDER_OK)
    rol_apply_order (rollouts, service, &order, "the store");
  else if (object->revision > service->run.order.revision)
    service->run.order.revision = object->revision;
}

static void
on_written (void *context, const struct sto_request *request,
            const struct sto_reply *reply)
{
  struct rol_service *service = context;
  struct rol *rollouts = service->rollouts;
  uint64_t revision = service->run.order.revision;

  (void)request;
  service->write = NULL;
  if (reply->status == STO_OK)
    {
      service->write_failures = 0;
      if (reply->object_count > 0)
        revision = reply->objects[0].revision;
      log_write (LOG_INFO, "rol",
                 "the store holds the status %s of the roll-out of %s to %s",
                 service->written == ROL_CANARY
                     ? "running"
                     : rol_phase_name (service->written),
                 service->name, service->run.order.version);
      if (rol_take_stored (&service->run, revision, service->written,
                           evl_now (rollouts->options.loop)))
        rol_announce_phase (rollouts, service, "the store");
      else
        {
          rol_tell_reporters (rollouts, service);
          rol_forward (rollouts, service);
        }
    }
  else if (reply->status == STO_CONFLICT && reply->object_count > 0
           && reply->objects[0].revision > revision)
    take_conflict (rollouts, service, &reply->objects[0]);
  else if (reply->status == STO_ABSENT && !is_outdated (rollouts, service))
    rol_handle_removed (rollouts, service->name);
  else
    back_off (rollouts, service, reply);
}

/* Returns whether this node writes the status now.  */
static bool
is_writer (const struct rol *rollouts, struct rol_service *service,
           clk_time now)
{
  if (rol_is_owner (rollouts, service))
    return true;
  return rollouts->store_current
         && now - service->run.phase_at >= SUBSTITUTE_DELAY;
}

void
rol_write_status (struct rol *rollouts, struct rol_service *service)
{
  enum rol_phase state = rol_state_to_write (&service->run);
  clk_time now = evl_now (rollouts->options.loop);
  struct sto_request request
      = { .operation = STO_SET_STATUS,
          .kind = rollouts->options.platform->rollout_kind,
          .name = service->name,
          .revision = service->run.order.revision };
  json_t *status;

  if (state == ROL_NONE || service->write != NULL
      || is_outdated (rollouts, service) || now < service->next_write_at
      || !is_writer (rollouts, service, now))
    return;
  status = rollouts->options.platform->make_rollout_status (
      state_of (state), service->run.order.version);
  request.content = status;
  service->written = state;
  service->write = sto_start (rollouts->options.store, &request,
                              now + WRITE_TIMEOUT, on_written, service);
  json_decref (status);
}
