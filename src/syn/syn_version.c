/* Sending and receiving of versions, as deltas or whole documents.  */

#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"
#include "dlt/dlt.h"
#include "syn/syn_internal.h"
#include "ver/ver.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Number of fetches of a version whose next part does not come.  Afterwards
   the versions that peers report lead to a fetch, as for any version.  */
#define MAX_MISSING_FETCHES 4

static struct snp_stamp
read_stamp (const Mesh__Stamp *stamp)
{
  struct snp_stamp result = { 0 };

  if (stamp != NULL)
    {
      result.version = stamp->version;
      result.hash = stamp->hash;
    }
  return result;
}

static void
write_stamp (struct snp_stamp stamp, Mesh__Stamp *message)
{
  mesh__stamp__init (message);
  message->version = stamp.version;
  message->hash = stamp.hash;
}

struct snp_stamp
syn_held_stamp (const struct syn *sync)
{
  struct snp_stamp none = { 0 };

  return sync->snapshot != NULL ? sync->snapshot->stamp : none;
}

/* Gives up the missing version and what was collected of it.  */
static void
forget_missing (struct syn *sync)
{
  syn_collector_clear (&sync->collector);
  sync->missing.version = 0;
  evl_timer_stop (&sync->missing_timer);
}

void
syn_replace_snapshot (struct syn *sync, struct snp_snapshot *snapshot)
{
  snp_release (sync->previous);
  sync->previous = sync->snapshot;
  sync->snapshot = snp_retain (snapshot);
  syn_payload_release (sync->delta_payload);
  syn_payload_release (sync->full_payload);
  sync->delta_payload = NULL;
  sync->full_payload = NULL;
  if (sync->missing.version <= snapshot->stamp.version)
    forget_missing (sync);
}

/* Returns whether the reply being handled holds the delta from the previous to
   the held version, which then need not be encoded again.  */
static bool
can_forward_received (const struct syn *sync)
{
  return sync->received_reply != NULL
         && ver_equal (read_stamp (sync->received_reply->base_stamp),
                       sync->previous->stamp)
         && ver_equal (read_stamp (sync->received_reply->result),
                       sync->snapshot->stamp);
}

/* Compresses the held version: as a delta to the previous version when DELTA
   is true, else as a whole.  Returns false with err_set when it is too long to
   be sent.  */
static bool
encode (const struct syn *sync, bool delta, struct buf *payload)
{
  struct buf uncompressed = { 0 };
  enum ver_status status;

  if (delta && can_forward_received (sync))
    {
      buf_append (payload, sync->received_reply->payload.data,
                  sync->received_reply->payload.len);
      return true;
    }
  dlt_encode (delta ? sync->previous->document : NULL,
              sync->snapshot->document, &uncompressed);
  status = ver_encode (NULL, 0, buf_text (&uncompressed), uncompressed.length,
                       payload);
  buf_close (&uncompressed);
  if (status != VER_OK)
    return false;
  if (payload->length <= SYN_PART_MAX_TOTAL)
    return true;
  err_set ("its %zu compressed bytes exceed the limit of %u bytes",
           payload->length, SYN_PART_MAX_TOTAL);
  return false;
}

/* Returns the held version as a payload, encoded at the first call.  Returns
   null when encoding fails.  */
static struct syn_payload *
encode_held (struct syn *sync, bool delta)
{
  struct syn_payload **payload
      = delta ? &sync->delta_payload : &sync->full_payload;

  if (*payload != NULL)
    return *payload;
  *payload = mem_alloc (1, sizeof **payload);
  (*payload)->references = 1;
  if (encode (sync, delta, &(*payload)->bytes))
    return *payload;
  log_write (LOG_ERROR, "syn",
             "version %" PRIu64 " cannot be encoded and is not sent to "
             "other nodes: %s",
             sync->snapshot->stamp.version, err_last ());
  syn_payload_release (*payload);
  *payload = NULL;
  return NULL;
}

/* A frame with a payload, and the messages that it refers to.  */
struct version_frame
{
  Mesh__Frame frame;
  Mesh__FetchReply reply;
  Mesh__Stamp base;
  Mesh__Stamp result;
};

