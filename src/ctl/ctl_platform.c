/* Threads of the control that call the platform, within one call budget.  */

#include "ctl/ctl_platform.h"

#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/thr.h"
#include "met/met.h"
#include "plt/plt_backoff.h"
#include "plt/plt_budget.h"
#include "plt/plt_config.h"
#include "plt/plt_directory.h"
#include "plt/plt_status_report.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Calls per second, and calls at once, of a relay and of a plain node.  The
   platform counts every request and supports about 2,000 reads per second, so
   the fleet's plain nodes must stay far below that together.  */
#define RELAY_RATE 4.0
#define RELAY_BURST 8
#define PLAIN_RATE 0.2
#define PLAIN_BURST 3
#define CALL_LIMIT (5 * CLK_SECOND)
#define WATCH_LIMIT (25 * CLK_SECOND)
#define BACKOFF_BASE (500 * CLK_MILLISECOND)
#define BACKOFF_CAP (10 * CLK_SECOND)
#define MAX_QUEUED 16

struct ctl_platform
{
  const struct cfg_settings *settings;
  struct ctl_inbox *inbox;
  struct ring *jobs; /* of struct dst_action */
  pthread_t watch_thread;
  pthread_t job_thread;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  struct plt_budget budget;
  bool relay;
  bool watching;
  int stopping; /* read by the HTTP clients with atomic loads */
  /* When all members of the data centre first held SINCE_VERSION; used by the
     job thread only.  */
  uint64_t since_version;
  uint64_t since;
};

/* Waits, with the lock held, until DEADLINE or a change.  */
static void
wait_until (struct ctl_platform *platform, clk_time deadline)
{
  struct timespec limit = clk_to_timespec (deadline);

  pthread_cond_timedwait (&platform->changed, &platform->lock, &limit);
}

/* Waits until the budget allows a call.  Returns false when stopping.  */
static bool
take_call (struct ctl_platform *platform)
{
  clk_time when;
  bool allowed;

  pthread_mutex_lock (&platform->lock);
  while (!platform->stopping
         && !plt_budget_take (&platform->budget, clk_now (), &when))
    wait_until (platform, when);
  allowed = platform->stopping == 0;
  pthread_mutex_unlock (&platform->lock);
  if (allowed)
    met_add (met_counter ("platform_calls_total", ""), 1);
  return allowed;
}

static void
post_done (struct ctl_platform *platform, enum dst_request request,
           bool succeeded)
{
  struct ctl_event *event = ctl_event_create (CTL_PLATFORM_DONE);

  event->request = request;
  event->succeeded = succeeded;
  ctl_inbox_post (platform->inbox, event);
}

/* Reports an object that a watch or a read returned.  */
static void
post_object (struct ctl_platform *platform, enum dst_request request,
             const struct plt_object *object)
{
  struct plt_config config;
  struct ctl_event *event;

  if (plt_config_decode (buf_text (&object->value), object->value.length,
                         &config)
      != PLT_OK)
    {
      log_write (LOG_ERROR, "ctl",
                 "the platform's configuration object is refused: %s",
                 err_last ());
      post_done (platform, request, true);
      return;
    }
  event = ctl_event_create (CTL_OBJECT_SEEN);
  event->version = config.version;
  event->data = config.document;
  buf_init (&config.document);
  plt_config_close (&config);
  ctl_inbox_post (platform->inbox, event);
}

/* Waits until the watch is on.  Returns false when stopping.  */
static bool
wait_for_watch (struct ctl_platform *platform)
{
  bool go_on;

  pthread_mutex_lock (&platform->lock);
  while (!platform->watching && !platform->stopping)
    pthread_cond_wait (&platform->changed, &platform->lock);
  go_on = platform->stopping == 0;
  pthread_mutex_unlock (&platform->lock);
  return go_on;
}

/* Waits for DEADLINE unless stopping.  */
static void
pause_until (struct ctl_platform *platform, clk_time deadline)
{
  pthread_mutex_lock (&platform->lock);
  while (!platform->stopping && clk_now () < deadline)
    wait_until (platform, deadline);
  pthread_mutex_unlock (&platform->lock);
}

static void *
keep_watch (void *context)
{
  struct ctl_platform *platform = context;
  struct plt_client client = plt_open_http (platform->settings->platform_url);
  struct plt_backoff backoff;
  struct rnd generator;
  char key[PLT_KEY_SIZE];
  char etag[PLT_ETAG_SIZE] = "";

  rnd_init (&generator, rnd_system_seed ());
  plt_backoff_init (&backoff, BACKOFF_BASE, BACKOFF_CAP);
  plt_config_key (platform->settings->environment, key);
  plt_http_stop_on (&client, &platform->stopping);
  while (wait_for_watch (platform) && take_call (platform))
    {
      struct plt_object object;
      enum plt_status status = client.operations->watch (
          client.state, key, etag, clk_now () + WATCH_LIMIT, &object);

      if (status == PLT_OK)
        {
          memcpy (etag, object.etag, sizeof etag);
          post_object (platform, DST_REQUEST_WATCH, &object);
          plt_object_close (&object);
        }
      else
        post_done (platform, DST_REQUEST_WATCH, status == PLT_NOT_FOUND);
      if (status == PLT_OK || status == PLT_NOT_FOUND)
        plt_backoff_reset (&backoff);
      else
        pause_until (platform,
                     plt_backoff_next (&backoff, &generator, clk_now ()));
    }
  plt_close (&client);
  return NULL;
}

