/* Roles, subscriptions and records of nodes.  */

#include "syn/syn.h"

#include "base/log.h"
#include "base/mem.h"
#include "syn/syn_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Records in one frame.  */
#define MEMBERS_PER_FRAME 128

/* A node takes or gives up the watch of the platform when its role has stayed
   the same for this long: records of nodes that start together come one by
   one.  */
#define ROLE_PAUSE (60 * CLK_MILLISECOND)

/* A node that was blind is taken to see the platform again after this time,
   unless it repeats that it does not: only subscribers hear from it.  */
#define BLIND_AGE CLK_SECOND

/* A newer version that another node holds is asked for when no parent has
   pushed it for this long.  */
#define PUSH_PATIENCE (150 * CLK_MILLISECOND)

static void refresh (void *context);
static void fetch_heard (void *context);
static void on_expiry (void *context);
static void apply_watch (void *context);

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
    sync->asked[i] = DIR_NONE;
  evl_task_init (&sync->refresh, loop, refresh, sync);
  evl_timer_init (&sync->settle, loop, apply_watch, sync);
  evl_timer_init (&sync->heard, loop, fetch_heard, sync);
  evl_timer_init (&sync->expiry, loop, on_expiry, sync);
  sync->heard_peer = DIR_NONE;
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
  evl_task_cancel (&sync->refresh);
  evl_timer_stop (&sync->settle);
  evl_timer_stop (&sync->heard);
  evl_timer_stop (&sync->expiry);
  snp_release (sync->snapshot);
  snp_release (sync->previous);
  buf_close (&sync->delta);
  buf_close (&sync->whole);
  free (sync->sights);
  free (sync);
}

static void
on_expiry (void *context)
{
  syn_refresh_roles (context);
}

static struct syn_platform_status *
sight_of (struct syn *sync, dir_handle peer)
{
  dir_handle count = peer + 1;

  if (peer >= sync->sight_count)
    {
      sync->sights = mem_resize (sync->sights, count, sizeof *sync->sights);
      for (dir_handle i = sync->sight_count; i < count; i++)
        sync->sights[i]
            = (struct syn_platform_status){ .sight = REL_PLATFORM_UNKNOWN };
      sync->sight_count = count;
    }
  return &sync->sights[peer];
}

/* Returns how PEER sees the platform as far as that is known, and plans the
   next look when that is about to be out of date.  */
static enum rel_platform_status
current_sight (struct syn *sync, dir_handle peer)
{
  const struct syn_platform_status *entry = sight_of (sync, peer);
  clk_time end = entry->heard + BLIND_AGE;

  if (peer == sync->self)
    return sync->sight;
  if (entry->sight != REL_PLATFORM_UNREACHABLE)
    return entry->sight;
  if (evl_now (sync->loop) >= end)
    return REL_PLATFORM_UNKNOWN;
  if (end < sync->expiry.deadline)
    evl_timer_set (&sync->expiry, end);
  return REL_PLATFORM_UNREACHABLE;
}

/* Fills in what the plan depends on.  Returns the number of nodes; *SELF is
   the index of this one.  */
static size_t
collect (struct syn *sync, struct rel_node *nodes, dir_handle *handles,
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
        .platform_status = current_sight (sync, i),
      };
    }
  return count;
}

