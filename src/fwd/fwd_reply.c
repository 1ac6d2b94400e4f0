/* What follows a try: answers from gates, and their absence.  */

#include "base/mem.h"
#include "fwd/fwd_log.h"

#include <string.h>

static struct fwd_call *
find_call (const struct fwd *forwarder, const Mesh__CallId *id)
{
  struct fwd_call *call = fwd_call_at (forwarder->calls.first);

  while (call != NULL
         && (id == NULL || call->number == 0 || call->number != id->number))
    call = fwd_call_at (call->list.next);
  return call;
}

/* The call may have run, and its answer will not come.  */
static void
take_unknown (struct fwd_call *call, dir_handle peer, const char *reason)
{
  fwd_log_lost (call, peer, reason);
  fwd_exclude (call, peer);
  call->runs++;
  call->may_have_run = true;
  fwd_repeat (call);
}

static void
take_answer (struct fwd_call *call, const Mesh__Answer *answer)
{
  call->number = 0;
  if (answer->outcome == OUT_ANSWERED)
    fwd_answer (call, answer);
  else if (answer->outcome == OUT_NOT_RUN)
    fwd_take_refusal (call, call->peer, (enum gat_refusal)answer->refusal);
  else
    take_unknown (call, call->peer, answer->reason);
}

/* Adds a part to an answer that came in several frames.  */
static void
add_body (struct fwd_call *call, const Mesh__BodyPart *part)
{
  Mesh__Answer *answer = call->answer;

  if (answer == NULL)
    return;
  answer->body.data
      = mem_resize (answer->body.data, answer->body.len + part->data.len, 1);
  if (part->data.len > 0)
    memcpy (answer->body.data + answer->body.len, part->data.data,
            part->data.len);
  answer->body.len += part->data.len;
  if (!part->more)
    take_answer (call, answer);
}

bool
fwd_take_reply (struct fwd *forwarder, dir_handle peer, Mesh__Frame *frame)
{
  struct fwd_call *call;

  if (frame->body_case == MESH__FRAME__BODY_ANSWER_BODY)
    {
      call = find_call (forwarder, frame->answer_body->id);
      if (call != NULL)
        add_body (call, frame->answer_body);
      return false;
    }
  if (frame->body_case != MESH__FRAME__BODY_ANSWER)
    return false;
  call = find_call (forwarder, frame->answer->id);
  if (call == NULL)
    return false;
  if (frame->answer->load != NULL)
    fwd_take_load (forwarder, peer, call->kind, frame->answer->load);
  hub_settle (forwarder->parts.hub, call->link);
  if (frame->answer->more)
    {
      frm_free (call->frame);
      call->frame = frame;
      call->answer = frame->answer;
      return true;
    }
  take_answer (call, frame->answer);
  return false;
}

void
fwd_link_lost (struct fwd *forwarder, dir_handle peer, uint64_t link)
{
  struct fwd_call *call = fwd_call_at (forwarder->calls.first);

  while (call != NULL)
    {
      struct fwd_call *next = fwd_call_at (call->list.next);

      if (call->number != 0 && call->link == link && call->peer == peer)
        {
          call->number = 0;
          take_unknown (call, peer, "the link to its node was lost");
        }
      call = next;
    }
}
