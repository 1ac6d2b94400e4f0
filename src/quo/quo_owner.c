/* The owner of a quota: answers requests for credit, and watches which nodes
   it cannot see.  */

#include "own/own.h"
#include "quo/quo_internal.h"

#include <stdio.h>
#include <string.h>

/* Interval of the checks of how the nodes are seen, while a tenant needs more
   than half of its credit and while none does.  */
#define TIGHT_INTERVAL (200 * CLK_MILLISECOND)
#define CALM_INTERVAL (2 * CLK_SECOND)

/* A node that takes a tenant over from a silent one grants by its own data
   centre for this time, in which it learns which others are silent too.  */
#define CAUTION_TIME (700 * CLK_MILLISECOND)

/* A tenant counts as one that needs its credit for this time.  */
#define TIGHT_TIME (5 * CLK_SECOND)

/* A node that was asked for no credit for this time makes no checks.  */
#define OWNED_TIME (60 * CLK_SECOND)

/* Nodes of each other data centre that an owner probes.  */
#define PROBES_PER_CENTRE 2

/* A probe without a reply gives up its place after this time.  */
#define PROBE_TIME (2 * CLK_SECOND)

/* Longest name of a probe's subject.  */
#define SUBJECT_SIZE (MBR_NAME_SIZE + 8)

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

/* Returns the interval of the checks.  */
static clk_time
check_interval (const struct quo *quota)
{
  clk_time now = evl_now (quota->parts.loop);

  return quota->tight_at != 0 && now - quota->tight_at < TIGHT_TIME
             ? TIGHT_INTERVAL
             : CALM_INTERVAL;
}

/* Makes sure that the next check is not later than the interval demands.  */
static void
schedule_check (struct quo *quota)
{
  clk_time at = quota->checked_at + check_interval (quota);

  if (quota->check_timer.deadline > at)
    evl_timer_set (&quota->check_timer, at);
}

void
quo_watch_nodes (struct quo *quota)
{
  quota->owned_at = evl_now (quota->parts.loop);
  quota->tight_at = quota->owned_at;
  schedule_check (quota);
}

static bool
is_own (void *context, const char *name)
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
  if (!is_own (quota, name))
    {
      if (quo_table_has (quota->table, name))
        quo_table_prune (quota->table, is_own, quota);
      return QUO_NOT_OWNER;
    }
  quota->owned_at = evl_now (quota->parts.loop);
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
  schedule_check (quota);
  return QUO_ANSWERED;
}

static void
end_probe (struct quo *quota, struct quo_probe *probe)
{
  hub_end_request (quota->parts.hub, probe->link);
  probe->number = 0;
}

void
quo_end_probe (struct quo *quota, uint32_t number)
{
  for (size_t i = 0; i < QUO_MAX_PROBES; i++)
    if (quota->probes[i].number != 0 && quota->probes[i].number == number)
      end_probe (quota, &quota->probes[i]);
}

void
quo_end_probes_on (struct quo *quota, uint64_t link)
{
  for (size_t i = 0; i < QUO_MAX_PROBES; i++)
    if (quota->probes[i].link == link)
      quota->probes[i].number = 0;
}

/* Returns a free place for a probe, null when there is none.  */
static struct quo_probe *
find_place (struct quo *quota, clk_time now)
{
  for (size_t i = 0; i < QUO_MAX_PROBES; i++)
    {
      struct quo_probe *probe = &quota->probes[i];

      if (probe->number != 0 && now - probe->sent_at >= PROBE_TIME)
        end_probe (quota, probe);
      if (probe->number == 0)
        return probe;
    }
  return NULL;
}

/* Sends a request that only shows whether NODE answers.  */
static void
send_probe (struct quo *quota, dir_handle node)
{
  clk_time now = evl_now (quota->parts.loop);
  struct quo_probe *probe = find_place (quota, now);
  Mesh__QuotaRequest request = MESH__QUOTA_REQUEST__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  if (probe == NULL || node == quota->parts.self)
    return;
  request.number = quo_next_number (quota);
  frame.body_case = MESH__FRAME__BODY_QUOTA_REQUEST;
  frame.quota_request = &request;
  if (hub_send (quota->parts.hub, node, &frame, 1, &probe->link) != HUB_OK)
    return;
  probe->number = request.number;
  probe->sent_at = now;
}

static enum quo_sight
look (void *context, dir_handle node)
{
  const struct quo *quota = context;
  const struct hub *hub = quota->parts.hub;

  if (node == quota->parts.self || hub_is_connected (hub, node))
    return QUO_HEARD;
  switch (hub_health (hub, node))
    {
    case HUB_TIMED_OUT:
      return QUO_SILENT;
    case HUB_DISCONNECTED:
      return QUO_LOST;
    default:
      return QUO_UNSEEN;
    }
}

/* A search for a node of one data centre.  */
struct centre_search
{
  const struct dir *directory;
  const char *data_centre;
};

static bool
is_in_centre (void *context, dir_handle node)
{
  const struct centre_search *search = context;
  const struct mbr_member *member = dir_get (search->directory, node);

  return strcmp (member->data_centre, search->data_centre) == 0;
}

/* Probes the same few nodes of a data centre each time, so that owners keep
   few links.  */
static void
probe_centre (struct quo *quota, const char *data_centre)
{
  const struct dir *directory = quota->parts.directory;
  struct centre_search search = { directory, data_centre };
  char subject[SUBJECT_SIZE];

  for (unsigned i = 0; i < PROBES_PER_CENTRE; i++)
    {
      dir_handle node;

      snprintf (subject, sizeof subject, "%s/%u",
                dir_get (directory, quota->parts.self)->name, i);
      node = own_find_owner (directory, "quota-probe", subject, is_in_centre,
                             &search);
      if (node != DIR_NONE)
        send_probe (quota, node);
    }
}

/* Returns whether NODE is the first one of its data centre.  */
static bool
is_first_of_centre (const struct dir *directory, dir_handle node)
{
  const struct mbr_member *member = dir_get (directory, node);

  for (dir_handle i = 0; i < node; i++)
    {
      const struct mbr_member *other = dir_get (directory, i);

      if (other != NULL
          && strcmp (other->data_centre, member->data_centre) == 0)
        return false;
    }
  return true;
}

static void
probe_centres (struct quo *quota)
{
  const struct dir *directory = quota->parts.directory;
  const char *own = dir_get (directory, quota->parts.self)->data_centre;

  for (dir_handle node = 0; node < dir_handle_limit (directory); node++)
    if (dir_get (directory, node) != NULL
        && is_first_of_centre (directory, node)
        && strcmp (dir_get (directory, node)->data_centre, own) != 0)
      probe_centre (quota, dir_get (directory, node)->data_centre);
}

void
quo_check_nodes (void *context)
{
  struct quo *quota = context;
  clk_time now = evl_now (quota->parts.loop);
  double before = quota->share.part;

  quo_share_check (&quota->share, quota->parts.directory, look, quota, now);
  if (quota->share.part != before)
    quo_log_share (quota, before);
  quo_table_prune (quota->table, is_own, quota);
  if (now - quota->owned_at > OWNED_TIME)
    return;
  quota->checked_at = now;
  probe_centres (quota);
  schedule_check (quota);
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
    send_probe (quota, owner);
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