static void
send_subscribe (struct syn *sync, dir_handle parent, bool end)
{
  Mesh__Subscribe message = MESH__SUBSCRIBE__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;
  struct snp_stamp held = syn_held (sync);
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
is_in (const dir_handle *list, size_t size, dir_handle peer)
{
  for (size_t i = 0; i < size; i++)
    if (list[i] == peer)
      return true;
  return false;
}

static bool
is_parent (const struct syn *sync, dir_handle peer)
{
  return is_in (sync->parents, REL_MAX_PARENTS, peer);
}

/* Keeps links to the peers of a list open, or no longer those that are neither
   parents nor asked.  */
static void
update_links (struct syn *sync, const dir_handle *list, size_t size)
{
  for (size_t i = 0; i < size; i++)
    if (list[i] != DIR_NONE)
      hub_set_monitored (
          sync->hub, list[i],
          is_parent (sync, list[i])
              || is_in (sync->asked, REL_MAX_STATUS_PEERS, list[i]));
}

/* Ends subscriptions that are not in PARENTS and starts the new ones.  */
static void
set_parents (struct syn *sync, const dir_handle *parents)
{
  dir_handle old[REL_MAX_PARENTS];

  memcpy (old, sync->parents, sizeof old);
  memcpy (sync->parents, parents, sizeof sync->parents);
  update_links (sync, old, REL_MAX_PARENTS);
  update_links (sync, parents, REL_MAX_PARENTS);
  for (size_t i = 0; i < REL_MAX_PARENTS; i++)
    if (old[i] != DIR_NONE && !is_parent (sync, old[i]))
      send_subscribe (sync, old[i], true);
  for (size_t i = 0; i < REL_MAX_PARENTS; i++)
    if (parents[i] != DIR_NONE && !is_in (old, REL_MAX_PARENTS, parents[i])
        && hub_is_connected (sync->hub, parents[i]))
      send_subscribe (sync, parents[i], false);
}

/* Asks only the peers of ASKED from now on.  */
static void
set_asked (struct syn *sync, const dir_handle *asked)
{
  dir_handle old[REL_MAX_STATUS_PEERS];

  memcpy (old, sync->asked, sizeof old);
  memcpy (sync->asked, asked, sizeof sync->asked);
  update_links (sync, old, REL_MAX_STATUS_PEERS);
  update_links (sync, asked, REL_MAX_STATUS_PEERS);
}

static void
apply_watch (void *context)
{
  struct syn *sync = context;

  sync->hooks.watch_changed (sync->hooks.context, sync->watches);
}

/* Stores the nodes of a plan's list as handles.  */
static void
map_nodes (const size_t *nodes, size_t size, const dir_handle *handles,
           dir_handle *result)
{
  for (size_t i = 0; i < size; i++)
    result[i] = nodes[i] == REL_NONE ? DIR_NONE : handles[nodes[i]];
}

/* Works out this node's roles again.  */
static void
refresh (void *context)
{
  struct syn *sync = context;
  size_t limit = dir_count (sync->directory);
  struct rel_node *nodes = mem_alloc (limit, sizeof *nodes);
  dir_handle *handles = mem_alloc (limit, sizeof *handles);
  dir_handle parents[REL_MAX_PARENTS];
  dir_handle asked[REL_MAX_STATUS_PEERS];
  size_t self = 0;
  size_t count = collect (sync, nodes, handles, &self);
  struct rel_roles plan = rel_compute_roles (nodes, count, self);

  map_nodes (plan.parents, REL_MAX_PARENTS, handles, parents);
  map_nodes (plan.status_peers, REL_MAX_STATUS_PEERS, handles, asked);
  set_parents (sync, parents);
  set_asked (sync, asked);
  if (plan.is_watcher != sync->watches)
    {
      sync->watches = plan.is_watcher;
      evl_timer_set (&sync->settle, evl_now (sync->loop) + ROLE_PAUSE);
    }
  free (handles);
  free (nodes);
}

void
syn_refresh_roles (struct syn *sync)
{
  if (sync->started)
    evl_task_schedule (&sync->refresh);
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
  return sync->sight;
}

/* Tells the subscribers how this node sees the platform.  */
static void
send_sight (struct syn *sync)
{
  Mesh__Pong pong = MESH__PONG__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  pong.sight = sync->sight;
  pong.config_version = syn_held (sync).version;
  frame.body_case = MESH__FRAME__BODY_PONG;
  frame.pong = &pong;
  for (struct syn_subscriber *subscriber = sync->subscribers;
       subscriber != NULL; subscriber = subscriber->next)
    hub_reply (sync->hub, subscriber->origin, &frame);
}

void
syn_set_platform_status (struct syn *sync, enum rel_platform_status sight)
{
  if (sync->sight == sight)
    return;
  sync->sight = sight;
  send_sight (sync);
  syn_refresh_roles (sync);
}

void
syn_set_snapshot (struct syn *sync, struct snp_snapshot *snapshot)
{
  syn_replace_snapshot (sync, snapshot);
  for (struct syn_subscriber *subscriber = sync->subscribers;
       subscriber != NULL; subscriber = subscriber->next)
    syn_push (sync, subscriber);
}

/* Sends records to ORIGIN, or to the parent PEER when ORIGIN is null.  */
static void
send_members (struct syn *sync, struct hub_inbound_link *origin,
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
  if (origin != NULL)
    hub_reply (sync->hub, origin, &frame);
  else
    hub_send (sync->hub, peer, &frame, 0, &link);
}

/* Passes a record on to parents and subscribers, except to where it came
   from.  */
static void
spread (struct syn *sync, const struct mbr_member *member,
        const struct hub_inbound_link *from, dir_handle from_peer,
        uint32_t acknowledge)
{
  Mesh__Member message;
  Mesh__Member *pointer = &message;

  mbr_member_to_wire (member, &message);
  for (struct syn_subscriber *subscriber = sync->subscribers;
       subscriber != NULL; subscriber = subscriber->next)
    if (subscriber->origin != from)
      send_members (sync, subscriber->origin, DIR_NONE, &pointer, 1, 0);
  for (size_t i = 0; i < REL_MAX_PARENTS; i++)
    if (sync->parents[i] != DIR_NONE && sync->parents[i] != from_peer)
      send_members (sync, NULL, sync->parents[i], &pointer, 1, acknowledge);
}

void
syn_publish (struct syn *sync, const struct mbr_member *member)
{
  const struct mbr_member *self = dir_get (sync->directory, sync->self);
  bool own = strcmp (member->name, self->name) == 0;

  spread (sync, member, NULL, DIR_NONE, own ? (uint32_t)member->sequence : 0);
}

/* Sends all records to a new subscriber.  */
static void
send_directory (struct syn *sync, struct hub_inbound_link *origin)
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
          send_members (sync, origin, DIR_NONE, pointers, count, 0);
          count = 0;
        }
    }
  if (count > 0)
    send_members (sync, origin, DIR_NONE, pointers, count, 0);
}

