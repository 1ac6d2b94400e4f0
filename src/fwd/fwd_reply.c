/* What follows a try: answers from gates, and their absence.  */

#include "base/mem.h"
#include "fwd/fwd_log.h"

#include <string.h>

/* The attempt may have run, and its answer will not come.  The call is
   repeated unless another attempt may succeed.  */
static void
take_unknown (struct fwd_call *call, struct fwd_try *attempt,
              const char *reason)
{
  fwd_log_lost (call, attempt->peer, reason);
  fwd_drop_parts (call, attempt);
  fwd_count_run (call, attempt);
  if (!fwd_pass_last_failure (call))
    fwd_repeat_if_needed (call);
}

/* The attempt has not run.  */
static void
take_refusal (struct fwd_call *call, struct fwd_try *attempt,
              enum gat_refusal refusal)
{
  if (attempt != &call->tries[FWD_CURRENT])
    call->runs--;
  if (fwd_pass_last_failure (call))
    return;
  if (attempt != &call->tries[FWD_CURRENT] && fwd_is_under_way (call))
    {
      fwd_log_refusal (call, attempt->peer, refusal);
      fwd_repeat_if_needed (call);
      return;
    }
  fwd_take_refusal (call, attempt->peer, refusal);
}

/* Returns whether ANSWER has a response that can be passed on.  Another node
   may be of a version that passes on any status.  */
static bool
has_response (const Mesh__Answer *answer)
{
  return answer->outcome == OUT_ANSWERED
         && htp_is_final_status (answer->status);
}

static enum fwd_end
end_of (const Mesh__Answer *answer)
{
  if (has_response (answer))
    return FWD_ANSWERED;
  return answer->outcome == OUT_NOT_RUN ? FWD_NOT_RUN : FWD_LOST;
}

/* Takes a whole answer, which is owned by FRAME.  Returns whether FRAME is
   kept.  */
static bool
take_answer (struct fwd_call *call, struct fwd_try *attempt,
             Mesh__Answer *answer, Mesh__Frame *frame)
{
  bool is_failure = answer->status >= 500;

  fwd_note_end (call, attempt, end_of (answer),
                (enum gat_refusal)answer->refusal);
  fwd_end_try (call, attempt);
  if (has_response (answer))
    {
      fwd_count_answer (call, attempt->peer, is_failure);
      if (is_failure && fwd_keep_failure (call, attempt, answer, frame))
        return true;
      fwd_answer (call, attempt->peer, answer);
    }
  else if (answer->outcome == OUT_NOT_RUN)
    take_refusal (call, attempt, (enum gat_refusal)answer->refusal);
  else
    {
      fwd_count_answer (call, attempt->peer, true);
      take_unknown (call, attempt,
                    answer->outcome == OUT_ANSWERED
                        ? "the status of the answer is not valid"
                        : answer->reason);
    }
  return false;
}

/* Takes memory for LENGTH more bytes of an answer.  When not enough is left
   the attempt ends, and the call too if it has no other one: it has run.  */
static bool
take_part (struct fwd_call *call, struct fwd_try *attempt, size_t length)
{
  if (acc_take (call->forwarder->parts.account, ACC_PARTIAL, length))
    {
      attempt->partial_bytes += length;
      return true;
    }
  fwd_log_short (call, attempt);
  fwd_count_run (call, attempt);
  fwd_cancel_try (call, attempt);
  fwd_drop_parts (call, attempt);
  if (fwd_pass_last_failure (call))
    return false;
  if (fwd_is_under_way (call))
    fwd_repeat_if_needed (call);
  else
    fwd_fail (call, 502, "the answer does not fit into memory", 0);
  return false;
}

/* Adds a part to an answer that came in several frames.  */
static void
add_body (struct fwd_call *call, struct fwd_try *attempt,
          const Mesh__BodyPart *part)
{
  Mesh__Answer *answer = attempt->answer;

  if (answer == NULL)
    return;
  if (!take_part (call, attempt, part->data.len))
    return;
  if (answer->body.len + part->data.len > FRM_MAX_BODY_LENGTH)
    {
      fwd_note_end (call, attempt, FWD_LOST, GAT_NOT_REFUSED);
      fwd_end_try (call, attempt);
      take_unknown (call, attempt, "the answer is too long");
      return;
    }
  answer->body.data
      = mem_resize (answer->body.data, answer->body.len + part->data.len, 1);
  if (part->data.len > 0)
    memcpy (answer->body.data + answer->body.len, part->data.data,
            part->data.len);
  answer->body.len += part->data.len;
  if (!part->more)
    take_answer (call, attempt, answer, attempt->frame);
}

