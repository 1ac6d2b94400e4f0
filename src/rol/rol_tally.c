/* What an owner makes of the reports.  */

#include "rol/rol_internal.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

/* Time after which a node that does not report counts as not reporting.  */
#define REPORT_LIFETIME CLK_SECOND

/* Time after which an owner has got the reports of all nodes that report.  */
#define SETTLING_TIME (700 * CLK_MILLISECOND)

/* Age of the store's last answer up to which it counts as answering.  */
#define STORE_LIFETIME (1500 * CLK_MILLISECOND)

void
rol_drop_tally (struct rol_service *service)
{
  struct rol_tally *tally = service->tally;

  if (tally == NULL)
    return;
  for (dir_handle i = 0; i < tally->reporter_count; i++)
    free (tally->reporters[i].counts);
  free (tally->reporters);
  free (tally);
  service->tally = NULL;
}

static struct rol_tally *
tally_of (struct rol_service *service)
{
  if (service->tally == NULL)
    {
      service->tally = mem_alloc (1, sizeof *service->tally);
      service->tally->owner_since = CLK_NEVER;
    }
  return service->tally;
}

static struct rol_reporter *
reporter_of (struct rol_tally *tally, dir_handle node)
{
  dir_handle count = node + 1;

  if (node >= tally->reporter_count)
    {
      tally->reporters
          = mem_resize (tally->reporters, count, sizeof *tally->reporters);
      memset (tally->reporters + tally->reporter_count, 0,
              (count - tally->reporter_count) * sizeof *tally->reporters);
      tally->reporter_count = count;
    }
  return &tally->reporters[node];
}

/* Adds what NOW has more than BEFORE to TOTAL.  */
static void
add_difference (const Mesh__RolloutCount *now, struct rol_count *before,
                struct rol_count *total)
{
  if (now->answers < before->answers || now->bad < before->bad
      || now->bad > now->answers || !(now->seconds >= before->seconds)
      || !(now->squares >= before->squares))
    return;
  total->answers += now->answers - before->answers;
  total->bad += now->bad - before->bad;
  total->seconds += now->seconds - before->seconds;
  total->squares += now->squares - before->squares;
  *before = (struct rol_count){ now->answers, now->bad, now->seconds,
                                now->squares };
}

static void
take_counts (struct rol_tally *tally, struct rol_reporter *reporter,
             const Mesh__RolloutReport *report, bool is_new)
{
  struct rol_count *totals
      = is_new ? tally->totals.new_version : tally->totals.old_version;

  if (reporter->counts == NULL)
    reporter->counts = mem_alloc (ROL_MAX_ROUTES, sizeof *reporter->counts);
  for (size_t i = 0; i < report->n_counts; i++)
    {
      const Mesh__RolloutCount *count = report->counts[i];

      add_difference (
          count,
          &reporter->counts[rol_find_route (&reporter->routes, count->route)],
          &totals[rol_find_route (&tally->routes, count->route)]);
    }
}

void
rol_take_report (struct rol *rollouts, struct rol_service *service,
                 struct hub_inbound_link *inbound,
                 const Mesh__RolloutReport *report)
{
  dir_handle node = dir_find (rollouts->options.directory, report->node);
  struct rol_tally *tally;
  struct rol_reporter *reporter;

  if (node == DIR_NONE)
    return;
  tally = tally_of (service);
  reporter = reporter_of (tally, node);
  if (reporter->incarnation > report->incarnation
      || (reporter->incarnation == report->incarnation
          && reporter->number >= report->number))
    return;
  if (reporter->incarnation != report->incarnation)
    {
      free (reporter->counts);
      *reporter = (struct rol_reporter){ .incarnation = report->incarnation };
    }
  reporter->number = report->number;
  reporter->inbound = inbound;
  reporter->reported_at = evl_now (rollouts->options.loop);
  reporter->phase = (enum rol_phase)report->rollout->phase;
  reporter->old_calls = report->old_calls;
  reporter->gate_calls = report->gate_calls;
  /* An upstream without a version is an old one; a node without an upstream
     of the service has neither counts nor calls.  */
  reporter->has_old_gate
      = strcmp (report->gate_version, service->run.order.version) != 0;
  if (report->n_counts > 0)
    take_counts (tally, reporter, report, !reporter->has_old_gate);
}

