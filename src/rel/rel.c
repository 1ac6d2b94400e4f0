/* Roles of nodes in the spreading of changes.  */

#include "rel/rel.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Nodes whose round trips to the platform differ by less than this, in ms, are
   equally near: it is between the round trips within a region and between
   regions.  */
#define DISTANCE_STEP 8

/* A relay, with what orders it.  */
struct relay
{
  size_t node;
  uint32_t step; /* of distance */
  size_t place;  /* in its data centre */
  uint64_t hash;
};

uint64_t
rel_hash_name (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

static bool
is_alive (const struct rel_node *nodes, size_t index, size_t self)
{
  return index == self || nodes[index].alive;
}

/* Returns whether LEFT goes before RIGHT in their data centre.  */
static bool
is_before (const struct rel_node *left, const struct rel_node *right)
{
  if (left->cpu_millicores != right->cpu_millicores)
    return left->cpu_millicores > right->cpu_millicores;
  return left->name_hash < right->name_hash;
}

/* The relays of one data centre, in order.  */
struct group
{
  const char *data_centre;
  size_t relays[REL_RELAYS_PER_DATA_CENTRE];
  size_t count;
};

/* Returns the group of a data centre among COUNT groups, or a new one after
   them.  */
static struct group *
find_group (struct group *groups, size_t *count, const char *data_centre)
{
  for (size_t i = 0; i < *count; i++)
    if (strcmp (groups[i].data_centre, data_centre) == 0)
      return &groups[i];
  groups[*count] = (struct group){ .data_centre = data_centre };
  return &groups[(*count)++];
}

/* Adds a node to its group if it goes before one of the relays there.  Of
   equal nodes the one that was added first stays before.  */
static void
add_to_group (struct group *group, const struct rel_node *nodes, size_t node)
{
  size_t place = group->count;

  while (place > 0
         && is_before (&nodes[node], &nodes[group->relays[place - 1]]))
    place--;
  if (place == REL_RELAYS_PER_DATA_CENTRE)
    return;
  if (group->count < REL_RELAYS_PER_DATA_CENTRE)
    group->count++;
  memmove (&group->relays[place + 1], &group->relays[place],
           (group->count - 1 - place) * sizeof *group->relays);
  group->relays[place] = node;
}

static int
compare_relays (const void *left, const void *right)
{
  const struct relay *a = left;
  const struct relay *b = right;

  if (a->step != b->step)
    return a->step < b->step ? -1 : 1;
  if (a->place != b->place)
    return a->place < b->place ? -1 : 1;
  if (a->hash != b->hash)
    return a->hash < b->hash ? -1 : 1;
  return a->node < b->node ? -1 : a->node > b->node;
}

/* Stores the relays of all data centres in order and returns their number. The
   cost grows with the number of nodes times that of data centres.  */
static size_t
find_relays (const struct rel_node *nodes, size_t count, size_t self,
             struct relay *relays)
{
  struct group *groups = mem_alloc (count, sizeof *groups);
  size_t group_count = 0;
  size_t found = 0;

  for (size_t i = 0; i < count; i++)
    if (is_alive (nodes, i, self))
      add_to_group (find_group (groups, &group_count, nodes[i].data_centre),
                    nodes, i);
  for (size_t i = 0; i < group_count; i++)
    for (size_t place = 0; place < groups[i].count; place++)
      {
        size_t node = groups[i].relays[place];

        relays[found++]
            = (struct relay){ node,
                              nodes[node].platform_rtt_ms / DISTANCE_STEP,
                              place, nodes[node].name_hash };
      }
  free (groups);
  qsort (relays, found, sizeof *relays, compare_relays);
  return found;
}

/* Returns the place of NODE in the relays, RELAY_COUNT when it is none.  */
static size_t
find_relay (const struct relay *relays, size_t relay_count, size_t node)
{
  size_t at = 0;

  while (at < relay_count && relays[at].node != node)
    at++;
  return at;
}

/* Returns how many of the first END relays have this platform status.  */
static size_t
count_status (const struct rel_node *nodes, const struct relay *relays,
              size_t end, enum rel_platform_status status)
{
  size_t count = 0;

  for (size_t i = 0; i < end; i++)
    if (nodes[relays[i].node].platform_status == status)
      count++;
  return count;
}

/* Returns whether this node, at place AT of the relays, watches.  */
static bool
should_watch (const struct rel_node *nodes, const struct relay *relays,
              size_t at)
{
  size_t unreachable
      = count_status (nodes, relays, at, REL_PLATFORM_UNREACHABLE);
  size_t wanted = REL_WATCHER_COUNT;

  if (count_status (nodes, relays, at, REL_PLATFORM_REACHABLE)
      >= REL_WATCHER_COUNT)
    return false;
  if (nodes[relays[at].node].platform_status == REL_PLATFORM_REACHABLE)
    return true;
  /* Relays that try one after the other would take too long.  */
  if (unreachable >= REL_WATCHER_COUNT)
    wanted += unreachable;
  return at - unreachable < wanted && unreachable < REL_MAX_FAILED_WATCHERS;
}

/* Adds NODE to a list of SIZE places when there is room.  */
static void
add_node (size_t *list, size_t size, size_t node)
{
  for (size_t i = 0; i < size; i++)
    if (list[i] == REL_NONE)
      {
        list[i] = node;
        return;
      }
}

/* Adds the relays with this status as parents.  */
static void
add_parents (const struct rel_node *nodes, size_t self,
             const struct relay *relays, size_t relay_count,
             enum rel_platform_status status, struct rel_roles *plan)
{
  for (size_t i = 0; i < relay_count; i++)
    if (relays[i].node != self
        && nodes[relays[i].node].platform_status == status)
      add_node (plan->parents, REL_MAX_PARENTS, relays[i].node);
}

/* The parents of a relay are the first relays that reach the platform.  */
static void
plan_relay (const struct rel_node *nodes, size_t self,
            const struct relay *relays, size_t relay_count,
            struct rel_roles *plan)
{
  size_t at = find_relay (relays, relay_count, self);

  plan->is_watcher = should_watch (nodes, relays, at);
  if (plan->is_watcher
      || count_status (nodes, relays, at, REL_PLATFORM_UNREACHABLE) > 0)
    for (size_t i = 0; i < at; i++)
      add_node (plan->status_peers, REL_MAX_STATUS_PEERS, relays[i].node);
  add_parents (nodes, self, relays, relay_count, REL_PLATFORM_REACHABLE, plan);
  add_parents (nodes, self, relays, relay_count, REL_PLATFORM_UNKNOWN, plan);
}

struct rel_roles
rel_compute_roles (const struct rel_node *nodes, size_t count, size_t self)
{
  struct rel_roles plan = { .is_watcher = false };
  struct relay *relays = mem_alloc (count, sizeof *relays);
  size_t relay_count = find_relays (nodes, count, self, relays);

  for (size_t i = 0; i < REL_MAX_PARENTS; i++)
    plan.parents[i] = REL_NONE;
  for (size_t i = 0; i < REL_MAX_STATUS_PEERS; i++)
    plan.status_peers[i] = REL_NONE;
  plan.is_relay = find_relay (relays, relay_count, self) < relay_count;
  if (plan.is_relay)
    plan_relay (nodes, self, relays, relay_count, &plan);
  else
    for (size_t i = 0; i < relay_count; i++)
      if (strcmp (nodes[relays[i].node].data_centre, nodes[self].data_centre)
          == 0)
        add_node (plan.parents, REL_MAX_PARENTS, relays[i].node);
  free (relays);
  return plan;
}

void
rel_mark_relays (const struct rel_node *nodes, size_t count, size_t self,
                 bool *is_relay)
{
  struct relay *relays = mem_alloc (count, sizeof *relays);
  size_t relay_count = find_relays (nodes, count, self, relays);

  memset (is_relay, 0, count * sizeof *is_relay);
  for (size_t i = 0; i < relay_count; i++)
    is_relay[relays[i].node] = true;
  free (relays);
}
