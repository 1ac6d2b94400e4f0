/* Roles, subscriptions, node records and suspect reports.  */

#include "syn/syn.h"

#include "base/log.h"
#include "base/mem.h"
#include "syn/syn_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Maximum number of records in one frame.  */
#define MEMBERS_PER_FRAME 128

/* Delay between a change of the watcher role and the start or end of the
   watch; it starts anew with each change.  Records of nodes that start
   together arrive one by one, and each can change the role.  */
#define WATCH_CHANGE_DELAY (60 * CLK_MILLISECOND)

/* Time after which the status "unreachable" of a peer counts as unknown unless
   the peer repeats it.  A node announces a change of its status to its
   subscribers only, so others do not learn of its recovery.  */
#define UNREACHABLE_STATUS_LIFETIME CLK_SECOND

/* Delay before a newer version is fetched from a peer that holds it.  Usually
   a parent pushes the version within this time.  */
#define FETCH_DELAY (150 * CLK_MILLISECOND)

static void recompute_roles (void *context);
static void fetch_newer_version (void *context);
static void on_status_expiry (void *context);
static void report_watch_change (void *context);

struct syn *
syn_create (struct evl *loop, struct hub *hub, const struct dir *directory,
            dir_handle self, const struct syn_hooks *hooks)
{
  struct syn *sync = mem_alloc (1, sizeof *sync);

  sync->loop = loop;
  sync->hub = hub;
  sync->directory = directory;
  sync->self = self;
  sync->hooks = *hooks;
  for (size_t i = 0; i < REL_MAX_PARENTS; i++)
    sync->parents[i] = DIR_NONE;
  for (size_t i = 0; i < REL_MAX_STATUS_PEERS; i++)
    sync->status_peers[i] = DIR_NONE;
  evl_task_init (&sync->refresh_task, loop, recompute_roles, sync);
  evl_timer_init (&sync->watch_change_timer, loop, report_watch_change, sync);
  evl_timer_init (&sync->fetch_timer, loop, fetch_newer_version, sync);
  evl_timer_init (&sync->status_expiry_timer, loop, on_status_expiry, sync);
  sync->newer_version_peer = DIR_NONE;
  syn_create_offers (sync);
  return sync;
}

void
syn_destroy (struct syn *sync)
{
  if (sync == NULL)
    return;
  while (sync->subscribers != NULL)
    {
      struct syn_subscriber *subscriber = sync->subscribers;

      sync->subscribers = subscriber->next;
      free (subscriber);
    }
  syn_destroy_offers (sync);
  evl_task_cancel (&sync->refresh_task);
  evl_timer_stop (&sync->watch_change_timer);
  evl_timer_stop (&sync->fetch_timer);
  evl_timer_stop (&sync->status_expiry_timer);
  snp_release (sync->snapshot);
  snp_release (sync->previous);
  buf_close (&sync->delta_payload);
  buf_close (&sync->full_payload);
  free (sync->peer_statuses);
  free (sync);
}

static void
on_status_expiry (void *context)
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

static void
send_subscribe (struct syn *sync, dir_handle parent, bool end)
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

static bool
is_parent (const struct syn *sync, dir_handle peer)
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
          is_parent (sync, list[i])
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
    if (old[i] != DIR_NONE && !is_parent (sync, old[i]))
      send_subscribe (sync, old[i], true);
  for (size_t i = 0; i < REL_MAX_PARENTS; i++)
    if (parents[i] != DIR_NONE && !contains (old, REL_MAX_PARENTS, parents[i])
        && hub_is_connected (sync->hub, parents[i]))
      send_subscribe (sync, parents[i], false);
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

static void
report_watch_change (void *context)
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

/* Computes this node's roles and applies what has changed.  */
static void
recompute_roles (void *context)
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

