/* Probe of the platform's store.  */

#include "prb/prb.h"

#include "base/log.h"
#include "base/mem.h"

#include <stdlib.h>

/* A store that has answered nothing for this long is probed.  */
#define INTERVAL (400 * CLK_MILLISECOND)

/* The store answers in milliseconds, in a few hundred when it is slow.  While
   it does not answer, one that is slower still is waited for.  */
#define PATIENCE (500 * CLK_MILLISECOND)
#define LONG_PATIENCE (2 * CLK_SECOND)

/* Pause after a probe that failed; it doubles up to the longest one.  */
#define FIRST_PAUSE (200 * CLK_MILLISECOND)
#define LONGEST_PAUSE (800 * CLK_MILLISECOND)

struct prb
{
  struct evl *loop;
  struct sto *store;
  const char *kind;
  const char *name;
  prb_changed changed;
  void *context;
  struct evl_timer timer; /* of the next look */
  struct sto_call *call;
  bool started;
  bool answers;
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
set_answers (struct prb *probe, bool answers)
{
  if (probe->answers == answers)
    return;
  probe->answers = answers;
  probe->changed (probe->context, answers);
}

static void
take_failure (struct prb *probe, enum sto_status status)
{
  clk_time pause = FIRST_PAUSE;

  for (unsigned i = 0; i < probe->failures && pause < LONGEST_PAUSE; i++)
    pause *= 2;
  if (probe->failures++ == 0)
    log_write (LOG_WARNING, "prb", "a probe of the store failed: %s",
               sto_status_name (status));
  evl_timer_set (&probe->timer, evl_now (probe->loop) + pause);
  set_answers (probe, false);
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
      take_failure (probe, reply->status);
      return;
    }
  probe->failures = 0;
  evl_timer_set (&probe->timer, evl_now (probe->loop) + INTERVAL);
  set_answers (probe, true);
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
  clk_time next = sto_last_answer_time (probe->store) + INTERVAL;

  if (probe->answers && now < next)
    {
      evl_timer_set (&probe->timer, next);
      return;
    }
  probe->call = sto_start (probe->store, &request,
                           now + (probe->answers ? PATIENCE : LONG_PATIENCE),
                           on_reply, probe);
}

void
prb_start (struct prb *probe)
{
  if (probe->started)
    return;
  probe->started = true;
  probe->answers = true;
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
