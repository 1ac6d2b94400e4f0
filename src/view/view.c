/* Joins a snapshot with the members and publishes the result by RCU.  */

#include "view/view.h"

#include "base/mem.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#define URCU_API_MAP /* the usual names, such as rcu_read_lock */
#include <urcu/urcu-bp.h>

static struct view *current;

/* Returns whether the service's rule allows MEMBER's upstream.  */
static bool
is_allowed (const struct doc_service *service, const struct mbr_member *member)
{
  size_t prefix = strlen (DOC_DATA_CENTRE_PREFIX);

  for (size_t i = 0; i < service->upstream_count; i++)
    {
      const char *rule = service->upstreams[i];

      if (strncmp (rule, DOC_DATA_CENTRE_PREFIX, prefix) == 0
              ? strcmp (rule + prefix, member->data_centre) == 0
              : strcmp (rule, member->upstream) == 0)
        return true;
    }
  return service->upstream_count == 0;
}

static enum view_locality
find_locality (const struct mbr_member *member, const struct mbr_member *self)
{
  if (strcmp (member->data_centre, self->data_centre) == 0)
    return VIEW_SAME_DATA_CENTRE;
  if (strcmp (member->region, self->region) == 0)
    return VIEW_SAME_REGION;
  return VIEW_OTHER_REGION;
}

static bool
is_owner (const struct doc_service *service, const struct mbr_member *member,
          enum view_locality locality)
{
  return strcmp (member->service, service->name) == 0
         && (locality != VIEW_OTHER_REGION || service->cross_region)
         && is_allowed (service, member);
}

static struct bal_candidate
make_candidate (const struct mbr_member *member, enum view_locality locality)
{
  return (struct bal_candidate){
    .key = bal_key (member->name, member->incarnation),
    .name = bal_key (member->name, 0),
    .locality = (uint8_t)locality,
    .suspect = member->state == MBR_SUSPECT,
    .usable = member->state == MBR_ALIVE || member->state == MBR_SUSPECT
  };
}

static void
add_owner (struct view_service *result, const struct bal_candidate *candidate,
           size_t index)
{
  result->owners[result->owner_count] = *candidate;
  result->owner_members[result->owner_count++] = (uint32_t)index;
  if (!candidate->usable)
    return;
  result->candidates[result->candidate_count] = *candidate;
  result->candidate_members[result->candidate_count++] = (uint32_t)index;
}

static void
fill_service (struct view *view, size_t index, const struct mbr_member *self)
{
  const struct doc_service *service
      = &view->snapshot->document->services[index];
  struct view_service *result = &view->services[index];
  uint32_t count = 0;

  for (size_t i = 0; i < view->member_count; i++)
    count += is_owner (service, &view->members[i],
                       find_locality (&view->members[i], self));
  result->candidates = mem_alloc (count, sizeof *result->candidates);
  result->candidate_members = mem_alloc (count, sizeof (uint32_t));
  result->owners = mem_alloc (count, sizeof *result->owners);
  result->owner_members = mem_alloc (count, sizeof (uint32_t));
  for (int locality = 0; locality < VIEW_LOCALITY_COUNT; locality++)
    for (size_t i = 0; i < view->member_count; i++)
      {
        enum view_locality here = find_locality (&view->members[i], self);
        struct bal_candidate candidate;

        if (here != (enum view_locality)locality
            || !is_owner (service, &view->members[i], here))
          continue;
        candidate = make_candidate (&view->members[i], here);
        add_owner (result, &candidate, i);
      }
}

struct view *
view_create (struct snp_snapshot *snapshot, const struct mbr_member *members,
             size_t member_count, const struct mbr_member *self)
{
  struct view *view = mem_alloc (1, sizeof *view);

  view->references = 1;
  view->members = mem_alloc (member_count, sizeof *members);
  if (member_count > 0)
    memcpy (view->members, members, member_count * sizeof *members);
  view->member_count = member_count;
  if (snapshot == NULL)
    return view;
  view->snapshot = snp_retain (snapshot);
  view->services
      = mem_alloc (snapshot->document->service_count, sizeof *view->services);
  for (size_t i = 0; i < snapshot->document->service_count; i++)
    fill_service (view, i, self);
  return view;
}

void
view_publish (struct view *view)
{
  /* The compiler's atomics instead of liburcu's assembly, which the thread
     sanitizer does not see.  */
  struct view *old = __atomic_exchange_n (&current, view, __ATOMIC_ACQ_REL);

  synchronize_rcu ();
  view_release (old);
}

struct view *
view_acquire (void)
{
  struct view *view;

  rcu_read_lock ();
  view = __atomic_load_n (&current, __ATOMIC_ACQUIRE);
  if (view != NULL)
    __atomic_add_fetch (&view->references, 1, __ATOMIC_RELAXED);
  rcu_read_unlock ();
  return view;
}

void
view_release (struct view *view)
{
  if (view == NULL
      || __atomic_sub_fetch (&view->references, 1, __ATOMIC_ACQ_REL) > 0)
    return;
  if (view->snapshot != NULL)
    for (size_t i = 0; i < view->snapshot->document->service_count; i++)
      {
        free (view->services[i].candidates);
        free (view->services[i].candidate_members);
        free (view->services[i].owners);
        free (view->services[i].owner_members);
      }
  free (view->services);
  free (view->members);
  snp_release (view->snapshot);
  free (view);
}
