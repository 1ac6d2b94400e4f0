/* Versions on the wire: deltas and whole documents.  */

#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"
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
  free (sync->previous.text);
  sync->previous = (struct syn_previous){ 0 };
  if (sync->snapshot != NULL)
    {
      sync->previous.stamp = sync->snapshot->stamp;
      sync->previous.length = sync->snapshot->length;
      sync->previous.text
          = mem_copy (sync->snapshot->text, sync->snapshot->length);
    }
  buf_close (&sync->delta);
  buf_close (&sync->whole);
  snp_release (sync->snapshot);
  sync->snapshot = snp_retain (snapshot);
}

/* Compresses the held version once, with the previous one as base when DELTA
   is true.  Returns null when that fails.  */
static const struct buf *
compress (struct syn *sync, bool delta)
{
  struct buf *place = delta ? &sync->delta : &sync->whole;
  struct buf large = { 0 };

  if (place->length > 0)
    return place;
  if (ver_encode (delta ? sync->previous.text : NULL,
                  delta ? sync->previous.length : 0, sync->snapshot->text,
                  sync->snapshot->length, &large)
      != VER_OK)
    {
      log_write (LOG_ERROR, "syn", "version %" PRIu64 " is not passed on: %s",
                 sync->snapshot->stamp.version, err_last ());
      return NULL;
    }
  buf_append (place, large.data, large.length);
  buf_close (&large);
  return place;
}

/* Sends the held version to ORIGIN, which holds HELD.  */
static void
send_version (struct syn *sync, struct hub_origin *origin,
              struct snp_stamp held, bool asked)
{
  bool delta
      = sync->previous.text != NULL && ver_equal (held, sync->previous.stamp);
  const struct buf *payload = compress (sync, delta);
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
syn_answer_fetch (struct syn *sync, struct hub_origin *origin,
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

/* Decodes a version into TEXT.  Returns false when its base is missing or it
   is damaged.  */
static bool
decode (struct syn *sync, const Mesh__FetchReply *reply, struct buf *text)
{
  struct snp_stamp base = read_stamp (reply->base_stamp);
  struct snp_stamp result = read_stamp (reply->result);
  const char *prefix = NULL;
  size_t length = 0;

  if (base.version != 0)
    {
      if (!ver_equal (base, syn_held (sync)))
        return false;
      prefix = sync->snapshot->text;
      length = sync->snapshot->length;
    }
  if (ver_decode (prefix, length, reply->payload.data, reply->payload.len,
                  text)
      != VER_OK)
    return false;
  return snp_hash (buf_text (text), text->length) == result.hash;
}

void
syn_take_version (struct syn *sync, dir_handle peer,
                  const Mesh__FetchReply *reply)
{
  struct snp_stamp offered = read_stamp (reply->result);
  struct buf text = { 0 };

  if (offered.version <= syn_held (sync).version)
    return;
  if (decode (sync, reply, &text))
    sync->hooks.version (sync->hooks.context, buf_text (&text), text.length);
  else
    {
      log_write (LOG_INFO, "syn",
                 "version %" PRIu64 " cannot be read from its delta; asking "
                 "for the whole document",
                 offered.version);
      sync->fetch_after = 0;
      syn_fetch (sync, peer, true);
    }
  buf_close (&text);
}