static struct syn_subscriber **
find_subscriber (struct syn *sync, const struct hub_inbound_link *origin)
{
  struct syn_subscriber **place = &sync->subscribers;

  while (*place != NULL && (*place)->origin != origin)
    place = &(*place)->next;
  return place;
}

void
syn_remove_subscriber (struct syn *sync, const struct hub_inbound_link *origin)
{
  struct syn_subscriber **place = find_subscriber (sync, origin);
  struct syn_subscriber *subscriber = *place;

  if (subscriber == NULL)
    return;
  *place = subscriber->next;
  free (subscriber);
}

/* Takes a record that came from another node.  */
static void
take_member (struct syn *sync, const Mesh__Member *message,
             const struct hub_inbound_link *from, dir_handle from_peer)
{
  struct mbr_member member;

  if (!mbr_member_from_wire (message, &member))
    {
      log_write (LOG_WARNING, "syn", "a record of a node was not valid");
      return;
    }
  if (sync->hooks.member_received (sync->hooks.context, &member))
    spread (sync, &member, from, from_peer, 0);
}

static void
take_subscribe (struct syn *sync, struct hub_inbound_link *origin,
                const Mesh__Subscribe *message)
{
  struct syn_subscriber **place = find_subscriber (sync, origin);
  struct syn_subscriber *subscriber = *place;

  if (message->end)
    {
      syn_remove_subscriber (sync, origin);
      return;
    }
  if (message->member != NULL)
    take_member (sync, message->member, origin, DIR_NONE);
  if (subscriber == NULL)
    {
      subscriber = mem_alloc (1, sizeof *subscriber);
      subscriber->origin = origin;
      *place = subscriber;
    }
  if (message->held != NULL)
    subscriber->held
        = (struct snp_stamp){ message->held->version, message->held->hash };
  if (message->directory != dir_digest (sync->directory))
    send_directory (sync, origin);
  syn_push (sync, subscriber);
}

static void
take_members (struct syn *sync, const Mesh__Members *message,
              struct hub_inbound_link *from, dir_handle from_peer)
{
  Mesh__MembersAck ack = MESH__MEMBERS_ACK__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  for (size_t i = 0; i < message->n_members; i++)
    take_member (sync, message->members[i], from, from_peer);
  if (message->acknowledge == 0 || from == NULL)
    return;
  ack.acknowledge = message->acknowledge;
  frame.body_case = MESH__FRAME__BODY_MEMBERS_ACK;
  frame.members_ack = &ack;
  hub_reply (sync->hub, from, &frame);
}