static void
read_object (struct ctl_platform *platform, struct plt_client *client)
{
  struct plt_object object;
  char key[PLT_KEY_SIZE];
  enum plt_status status;

  plt_config_key (platform->settings->environment, key);
  status = client->operations->get (client->state, key,
                                    clk_now () + CALL_LIMIT, &object);
  if (status != PLT_OK)
    {
      post_done (platform, DST_REQUEST_READ, status == PLT_NOT_FOUND);
      return;
    }
  post_object (platform, DST_REQUEST_READ, &object);
  plt_object_close (&object);
}

/* Adds the addresses of one directory object; the own data centre's go
   first.  */
static void
add_addresses (struct ctl_event *event, const struct plt_object *object,
               bool first)
{
  struct plt_directory directory;
  size_t count;

  if (plt_directory_decode (buf_text (&object->value), object->value.length,
                            &directory)
      != PLT_OK)
    return;
  count = directory.address_count;
  if (event->address_count + count > CTL_MAX_ADDRESSES)
    return;
  if (first)
    memmove (event->addresses + count, event->addresses,
             event->address_count * sizeof *event->addresses);
  memcpy (event->addresses + (first ? 0 : event->address_count),
          directory.addresses, count * sizeof *event->addresses);
  event->address_count += count;
}

static void
read_directory (struct ctl_platform *platform, struct plt_client *client)
{
  struct plt_list list;
  char prefix[PLT_KEY_SIZE];
  char own[PLT_KEY_SIZE];
  struct ctl_event *event;

  snprintf (prefix, sizeof prefix, "directory/%s/",
            platform->settings->environment);
  plt_directory_key (platform->settings->environment,
                     platform->settings->data_centre, own);
  if (client->operations->list (client->state, prefix, clk_now () + CALL_LIMIT,
                                &list)
      != PLT_OK)
    {
      post_done (platform, DST_REQUEST_READ_DIRECTORY, false);
      return;
    }
  event = ctl_event_create (CTL_DIRECTORY_READ);
  for (size_t i = 0; i < list.count; i++)
    add_addresses (event, &list.objects[i],
                   strcmp (list.objects[i].key, own) == 0);
  plt_list_close (&list);
  ctl_inbox_post (platform->inbox, event);
}

/* Replaces the object at KEY, whoever wrote it last: the newest relay's word
   counts.  Returns whether it is written.  */
static bool
replace_object (struct plt_client *client, const char *key,
                const struct buf *value)
{
  struct plt_object object = { 0 };
  char etag[PLT_ETAG_SIZE];
  enum plt_status status = client->operations->get (
      client->state, key, clk_now () + CALL_LIMIT, &object);

  if (status == PLT_OK || status == PLT_NOT_FOUND)
    status = client->operations->put (
        client->state, key, status == PLT_OK ? PLT_IF_MATCH : PLT_IF_ABSENT,
        object.etag, value, clk_now () + CALL_LIMIT, etag);
  plt_object_close (&object);
  return status == PLT_OK;
}

static void
write_directory (struct ctl_platform *platform, struct plt_client *client,
                 const struct dst_directory *content)
{
  struct plt_directory directory = { 0 };
  struct buf value = { 0 };
  char key[PLT_KEY_SIZE];

  directory.address_count = content->count;
  memcpy (directory.addresses, content->addresses,
          content->count * sizeof *content->addresses);
  directory.written_at = clk_wall_ms ();
  plt_directory_encode (&directory, &value);
  plt_directory_key (platform->settings->environment,
                     platform->settings->data_centre, key);
  post_done (platform, DST_REQUEST_WRITE_DIRECTORY,
             replace_object (client, key, &value));
  buf_close (&value);
}

/* Returns when all members first held the highest version, 0 if not yet.  */
static uint64_t
find_since (struct ctl_platform *platform, const struct dst_status *status)
{
  if (status->lowest != status->highest
      || status->at_highest < status->members)
    return 0;
  if (platform->since_version != status->highest)
    {
      platform->since_version = status->highest;
      platform->since = clk_wall_ms ();
    }
  return platform->since;
}