static void
init_version_frame (struct version_frame *message,
                    const struct syn_version_header *header, uint8_t *data,
                    size_t length)
{
  mesh__frame__init (&message->frame);
  mesh__fetch_reply__init (&message->reply);
  write_stamp (header->base, &message->base);
  write_stamp (header->result, &message->result);
  message->reply.base_stamp = &message->base;
  message->reply.result = &message->result;
  message->reply.payload.data = data;
  message->reply.payload.len = length;
  message->frame.body_case = header->is_fetch_reply
                                 ? MESH__FRAME__BODY_FETCH_REPLY
                                 : MESH__FRAME__BODY_PUSH;
  if (header->is_fetch_reply)
    message->frame.fetch_reply = &message->reply;
  else
    message->frame.push = &message->reply;
}

void
syn_send_part (struct syn *sync, struct hub_inbound_link *inbound,
               const struct syn_version_header *header, uint8_t *data,
               size_t length, uint32_t part, uint32_t count)
{
  struct version_frame message;

  init_version_frame (&message, header, data, length);
  message.reply.part = part;
  message.reply.part_count = count;
  hub_reply (sync->hub, inbound, &message.frame);
}

/* Sends the held version on the link INBOUND, whose node holds HELD.  Replaces
   a transfer on this link.  */
static void
send_version (struct syn *sync, struct hub_inbound_link *inbound,
              struct snp_stamp held, bool is_fetch_reply)
{
  bool delta
      = sync->previous != NULL && ver_equal (held, sync->previous->stamp);
  struct syn_payload *payload = encode_held (sync, delta);
  struct syn_version_header header = { delta ? held : (struct snp_stamp){ 0 },
                                       sync->snapshot->stamp, is_fetch_reply };
  struct version_frame message;

  syn_transfer_cancel (sync, inbound);
  if (payload == NULL)
    return;
  init_version_frame (&message, &header, payload->bytes.data,
                      payload->bytes.length);
  if (mesh__frame__get_packed_size (&message.frame) <= FRM_MAX_LENGTH)
    hub_reply (sync->hub, inbound, &message.frame);
  else
    syn_transfer_start (sync, inbound, payload, &header);
}

void
syn_push_version (struct syn *sync, struct syn_subscriber *subscriber)
{
  struct snp_stamp held = syn_held_stamp (sync);

  if (held.version <= subscriber->held.version
      || syn_transfer_find (sync, subscriber->inbound) != NULL)
    return;
  send_version (sync, subscriber->inbound, subscriber->held, false);
  subscriber->held = held;
}

/* Returns whether a version that the node of INBOUND can use is being sent to
   it in parts.  Starting anew would never end on a link on which a part takes
   longer than SYN_FETCH_TIMEOUT.  */
static bool
is_being_sent (struct syn *sync, const struct hub_inbound_link *inbound,
               struct snp_stamp held)
{
  const struct syn_version_header *sent = syn_transfer_find (sync, inbound);

  return sent != NULL && sent->result.version > held.version
         && (sent->base.version == 0 || ver_equal (sent->base, held));
}

void
syn_handle_fetch (struct syn *sync, struct hub_inbound_link *inbound,
                  const Mesh__FetchRequest *request)
{
  struct snp_stamp sender_held = read_stamp (request->held);

  if (syn_held_stamp (sync).version > sender_held.version
      && !is_being_sent (sync, inbound, sender_held))
    send_version (sync, inbound, sender_held, true);
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
  write_stamp (full ? (struct snp_stamp){ 0 } : syn_held_stamp (sync), &held);
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
  struct snp_stamp base = read_stamp (reply->base_stamp);
  struct snp_stamp result = read_stamp (reply->result);
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
      forget_missing (sync);
      return;
    }
  sync->missing.fetches++;
  syn_fetch_version (sync, source, false);
  evl_timer_set (&sync->missing_timer, sync->next_fetch_at);
}

/* Tells a parent that sends parts of VERSION, which is held or outdated, which
   version is held, so that it ends this transfer.  */
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
  forget_missing (sync);
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
    .base = read_stamp (reply->base_stamp),
    .result = read_stamp (reply->result),
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
  uint64_t version = read_stamp (reply->result).version;
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
