/* Follows the objects of one kind.  */

#include "wch/wch.h"

#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* A list, which the store answers in milliseconds, may take this long.  */
#define LIST_PATIENCE (1500 * CLK_MILLISECOND)

/* A waiting call may take this much longer than it was told to wait.  */
#define WATCH_PATIENCE (800 * CLK_MILLISECOND)

/* Pause after a failed call; it doubles up to the longest one.  */
#define FIRST_PAUSE (150 * CLK_MILLISECOND)
#define LONGEST_PAUSE (1200 * CLK_MILLISECOND)

struct wch
{
  struct evl *loop;
  struct sto *store;
  const char *kind;
  struct wch_timing timing;
  const struct wch_handlers *handlers;
  void *context;
  enum wch_health health;
  bool started;
  bool doubted; /* the store is known not to answer */
  bool listed;  /* REVISION is a place to watch from */
  uint64_t revision;
  char after[STO_NAME_SIZE]; /* last name of the page before; "": none */
  struct sto_call *call;
  struct evl_timer pause;
  unsigned failures; /* in a row */
  struct rnd random;
};

static void on_list (void *context, const struct sto_request *request,
                     const struct sto_reply *reply);
static void on_change (void *context, const struct sto_request *request,
                       const struct sto_reply *reply);

static void
set_health (struct wch *watch, enum wch_health health)
{
  if (watch->health == health)
    return;
  watch->health = health;
  watch->handlers->health_changed (watch->context, health);
}

static void
start_list (struct wch *watch)
{
  struct sto_request request = { .operation = STO_LIST, .kind = watch->kind };

  if (watch->after[0] != '\0')
    request.after = watch->after;
  else
    watch->handlers->list_started (watch->context);
  watch->call
      = sto_start (watch->store, &request,
                   evl_now (watch->loop) + LIST_PATIENCE, on_list, watch);
}

static void
start_watch (struct wch *watch)
{
  struct sto_request request = { .operation = STO_WATCH,
                                 .kind = watch->kind,
                                 .revision = watch->revision,
                                 .wait_ms = watch->timing.wait_ms };

  watch->call = sto_start (watch->store, &request,
                           evl_now (watch->loop)
                               + watch->timing.wait_ms * CLK_MILLISECOND
                               + WATCH_PATIENCE,
                           on_change, watch);
}

static void
proceed (void *context)
{
  struct wch *watch = context;

  if (!watch->started || watch->doubted || watch->call != NULL)
    return;
  if (watch->listed)
    start_watch (watch);
  else
    start_list (watch);
}

/* Waits before the next call, longer after each failure, and not as long as
   the other nodes.  */
static void
pause_after_failure (struct wch *watch, const struct sto_reply *reply)
{
  clk_time pause = FIRST_PAUSE;

  log_write (LOG_WARNING, "wch", "reading %s from the store failed: %s",
             watch->kind, sto_status_name (reply->status));
  for (unsigned i = 0; i < watch->failures && pause < LONGEST_PAUSE; i++)
    pause *= 2;
  if (pause > LONGEST_PAUSE)
    pause = LONGEST_PAUSE;
  watch->failures++;
  pause = (clk_time)((double)pause * (0.5 + rnd_unit (&watch->random) / 2));
  evl_timer_set (&watch->pause, evl_now (watch->loop) + pause);
  set_health (watch, WCH_UNREACHABLE);
}

static void
report_objects (struct wch *watch, const struct sto_reply *reply)
{
  for (size_t i = 0; i < reply->object_count; i++)
    if (reply->objects[i].removed)
      watch->handlers->object_removed (watch->context, reply->objects[i].name);
    else
      watch->handlers->object_updated (watch->context, &reply->objects[i]);
}

static void
on_list (void *context, const struct sto_request *request,
         const struct sto_reply *reply)
{
  struct wch *watch = context;

  (void)request;
  watch->call = NULL;
  if (reply->status != STO_OK)
    {
      watch->after[0] = '\0';
      pause_after_failure (watch, reply);
      return;
    }
  watch->failures = 0;
  /* Changes made while pages are read come with the watch from the first
     page's revision.  */
  if (watch->after[0] == '\0')
    watch->revision = reply->revision;
  report_objects (watch, reply);
  if (reply->more && reply->object_count > 0)
    {
      const char *last = reply->objects[reply->object_count - 1].name;

      memcpy (watch->after, last, strlen (last) + 1);
    }
  else
    {
      watch->after[0] = '\0';
      watch->listed = true;
      watch->handlers->list_finished (watch->context);
      if (watch->started)
        set_health (watch, WCH_CURRENT);
    }
  proceed (watch);
}

static void
on_change (void *context, const struct sto_request *request,
           const struct sto_reply *reply)
{
  struct wch *watch = context;

  (void)request;
  watch->call = NULL;
  if (reply->status == STO_HISTORY_GONE)
    {
      log_write (LOG_INFO, "wch", "the history of %s is gone; listing again",
                 watch->kind);
      watch->listed = false;
      proceed (watch);
      return;
    }
  if (reply->status != STO_OK)
    {
      pause_after_failure (watch, reply);
      return;
    }
  watch->failures = 0;
  if (reply->revision != 0)
    watch->revision = reply->revision;
  report_objects (watch, reply);
  set_health (watch, WCH_CURRENT);
  if (reply->object_count > 0 && watch->timing.batch_delay > 0)
    evl_timer_set (&watch->pause,
                   evl_now (watch->loop) + watch->timing.batch_delay);
  else
    proceed (watch);
}

struct wch *
wch_create (struct evl *loop, struct sto *store, const char *kind,
            struct wch_timing timing, const struct wch_handlers *handlers,
            void *context)
{
  struct wch *watch = mem_alloc (1, sizeof *watch);

  watch->loop = loop;
  watch->store = store;
  watch->kind = kind;
  watch->timing = timing;
  watch->handlers = handlers;
  watch->context = context;
  rnd_init (&watch->random, rnd_system_seed ());
  evl_timer_init (&watch->pause, loop, proceed, watch);
  return watch;
}

void
wch_start (struct wch *watch)
{
  if (watch->started)
    return;
  watch->started = true;
  /* What changed while the watch was stopped may be gone from the history,
     and the revision may be old: list again.  */
  watch->listed = false;
  proceed (watch);
}

void
wch_stop (struct wch *watch)
{
  watch->started = false;
  watch->doubted = false;
  watch->after[0] = '\0';
  evl_timer_stop (&watch->pause);
  if (watch->call != NULL)
    sto_cancel (watch->call);
  watch->call = NULL;
  watch->health = WCH_STARTING;
}

void
wch_suspend (struct wch *watch)
{
  if (!watch->started)
    return;
  watch->doubted = true;
  set_health (watch, WCH_UNREACHABLE);
}

void
wch_resume (struct wch *watch)
{
  watch->doubted = false;
  if (watch->health == WCH_UNREACHABLE)
    {
      sto_cancel (watch->call);
      watch->call = NULL;
      watch->after[0] = '\0';
    }
  /* An answer may have come meanwhile, after which no call was made.  */
  evl_timer_stop (&watch->pause);
  proceed (watch);
}

void
wch_destroy (struct wch *watch)
{
  if (watch == NULL)
    return;
  wch_stop (watch);
  free (watch);
}

enum wch_health
wch_health (const struct wch *watch)
{
  return watch->health;
}

bool
wch_is_started (const struct wch *watch)
{
  return watch->started;
}
