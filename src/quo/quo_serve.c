/* Answers to the requests that wait for credit.  */

#include "met/met.h"
#include "quo/quo_internal.h"

/* Returns the request that waits longest, null when there is none.  */
static struct quo_request *
first_request (const struct quo_tenant *tenant)
{
  return tenant->waiting_count > 0 ? tenant->waiting[0] : NULL;
}

/* Ends the wait of a request.  */
static void
end_request (struct quo_request *request, enum quo_status status,
             clk_time retry_after)
{
  quo_callback callback = request->callback;
  void *context = request->context;
  struct quo_tenant *tenant = request->tenant;

  if (status == QUO_GRANTED)
    met_add (tenant->granted_total, 1);
  else
    quo_log_refused (tenant, retry_after);
  quo_cancel (request);
  callback (context, status, retry_after);
}

clk_time
quo_find_retry (struct quo_tenant *tenant)
{
  struct quo *quota = tenant->quota;

  return quo_lease_retry (
      &tenant->lease, tenant->rate, dir_alive_count (quota->parts.directory),
      rnd_unit (&quota->random), evl_now (quota->parts.loop));
}

static void
refuse (struct quo_request *request)
{
  end_request (request, QUO_REFUSED, quo_find_retry (request->tenant));
}

/* Takes one credit of the floor.  A node that does not know the others has
   none, as it cannot tell its part.  */
static bool
take_floor (struct quo_tenant *tenant)
{
  struct quo *quota = tenant->quota;

  if (!quo_is_ready (quota))
    return false;
  if (!tenant->uses_floor)
    quo_log_floor (tenant);
  tenant->uses_floor = true;
  return quo_lease_take_floor (
      &tenant->lease, tenant->rate, dir_alive_count (quota->parts.directory),
      rnd_unit (&quota->random), evl_now (quota->parts.loop));
}

static void
take_floor_or_refuse (struct quo_request *request)
{
  if (take_floor (request->tenant))
    end_request (request, QUO_GRANTED, 0);
  else
    refuse (request);
}

void
quo_serve (struct quo_tenant *tenant)
{
  clk_time now = evl_now (tenant->quota->parts.loop);
  struct quo_request *request;

  while ((request = first_request (tenant)) != NULL
         && quo_lease_take (&tenant->lease, now))
    end_request (request, QUO_GRANTED, 0);
}

void
quo_serve_from_floor (struct quo_tenant *tenant)
{
  struct quo_request *request;

  /* Requests that callbacks add are at the end and are served as well; their
     number is bounded by the connections.  */
  for (uint32_t left = tenant->waiting_count;
       left > 0 && (request = first_request (tenant)) != NULL; left--)
    take_floor_or_refuse (request);
}

/* Returns the first request that gets no credit in time according to the
   owner's last reply, null when there is none.  */
static struct quo_request *
find_unservable (struct quo_tenant *tenant, clk_time now)
{
  for (uint32_t place = 0; place < tenant->waiting_count; place++)
    {
      struct quo_request *request = tenant->waiting[place];

      if (!quo_lease_may_wait (&tenant->lease, place, tenant->rate,
                               request->give_up_at, now))
        return request;
    }
  return NULL;
}

void
quo_prune (struct quo_tenant *tenant)
{
  clk_time now = evl_now (tenant->quota->parts.loop);
  struct quo_request *request;

  while ((request = find_unservable (tenant, now)) != NULL)
    refuse (request);
}

static struct quo_request *
find_expired (struct quo_tenant *tenant, clk_time now)
{
  for (uint32_t i = 0; i < tenant->waiting_count; i++)
    if (tenant->waiting[i]->give_up_at <= now)
      return tenant->waiting[i];
  return NULL;
}

/* Ends the requests whose time is over: from the floor where no owner has
   answered for a while.  */
void
quo_expire (struct quo_tenant *tenant)
{
  clk_time now = evl_now (tenant->quota->parts.loop);
  struct quo_request *request;

  while ((request = find_expired (tenant, now)) != NULL)
    if (tenant->unanswered_since != 0
        && now - tenant->unanswered_since >= QUO_REPLY_TIME)
      take_floor_or_refuse (request);
    else
      refuse (request);
}
