/* Watch of the objects of one kind.  */

#include "wch/wch.h"

#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Timeout of a list call, which the store usually answers in milliseconds.  It
   counts from the last bytes received, see sto_start.  */
#define LIST_TIMEOUT (1500 * CLK_MILLISECOND)

/* Timeout of a watch call, in excess of its wait_ms.  */
#define WATCH_TIMEOUT_MARGIN (800 * CLK_MILLISECOND)

/* Delay after a failed call; it doubles with each failure up to the maximum.
 */
#define INITIAL_BACKOFF (150 * CLK_MILLISECOND)
#define MAX_BACKOFF (1200 * CLK_MILLISECOND)

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
  bool suspended;     /* the store is known not to answer */
  bool stale_list;    /* the next list may be out of date */
  bool list_complete; /* a watch can start at REVISION */
  uint64_t revision;
  uint64_t restore_count; /* of the store at the first page of the list */
  char *after_name; /* last name of the previous page; null: list from the
                       start */
  struct sto_call *call;
  struct evl_timer next_call_timer;
  unsigned failures; /* in a row */
  struct rnd random;
};

static void on_list_reply (void *context, const struct sto_request *request,
                           const struct sto_reply *reply);
static void on_watch_reply (void *context, const struct sto_request *request,
                            const struct sto_reply *reply);

/* Sets the name after which the next page starts, null for the first page.  */
static void
set_after_name (struct wch *watch, const char *name)
{
  free (watch->after_name);
  watch->after_name = name != NULL ? mem_copy_string (name) : NULL;
}

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
  struct sto_request request = { .operation = STO_LIST,
                                 .kind = watch->kind,
                                 .allow_stale = watch->stale_list };

  if (watch->after_name != NULL)
    request.after = watch->after_name;
  else
    watch->handlers->list_started (watch->context);
  watch->call
      = sto_start (watch->store, &request,
                   evl_now (watch->loop) + LIST_TIMEOUT, on_list_reply, watch);
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
                               + WATCH_TIMEOUT_MARGIN,
                           on_watch_reply, watch);
}

/* Returns whether the store came back from a copy since the first page of the
   list.  The revision may then have been given out again.  */
static bool
is_outdated (const struct wch *watch)
{
  return watch->restore_count != sto_restore_count (watch->store);
}

static void
start_next_call (void *context)
{
  struct wch *watch = context;

  if (!watch->started || watch->suspended || watch->call != NULL)
    return;
  if (is_outdated (watch))
    watch->list_complete = false;
  if (watch->list_complete)
    start_watch (watch);
  else
    start_list (watch);
}

/* Schedules the next call after a failure with exponential backoff.  Random
   jitter keeps the calls of many nodes apart.  */
static void
back_off (struct wch *watch, const struct sto_reply *reply)
{
  clk_time delay = INITIAL_BACKOFF;

  log_write (LOG_WARNING, "wch",
             "reading %s from the store failed (%s); retrying with backoff",
             watch->kind, sto_status_name (reply->status));
  for (unsigned i = 0; i < watch->failures && delay < MAX_BACKOFF; i++)
    delay *= 2;
  if (delay > MAX_BACKOFF)
    delay = MAX_BACKOFF;
  watch->failures++;
  delay = (clk_time)((double)delay * (0.5 + rnd_unit (&watch->random) / 2));
  evl_timer_set (&watch->next_call_timer, evl_now (watch->loop) + delay);
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
list_again (struct wch *watch)
{
  log_write (LOG_INFO, "wch",
             "the store came back from a copy; listing all objects of %s "
             "again",
             watch->kind);
  watch->list_complete = false;
  set_after_name (watch, NULL);
  start_next_call (watch);
}

static void
on_list_reply (void *context, const struct sto_request *request,
               const struct sto_reply *reply)
{
  struct wch *watch = context;

  (void)request;
  watch->call = NULL;
  if (reply->status != STO_OK)
    {
      set_after_name (watch, NULL);
      back_off (watch, reply);
      return;
    }
  watch->failures = 0;
  if (watch->after_name == NULL)
    watch->restore_count = sto_restore_count (watch->store);
  if (is_outdated (watch))
    {
      list_again (watch);
      return;
    }
  /* The watch starts at the revision of the first page, so that it returns
     changes made while further pages are read.  */
  if (watch->after_name == NULL)
    watch->revision = reply->revision;
  report_objects (watch, reply);
  if (reply->more && reply->last_name != NULL)
    set_after_name (watch, reply->last_name);
  else
    {
      set_after_name (watch, NULL);
      watch->list_complete = true;
      watch->stale_list = false;
      watch->handlers->list_finished (watch->context);
      if (watch->started)
        set_health (watch, WCH_CURRENT);
    }
  start_next_call (watch);
}

static void
on_watch_reply (void *context, const struct sto_request *request,
                const struct sto_reply *reply)
{
  struct wch *watch = context;

  (void)request;
  watch->call = NULL;
  if (is_outdated (watch)
      && (reply->status == STO_OK || reply->status == STO_HISTORY_GONE))
    {
      list_again (watch);
      return;
    }
  if (reply->status == STO_HISTORY_GONE)
    {
      log_write (LOG_INFO, "wch",
                 "the store no longer has all changes of %s since the last "
                 "read; listing all objects again",
                 watch->kind);
      watch->list_complete = false;
      start_next_call (watch);
      return;
    }
  if (reply->status != STO_OK)
    {
      back_off (watch, reply);
      return;
    }
  watch->failures = 0;
  if (reply->revision != 0)
    watch->revision = reply->revision;
  report_objects (watch, reply);
  set_health (watch, WCH_CURRENT);
  if (reply->object_count > 0 && watch->timing.batch_delay > 0)
    evl_timer_set (&watch->next_call_timer,
                   evl_now (watch->loop) + watch->timing.batch_delay);
  else
    start_next_call (watch);
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
  evl_timer_init (&watch->next_call_timer, loop, start_next_call, watch);
  return watch;
}

void
wch_start (struct wch *watch)
{
  if (watch->started)
    return;
  watch->started = true;
  /* The store may have dropped the changes since the last revision while the
     watch was stopped, so list again.  */
  watch->list_complete = false;
  start_next_call (watch);
}

void
wch_start_stale (struct wch *watch)
{
  watch->stale_list = true;
  wch_start (watch);
}

void
wch_handle_restore (struct wch *watch)
{
  if (!watch->started || !watch->list_complete || !is_outdated (watch))
    return;
  evl_timer_stop (&watch->next_call_timer);
  sto_cancel (watch->call);
  watch->call = NULL;
  list_again (watch);
}

void
wch_stop (struct wch *watch)
{
  watch->started = false;
  watch->suspended = false;
  watch->stale_list = false;
  set_after_name (watch, NULL);
  evl_timer_stop (&watch->next_call_timer);
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
  watch->suspended = true;
  set_health (watch, WCH_UNREACHABLE);
}

void
wch_resume (struct wch *watch)
{
  watch->suspended = false;
  if (watch->health == WCH_UNREACHABLE
      && (watch->list_complete || watch->call == NULL
          || !sto_is_arriving (watch->call)))
    {
      sto_cancel (watch->call);
      watch->call = NULL;
      set_after_name (watch, NULL);
    }
  /* A reply may have arrived while the watch was suspended; no call followed
     it.  */
  evl_timer_stop (&watch->next_call_timer);
  start_next_call (watch);
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
