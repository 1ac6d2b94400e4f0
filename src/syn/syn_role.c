/* Roles of this node, which follow from the directory, the health of its peers
   and their platform statuses: its parents, and whether it watches the store.
 */

#include "base/mem.h"
#include "syn/syn_internal.h"

#include <stdlib.h>
#include <string.h>

/* Delay between a change of the watcher role and the start or end of the
   watch; it starts anew with each change.  Records of nodes that start
   together arrive one by one, and each can change the role.  */
#define WATCH_CHANGE_DELAY (60 * CLK_MILLISECOND)

/* Time after which the status "unreachable" of a peer counts as unknown unless
   the peer repeats it.  A node announces a change of its status to its
   subscribers only, so others do not learn of its recovery.  */
#define UNREACHABLE_STATUS_LIFETIME CLK_SECOND

void
syn_on_status_expiry (void *context)
{
  syn_refresh_roles (context);
}

static struct syn_peer_status *
peer_status_entry (struct syn *sync, dir_handle peer)
{
  dir_handle count = peer + 1;

  if (peer >= sync->peer_status_count)
    {
      sync->peer_statuses = mem_resize (sync->peer_statuses, count,
                                        sizeof *sync->peer_statuses);
      for (dir_handle i = sync->peer_status_count; i < count; i++)
        sync->peer_statuses[i]
            = (struct syn_peer_status){ .platform_status
                                        = REL_PLATFORM_UNKNOWN };
      sync->peer_status_count = count;
    }
  return &sync->peer_statuses[peer];
}

/* Returns the last known platform status of PEER.  Schedules a recomputation
   of the roles for the time when that status expires.  */
static enum rel_platform_status
current_peer_status (struct syn *sync, dir_handle peer)
{
  const struct syn_peer_status *entry = peer_status_entry (sync, peer);
  clk_time expires_at = entry->received_at + UNREACHABLE_STATUS_LIFETIME;

  if (peer == sync->self)
    return sync->platform_status;
  if (entry->platform_status != REL_PLATFORM_UNREACHABLE)
    return entry->platform_status;
  if (evl_now (sync->loop) >= expires_at)
    return REL_PLATFORM_UNKNOWN;
  if (expires_at < sync->status_expiry_timer.deadline)
    evl_timer_set (&sync->status_expiry_timer, expires_at);
  return REL_PLATFORM_UNREACHABLE;
}

/* Fills in the input of rel_compute_roles, and the handle of each node.
   Returns the number of nodes; *SELF is the index of this one.  */
static size_t
collect_nodes (struct syn *sync, struct rel_node *nodes, dir_handle *handles,
               size_t *self)
{
  size_t count = 0;

  for (dir_handle i = 0; i < dir_handle_limit (sync->directory); i++)
    {
      const struct mbr_member *member = dir_get (sync->directory, i);

      if (member == NULL)
        continue;
      if (i == sync->self)
        *self = count;
      handles[count] = i;
      nodes[count++] = (struct rel_node){
        .data_centre = member->data_centre,
        .name_hash = rel_hash_name (member->name),
        .platform_rtt_ms = member->platform_distance,
        .cpu_millicores = member->capacity,
        .alive = member->state == MBR_ALIVE
                 && hub_health (sync->hub, i) == HUB_HEALTHY,
        .platform_status = current_peer_status (sync, i),
      };
    }
  return count;
}

void
syn_send_subscribe (struct syn *sync, dir_handle parent, bool end)
{
  Mesh__Subscribe message = MESH__SUBSCRIBE__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;
  struct snp_stamp held = syn_held_stamp (sync);
  Mesh__Stamp stamp = MESH__STAMP__INIT;
  Mesh__Member member;
  uint64_t link;

  stamp.version = held.version;
  stamp.hash = held.hash;
  mbr_member_to_wire (dir_get (sync->directory, sync->self), &member);
  message.held = &stamp;
  message.member = &member;
  message.end = end;
  message.directory = dir_digest (sync->directory);
  frame.body_case = MESH__FRAME__BODY_SUBSCRIBE;
  frame.subscribe = &message;
  hub_send (sync->hub, parent, &frame, 0, &link);
}

static bool
contains (const dir_handle *list, size_t size, dir_handle peer)
{
  for (size_t i = 0; i < size; i++)
    if (list[i] == peer)
      return true;
  return false;
}

bool
syn_is_parent (const struct syn *sync, dir_handle peer)
{
  return contains (sync->parents, REL_MAX_PARENTS, peer);
}

/* Monitors those peers of a list that are parents or status peers, and stops
   monitoring the others.  */
static void
update_monitoring (struct syn *sync, const dir_handle *list, size_t size)
{
  for (size_t i = 0; i < size; i++)
    if (list[i] != DIR_NONE)
      hub_set_monitored (
          sync->hub, list[i],
          syn_is_parent (sync, list[i])
              || contains (sync->status_peers, REL_MAX_STATUS_PEERS, list[i]));
}

/* Replaces the parents: ends the subscriptions to former parents and
   subscribes to new ones that are connected.  */
