/* Tenants of this node, and the requests that wait for credit.  */

#include "quo/quo.h"

#include "base/mem.h"
#include "met/met.h"
#include "quo/quo_internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Interval of the removal of tenants that are no longer configured, and the
   time since their last request then.  */
#define SWEEP_INTERVAL (10 * CLK_SECOND)
#define IDLE_TIME (60 * CLK_SECOND)

static void
free_tenant (struct quo_tenant *tenant)
{
  for (uint32_t i = 0; i < tenant->waiting_count; i++)
    free (tenant->waiting[i]);
  tenant->quota->waiting_count -= tenant->waiting_count;
  evl_timer_stop (&tenant->timer);
  free (tenant->waiting);
  free (tenant->name);
  free (tenant);
}

static bool
is_configured (const struct quo *quota, const char *name)
{
  return quota->snapshot != NULL
         && doc_find_tenant (quota->snapshot->document, name) != NULL;
}

/* Forgets tenants that are no longer configured.  */
static void
sweep (void *context)
{
  struct quo *quota = context;
  clk_time now = evl_now (quota->parts.loop);
  size_t kept = 0;

  for (size_t i = 0; i < quota->tenant_count; i++)
    {
      struct quo_tenant *tenant = quota->tenants[i];

      if (tenant->waiting_count == 0 && tenant->number == 0
          && !is_configured (quota, tenant->name)
          && now - tenant->used_at > IDLE_TIME)
        free_tenant (tenant);
      else
        quota->tenants[kept++] = tenant;
    }
  quota->tenant_count = kept;
  evl_timer_set (&quota->sweep_timer, now + SWEEP_INTERVAL);
}

struct quo *
quo_create (const struct quo_options *options)
{
  struct quo *quota = mem_alloc (1, sizeof *quota);

  quota->parts = *options;
  quota->next_number = 1;
  quota->ready_at = CLK_NEVER;
  quota->table = quo_table_create ();
  quo_share_init (&quota->share);
  rnd_init (&quota->random, options->seed);
  evl_timer_init (&quota->sweep_timer, options->loop, sweep, quota);
  evl_timer_init (&quota->check_timer, options->loop, quo_check_nodes, quota);
  evl_timer_set (&quota->sweep_timer,
                 evl_now (options->loop) + SWEEP_INTERVAL);
  return quota;
}

void
quo_destroy (struct quo *quota)
{
  if (quota == NULL)
    return;
  for (size_t i = 0; i < quota->tenant_count; i++)
    free_tenant (quota->tenants[i]);
  free (quota->tenants);
  evl_timer_stop (&quota->sweep_timer);
  evl_timer_stop (&quota->check_timer);
  quo_table_destroy (quota->table);
  quo_share_close (&quota->share);
  snp_release (quota->snapshot);
  free (quota);
}

void
quo_set_snapshot (struct quo *quota, struct snp_snapshot *snapshot)
{
  snp_release (quota->snapshot);
  quota->snapshot = snp_retain (snapshot);
}

void
quo_set_ready (struct quo *quota, clk_time ready_at)
{
  quota->ready_at = ready_at;
}

bool
quo_is_ready (const struct quo *quota)
{
  return evl_now (quota->parts.loop) >= quota->ready_at;
}

void
quo_note_health (struct quo *quota, dir_handle peer, enum hub_health health)
{
  if (health == HUB_TIMED_OUT)
    quo_share_note_silent (&quota->share, peer);
  else if (health == HUB_HEALTHY)
    quo_share_forget (&quota->share, peer);
}

void
quo_reset_peer (struct quo *quota, dir_handle peer)
{
  quo_share_forget (&quota->share, peer);
}

uint32_t
quo_next_number (struct quo *quota)
{
  if (quota->next_number == 0)
    quota->next_number = 1;
  return quota->next_number++;
}

static struct quo_tenant *
find_tenant (const struct quo *quota, const char *name)
{
  uint64_t hash = XXH3_64bits (name, strlen (name));

  for (size_t i = 0; i < quota->tenant_count; i++)
    if (quota->tenants[i]->hash == hash
        && strcmp (quota->tenants[i]->name, name) == 0)
      return quota->tenants[i];
  return NULL;
}

static clk_time
later (clk_time left, clk_time right)
{
  return left > right ? left : right;
}

/* Returns when the owner is asked next while no request is under way.  */
static clk_time
next_ask (const struct quo_tenant *tenant)
{
  return later (tenant->lease.refused_until, tenant->ask_at);
}

void
quo_schedule (struct quo_tenant *tenant)
{
  clk_time at = CLK_NEVER;

  if (tenant->number != 0)
    at = tenant->sent_at + QUO_REPLY_TIME;
  else if (tenant->waiting_count > 0)
    at = next_ask (tenant);
  for (uint32_t i = 0; i < tenant->waiting_count; i++)
    if (tenant->waiting[i]->give_up_at < at)
      at = tenant->waiting[i]->give_up_at;
  evl_timer_set (&tenant->timer, at);
}