void
syn_start (struct syn *sync)
{
  sync->started = true;
  syn_refresh_roles (sync);
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

  pong.sight = sync->platform_status;
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
syn_set_snapshot (struct syn *sync, struct snp_snapshot *snapshot)
{
  syn_replace_snapshot (sync, snapshot);
  for (struct syn_subscriber *subscriber = sync->subscribers;
       subscriber != NULL; subscriber = subscriber->next)
    syn_push_version (sync, subscriber);
}

/* Sends records on the link INBOUND, or to the parent PEER when INBOUND is
   null.  A nonzero ACKNOWLEDGE is the sequence that the receiver
   acknowledges.  */
static void
send_members (struct syn *sync, struct hub_inbound_link *inbound,
              dir_handle peer, Mesh__Member **members, size_t count,
              uint32_t acknowledge)
{
  Mesh__Members message = MESH__MEMBERS__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;
  uint64_t link;

  message.members = members;
  message.n_members = count;
  message.acknowledge = acknowledge;
  frame.body_case = MESH__FRAME__BODY_MEMBERS;
  frame.members = &message;
  if (inbound != NULL)
    hub_reply (sync->hub, inbound, &frame);
  else
    hub_send (sync->hub, peer, &frame, 0, &link);
}

/* Sends a record to all parents and subscribers except its source, which is an
   inbound link or a peer.  */
static void
propagate_member (struct syn *sync, const struct mbr_member *member,
                  const struct hub_inbound_link *source,
                  dir_handle source_peer, uint32_t acknowledge)
{
  Mesh__Member message;
  Mesh__Member *pointer = &message;

  mbr_member_to_wire (member, &message);
  for (struct syn_subscriber *subscriber = sync->subscribers;
       subscriber != NULL; subscriber = subscriber->next)
    if (subscriber->inbound != source)
      send_members (sync, subscriber->inbound, DIR_NONE, &pointer, 1, 0);
  for (size_t i = 0; i < REL_MAX_PARENTS; i++)
    if (sync->parents[i] != DIR_NONE && sync->parents[i] != source_peer)
      send_members (sync, NULL, sync->parents[i], &pointer, 1, acknowledge);
}

void
syn_publish (struct syn *sync, const struct mbr_member *member)
{
  const struct mbr_member *self = dir_get (sync->directory, sync->self);
  bool own = strcmp (member->name, self->name) == 0;

  propagate_member (sync, member, NULL, DIR_NONE,
                    own ? (uint32_t)member->sequence : 0);
}

/* Sends all records of the directory to a subscriber.  */
static void
send_directory (struct syn *sync, struct hub_inbound_link *inbound)
{
  Mesh__Member messages[MEMBERS_PER_FRAME];
  Mesh__Member *pointers[MEMBERS_PER_FRAME];
  size_t count = 0;

  for (dir_handle i = 0; i < dir_handle_limit (sync->directory); i++)
    {
      const struct mbr_member *member = dir_get (sync->directory, i);

      if (member == NULL)
        continue;
      mbr_member_to_wire (member, &messages[count]);
      pointers[count] = &messages[count];
      if (++count == MEMBERS_PER_FRAME)
        {
          send_members (sync, inbound, DIR_NONE, pointers, count, 0);
          count = 0;
        }
    }
  if (count > 0)
    send_members (sync, inbound, DIR_NONE, pointers, count, 0);
}

static struct syn_subscriber **
find_subscriber (struct syn *sync, const struct hub_inbound_link *inbound)
{
  struct syn_subscriber **position = &sync->subscribers;

  while (*position != NULL && (*position)->inbound != inbound)
    position = &(*position)->next;
  return position;
}

void
syn_remove_subscriber (struct syn *sync,
                       const struct hub_inbound_link *inbound)
{
  struct syn_subscriber **position = find_subscriber (sync, inbound);
  struct syn_subscriber *subscriber = *position;

  if (subscriber == NULL)
    return;
  *position = subscriber->next;
  free (subscriber);
}

/* Handles a record from another node.  */
static void
handle_member (struct syn *sync, const Mesh__Member *message,
               const struct hub_inbound_link *source, dir_handle source_peer)
{
  struct mbr_member member;

  if (!mbr_member_from_wire (message, &member))
    {
      log_write (LOG_WARNING, "syn",
                 "ignored an invalid node record from another node");
      return;
    }
  if (sync->hooks.member_received (sync->hooks.context, &member))
    propagate_member (sync, &member, source, source_peer, 0);
}

static void
handle_subscribe (struct syn *sync, struct hub_inbound_link *inbound,
                  const Mesh__Subscribe *message)
{
  struct syn_subscriber **position = find_subscriber (sync, inbound);
  struct syn_subscriber *subscriber = *position;

  if (message->end)
    {
      syn_remove_subscriber (sync, inbound);
      return;
    }
  if (message->member != NULL)
    handle_member (sync, message->member, inbound, DIR_NONE);
  if (subscriber == NULL)
    {
      subscriber = mem_alloc (1, sizeof *subscriber);
      subscriber->inbound = inbound;
      *position = subscriber;
    }
  if (message->held != NULL)
    subscriber->held
        = (struct snp_stamp){ message->held->version, message->held->hash };
  if (message->directory != dir_digest (sync->directory))
    send_directory (sync, inbound);
  /* What the other modules send must be known before the first
     configuration, with which the subscriber begins to place calls.  */
  sync->hooks.subscribed (sync->hooks.context, inbound);
  syn_push_version (sync, subscriber);
}

/* Returns whether the directory has exactly this record.  It has not when a
   record with a higher incarnation was known, which a node whose clock was set
   back may send before it learns of that.  */
static bool
holds_record (const struct syn *sync, const Mesh__Member *message)
{
  struct mbr_member member;
  const struct mbr_member *known;

  if (!mbr_member_from_wire (message, &member))
    return false;
  known = dir_get (sync->directory, dir_find (sync->directory, member.name));
  return known != NULL && mbr_member_equal (known, &member);
}

static bool
holds_records (const struct syn *sync, const Mesh__Members *message)
{
  for (size_t i = 0; i < message->n_members; i++)
    if (!holds_record (sync, message->members[i]))
      return false;
  return true;
}

static void
handle_members (struct syn *sync, const Mesh__Members *message,
                struct hub_inbound_link *source, dir_handle source_peer)
{
  Mesh__MembersAck ack = MESH__MEMBERS_ACK__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  for (size_t i = 0; i < message->n_members; i++)
    handle_member (sync, message->members[i], source, source_peer);
  if (message->acknowledge == 0 || source == NULL
      || !holds_records (sync, message))
    return;
  ack.acknowledge = message->acknowledge;
  frame.body_case = MESH__FRAME__BODY_MEMBERS_ACK;
  frame.members_ack = &ack;
  hub_reply (sync->hub, source, &frame);
}

void
syn_forward (struct syn *sync, const Mesh__Frame *frame)
{
  for (const struct syn_subscriber *subscriber = sync->subscribers;
       subscriber != NULL; subscriber = subscriber->next)
    hub_reply (sync->hub, subscriber->inbound, frame);
}

void
syn_report_suspect (struct syn *sync, dir_handle peer)
{
  const struct mbr_member *member = dir_get (sync->directory, peer);
  Mesh__Suspect message = MESH__SUSPECT__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;
  uint64_t link;

  if (sync->is_watcher)
    {
      sync->hooks.peer_suspected (sync->hooks.context, peer);
      return;
    }
  message.name = (char *)member->name;
  message.incarnation = member->incarnation;
  frame.body_case = MESH__FRAME__BODY_SUSPECT;
  frame.suspect = &message;
  for (size_t i = 0; i < REL_MAX_PARENTS; i++)
    if (sync->parents[i] != DIR_NONE && sync->parents[i] != peer)
      hub_send (sync->hub, sync->parents[i], &frame, 0, &link);
}

/* Forwards a suspect report towards the watchers.  Ignores a report on an
   earlier incarnation than the known one, on a dead node or on this node.  */
static void
handle_suspect (struct syn *sync, const Mesh__Suspect *message)
{
  dir_handle peer = dir_find (sync->directory, message->name);
  const struct mbr_member *member = dir_get (sync->directory, peer);

  if (member != NULL && peer != sync->self
      && member->incarnation <= message->incarnation
      && member->state != MBR_DEAD)
    syn_report_suspect (sync, peer);
}

static void
answer_ping (struct syn *sync, struct hub_inbound_link *inbound,
             const Mesh__Ping *ping)
{
  Mesh__Pong pong = MESH__PONG__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  pong.nonce = ping->nonce;
  pong.sight = sync->platform_status;
  pong.config_version = syn_held_stamp (sync).version;
  frame.body_case = MESH__FRAME__BODY_PONG;
  frame.pong = &pong;
  hub_reply (sync->hub, inbound, &frame);
}

bool
syn_handle_request (struct syn *sync, struct hub_inbound_link *inbound,
                    const Mesh__Frame *frame)
{
  switch (frame->body_case)
    {
    case MESH__FRAME__BODY_PING:
      answer_ping (sync, inbound, frame->ping);
      return true;
    case MESH__FRAME__BODY_SUBSCRIBE:
      handle_subscribe (sync, inbound, frame->subscribe);
      return true;
    case MESH__FRAME__BODY_MEMBERS:
      handle_members (sync, frame->members, inbound, DIR_NONE);
      syn_handle_offer (sync, frame->members);
      return true;
    case MESH__FRAME__BODY_SUSPECT:
      handle_suspect (sync, frame->suspect);
      return true;
    case MESH__FRAME__BODY_FETCH_REQUEST:
      syn_handle_fetch (sync, inbound, frame->fetch_request);
      return true;
    default:
      return false;
    }
}

static void
handle_pong (struct syn *sync, dir_handle peer, const Mesh__Pong *pong)
{
  enum rel_platform_status status = pong->sight <= REL_PLATFORM_UNREACHABLE
                                        ? (enum rel_platform_status)pong->sight
                                        : REL_PLATFORM_UNKNOWN;
  bool changed;

  changed = current_peer_status (sync, peer) != status;
  *peer_status_entry (sync, peer)
      = (struct syn_peer_status){ status, evl_now (sync->loop) };
  if (changed)
    syn_refresh_roles (sync);
  syn_note_peer_version (sync, peer, pong->config_version);
}

bool
syn_handle_reply (struct syn *sync, dir_handle peer, const Mesh__Frame *frame)
{
  switch (frame->body_case)
    {
    case MESH__FRAME__BODY_PONG:
      handle_pong (sync, peer, frame->pong);
      return true;
    case MESH__FRAME__BODY_MEMBERS:
      handle_members (sync, frame->members, NULL, peer);
      return true;
    case MESH__FRAME__BODY_MEMBERS_ACK:
      sync->hooks.record_acknowledged (sync->hooks.context,
                                       frame->members_ack->acknowledge);
      return true;
    case MESH__FRAME__BODY_PUSH:
      syn_handle_version (sync, peer, frame->push);
      return true;
    case MESH__FRAME__BODY_FETCH_REPLY:
      syn_handle_version (sync, peer, frame->fetch_reply);
      return true;
    default:
      return false;
    }
}

void
syn_peer_connected (struct syn *sync, dir_handle peer)
{
  if (sync->started && is_parent (sync, peer))
    send_subscribe (sync, peer, false);
  syn_refresh_roles (sync);
}

void
syn_note_peer_version (struct syn *sync, dir_handle peer, uint64_t version)
{
  if (version <= syn_held_stamp (sync).version || peer == sync->self
      || sync->newer_version_peer != DIR_NONE)
    return;
  sync->newer_version_peer = peer;
  sync->newer_version = version;
  evl_timer_set (&sync->fetch_timer, evl_now (sync->loop) + FETCH_DELAY);
}

static void
fetch_newer_version (void *context)
{
  struct syn *sync = context;
  dir_handle peer = sync->newer_version_peer;

  sync->newer_version_peer = DIR_NONE;
  if (sync->newer_version > syn_held_stamp (sync).version)
    syn_fetch_version (sync, peer, false);
}

void
syn_reset_peer (struct syn *sync, dir_handle peer)
{
  *peer_status_entry (sync, peer)
      = (struct syn_peer_status){ .platform_status = REL_PLATFORM_UNKNOWN };
  syn_note_learned (sync, peer);
}
