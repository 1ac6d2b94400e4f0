/* Sending of versions, as deltas or whole documents.  */

#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"
#include "dlt/dlt.h"
#include "syn/syn_internal.h"
#include "ver/ver.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

struct snp_stamp
syn_read_stamp (const Mesh__Stamp *stamp)
{
  struct snp_stamp result = { 0 };

  if (stamp != NULL)
    {
      result.version = stamp->version;
      result.hash = stamp->hash;
    }
  return result;
}

void
syn_write_stamp (struct snp_stamp stamp, Mesh__Stamp *message)
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
  syn_payload_release (sync->delta_payload);
  syn_payload_release (sync->full_payload);
  sync->delta_payload = NULL;
  sync->full_payload = NULL;
  if (sync->missing.version <= snapshot->stamp.version)
    syn_forget_missing (sync);
}

/* Returns whether the reply being handled holds the delta from the previous to
   the held version, which then need not be encoded again.  */
static bool
can_forward_received (const struct syn *sync)
{
  return sync->received_reply != NULL
         && ver_equal (syn_read_stamp (sync->received_reply->base_stamp),
                       sync->previous->stamp)
         && ver_equal (syn_read_stamp (sync->received_reply->result),
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
  syn_write_stamp (header->base, &message->base);
  syn_write_stamp (header->result, &message->result);
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
  struct snp_stamp sender_held = syn_read_stamp (request->held);

  if (syn_held_stamp (sync).version > sender_held.version
      && !is_being_sent (sync, inbound, sender_held))
    send_version (sync, inbound, sender_held, true);
}