static void
on_timer (void *context)
{
  struct quo_tenant *tenant = context;
  clk_time now = evl_now (tenant->quota->parts.loop);

  if (tenant->number != 0 && tenant->sent_at + QUO_REPLY_TIME <= now)
    quo_fail_ask (tenant);
  quo_expire (tenant);
  if (tenant->waiting_count > 0 && tenant->number == 0
      && next_ask (tenant) <= now)
    quo_ask (tenant);
  quo_schedule (tenant);
}

static struct quo_tenant *
add_tenant (struct quo *quota, const char *name)
{
  struct quo_tenant *tenant;

  if (quota->tenant_count == QUO_MAX_TENANTS)
    return NULL;
  tenant = mem_alloc (1, sizeof *tenant);
  tenant->quota = quota;
  tenant->name = mem_copy_string (name);
  tenant->hash = XXH3_64bits (name, strlen (name));
  tenant->owner = DIR_NONE;
  evl_timer_init (&tenant->timer, quota->parts.loop, on_timer, tenant);
  quo_start_series (tenant);
  quota->tenants = mem_resize (quota->tenants, quota->tenant_count + 1,
                               sizeof (struct quo_tenant *));
  quota->tenants[quota->tenant_count++] = tenant;
  return tenant;
}

/* Returns the tenant of a request that comes now, null when there are too
   many.  */
static struct quo_tenant *
use_tenant (struct quo *quota, const struct doc_tenant *configured)
{
  struct quo_tenant *tenant = find_tenant (quota, configured->name);

  if (tenant == NULL)
    tenant = add_tenant (quota, configured->name);
  if (tenant == NULL)
    return NULL;
  tenant->rate = configured->rate;
  tenant->used_at = evl_now (quota->parts.loop);
  quo_lease_note_arrival (&tenant->lease, tenant->used_at);
  return tenant;
}

static bool
may_wait (const struct quo_tenant *tenant, clk_time deadline, clk_time now)
{
  return tenant->quota->waiting_count < QUO_MAX_WAITING && deadline > now
         && quo_lease_may_wait (&tenant->lease, tenant->waiting_count,
                                tenant->rate, deadline, now);
}

/* Takes credit that is at hand, or at this node when it is the owner.  */
static bool
take_at_once (struct quo_tenant *tenant, clk_time now)
{
  const struct quo *quota = tenant->quota;

  if (tenant->waiting_count > 0)
    return false;
  if (quo_lease_take (&tenant->lease, now))
    return true;
  if (tenant->number != 0 || next_ask (tenant) > now
      || quo_find_owner (quota, tenant->name, NULL, 0) != quota->parts.self)
    return false;
  quo_ask (tenant);
  return quo_lease_take (&tenant->lease, now);
}

enum quo_status
quo_take (struct quo *quota, const struct doc_tenant *configured,
          clk_time deadline, quo_callback callback, void *context,
          struct quo_request **request, clk_time *retry_after)
{
  clk_time now = evl_now (quota->parts.loop);
  struct quo_tenant *tenant;

  *request = NULL;
  *retry_after = 0;
  if (configured == NULL || !(configured->rate > 0))
    return QUO_GRANTED;
  tenant = use_tenant (quota, configured);
  if (tenant == NULL)
    {
      *retry_after = QUO_LONGEST_RETRY;
      return QUO_REFUSED;
    }
  if (take_at_once (tenant, now))
    {
      met_add (tenant->granted_total, 1);
      return QUO_GRANTED;
    }
  if (!may_wait (tenant, deadline, now))
    {
      *retry_after = quo_find_retry (tenant);
      quo_log_refused (tenant, *retry_after);
      return QUO_REFUSED;
    }
  *request = quo_add_request (tenant, deadline, callback, context);
  quo_schedule (tenant);
  return QUO_WAITING;
}

bool
quo_refuses_late (struct quo *quota, const struct doc_tenant *configured,
                  clk_time *retry_after)
{
  struct quo_tenant *tenant;

  if (configured == NULL || !(configured->rate > 0))
    return false;
  tenant = find_tenant (quota, configured->name);
  if (tenant == NULL
      || evl_now (quota->parts.loop) >= tenant->lease.scarce_until)
    return false;
  *retry_after = quo_find_retry (tenant);
  quo_log_refused (tenant, *retry_after);
  return true;
}

void
quo_return (struct quo *quota, const struct doc_tenant *configured)
{
  struct quo_tenant *tenant;

  if (configured == NULL || !(configured->rate > 0))
    return;
  tenant = find_tenant (quota, configured->name);
  if (tenant != NULL)
    quo_lease_return (&tenant->lease, evl_now (quota->parts.loop));
}
