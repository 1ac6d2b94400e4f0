/* Runs a write over a platform client.  */

#include "base/rnd.h"
#include "plt/plt_write.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

static clk_time
monotonic_now (void *context)
{
  (void)context;
  return clk_now ();
}

static void
monotonic_sleep (void *context, clk_time until)
{
  struct timespec time = clk_to_timespec (until);

  (void)context;
  clock_nanosleep (CLOCK_MONOTONIC, TIMER_ABSTIME, &time, NULL);
}

static const struct plt_write_clock monotonic
    = { NULL, monotonic_now, monotonic_sleep };

struct results
{
  struct plt_object object;
  struct plt_list list;
  char etag[PLT_ETAG_SIZE];
};

static enum plt_status
perform (struct plt_client *client, const struct plt_write_clock *clock,
         const struct plt_write_step *step, struct results *results)
{
  const struct plt_operations *operations = client->operations;

  switch (step->action)
    {
    case PLT_WRITE_GET:
      return operations->get (client->state, step->key, step->until,
                              &results->object);
    case PLT_WRITE_LIST:
      return operations->list (client->state, step->key, step->until,
                               &results->list);
    case PLT_WRITE_PUT:
      return operations->put (client->state, step->key, step->condition,
                              step->etag, step->value, step->until,
                              results->etag);
    default:
      clock->sleep_until (clock->context, step->until);
      return PLT_OK;
    }
}

enum plt_status
plt_write_run (struct plt_client *client,
               const struct plt_write_request *request,
               const struct plt_write_clock *clock,
               struct plt_write_outcome *outcome)
{
  struct plt_write_event event = { 0 };
  struct plt_write_step step;
  struct plt_write *write;
  enum plt_status status = plt_write_create (request, &write);

  if (status != PLT_OK)
    return status;
  if (clock == NULL)
    clock = &monotonic;
  plt_write_next (write, NULL, clock->now (clock->context), &step);
  while (step.action != PLT_WRITE_END)
    {
      struct results results = { 0 };

      event.status = perform (client, clock, &step, &results);
      event.object = &results.object;
      event.list = &results.list;
      plt_write_next (write, &event, clock->now (clock->context), &step);
      plt_object_close (&results.object);
      plt_list_close (&results.list);
    }
  *outcome = *plt_write_get_outcome (write);
  plt_write_destroy (write);
  return PLT_OK;
}

void
plt_write_change_id (char id[PLT_CHANGE_ID_SIZE])
{
  snprintf (id, PLT_CHANGE_ID_SIZE, "%016" PRIx64 "%016" PRIx64,
            rnd_system_seed (), rnd_system_seed ());
}
