/* The owner of a quota: answers requests for credit, and watches which nodes
   it cannot see.  */

#include "own/own.h"
#include "quo/quo_internal.h"

/* A node that takes a tenant over from a silent one grants by its own data
   centre for this time, in which it learns which others are silent too.  */
#define CAUTION_TIME (700 * CLK_MILLISECOND)

/* Whom a search for an owner leaves out.  */
struct search
{
  const struct quo *quota;
  const dir_handle *skipped;
  unsigned count;
};

static bool
is_reachable (void *context, dir_handle node)
{
  const struct search *search = context;
  const struct quo *quota = search->quota;

  for (unsigned i = 0; i < search->count; i++)
    if (search->skipped[i] == node)
      return false;
  if (node == quota->parts.self)
    return quo_is_ready (quota);
  return hub_is_responsive (quota->parts.hub, node)
         && (!quo_share_is_silent (&quota->share, node)
             || hub_is_connected (quota->parts.hub, node));
}

dir_handle
quo_find_owner (const struct quo *quota, const char *name,
                const dir_handle *skipped, unsigned count)
{
  struct search search = { quota, skipped, count };

  return own_find_owner (quota->parts.directory, QUO_OWNER_KIND, name,
                         is_reachable, &search);
}

bool
quo_is_owner (void *context, const char *name)
{
  const struct quo *quota = context;

  return quo_find_owner (quota, name, NULL, 0) == quota->parts.self;
}

static bool
is_any (void *context, dir_handle node)
{
  (void)context;
  (void)node;
  return true;
}

/* Notes when this node takes over a tenant from one that is silent.  */
static void
check_takeover (struct quo *quota, const char *name)
{
  const struct quo_options *parts = &quota->parts;
  dir_handle first
      = own_find_owner (parts->directory, QUO_OWNER_KIND, name, is_any, NULL);

  if (first == parts->self || hub_is_connected (parts->hub, first))
    return;
  if (hub_health (parts->hub, first) != HUB_DISCONNECTED
      || quo_share_is_silent (&quota->share, first))
    quota->cautious_until = evl_now (parts->loop) + CAUTION_TIME;
}

/* Returns the part of its rate that a tenant gets from this node.  */
static double
part_of_rate (struct quo *quota, clk_time now)
{
  double near;

  if (now >= quota->cautious_until)
    return quota->share.part;
  near = quo_share_of_centre (&quota->share, quota->parts.directory,
                              quota->parts.self);
  return near < quota->share.part ? near : quota->share.part;
}

enum quo_answer
quo_answer (struct quo *quota, const char *name, uint32_t wanted,
            uint32_t returned, struct quo_grant *grant)
{
  const struct doc_tenant *tenant
      = quota->snapshot != NULL
            ? doc_find_tenant (quota->snapshot->document, name)
            : NULL;
  struct quo_limit limit;

  if (!quo_is_ready (quota) || tenant == NULL || !(tenant->rate > 0))
    return QUO_NOT_READY;
  if (!quo_is_owner (quota, name))
    {
      if (quo_table_has (quota->table, name))
        quo_table_prune (quota->table, quo_is_owner, quota);
      return QUO_NOT_OWNER;
    }
  quota->owned_at = evl_now (quota->parts.loop);
  quo_check_pause (quota);
  if (!quo_table_has (quota->table, name))
    check_takeover (quota, name);
  limit = (struct quo_limit){ tenant->rate, tenant->burst,
                              part_of_rate (quota, quota->owned_at) };
  *grant = quo_table_take (quota->table, name, &limit,
                           wanted < QUO_MAX_WANTED ? wanted : QUO_MAX_WANTED,
                           returned < QUO_MAX_WANTED ? returned : 0,
                           quota->owned_at);
  if (grant->is_tight)
    quota->tight_at = quota->owned_at;
  quo_schedule_check (quota);
  return QUO_ANSWERED;
}

static void
send_reply (struct quo *quota, struct hub_inbound_link *inbound,
            uint32_t number, enum quo_answer answer,
            const struct quo_grant *grant)
{
  Mesh__QuotaReply reply = MESH__QUOTA_REPLY__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  reply.number = number;
  reply.status = answer;
  reply.granted = grant->credit;
  reply.wait_us = (uint32_t)(grant->wait / CLK_MICROSECOND);
  frame.body_case = MESH__FRAME__BODY_QUOTA_REPLY;
  frame.quota_reply = &reply;
  hub_reply (quota->parts.hub, inbound, &frame);
}

/* Makes sure that the node which is taken for the owner answers: without a
   link to it, this node would not learn that it is gone.  */
static void
probe_owner (struct quo *quota, const char *name)
{
  dir_handle owner = quo_find_owner (quota, name, NULL, 0);

  if (owner != DIR_NONE)
    quo_send_probe (quota, owner);
  quo_watch_nodes (quota);
}

bool
quo_handle_request (struct quo *quota, struct hub_inbound_link *inbound,
                    const Mesh__Frame *frame)
{
  const Mesh__QuotaRequest *request;
  struct quo_grant grant = { 0 };
  enum quo_answer answer;

  if (frame->body_case != MESH__FRAME__BODY_QUOTA_REQUEST)
    return false;
  request = frame->quota_request;
  answer = quo_answer (quota, request->tenant, request->wanted,
                       request->returned, &grant);
  if (answer == QUO_NOT_OWNER)
    probe_owner (quota, request->tenant);
  send_reply (quota, inbound, request->number, answer, &grant);
  return true;
}
