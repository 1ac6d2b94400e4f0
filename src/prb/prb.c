/* Probe of the platform's store.  */

#include "prb/prb.h"

#include "base/log.h"
#include "base/mem.h"

#include <stdlib.h>

/* The store is probed when it has answered no call for this long.  */
#define PROBE_INTERVAL (400 * CLK_MILLISECOND)

/* Timeout of a probe while the store is reachable and while it is not.  The
   store answers in milliseconds, when it is slow in a few hundred; a store
   that recovers may take longer still.  */
#define PROBE_TIMEOUT (500 * CLK_MILLISECOND)
#define UNREACHABLE_PROBE_TIMEOUT (2 * CLK_SECOND)

/* Delay after a failed probe; it doubles with each failure up to the maximum.
 */
#define INITIAL_BACKOFF (200 * CLK_MILLISECOND)
#define MAX_BACKOFF (800 * CLK_MILLISECOND)

struct prb
{
  struct evl *loop;
  struct sto *store;
  const char *kind;
  const char *name;
  prb_changed changed;
  void *context;
  struct evl_timer timer; /* next check whether to probe */
  struct sto_call *call;
  bool started;
  bool reachable;
  unsigned failures; /* in a row */
};

static void on_timer (void *context);

struct prb *
prb_create (struct evl *loop, struct sto *store, const char *kind,
            const char *name, prb_changed changed, void *context)
{
  struct prb *probe = mem_alloc (1, sizeof *probe);

  probe->loop = loop;
  probe->store = store;
  probe->kind = kind;
  probe->name = name;
  probe->changed = changed;
  probe->context = context;
  evl_timer_init (&probe->timer, loop, on_timer, probe);
  return probe;
}

void
prb_destroy (struct prb *probe)
{
  if (probe == NULL)
    return;
  prb_stop (probe);
  free (probe);
}

static void
set_reachable (struct prb *probe, bool reachable)
{
  if (probe->reachable == reachable)
    return;
  probe->reachable = reachable;
  probe->changed (probe->context, reachable);
}

static void
handle_failure (struct prb *probe, enum sto_status status)
{
  clk_time delay = INITIAL_BACKOFF;

  for (unsigned i = 0; i < probe->failures && delay < MAX_BACKOFF; i++)
    delay *= 2;
  if (probe->failures++ == 0)
    log_write (LOG_WARNING, "prb",
               "the probe of the store failed (%s); the store counts as "
               "unreachable until a probe succeeds",
               sto_status_name (status));
  evl_timer_set (&probe->timer, evl_now (probe->loop) + delay);
  set_reachable (probe, false);
}

static void
on_reply (void *context, const struct sto_request *request,
          const struct sto_reply *reply)
{
  struct prb *probe = context;

  (void)request;
  probe->call = NULL;
  if (reply->status != STO_OK && reply->status != STO_ABSENT)
    {
      handle_failure (probe, reply->status);
      return;
    }
  probe->failures = 0;
  evl_timer_set (&probe->timer, evl_now (probe->loop) + PROBE_INTERVAL);
  set_reachable (probe, true);
}

static void
on_timer (void *context)
{
  struct prb *probe = context;
  struct sto_request request = { .operation = STO_GET,
                                 .kind = probe->kind,
                                 .name = probe->name,
                                 .allow_stale = true };
  clk_time now = evl_now (probe->loop);
  clk_time next = sto_last_answer_time (probe->store) + PROBE_INTERVAL;

  if (probe->reachable && now < next)
    {
      evl_timer_set (&probe->timer, next);
      return;
    }
  probe->call = sto_start (
      probe->store, &request,
      now + (probe->reachable ? PROBE_TIMEOUT : UNREACHABLE_PROBE_TIMEOUT),
      on_reply, probe);
}

void
prb_start (struct prb *probe)
{
  if (probe->started)
    return;
  probe->started = true;
  probe->reachable = true;
  probe->failures = 0;
  on_timer (probe);
}

void
prb_stop (struct prb *probe)
{
  probe->started = false;
  evl_timer_stop (&probe->timer);
  sto_cancel (probe->call);
  probe->call = NULL;
}
