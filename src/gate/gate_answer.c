/* Answers: one frame, and parts as the receiver grants them.  */

#include "gate/gate_internal.h"

#include "wire/frm.h"

#include <stdlib.h>
#include <string.h>

Mesh__Answer *
gate_answer_create (const Mesh__CallId *id, enum out_outcome outcome,
                    const char *reason)
{
  Mesh__Answer *answer = malloc (sizeof *answer);
  Mesh__CallId *copy = malloc (sizeof *copy);

  if (answer == NULL || copy == NULL)
    abort ();
  mesh__answer__init (answer);
  mesh__call_id__init (copy);
  copy->origin = id->origin;
  copy->number = id->number;
  answer->id = copy;
  answer->outcome = outcome;
  answer->reason = strdup (reason);
  if (answer->reason == NULL)
    abort ();
  return answer;
}

void
gate_answer_send (struct gate_link *link, const Mesh__CallId *id,
                  enum out_outcome outcome, const char *reason)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Answer *answer = gate_answer_create (id, outcome, reason);

  frame.body_case = MESH__FRAME__BODY_ANSWER;
  frame.answer = answer;
  gate_link_send_frame (link, &frame);
  mesh__answer__free_unpacked (answer, NULL);
}

static size_t
smaller (size_t left, size_t right)
{
  return left < right ? left : right;
}

/* Appends the first frame of an answer.  */
static void
encode_first (struct gate_call *call, struct buf *output)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Answer first = *call->answer;

  first.body.len = smaller (first.body.len, GATE_PART);
  first.more = first.body.len < call->answer->body.len;
  call->answer_done = first.body.len;
  call->credit = GATE_WINDOW - first.body.len;
  frame.body_case = MESH__FRAME__BODY_ANSWER;
  frame.answer = &first;
  frm_encode (&frame, output);
}

/* Appends the parts that the window allows.  Returns whether the answer is
   complete.  */
static bool
encode_parts (struct gate_call *call, struct buf *output)
{
  const ProtobufCBinaryData *body = &call->answer->body;

  while (call->answer_done < body->len && call->credit > 0)
    {
      Mesh__Frame frame = MESH__FRAME__INIT;
      Mesh__BodyPart part = MESH__BODY_PART__INIT;

      part.id = call->answer->id;
      part.data.data = body->data + call->answer_done;
      part.data.len = smaller (
          smaller (body->len - call->answer_done, GATE_PART), call->credit);
      call->answer_done += part.data.len;
      call->credit -= part.data.len;
      part.more = call->answer_done < body->len;
      frame.body_case = MESH__FRAME__BODY_ANSWER_BODY;
      frame.answer_body = &part;
      frm_encode (&frame, output);
    }
  return call->answer_done == body->len;
}

/* Sends a complete answer and frees its call, which is in no list.  */
static void
send_last (struct gate_call *call, const struct buf *output)
{
  struct gate *gate = call->link->gate;

  gate_link_send (call->link, output);
  pthread_mutex_lock (&gate->lock);
  gate_call_free (call);
  pthread_mutex_unlock (&gate->lock);
}

void
gate_answer_start (struct gate_call *call, Mesh__Answer *answer)
{
  struct gate *gate = call->link->gate;
  struct gate_link *link = call->link;
  struct buf output = { 0 };
  bool whole = answer->body.len <= GATE_PART;

  call->answer = answer;
  pthread_mutex_lock (&gate->lock);
  if (call->orphan)
    {
      gate_call_free (call);
      pthread_mutex_unlock (&gate->lock);
      return;
    }
  gate_call_count (call, answer->body.len);
  buf_close (&call->body);
  if (!whole)
    {
      call->state = GATE_ANSWERING;
      call->grant_until = clk_now () + GATE_GRANT_LIMIT;
      encode_first (call, &output);
      whole = encode_parts (call, &output);
    }
  if (whole)
    gate_call_unlink (call);
  gate_link_hold (link);
  pthread_mutex_unlock (&gate->lock);
  if (whole)
    {
      if (output.length == 0)
        encode_first (call, &output);
      send_last (call, &output);
    }
  else
    gate_link_send (link, &output);
  buf_close (&output);
  pthread_mutex_lock (&gate->lock);
  gate_link_drop (link);
  pthread_mutex_unlock (&gate->lock);
}

void
gate_answer_grant (struct gate_link *link, const Mesh__WindowGrant *grant)
{
  struct gate *gate = link->gate;
  struct gate_call *call;
  struct buf output = { 0 };
  bool whole = false;

  pthread_mutex_lock (&gate->lock);
  call = gate_call_find (link, grant->id);
  if (call != NULL && call->state == GATE_ANSWERING)
    {
      call->credit = smaller (call->credit + grant->bytes, GATE_WINDOW);
      call->grant_until = clk_now () + GATE_GRANT_LIMIT;
      whole = encode_parts (call, &output);
      if (whole)
        gate_call_unlink (call);
    }
  pthread_mutex_unlock (&gate->lock);
  if (whole)
    send_last (call, &output);
  else if (output.length > 0)
    gate_link_send (link, &output);
  buf_close (&output);
}