static void
write_status (struct ctl_platform *platform, struct plt_client *client,
              const struct dst_status *status)
{
  struct plt_status_report report = { 0 };
  struct buf value = { 0 };
  char key[PLT_KEY_SIZE];

  snprintf (report.data_centre, sizeof report.data_centre, "%s",
            status->data_centre);
  snprintf (report.region, sizeof report.region, "%s",
            platform->settings->region);
  snprintf (report.relay, sizeof report.relay, "%s", status->relay);
  report.members = status->members;
  report.highest_version = status->highest;
  report.at_highest = status->at_highest;
  report.lowest_version = status->lowest;
  report.rejected_version = status->rejected;
  snprintf (report.rejected_reason, sizeof report.rejected_reason, "%s",
            status->reason);
  report.forked = status->forks > 0;
  for (uint32_t i = 0;
       i < status->unreachable_count && i < DST_MAX_UNREACHABLE; i++)
    snprintf (report.unreachable[report.unreachable_count++],
              PLT_REPORT_NAME_SIZE, "%s", status->unreachable[i]);
  report.written_at = clk_wall_ms ();
  report.since = find_since (platform, status);
  plt_status_report_encode (&report, &value);
  plt_status_report_key (platform->settings->environment, status->data_centre,
                         key);
  post_done (platform, DST_REQUEST_WRITE_STATUS,
             replace_object (client, key, &value));
  buf_close (&value);
}

static void
run_action (struct ctl_platform *platform, struct plt_client *client,
            const struct dst_action *action)
{
  switch (action->kind)
    {
    case DST_READ:
      read_object (platform, client);
      break;
    case DST_READ_DIRECTORY:
      read_directory (platform, client);
      break;
    case DST_WRITE_DIRECTORY:
      write_directory (platform, client, &action->directory);
      break;
    default:
      write_status (platform, client, &action->status);
    }
}

static void *
run_actions (void *context)
{
  struct ctl_platform *platform = context;
  struct plt_client client = plt_open_http (platform->settings->platform_url);
  struct dst_action *action;

  plt_http_stop_on (&client, &platform->stopping);
  while ((action = ring_pop (platform->jobs, CLK_NEVER)) != NULL)
    {
      if (take_call (platform))
        run_action (platform, &client, action);
      free (action);
    }
  plt_close (&client);
  return NULL;
}

struct ctl_platform *
ctl_platform_create (const struct cfg_settings *settings,
                     struct ctl_inbox *inbox)
{
  struct ctl_platform *platform = mem_alloc (1, sizeof *platform);

  platform->settings = settings;
  platform->inbox = inbox;
  platform->jobs = ring_create (MAX_QUEUED);
  plt_budget_init (&platform->budget, PLAIN_RATE, PLAIN_BURST);
  pthread_mutex_init (&platform->lock, NULL);
  clk_init_condition (&platform->changed);
  thr_start (&platform->watch_thread, keep_watch, platform);
  thr_start (&platform->job_thread, run_actions, platform);
  return platform;
}

static void
set_watch (struct ctl_platform *platform, bool on)
{
  pthread_mutex_lock (&platform->lock);
  platform->watching = on;
  pthread_cond_broadcast (&platform->changed);
  pthread_mutex_unlock (&platform->lock);
}

/* Returns the request that ACTION stands for.  */
static enum dst_request
request_of (const struct dst_action *action)
{
  switch (action->kind)
    {
    case DST_READ:
      return DST_REQUEST_READ;
    case DST_READ_DIRECTORY:
      return DST_REQUEST_READ_DIRECTORY;
    case DST_WRITE_DIRECTORY:
      return DST_REQUEST_WRITE_DIRECTORY;
    default:
      return DST_REQUEST_WRITE_STATUS;
    }
}

void
ctl_platform_start (struct ctl_platform *platform,
                    const struct dst_action *action)
{
  struct dst_action *copy;

  if (action->kind == DST_WATCH)
    {
      set_watch (platform, action->on);
      return;
    }
  copy = mem_alloc (1, sizeof *copy);
  *copy = *action;
  buf_init (&copy->data);
  if (ring_push (platform->jobs, copy))
    return;
  free (copy);
  post_done (platform, request_of (action), false);
}

void
ctl_platform_set_relay (struct ctl_platform *platform, bool relay)
{
  pthread_mutex_lock (&platform->lock);
  if (platform->relay != relay)
    {
      platform->relay = relay;
      plt_budget_change (&platform->budget, relay ? RELAY_RATE : PLAIN_RATE,
                         relay ? RELAY_BURST : PLAIN_BURST, clk_now ());
      pthread_cond_broadcast (&platform->changed);
    }
  pthread_mutex_unlock (&platform->lock);
}

void
ctl_platform_destroy (struct ctl_platform *platform)
{
  struct dst_action *action;

  pthread_mutex_lock (&platform->lock);
  __atomic_store_n (&platform->stopping, 1, __ATOMIC_RELEASE);
  pthread_cond_broadcast (&platform->changed);
  pthread_mutex_unlock (&platform->lock);
  ring_close (platform->jobs);
  pthread_join (platform->watch_thread, NULL);
  pthread_join (platform->job_thread, NULL);
  while ((action = ring_pop (platform->jobs, 0)) != NULL)
    free (action);
  ring_destroy (platform->jobs);
  pthread_cond_destroy (&platform->changed);
  pthread_mutex_destroy (&platform->lock);
  free (platform);
}
