/* Which upstreams of a service run the calls of this node.  */

#include "rol/rol_internal.h"

#include "base/mem.h"
#include "met/met.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time after which a plan is made again, since nodes stop or start to
   respond.  */
#define PLAN_TIME (50 * CLK_MILLISECOND)

/* Time after the start of a process in which nodes become known.  */
#define SETTLING_TIME (3 * CLK_SECOND)

/* The upstreams of one service.  */
struct field
{
  struct rol_upstream *upstreams;
  dir_handle *nodes;
  size_t count;
};

static bool
has_upstream_of (const struct mbr_member *member, const char *service)
{
  return member != NULL && member->state != MBR_DEAD
         && strcmp (member->service, service) == 0;
}

/* Collects the upstreams of a service; the caller frees both arrays.  */
static void
collect (const struct rol *rollouts, const char *service, struct field *field)
{
  const struct dir *directory = rollouts->options.directory;
  dir_handle end = dir_handle_limit (directory);
  size_t count = 0;

  for (dir_handle i = 0; i < end; i++)
    if (has_upstream_of (dir_get (directory, i), service))
      count++;
  field->upstreams = mem_alloc (count + 1, sizeof *field->upstreams);
  field->nodes = mem_alloc (count + 1, sizeof *field->nodes);
  field->count = 0;
  for (dir_handle i = 0; i < end; i++)
    {
      const struct mbr_member *member = dir_get (directory, i);

      if (!has_upstream_of (member, service))
        continue;
      field->upstreams[field->count] = (struct rol_upstream){
        .node = member->name,
        .version = member->version,
        .started_ms = member->upstream_born,
        .usable = member->state == MBR_ALIVE && !member->upstream_leaving
                  && hub_is_responsive (rollouts->options.hub, i)
      };
      field->nodes[field->count++] = i;
    }
}

static void
copy_version (char to[PTF_NAME_SIZE], const char *from)
{
  snprintf (to, PTF_NAME_SIZE, "%s", from != NULL ? from : "");
}

/* Sets the versions of a plan for a service without an order, or with one that
   is complete but whose version no upstream has any more.  */
static void
plan_without_order (struct rol *rollouts, struct rol_service *service,
                    const struct field *field, clk_time now)
{
  struct rol_plan *plan = &service->plan;
  bool settled = now - rollouts->created_at >= SETTLING_TIME;

  rol_update_in_use (&service->in_use, field->upstreams, field->count, settled,
                     now);
  copy_version (plan->old_version, service->in_use.version);
  for (size_t i = 0; i < field->count; i++)
    if (strcmp (field->upstreams[i].version, plan->old_version) != 0)
      plan->is_split = true;
}

static void
plan_canaries (struct rol *rollouts, struct rol_service *service,
               const struct field *field)
{
  struct rol_plan *plan = &service->plan;

  rol_choose_canaries (field->upstreams, field->count, service->name,
                       plan->new_version,
                       ROL_SHARE_PART * rollouts->options.max_share);
  plan->is_canary = true;
  plan->canaries = mem_alloc (field->count + 1, sizeof *plan->canaries);
  for (size_t i = 0; i < field->count; i++)
    if (field->upstreams[i].is_canary)
      plan->canaries[plan->canary_count++] = field->nodes[i];
}

static void
plan_with_order (struct rol *rollouts, struct rol_service *service,
                 const struct field *field)
{
  struct rol_plan *plan = &service->plan;
  const char *other;

  copy_version (plan->new_version, service->run.order.version);
  other = rol_find_version (field->upstreams, field->count, plan->new_version);
  copy_version (plan->old_version, other);
  /* Where only the new version is left, calls have no other upstream, unless
     it was rolled back.  */
  plan->is_split = other != NULL || service->run.phase == ROL_ROLLED_BACK;
  if (service->run.phase == ROL_CANARY && plan->is_split)
    plan_canaries (rollouts, service, field);
}

static void
make_plan (struct rol *rollouts, struct rol_service *service, clk_time now)
{
  struct rol_plan *plan = &service->plan;
  struct field field;

  free (plan->canaries);
  *plan = (struct rol_plan){ .made_at = now,
                             .directory_changes = dir_change_count (
                                 rollouts->options.directory) };
  collect (rollouts, service->name, &field);
  for (size_t i = 0; i < field.count; i++)
    if (strcmp (field.upstreams[i].version, service->run.order.version) == 0)
      {
        plan->has_target = true;
        plan->has_usable_target |= field.upstreams[i].usable;
      }
  if (service->run.phase == ROL_NONE
      || (service->run.phase == ROL_COMPLETED && !plan->has_target))
    plan_without_order (rollouts, service, &field, now);
  else
    plan_with_order (rollouts, service, &field);
  free (field.upstreams);
  free (field.nodes);
}