/* Takes an answer, or its first part.  Returns whether the frame is kept.  */
static bool
handle_answer (struct fwd *forwarder, dir_handle peer, Mesh__Frame *frame)
{
  struct fwd_call *call;
  struct fwd_try *attempt = fwd_find_try (forwarder, frame->answer->id, &call);

  if (attempt == NULL)
    return false;
  if (frame->answer->load != NULL)
    fwd_take_load (forwarder, peer, call->kind, frame->answer->load,
                   frame->answer->tenant_over_share);
  fwd_take_share (call, peer, frame->answer);
  if (!frame->answer->more)
    return take_answer (call, attempt, frame->answer, frame);
  fwd_drop_parts (call, attempt);
  if (!take_part (call, attempt, frame->answer->body.len))
    return false;
  attempt->frame = frame;
  attempt->answer = frame->answer;
  return true;
}

bool
fwd_handle_reply (struct fwd *forwarder, dir_handle peer, Mesh__Frame *frame)
{
  struct fwd_try *attempt;
  struct fwd_call *call;

  switch (frame->body_case)
    {
    case MESH__FRAME__BODY_ANSWER:
      return handle_answer (forwarder, peer, frame);
    case MESH__FRAME__BODY_ANSWER_BODY:
      attempt = fwd_find_try (forwarder, frame->answer_body->id, &call);
      if (attempt != NULL)
        add_body (call, attempt, frame->answer_body);
      return false;
    case MESH__FRAME__BODY_WINDOW_GRANT:
      attempt = fwd_find_try (forwarder, frame->window_grant->id, &call);
      if (attempt != NULL)
        fwd_send_granted (call, attempt, frame->window_grant->bytes);
      return false;
    default:
      return false;
    }
}

static bool
is_on_link (const struct fwd_try *attempt, dir_handle peer, uint64_t link)
{
  return attempt->number != 0 && attempt->link == link
         && attempt->peer == peer;
}

/* Runs ACTION for each attempt under way to PEER on LINK.  The action may end
   the call.  */
static void
for_each_on_link (struct fwd *forwarder, dir_handle peer, uint64_t link,
                  void (*action) (struct fwd_call *call,
                                  struct fwd_try *attempt))
{
  struct fwd_call *call = fwd_call_at (forwarder->calls.first);

  while (call != NULL)
    {
      struct fwd_call *next = fwd_call_at (call->list.next);

      for (unsigned i = 0; i < FWD_MAX_TRIES; i++)
        if (is_on_link (&call->tries[i], peer, link))
          {
            action (call, &call->tries[i]);
            break;
          }
      call = next;
    }
}

/* A gate runs no call before it has the whole body.  */
static void
take_loss (struct fwd_call *call, struct fwd_try *attempt)
{
  fwd_note_end (call, attempt, FWD_LINK_LOST, GAT_NOT_REFUSED);
  attempt->number = 0;
  if (attempt->sent_bytes < call->message.body.length)
    take_refusal (call, attempt, GAT_UNREACHABLE);
  else
    take_unknown (call, attempt, "the link to its node was lost");
}

static void
take_unopened (struct fwd_call *call, struct fwd_try *attempt)
{
  fwd_note_end (call, attempt, FWD_NOT_RUN, GAT_UNREACHABLE);
  attempt->number = 0;
  take_refusal (call, attempt, GAT_UNREACHABLE);
}

void
fwd_handle_link_closed (struct fwd *forwarder, dir_handle peer, uint64_t link,
                        bool opened)
{
  for_each_on_link (forwarder, peer, link, opened ? take_loss : take_unopened);
}

/* Sends the call to another node too if no attempt may succeed; an upstream's
   failure is passed on instead.  */
static void
take_silence (struct fwd_call *call, struct fwd_try *attempt)
{
  fwd_history_note_overdue (&call->history, attempt->number);
  if (!fwd_pass_last_failure (call))
    fwd_repeat_if_needed (call);
}

void
fwd_handle_ping_overdue (struct fwd *forwarder, dir_handle peer, uint64_t link)
{
  for_each_on_link (forwarder, peer, link, take_silence);
}
