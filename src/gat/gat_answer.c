/* Answers of the gate to the senders of calls.  */

#include "gat/gat_log.h"

/* Longest part of a body in one frame, in bytes.  */
#define PART_SIZE (128u * 1024u)

/* The same where other frames may come between two parts.  */
#define BULK_PART_SIZE (16u * 1024u)

/* Weight of the newest response in the expected length.  */
#define REPLY_WEIGHT 16

/* Sends a frame of an answer.  One that is paced is not overtaken by others of
   the same call: an answer without a body has no other frames.  */
static void
send_frame (struct gat_call *call, const Mesh__Frame *frame, bool is_paced)
{
  struct gat *gate = call->gate;

  if (is_paced && call->frame->call->is_bulk)
    gate->hooks.send_bulk_reply (gate->hooks.context, call->origin, frame);
  else
    gate->hooks.send_reply (gate->hooks.context, call->origin, frame);
}

/* Returns the longest part of the call's answer in one frame, in bytes.  */
static size_t
part_size (const struct gat_call *call)
{
  return call->frame->call->is_bulk ? BULK_PART_SIZE : PART_SIZE;
}

/* Sends the parts of a body after the first.  */
static void
send_parts (struct gat_call *call, const uint8_t *data, size_t length)
{
  Mesh__BodyPart part = MESH__BODY_PART__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  frame.body_case = MESH__FRAME__BODY_ANSWER_BODY;
  frame.answer_body = &part;
  part.id = call->frame->call->id;
  for (size_t at = 0; at < length; at += part_size (call))
    {
      size_t left = length - at;
      size_t size = left < part_size (call) ? left : part_size (call);

      part.data.data = (uint8_t *)data + at;
      part.data.len = size;
      part.more = at + size < length;
      send_frame (call, &frame, true);
    }
}

/* Returns whether the call's tenant is over its share now.  */
static bool
is_over_share (struct gat_call *call)
{
  struct shr *shares = &call->gate->queue.shares;

  if (call->tenant == SHR_NONE)
    return false;
  shr_fade (shares, evl_now (call->gate->loop));
  return shr_is_over (shares, call->tenant);
}

static void
send_answer (struct gat_call *call, Mesh__Answer *answer,
             const struct buf *body)
{
  struct gat *gate = call->gate;
  size_t part = part_size (call);
  Mesh__Load load;
  Mesh__Frame frame = MESH__FRAME__INIT;

  answer->tenant_over_share = is_over_share (call);
  gat_load (call, answer->tenant_over_share, &load);
  answer->id = call->frame->call->id;
  answer->load = &load;
  answer->config_version = gate->hooks.config_version (gate->hooks.context);
  if (body != NULL && body->length > 0)
    {
      answer->body.data = body->data;
      answer->body.len = body->length < part ? body->length : part;
      answer->more = body->length > part;
    }
  frame.body_case = MESH__FRAME__BODY_ANSWER;
  frame.answer = answer;
  send_frame (call, &frame, body != NULL);
  if (answer->more && body != NULL)
    send_parts (call, body->data + part, body->length - part);
}

bool
gat_has_room (const struct gat_call *call)
{
  const struct gat *gate = call->gate;

  return gate->hooks.has_room (gate->hooks.context, call->origin,
                               (gate->running + 1) * gate->reply_bytes);
}

/* Learns the length of responses.  Longer ones count at once, so that replies
   rarely find no room after their call has run.  */
static void
learn_reply (struct gat *gate, size_t length)
{
  if (length >= gate->reply_bytes)
    gate->reply_bytes = length;
  else
    gate->reply_bytes -= (gate->reply_bytes - length) / REPLY_WEIGHT;
}

void
gat_refuse (struct gat_call *call, enum gat_refusal refusal)
{
  Mesh__Answer answer = MESH__ANSWER__INIT;
  struct gat *gate = call->gate;

  if (call->state == GAT_RUNNING)
    {
      gate->running--;
      call->state = GAT_RECEIVING;
    }
  gat_log_refused (call, refusal);
  answer.outcome = OUT_NOT_RUN;
  answer.refusal = refusal;
  send_answer (call, &answer, NULL);
  gat_end_call (call);
}

void
gat_answer_unknown (struct gat_call *call, const char *reason)
{
  Mesh__Answer answer = MESH__ANSWER__INIT;
  struct gat *gate = call->gate;

  if (call->state == GAT_RUNNING)
    {
      gate->running--;
      call->state = GAT_RECEIVING;
    }
  gat_log_unknown (call, reason);
  answer.outcome = OUT_UNKNOWN;
  answer.reason = (char *)reason;
  send_answer (call, &answer, NULL);
  gat_end_call (call);
}

void
gat_answer (struct gat_call *call, const struct htp_message *response)
{
  Mesh__Answer answer = MESH__ANSWER__INIT;
  Mesh__Header headers[HTP_MAX_HEADERS];
  Mesh__Header *pointers[HTP_MAX_HEADERS];
  struct gat *gate = call->gate;

  learn_reply (gate, response->body.length);
  if (!gate->hooks.has_room (gate->hooks.context, call->origin,
                             response->body.length))
    {
      gat_answer_unknown (call, "the link takes no more replies");
      return;
    }
  answer.outcome = OUT_ANSWERED;
  answer.status = response->status;
  answer.headers = pointers;
  for (unsigned i = 0; i < response->header_count; i++)
    {
      Mesh__Header *header = &headers[answer.n_headers];

      if (htp_is_hop_by_hop (htp_header_name (response, i)))
        continue;
      mesh__header__init (header);
      header->name = (char *)htp_header_name (response, i);
      header->value = (char *)htp_header_value (response, i);
      pointers[answer.n_headers++] = header;
    }
  gat_log_ended (call, response->status);
  gate->running--;
  call->state = GAT_RECEIVING;
  send_answer (call, &answer, &response->body);
  gat_end_call (call);
}