const struct rol_plan *
rol_current_plan (struct rol *rollouts, struct rol_service *service)
{
  struct rol_plan *plan = &service->plan;
  clk_time now = evl_now (rollouts->options.loop);

  if (plan->made_at == 0 || now - plan->made_at >= PLAN_TIME
      || plan->directory_changes
             != dir_change_count (rollouts->options.directory))
    make_plan (rollouts, service, now);
  return plan;
}

enum rol_side
rol_begin_call (struct rol *rollouts, const char *service)
{
  struct rol_service *known = rol_add_service (rollouts, service);
  const struct rol_plan *plan;
  double share;

  if (known == NULL)
    return ROL_ANY;
  plan = rol_current_plan (rollouts, known);
  if (!plan->is_split)
    return ROL_ANY;
  if (plan->new_version[0] == '\0')
    return ROL_OLD;
  share = rol_share_of (known->run.phase, rollouts->options.max_share,
                        known->contact_at, evl_now (rollouts->options.loop));
  return rol_take_side (&known->share, share);
}

enum rol_side
rol_place_again (struct rol *rollouts, const char *service)
{
  struct rol_service *known = rol_add_service (rollouts, service);
  const struct rol_plan *plan;

  if (known == NULL)
    return ROL_ANY;
  plan = rol_current_plan (rollouts, known);
  if (!plan->is_split)
    return ROL_ANY;
  return plan->new_version[0] != '\0'
                 && (known->run.phase == ROL_SWITCHING
                     || known->run.phase == ROL_COMPLETED)
             ? ROL_NEW
             : ROL_OLD;
}

enum rol_side
rol_find_no_room (struct rol *rollouts, const char *service)
{
  struct rol_service *known = rol_find_service (rollouts, service);

  if (known != NULL && known->run.phase == ROL_CANARY)
    rol_return_side (&known->share);
  return rol_place_again (rollouts, service);
}

bool
rol_may_turn_back (const struct rol *rollouts, const char *service,
                   enum rol_side side)
{
  return side == ROL_NEW && rol_phase_of (rollouts, service) == ROL_CANARY;
}

static bool
is_canary (const struct rol_plan *plan, dir_handle node)
{
  for (size_t i = 0; i < plan->canary_count; i++)
    if (plan->canaries[i] == node)
      return true;
  return false;
}

bool
rol_allows (struct rol *rollouts, const char *service, enum rol_side side,
            dir_handle node)
{
  struct rol_service *known;
  const struct mbr_member *member;
  const struct rol_plan *plan;

  if (side == ROL_ANY)
    return true;
  known = rol_find_service (rollouts, service);
  member = dir_get (rollouts->options.directory, node);
  if (known == NULL || member == NULL)
    return true;
  plan = rol_current_plan (rollouts, known);
  if (side == ROL_OLD)
    return strcmp (member->version, plan->old_version) == 0;
  return strcmp (member->version, plan->new_version) == 0
         && (!plan->is_canary || is_canary (plan, node));
}

bool
rol_is_withdrawn (struct rol *rollouts)
{
  const struct ptf_heartbeat *upstream
      = &rollouts->options.registration->upstream;
  const struct rol_service *service
      = rol_find_service (rollouts, upstream->service);

  return service != NULL && service->run.phase == ROL_ROLLED_BACK
         && strcmp (service->run.order.version, upstream->version) == 0;
}

static void
count_metric (const char *service, const char *version, bool bad)
{
  char labels[2 * PTF_NAME_SIZE + 48];

  snprintf (labels, sizeof labels, "service=\"%s\",version=\"%s\"", service,
            version);
  met_add (met_counter ("rollout_answers_total", labels), 1);
  if (bad)
    met_add (met_counter ("rollout_failures_total", labels), 1);
}

void
rol_count_answer (struct rol *rollouts, const char *service, dir_handle node,
                  bool bad)
{
  struct rol_service *known = rol_find_service (rollouts, service);
  const struct mbr_member *member
      = dir_get (rollouts->options.directory, node);
  struct rol_count *count;

  if (known == NULL || member == NULL || !rol_is_active (known)
      || strcmp (member->service, service) != 0)
    return;
  count = strcmp (member->version, known->run.order.version) == 0
              ? &known->new_answers
              : &known->old_answers;
  count->answers++;
  count->bad += bad ? 1 : 0;
  count_metric (service, member->version, bad);
  if ((known->run.phase == ROL_CANARY || known->run.phase == ROL_SWITCHING)
      && rol_is_out_of_hand (&known->old_answers, &known->new_answers)
      && rol_take_phase (&known->run, ROL_ROLLED_BACK,
                         evl_now (rollouts->options.loop)))
    rol_announce_phase (rollouts, known, "bad answers at this node");
}