void
syn_report_suspect (struct syn *sync, dir_handle peer)
{
  const struct mbr_member *member = dir_get (sync->directory, peer);
  Mesh__Suspect message = MESH__SUSPECT__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;
  uint64_t link;

  if (sync->watches)
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

/* Passes a suspicion on towards the watchers, if it is about the start that
   this node knows too.  */
static void
take_suspect (struct syn *sync, const Mesh__Suspect *message)
{
  dir_handle peer = dir_find (sync->directory, message->name);
  const struct mbr_member *member = dir_get (sync->directory, peer);

  if (member != NULL && peer != sync->self
      && member->incarnation <= message->incarnation
      && member->state != MBR_DEAD)
    syn_report_suspect (sync, peer);
}

static void
answer_ping (struct syn *sync, struct hub_inbound_link *origin,
             const Mesh__Ping *ping)
{
  Mesh__Pong pong = MESH__PONG__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  pong.nonce = ping->nonce;
  pong.sight = sync->sight;
  pong.config_version = syn_held (sync).version;
  frame.body_case = MESH__FRAME__BODY_PONG;
  frame.pong = &pong;
  hub_reply (sync->hub, origin, &frame);
}

bool
syn_handle_request (struct syn *sync, struct hub_inbound_link *origin,
                    const Mesh__Frame *frame)
{
  switch (frame->body_case)
    {
    case MESH__FRAME__BODY_PING:
      answer_ping (sync, origin, frame->ping);
      return true;
    case MESH__FRAME__BODY_SUBSCRIBE:
      take_subscribe (sync, origin, frame->subscribe);
      return true;
    case MESH__FRAME__BODY_MEMBERS:
      take_members (sync, frame->members, origin, DIR_NONE);
      return true;
    case MESH__FRAME__BODY_SUSPECT:
      take_suspect (sync, frame->suspect);
      return true;
    case MESH__FRAME__BODY_FETCH_REQUEST:
      syn_answer_fetch (sync, origin, frame->fetch_request);
      return true;
    default:
      return false;
    }
}

static void
take_pong (struct syn *sync, dir_handle peer, const Mesh__Pong *pong)
{
  enum rel_platform_status sight = pong->sight <= REL_PLATFORM_UNREACHABLE
                                       ? (enum rel_platform_status)pong->sight
                                       : REL_PLATFORM_UNKNOWN;
  bool changed;

  changed = current_sight (sync, peer) != sight;
  *sight_of (sync, peer)
      = (struct syn_platform_status){ sight, evl_now (sync->loop) };
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
      take_pong (sync, peer, frame->pong);
      return true;
    case MESH__FRAME__BODY_MEMBERS:
      take_members (sync, frame->members, NULL, peer);
      return true;
    case MESH__FRAME__BODY_MEMBERS_ACK:
      sync->hooks.record_acknowledged (sync->hooks.context,
                                       frame->members_ack->acknowledge);
      return true;
    case MESH__FRAME__BODY_PUSH:
      syn_take_version (sync, peer, frame->push);
      return true;
    case MESH__FRAME__BODY_FETCH_REPLY:
      syn_take_version (sync, peer, frame->fetch_reply);
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
  if (version <= syn_held (sync).version || peer == sync->self
      || sync->heard_peer != DIR_NONE)
    return;
  sync->heard_peer = peer;
  sync->heard_version = version;
  evl_timer_set (&sync->heard, evl_now (sync->loop) + PUSH_PATIENCE);
}

static void
fetch_heard (void *context)
{
  struct syn *sync = context;
  dir_handle peer = sync->heard_peer;

  sync->heard_peer = DIR_NONE;
  if (sync->heard_version > syn_held (sync).version)
    syn_fetch (sync, peer, false);
}

void
syn_reset_peer (struct syn *sync, dir_handle peer)
{
  *sight_of (sync, peer)
      = (struct syn_platform_status){ .sight = REL_PLATFORM_UNKNOWN };
}
