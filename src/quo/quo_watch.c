/* Which nodes a node cannot see: probes a few nodes of each data centre while
   this node owns quotas, or has lost an owner.  */

#include "own/own.h"
#include "quo/quo_internal.h"

#include <stdio.h>
#include <string.h>

/* Interval of the checks of how the nodes are seen, while a tenant needs more
   than half of its credit and while none does.  */
#define TIGHT_INTERVAL (200 * CLK_MILLISECOND)
#define CALM_INTERVAL (2 * CLK_SECOND)

/* A tenant counts as one that needs its credit for this time.  */
#define TIGHT_TIME (5 * CLK_SECOND)

/* A node that was asked for no credit for this time probes no others.  */
#define OWNED_TIME (60 * CLK_SECOND)

/* Nodes of each other data centre that an owner probes.  */
#define PROBES_PER_CENTRE 2

/* A check that is later than this means that the process or its VM stood
   still; a processor with a quota pauses for 90 ms.  */
#define LONGEST_DELAY (300 * CLK_MILLISECOND)

/* A probe without a reply gives up its place after this time.  */
#define PROBE_TIME (2 * CLK_SECOND)

/* Longest name of a probe's subject.  */
#define SUBJECT_SIZE (MBR_NAME_SIZE + 8)

/* Returns the interval of the checks.  */
static clk_time
check_interval (const struct quo *quota)
{
  clk_time now = evl_now (quota->parts.loop);

  return quota->tight_at != 0 && now - quota->tight_at < TIGHT_TIME
             ? TIGHT_INTERVAL
             : CALM_INTERVAL;
}

void
quo_schedule_check (struct quo *quota)
{
  clk_time now = evl_now (quota->parts.loop);
  clk_time at = quota->checked_at + check_interval (quota);

  if (at < now)
    at = now;
  if (quota->check_timer.deadline > at)
    {
      evl_timer_set (&quota->check_timer, at);
      quota->check_due = at;
    }
}

/* Keeps no bucket.  */
static bool
is_none (void *context, const char *name)
{
  (void)context;
  (void)name;
  return false;
}

void
quo_check_pause (struct quo *quota)
{
  clk_time now = evl_now (quota->parts.loop);

  if (quota->check_due == 0 || now - quota->check_due < LONGEST_DELAY)
    return;
  quota->check_due = now;
  quo_table_prune (quota->table, is_none, NULL);
}

void
quo_watch_nodes (struct quo *quota)
{
  quota->owned_at = evl_now (quota->parts.loop);
  quota->tight_at = quota->owned_at;
  quo_schedule_check (quota);
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

void
quo_send_probe (struct quo *quota, dir_handle node)
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

static enum quo_link_state
look (void *context, dir_handle node)
{
  const struct quo *quota = context;
  const struct hub *hub = quota->parts.hub;

  if (node == quota->parts.self || hub_is_connected (hub, node))
    return QUO_CONNECTED;
  switch (hub_health (hub, node))
    {
    case HUB_TIMED_OUT:
      return QUO_SILENT;
    case HUB_DISCONNECTED:
      return QUO_DISCONNECTED;
    default:
      return QUO_UNKNOWN;
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
        quo_send_probe (quota, node);
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

  quo_check_pause (quota);
  quota->check_due = 0;
  quo_share_check (&quota->share, quota->parts.directory, look, quota, now);
  if (quota->share.part != before)
    quo_log_share (quota, before);
  quo_table_prune (quota->table, quo_is_owner, quota);
  quo_table_forget (quota->table, now);
  quota->checked_at = now;
  if (now - quota->owned_at <= OWNED_TIME)
    probe_centres (quota);
  if (now - quota->owned_at <= OWNED_TIME
      || quo_table_count (quota->table) > 0)
    quo_schedule_check (quota);
}