static void
set_parents (struct syn *sync, const dir_handle *parents)
{
  dir_handle old[REL_MAX_PARENTS];

  memcpy (old, sync->parents, sizeof old);
  memcpy (sync->parents, parents, sizeof sync->parents);
  update_monitoring (sync, old, REL_MAX_PARENTS);
  update_monitoring (sync, parents, REL_MAX_PARENTS);
  for (size_t i = 0; i < REL_MAX_PARENTS; i++)
    if (old[i] != DIR_NONE && !syn_is_parent (sync, old[i]))
      syn_send_subscribe (sync, old[i], true);
  for (size_t i = 0; i < REL_MAX_PARENTS; i++)
    if (parents[i] != DIR_NONE && !contains (old, REL_MAX_PARENTS, parents[i])
        && hub_is_connected (sync->hub, parents[i]))
      syn_send_subscribe (sync, parents[i], false);
}

/* Replaces the peers that are polled for their platform status.  */
static void
set_status_peers (struct syn *sync, const dir_handle *status_peers)
{
  dir_handle old[REL_MAX_STATUS_PEERS];

  memcpy (old, sync->status_peers, sizeof old);
  memcpy (sync->status_peers, status_peers, sizeof sync->status_peers);
  update_monitoring (sync, old, REL_MAX_STATUS_PEERS);
  update_monitoring (sync, status_peers, REL_MAX_STATUS_PEERS);
}

void
syn_report_watch_change (void *context)
{
  struct syn *sync = context;

  sync->hooks.watch_changed (sync->hooks.context, sync->is_watcher);
}

/* Converts a list of node indexes to handles.  */
static void
map_to_handles (const size_t *nodes, size_t size, const dir_handle *handles,
                dir_handle *result)
{
  for (size_t i = 0; i < size; i++)
    result[i] = nodes[i] == REL_NONE ? DIR_NONE : handles[nodes[i]];
}

void
syn_recompute_roles (void *context)
{
  struct syn *sync = context;
  size_t capacity = dir_count (sync->directory);
  struct rel_node *nodes = mem_alloc (capacity, sizeof *nodes);
  dir_handle *handles = mem_alloc (capacity, sizeof *handles);
  dir_handle parents[REL_MAX_PARENTS];
  dir_handle status_peers[REL_MAX_STATUS_PEERS];
  size_t self = 0;
  size_t count = collect_nodes (sync, nodes, handles, &self);
  struct rel_roles roles = rel_compute_roles (nodes, count, self);

  map_to_handles (roles.parents, REL_MAX_PARENTS, handles, parents);
  map_to_handles (roles.status_peers, REL_MAX_STATUS_PEERS, handles,
                  status_peers);
  set_parents (sync, parents);
  set_status_peers (sync, status_peers);
  syn_plan_offers (sync, nodes, handles, count, self, &roles);
  if (roles.is_watcher != sync->is_watcher)
    {
      sync->is_watcher = roles.is_watcher;
      evl_timer_set (&sync->watch_change_timer,
                     evl_now (sync->loop) + WATCH_CHANGE_DELAY);
    }
  free (handles);
  free (nodes);
}

void
syn_refresh_roles (struct syn *sync)
{
  if (sync->started)
    evl_task_schedule (&sync->refresh_task);
}

enum rel_platform_status
syn_platform_status (const struct syn *sync)
{
  return sync->platform_status;
}

/* Sends this node's platform status to all subscribers.  */
static void
send_platform_status (struct syn *sync)
{
  Mesh__Pong pong = MESH__PONG__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  pong.platform_status = sync->platform_status;
  pong.config_version = syn_held_stamp (sync).version;
  frame.body_case = MESH__FRAME__BODY_PONG;
  frame.pong = &pong;
  for (struct syn_subscriber *subscriber = sync->subscribers;
       subscriber != NULL; subscriber = subscriber->next)
    hub_reply (sync->hub, subscriber->inbound, &frame);
}

void
syn_set_platform_status (struct syn *sync, enum rel_platform_status status)
{
  if (sync->platform_status == status)
    return;
  sync->platform_status = status;
  send_platform_status (sync);
  syn_refresh_roles (sync);
}

void
syn_handle_pong (struct syn *sync, dir_handle peer, const Mesh__Pong *pong)
{
  enum rel_platform_status status
      = pong->platform_status <= REL_PLATFORM_UNREACHABLE
            ? (enum rel_platform_status)pong->platform_status
            : REL_PLATFORM_UNKNOWN;
  bool changed;

  changed = current_peer_status (sync, peer) != status;
  *peer_status_entry (sync, peer)
      = (struct syn_peer_status){ status, evl_now (sync->loop) };
  if (changed)
    syn_refresh_roles (sync);
  syn_note_peer_version (sync, peer, pong->config_version);
}

void
syn_reset_peer (struct syn *sync, dir_handle peer)
{
  *peer_status_entry (sync, peer)
      = (struct syn_peer_status){ .platform_status = REL_PLATFORM_UNKNOWN };
  syn_note_learned (sync, peer);
}
