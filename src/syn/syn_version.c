/* Versions on the wire: deltas and whole documents.  */

#include "base/err.h"
#include "base/log.h"
#include "dlt/dlt.h"
#include "syn/syn_internal.h"
#include "ver/ver.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* A version that was asked for is asked for again after this time.  */
#define FETCH_PATIENCE (300 * CLK_MILLISECOND)

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
syn_held (const struct syn *sync)
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
  buf_close (&sync->delta);
  buf_close (&sync->whole);
}

/* Returns whether the version that is being taken came as the difference that
   the subscribers need.  */
static bool
can_pass_on (const struct syn *sync)
{
  return sync->received != NULL
         && ver_equal (read_stamp (sync->received->base_stamp),
                       sync->previous->stamp)
         && ver_equal (read_stamp (sync->received->result),
                       sync->snapshot->stamp);
}

/* Encodes the held version once, as difference to the previous one when DELTA
   is true.  Returns null when that fails.  */
static const struct buf *
encode (struct syn *sync, bool delta)
{
  struct buf *place = delta ? &sync->delta : &sync->whole;
  struct buf plain = { 0 };
  struct buf large = { 0 };

  if (place->length > 0)
    return place;
  if (delta && can_pass_on (sync))
    {
      buf_append (place, sync->received->payload.data,
                  sync->received->payload.len);
      return place;
    }
  dlt_encode (delta ? sync->previous->document : NULL,
              sync->snapshot->document, &plain);
  if (ver_encode (NULL, 0, buf_text (&plain), plain.length, &large) == VER_OK)
    buf_append (place, large.data, large.length);
  else
    log_write (LOG_ERROR, "syn", "version %" PRIu64 " is not passed on: %s",
               sync->snapshot->stamp.version, err_last ());
  buf_close (&large);
  buf_close (&plain);
  return place->length > 0 ? place : NULL;
}

/* Sends the held version to ORIGIN, which holds HELD.  */
static void
send_version (struct syn *sync, struct hub_inbound_link *origin,
              struct snp_stamp held, bool asked)
{
  bool delta
      = sync->previous != NULL && ver_equal (held, sync->previous->stamp);
  const struct buf *payload = encode (sync, delta);
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
  frame.body_case
      = asked ? MESH__FRAME__BODY_FETCH_REPLY : MESH__FRAME__BODY_PUSH;
  if (asked)
    frame.fetch_reply = &reply;
  else
    frame.push = &reply;
  hub_reply (sync->hub, origin, &frame);
}

void
syn_push (struct syn *sync, struct syn_subscriber *subscriber)
{
  struct snp_stamp held = syn_held (sync);

  if (held.version <= subscriber->held.version)
    return;
  send_version (sync, subscriber->origin, subscriber->held, false);
  subscriber->held = held;
}

void
syn_answer_fetch (struct syn *sync, struct hub_inbound_link *origin,
                  const Mesh__FetchRequest *request)
{
  struct snp_stamp theirs = read_stamp (request->held);

  if (syn_held (sync).version > theirs.version)
    send_version (sync, origin, theirs, true);
}

void
syn_fetch (struct syn *sync, dir_handle peer, bool whole)
{
  Mesh__FetchRequest request = MESH__FETCH_REQUEST__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;
  clk_time now = evl_now (sync->loop);
  Mesh__Stamp held;
  uint64_t link;

  if (now < sync->fetch_after)
    return;
  sync->fetch_after = now + FETCH_PATIENCE;
  write_stamp (whole ? (struct snp_stamp){ 0 } : syn_held (sync), &held);
  request.held = &held;
  request.want_document = true;
  frame.body_case = MESH__FRAME__BODY_FETCH_REQUEST;
  frame.fetch_request = &request;
  hub_send (sync->hub, peer, &frame, 0, &link);
}

/* Returns the offered version, null when its base is missing or it is
   damaged.  */
static struct snp_snapshot *
decode (struct syn *sync, const Mesh__FetchReply *reply)
{
  struct snp_stamp base = read_stamp (reply->base_stamp);
  struct snp_stamp result = read_stamp (reply->result);
  const struct doc_document *before = NULL;
  struct doc_document *document = NULL;
  struct buf plain = { 0 };

  if (base.version != 0 && !ver_equal (base, syn_held (sync)))
    {
      err_set ("it needs version %" PRIu64, base.version);
      return NULL;
    }
  if (base.version != 0)
    before = sync->snapshot->document;
  if (ver_decode (NULL, 0, reply->payload.data, reply->payload.len, &plain)
      == VER_OK)
    dlt_apply (before, plain.data, plain.length, &document);
  buf_close (&plain);
  if (document == NULL)
    return NULL;
  if (dlt_digest (document) == result.hash)
    return snp_compile (result.version, result.hash, document);
  err_set ("its digest differs");
  doc_destroy (document);
  return NULL;
}

void
syn_take_version (struct syn *sync, dir_handle peer,
                  const Mesh__FetchReply *reply)
{
  struct snp_stamp offered = read_stamp (reply->result);
  struct snp_snapshot *snapshot;

  if (offered.version <= syn_held (sync).version)
    return;
  snapshot = decode (sync, reply);
  sync->received = reply;
  if (snapshot != NULL)
    sync->hooks.version_received (sync->hooks.context, snapshot);
  else
    {
      log_write (LOG_INFO, "syn",
                 "version %" PRIu64 " cannot be used: %s; asking for the "
                 "whole document",
                 offered.version, err_last ());
      sync->fetch_after = 0;
      syn_fetch (sync, peer, true);
    }
  sync->received = NULL;
}
