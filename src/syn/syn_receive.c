/* Receiving of versions, whole or in parts, and fetches.  */

#include "base/err.h"
#include "base/log.h"
#include "dlt/dlt.h"
#include "syn/syn_internal.h"
#include "ver/ver.h"

#include <inttypes.h>

/* Number of fetches of a version whose next part does not come.  Afterwards
   the versions that peers report lead to a fetch, as for any version.  */
#define MAX_MISSING_FETCHES 4

void
syn_forget_missing (struct syn *sync)
{
  syn_collector_clear (&sync->collector);
  sync->missing.version = 0;
  evl_timer_stop (&sync->missing_timer);
}

void
syn_fetch_version (struct syn *sync, dir_handle peer, bool full)
{
  Mesh__FetchRequest request = MESH__FETCH_REQUEST__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;
  clk_time now = evl_now (sync->loop);
  Mesh__Stamp held;
  uint64_t link;

  if (now < sync->next_fetch_at)
    return;
  sync->next_fetch_at = now + SYN_FETCH_TIMEOUT;
  syn_write_stamp (full ? (struct snp_stamp){ 0 } : syn_held_stamp (sync),
                   &held);
  request.held = &held;
  request.want_document = true;
  frame.body_case = MESH__FRAME__BODY_FETCH_REQUEST;
  frame.fetch_request = &request;
  hub_send (sync->hub, peer, &frame, 0, &link);
}

/* Returns the version of a reply.  Returns null with err_set when its base is
   not the held version or when it is damaged.  */
static struct snp_snapshot *
decode (struct syn *sync, const Mesh__FetchReply *reply)
{
  struct snp_stamp base = syn_read_stamp (reply->base_stamp);
  struct snp_stamp result = syn_read_stamp (reply->result);
  const struct doc_document *base_document = NULL;
  struct doc_document *document = NULL;
  struct buf uncompressed = { 0 };

  if (base.version != 0 && !ver_equal (base, syn_held_stamp (sync)))
    {
      err_set ("it is a delta to version %" PRIu64 ", which is not held",
               base.version);
      return NULL;
    }
  if (base.version != 0)
    base_document = sync->snapshot->document;
  if (ver_decode (NULL, 0, reply->payload.data, reply->payload.len,
                  &uncompressed)
      == VER_OK)
    dlt_apply (base_document, uncompressed.data, uncompressed.length,
               &document);
  buf_close (&uncompressed);
  if (document == NULL)
    return NULL;
  if (dlt_digest (document) == result.hash)
    return snp_compile (result.version, result.hash, document);
  err_set ("its content does not match its hash");
  doc_destroy (document);
  return NULL;
}

/* Puts a whole version into effect.  */
static void
use_version (struct syn *sync, dir_handle peer, const Mesh__FetchReply *reply)
{
  struct snp_snapshot *snapshot;

  snapshot = decode (sync, reply);
  sync->received_reply = reply;
  if (snapshot != NULL)
    sync->hooks.version_received (sync->hooks.context, snapshot);
  else
    {
      log_write (LOG_INFO, "syn",
                 "version %" PRIu64 " cannot be used: %s; fetching the "
                 "whole document",
                 reply->result->version, err_last ());
      sync->next_fetch_at = 0;
      syn_fetch_version (sync, peer, true);
    }
  sync->received_reply = NULL;
}

/* Returns whether PEER is a parent with an open link.  */
static bool
is_connected_parent (const struct syn *sync, dir_handle peer)
{
  for (size_t i = 0; i < REL_MAX_PARENTS; i++)
    if (sync->parents[i] == peer)
      return hub_is_connected (sync->hub, peer);
  return false;
}

/* Returns a connected parent other than PEER, DIR_NONE when there is none.  */
static dir_handle
find_other_parent (const struct syn *sync, dir_handle peer)
{
  for (size_t i = 0; i < REL_MAX_PARENTS; i++)
    if (sync->parents[i] != DIR_NONE && sync->parents[i] != peer
        && is_connected_parent (sync, sync->parents[i]))
      return sync->parents[i];
  return DIR_NONE;
}

/* Chooses whom to ask for the missing version: by turns the peer that has sent
   the last part and another parent, as either may have failed.  */