void
rol_handle_inbound_closed (struct rol *rollouts,
                           const struct hub_inbound_link *inbound)
{
  for (size_t i = 0; i < rollouts->service_count; i++)
    {
      struct rol_tally *tally = rollouts->services[i]->tally;

      for (dir_handle j = 0; tally != NULL && j < tally->reporter_count; j++)
        if (tally->reporters[j].inbound == inbound)
          tally->reporters[j].inbound = NULL;
    }
}

void
rol_tell_reporters (struct rol *rollouts, struct rol_service *service)
{
  struct rol_tally *tally = service->tally;
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Rollout message;

  if (tally == NULL)
    return;
  rol_fill_message (rollouts, service, &message);
  frame.body_case = MESH__FRAME__BODY_ROLLOUT_STATE;
  frame.rollout_state = &message;
  for (dir_handle i = 0; i < tally->reporter_count; i++)
    if (tally->reporters[i].inbound != NULL)
      hub_reply (rollouts->options.hub, tally->reporters[i].inbound, &frame);
}

static bool
reports (const struct rol_tally *tally, dir_handle node, clk_time now)
{
  return node < tally->reporter_count && tally->reporters[node].number != 0
         && now - tally->reporters[node].reported_at < REPORT_LIFETIME;
}

/* Fills in what this node sees of the others.  */
static void
look_at_nodes (const struct rol *rollouts, const struct rol_tally *tally,
               struct rol_view *view, clk_time now)
{
  const struct dir *directory = rollouts->options.directory;
  dir_handle end = dir_handle_limit (directory);
  size_t reachable = 0;

  view->all_know = true;
  view->old_is_idle = true;
  for (dir_handle i = 0; i < end; i++)
    {
      const struct mbr_member *member = dir_get (directory, i);
      const struct rol_reporter *reporter;

      if (member == NULL || member->state != MBR_ALIVE
          || !hub_is_responsive (rollouts->options.hub, i))
        continue;
      reachable++;
      if (!reports (tally, i, now))
        {
          view->all_know = false;
          continue;
        }
      reporter = &tally->reporters[i];
      if (reporter->phase < ROL_SWITCHING)
        view->all_know = false;
      if (reporter->old_calls > 0
          || (reporter->has_old_gate && reporter->gate_calls > 0))
        view->old_is_idle = false;
    }
  view->sees_most = 2 * reachable > dir_alive_count (directory);
}

/* Returns whether an owner that may not have all reports yet can judge.  After
   the switch the old version gets no more answers: those that are missing at
   the first judgement are missing for good.  */
static bool
has_both_versions (const struct rol_service *service)
{
  const struct rol_counts *totals = &service->tally->totals;

  return service->run.phase < ROL_SWITCHING
         && rol_sum_counts (totals->old_version).answers > 0;
}

void
rol_judge_service (struct rol *rollouts, struct rol_service *service)
{
  clk_time now = evl_now (rollouts->options.loop);
  struct rol_view view = { 0 };
  struct rol_tally *tally;

  if (!rol_is_owner (rollouts, service))
    {
      if (service->tally != NULL)
        service->tally->owner_since = CLK_NEVER;
      return;
    }
  tally = tally_of (service);
  if (tally->owner_since == CLK_NEVER)
    tally->owner_since = now;
  view.is_settled = now - tally->owner_since >= SETTLING_TIME;
  if (view.is_settled || has_both_versions (service))
    view.verdict = rol_judge_periods (&tally->periods, &tally->totals,
                                      service->run.phase >= ROL_SWITCHING,
                                      &tally->evidence);
  view.has_upstreams = rol_current_plan (rollouts, service)->has_usable_target;
  view.store_is_current = now - service->store_seen_at < STORE_LIFETIME;
  look_at_nodes (rollouts, tally, &view, now);
  if (rol_decide (&service->run, &view, now))
    rol_announce_phase (rollouts, service,
                        view.verdict == ROL_BAD ? "the new version is bad"
                                                : "decided by the owner");
}
