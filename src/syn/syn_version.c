/* Sending and receiving of versions, as deltas or whole documents.  */

#include "base/err.h"
#include "base/log.h"
#include "dlt/dlt.h"
#include "syn/syn_internal.h"
#include "ver/ver.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Time after which a fetch without a reply is followed by another one.  */
#define FETCH_TIMEOUT (300 * CLK_MILLISECOND)

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

void
syn_replace_snapshot (struct syn *sync, struct snp_snapshot *snapshot)
{
  snp_release (sync->previous);
  sync->previous = sync->snapshot;
  sync->snapshot = snp_retain (snapshot);
  buf_close (&sync->delta_payload);
  buf_close (&sync->full_payload);
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

/* Returns the held version as a payload, encoded at the first call: as a delta
   to the previous version when DELTA is true, else as a whole.  Returns null
   when encoding fails.  */
static const struct buf *
encode_held (struct syn *sync, bool delta)
{
  struct buf *payload = delta ? &sync->delta_payload : &sync->full_payload;
  struct buf uncompressed = { 0 };
  struct buf compressed = { 0 };

  if (payload->length > 0)
    return payload;
  if (delta && can_forward_received (sync))
    {
      buf_append (payload, sync->received_reply->payload.data,
                  sync->received_reply->payload.len);
      return payload;
    }
  dlt_encode (delta ? sync->previous->document : NULL,
              sync->snapshot->document, &uncompressed);
  if (ver_encode (NULL, 0, buf_text (&uncompressed), uncompressed.length,
                  &compressed)
      == VER_OK)
    buf_append (payload, compressed.data, compressed.length);
  else
    log_write (LOG_ERROR, "syn",
               "version %" PRIu64 " cannot be encoded and is not sent to "
               "other nodes: %s",
               sync->snapshot->stamp.version, err_last ());
  buf_close (&compressed);
  buf_close (&uncompressed);
  return payload->length > 0 ? payload : NULL;
}

/* Sends the held version on the link INBOUND, whose node holds HELD.  */
static void
send_version (struct syn *sync, struct hub_inbound_link *inbound,
              struct snp_stamp held, bool is_fetch_reply)
{
  bool delta
      = sync->previous != NULL && ver_equal (held, sync->previous->stamp);
  const struct buf *payload = encode_held (sync, delta);
  Mesh__FetchReply reply = MESH__FETCH_REPLY__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Stamp base;
  Mesh__Stamp result;

  if (payload == NULL)
    return;
  write_stamp (delta ? held : (struct snp_stamp){ 0 }, &base);
  write_stamp (sync->snapshot->stamp, &result);
  reply.base_stamp = &base;
  reply.result = &result;
  reply.payload.data = payload->data;
  reply.payload.len = payload->length;
  frame.body_case = is_fetch_reply ? MESH__FRAME__BODY_FETCH_REPLY
                                   : MESH__FRAME__BODY_PUSH;
  if (is_fetch_reply)
    frame.fetch_reply = &reply;
  else
    frame.push = &reply;
  hub_reply (sync->hub, inbound, &frame);
}

void
syn_push_version (struct syn *sync, struct syn_subscriber *subscriber)
{
  struct snp_stamp held = syn_held_stamp (sync);

  if (held.version <= subscriber->held.version)
    return;
  send_version (sync, subscriber->inbound, subscriber->held, false);
  subscriber->held = held;
}

void
syn_handle_fetch (struct syn *sync, struct hub_inbound_link *inbound,
                  const Mesh__FetchRequest *request)
{
  struct snp_stamp sender_held = read_stamp (request->held);

  if (syn_held_stamp (sync).version > sender_held.version)
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
  sync->next_fetch_at = now + FETCH_TIMEOUT;
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

void
syn_handle_version (struct syn *sync, dir_handle peer,
                    const Mesh__FetchReply *reply)
{
  struct snp_stamp offered = read_stamp (reply->result);
  struct snp_snapshot *snapshot;

  if (offered.version <= syn_held_stamp (sync).version)
    return;
  snapshot = decode (sync, reply);
  sync->received_reply = reply;
  if (snapshot != NULL)
    sync->hooks.version_received (sync->hooks.context, snapshot);
  else
    {
      log_write (LOG_INFO, "syn",
                 "version %" PRIu64 " cannot be used: %s; fetching the "
                 "whole document",
                 offered.version, err_last ());
      sync->next_fetch_at = 0;
      syn_fetch_version (sync, peer, true);
    }
  sync->received_reply = NULL;
}
