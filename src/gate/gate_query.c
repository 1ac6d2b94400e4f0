/* Cancel and query.  */

#include "gate/gate_internal.h"

#include "wire/frm.h"

#include <stdlib.h>

void
gate_call_cancel (struct gate_link *link, const Mesh__CallId *id)
{
  struct gate *gate = link->gate;
  struct gate_call *call;
  struct gate_call *withdrawn = NULL;

  pthread_mutex_lock (&gate->lock);
  call = gate_call_find (link, id);
  if (call != NULL)
    switch (call->state)
      {
      case GATE_RECEIVING:
      case GATE_QUEUED:
        withdrawn = call;
        gate_call_withdraw (call, true);
        break;
      case GATE_ANSWERING:
        gate_call_unlink (call);
        gate_call_free (call);
        break;
      default:
        call->cancelled = true;
        if (call->client != NULL)
          up_cancel (call->client);
      }
  pthread_mutex_unlock (&gate->lock);
  if (withdrawn != NULL)
    gate_call_tell (withdrawn, "cancelled before it started");
}

/* Finds a call that has not started on any link; with the gate's lock.  */
static struct gate_call *
find_waiting (struct gate *gate, struct out_id id)
{
  for (uint32_t i = 0; i < GATE_MAX_LINKS; i++)
    if (gate->links[i] != NULL)
      for (struct gate_call *call = gate->links[i]->calls; call != NULL;
           call = call->next)
        if (call->id.origin == id.origin && call->id.number == id.number)
          return call->state == GATE_RECEIVING || call->state == GATE_QUEUED
                     ? call
                     : NULL;
  return NULL;
}

static void
send_reply (struct gate_link *link, Mesh__CallId *id, enum out_state state,
            const struct buf *kept)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__QueryReply reply = MESH__QUERY_REPLY__INIT;
  Mesh__Answer *answer = NULL;

  if (kept->length > 0)
    answer = mesh__answer__unpack (NULL, kept->length, kept->data);
  reply.id = id;
  reply.state = state;
  reply.answer = answer;
  frame.body_case = MESH__FRAME__BODY_QUERY_REPLY;
  frame.query_reply = &reply;
  gate_link_send_frame (link, &frame);
  if (answer != NULL)
    mesh__answer__free_unpacked (answer, NULL);
}

void
gate_call_query (struct gate_link *link, const Mesh__Query *query)
{
  struct gate *gate = link->gate;
  struct out_id id = gate_call_id (link, query->id);
  struct gate_call *waiting = NULL;
  enum out_state state = OUT_STATE_UNKNOWN;
  struct buf kept = { 0 };

  if (query->gate_incarnation == gate->incarnation)
    {
      pthread_mutex_lock (&gate->lock);
      waiting = find_waiting (gate, id);
      if (waiting != NULL)
        gate_call_withdraw (waiting, true);
      state = out_query (gate->outcomes, id, clk_now (), &kept);
      pthread_mutex_unlock (&gate->lock);
    }
  if (waiting != NULL)
    gate_call_tell (waiting, "the sender asked for it before it started");
  send_reply (link, query->id, state, &kept);
  buf_close (&kept);
}