static dir_handle
choose_source (const struct syn *sync)
{
  dir_handle peer = sync->missing.peer;
  dir_handle other = find_other_parent (sync, peer);
  bool connected = hub_is_connected (sync->hub, peer);

  if (connected && (sync->missing.fetches % 2 == 0 || other == DIR_NONE))
    return peer;
  return other;
}

void
syn_fetch_missing (void *context)
{
  struct syn *sync = context;
  dir_handle source = choose_source (sync);

  if (source == DIR_NONE || sync->missing.fetches == MAX_MISSING_FETCHES)
    {
      syn_forget_missing (sync);
      return;
    }
  sync->missing.fetches++;
  syn_fetch_version (sync, source, false);
  evl_timer_set (&sync->missing_timer, sync->next_fetch_at);
}

/* Reports the held version to a parent that sends parts of VERSION, which is
   held or outdated, so that it ends this transfer.  */
static void
stop_sender (struct syn *sync, dir_handle peer, uint64_t version)
{
  if ((sync->stopped_sender == peer && sync->stopped_version == version)
      || !is_connected_parent (sync, peer))
    return;
  sync->stopped_sender = peer;
  sync->stopped_version = version;
  syn_send_subscribe (sync, peer, false);
}

/* Uses the version that the collector holds whole.  */
static void
use_collected (struct syn *sync, dir_handle peer,
               const Mesh__FetchReply *last_part)
{
  Mesh__FetchReply whole = *last_part;
  struct syn_collector collected = sync->collector;

  sync->collector = (struct syn_collector){ 0 };
  syn_forget_missing (sync);
  whole.payload.data = collected.payload.data;
  whole.payload.len = collected.payload.length;
  log_write (LOG_INFO, "syn",
             "received version %" PRIu64 " from node %s in %u parts, %zu "
             "bytes in all",
             collected.result.version, dir_get (sync->directory, peer)->name,
             collected.count, collected.payload.length);
  use_version (sync, peer, &whole);
  syn_collector_clear (&collected);
}

/* Notes that a part of VERSION has come from PEER and that another one, or a
   reply to a fetch, is to come until TIME.  */
static void
expect_part (struct syn *sync, dir_handle peer, uint64_t version,
             clk_time time)
{
  sync->missing = (struct syn_missing){ version, peer, 0 };
  sync->next_fetch_at = time;
  evl_timer_set (&sync->missing_timer, time);
}

/* Handles one part of a newer version than the held one.  */
static void
handle_part (struct syn *sync, dir_handle peer, const Mesh__FetchReply *reply)
{
  clk_time now = evl_now (sync->loop);
  struct syn_part part = {
    .sender = peer,
    .base = syn_read_stamp (reply->base_stamp),
    .result = syn_read_stamp (reply->result),
    .index = reply->part,
    .count = reply->part_count,
    .data = reply->payload.data,
    .length = reply->payload.len,
  };

  /* A sender that was lost must not keep others waiting.  */
  if (peer != sync->collector.sender
      && !hub_is_connected (sync->hub, sync->collector.sender))
    syn_collector_clear (&sync->collector);
  switch (syn_collector_add (&sync->collector, &part, now))
    {
    case SYN_PART_ADDED:
      expect_part (sync, peer, part.result.version, now + SYN_FETCH_TIMEOUT);
      break;
    case SYN_PART_COMPLETE:
      use_collected (sync, peer, reply);
      break;
    case SYN_PART_DISCARDED:
      log_write (LOG_INFO, "syn",
                 "part %u of version %" PRIu64 " from node %s is out of "
                 "order or invalid; fetching the version again",
                 part.index, part.result.version,
                 dir_get (sync->directory, peer)->name);
      expect_part (sync, peer, part.result.version, now);
      break;
    case SYN_PART_UNEXPECTED:
      /* Others of the same transfer follow, and the fetch that the first of
         them started is under way.  */
      if (sync->missing.version == 0)
        expect_part (sync, peer, part.result.version, sync->next_fetch_at);
      break;
    case SYN_PART_IGNORED:
      break;
    }
}

void
syn_handle_version (struct syn *sync, dir_handle peer,
                    const Mesh__FetchReply *reply)
{
  uint64_t version = syn_read_stamp (reply->result).version;
  bool is_part = reply->part_count > 1;

  if (version <= syn_held_stamp (sync).version)
    {
      if (is_part)
        stop_sender (sync, peer, version);
    }
  else if (is_part)
    handle_part (sync, peer, reply);
  else
    use_version (sync, peer, reply);
}
