/* Creation of the propagation, and dispatch of frames.  */

#include "syn/syn.h"

#include "base/mem.h"
#include "syn/syn_internal.h"

#include <stdlib.h>

/* Delay before a newer version is fetched from a peer that holds it.  Usually
   a parent pushes the version within this time.  */
#define FETCH_DELAY (150 * CLK_MILLISECOND)

static void fetch_newer_version (void *context);

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
  evl_task_init (&sync->refresh_task, loop, syn_recompute_roles, sync);
  evl_timer_init (&sync->watch_change_timer, loop, syn_report_watch_change,
                  sync);
  evl_timer_init (&sync->fetch_timer, loop, fetch_newer_version, sync);
  evl_timer_init (&sync->status_expiry_timer, loop, syn_on_status_expiry,
                  sync);
  evl_timer_init (&sync->transfer_timer, loop, syn_transfer_run, sync);
  evl_timer_init (&sync->missing_timer, loop, syn_fetch_missing, sync);
  sync->newer_version_peer = DIR_NONE;
  sync->stopped_sender = DIR_NONE;
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
  evl_timer_stop (&sync->missing_timer);
  syn_transfer_close (sync);
  syn_collector_clear (&sync->collector);
  snp_release (sync->snapshot);
  snp_release (sync->previous);
  syn_payload_release (sync->delta_payload);
  syn_payload_release (sync->full_payload);
  free (sync->peer_statuses);
  free (sync);
}

void
syn_start (struct syn *sync)
{
  sync->started = true;
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

void
syn_forward (struct syn *sync, const Mesh__Frame *frame)
{
  for (const struct syn_subscriber *subscriber = sync->subscribers;
       subscriber != NULL; subscriber = subscriber->next)
    hub_reply (sync->hub, subscriber->inbound, frame);
}

static void
answer_ping (struct syn *sync, struct hub_inbound_link *inbound,
             const Mesh__Ping *ping)
{
  Mesh__Pong pong = MESH__PONG__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  pong.nonce = ping->nonce;
  pong.platform_status = sync->platform_status;
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
      syn_handle_subscribe (sync, inbound, frame->subscribe);
      return true;
    case MESH__FRAME__BODY_MEMBERS:
      syn_handle_members (sync, frame->members, inbound, DIR_NONE);
      syn_handle_offer (sync, frame->members);
      return true;
    case MESH__FRAME__BODY_SUSPECT:
      syn_handle_suspect (sync, frame->suspect);
      return true;
    case MESH__FRAME__BODY_FETCH_REQUEST:
      syn_handle_fetch (sync, inbound, frame->fetch_request);
      return true;
    default:
      return false;
    }
}

bool
syn_handle_reply (struct syn *sync, dir_handle peer, const Mesh__Frame *frame)
{
  switch (frame->body_case)
    {
    case MESH__FRAME__BODY_PONG:
      syn_handle_pong (sync, peer, frame->pong);
      return true;
    case MESH__FRAME__BODY_MEMBERS:
      syn_handle_members (sync, frame->members, NULL, peer);
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
  if (sync->started && syn_is_parent (sync, peer))
    syn_send_subscribe (sync, peer, false);
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
