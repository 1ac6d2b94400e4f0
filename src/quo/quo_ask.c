/* Requests for credit from this node to owners.  */

#include "quo/quo_internal.h"

/* After nodes have answered that they are not the owner or not ready, they
   are asked again after this time.  */
#define AGAIN_TIME (20 * CLK_MILLISECOND)

/* Returns a number for the process of NODE.  */
static uint64_t
owner_number (const struct quo *quota, dir_handle node)
{
  const struct mbr_member *member = dir_get (quota->parts.directory, node);

  return ((uint64_t)node << 48) ^ (member != NULL ? member->incarnation : 0);
}

/* Stops to wait for a reply.  */
static void
end_ask (struct quo_tenant *tenant)
{
  if (tenant->number == 0)
    return;
  tenant->number = 0;
  hub_end_request (tenant->quota->parts.hub, tenant->link);
}

/* The owner has granted credit, or none for a while.  */
static void
take_answer (struct quo_tenant *tenant, uint32_t credit, clk_time wait)
{
  clk_time now = evl_now (tenant->quota->parts.loop);

  tenant->unanswered_since = 0;
  tenant->uses_floor = false;
  tenant->skipped_count = 0;
  if (credit == 0)
    {
      quo_lease_refuse (&tenant->lease, wait, now);
      quo_prune (tenant);
      return;
    }
  quo_lease_grant (&tenant->lease, credit, tenant->wanted,
                   owner_number (tenant->quota, tenant->owner),
                   tenant->sent_at);
  quo_serve (tenant);
}

/* Sends the request.  Returns false when that is not possible now.  */
static bool
send_request (struct quo_tenant *tenant, uint32_t wanted, uint32_t returned)
{
  struct quo *quota = tenant->quota;
  Mesh__QuotaRequest request = MESH__QUOTA_REQUEST__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  request.number = quo_next_number (quota);
  request.tenant = tenant->name;
  request.wanted = wanted;
  request.returned = returned;
  frame.body_case = MESH__FRAME__BODY_QUOTA_REQUEST;
  frame.quota_request = &request;
  if (hub_send (quota->parts.hub, tenant->owner, &frame, 1, &tenant->link)
      != HUB_OK)
    return false;
  tenant->number = request.number;
  return true;
}

/* Leaves out the node that was asked last.  Returns false when enough were
   asked; all of them may be asked again later.  */
static bool
skip_owner (struct quo_tenant *tenant)
{
  tenant->skipped[tenant->skipped_count++] = tenant->owner;
  if (tenant->skipped_count < QUO_MAX_OWNERS)
    return true;
  tenant->skipped_count = 0;
  return false;
}

/* The node itself is the owner.  */
static void
ask_self (struct quo_tenant *tenant, uint32_t wanted, uint32_t returned)
{
  struct quo_grant grant = { 0 };

  if (quo_answer (tenant->quota, tenant->name, wanted, returned, &grant)
      == QUO_ANSWERED)
    take_answer (tenant, grant.credit, grant.wait);
  else
    quo_serve_from_floor (tenant);
}

static void
set_owner (struct quo_tenant *tenant, dir_handle owner)
{
  dir_handle before = tenant->owner;

  tenant->owner = owner;
  if (before != owner && before != DIR_NONE)
    quo_log_owner (tenant, before);
}

void
quo_ask (struct quo_tenant *tenant)
{
  struct quo *quota = tenant->quota;
  clk_time now = evl_now (quota->parts.loop);
  uint32_t wanted
      = quo_lease_wanted (&tenant->lease, tenant->waiting_count, now);

  if (tenant->unanswered_since == 0)
    tenant->unanswered_since = now;
  for (;;)
    {
      dir_handle owner = quo_find_owner (quota, tenant->name, tenant->skipped,
                                         tenant->skipped_count);
      uint32_t returned;

      if (owner == DIR_NONE)
        break;
      set_owner (tenant, owner);
      returned = quo_lease_take_expired (&tenant->lease,
                                         owner_number (quota, owner), now);
      tenant->sent_at = now;
      tenant->wanted = wanted;
      if (owner == quota->parts.self)
        {
          ask_self (tenant, wanted, returned);
          return;
        }
      if (send_request (tenant, wanted, returned))
        return;
      if (!skip_owner (tenant))
        break;
    }
  quo_serve_from_floor (tenant);
}

void
quo_fail_ask (struct quo_tenant *tenant)
{
  end_ask (tenant);
  quo_watch_nodes (tenant->quota);
  if (skip_owner (tenant))
    quo_ask (tenant);
  else
    quo_serve_from_floor (tenant);
}

/* The node that was asked knows another owner, or cannot answer yet.  */
static void
ask_again (struct quo_tenant *tenant)
{
  if (skip_owner (tenant))
    quo_ask (tenant);
  else
    tenant->ask_at = evl_now (tenant->quota->parts.loop) + AGAIN_TIME;
}

static struct quo_tenant *
find_asking (const struct quo *quota, uint32_t number)
{
  for (size_t i = 0; i < quota->tenant_count; i++)
    if (quota->tenants[i]->number == number)
      return quota->tenants[i];
  return NULL;
}

/* Returns the wait in a reply.  No owner reports a longer one than
   QUO_LONGEST_RETRY; a damaged reply must not refuse a tenant for longer.  */
static clk_time
wait_of (const Mesh__QuotaReply *reply)
{
  clk_time wait = (clk_time)reply->wait_us * CLK_MICROSECOND;

  return wait < QUO_LONGEST_RETRY ? wait : QUO_LONGEST_RETRY;
}

bool
quo_handle_reply (struct quo *quota, const Mesh__Frame *frame)
{
  const Mesh__QuotaReply *reply;
  struct quo_tenant *tenant;

  if (frame->body_case != MESH__FRAME__BODY_QUOTA_REPLY)
    return false;
  reply = frame->quota_reply;
  if (reply->number == 0)
    return true;
  quo_end_probe (quota, reply->number);
  tenant = find_asking (quota, reply->number);
  if (tenant == NULL)
    return true;
  end_ask (tenant);
  if (reply->status == QUO_ANSWERED)
    take_answer (tenant,
                 reply->granted < QUO_MAX_WANTED ? reply->granted
                                                 : QUO_MAX_WANTED,
                 wait_of (reply));
  else
    ask_again (tenant);
  quo_schedule (tenant);
  return true;
}

void
quo_handle_link_closed (struct quo *quota, uint64_t link)
{
  quo_end_probes_on (quota, link);
  for (size_t i = 0; i < quota->tenant_count; i++)
    {
      struct quo_tenant *tenant = quota->tenants[i];

      if (tenant->number == 0 || tenant->link != link)
        continue;
      quo_fail_ask (tenant);
      quo_schedule (tenant);
    }
}
