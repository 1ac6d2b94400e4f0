/* Attempts of a call that are under way.  */

#include "fwd/fwd_log.h"

#include <string.h>

bool
fwd_is_under_way (const struct fwd_call *call)
{
  for (unsigned i = 0; i < FWD_MAX_TRIES; i++)
    if (call->tries[i].number != 0)
      return true;
  return false;
}

struct fwd_try *
fwd_find_try (struct fwd *forwarder, const Mesh__CallId *id,
              struct fwd_call **call)
{
  if (id == NULL || id->number == 0)
    return NULL;
  for (*call = fwd_call_at (forwarder->calls.first); *call != NULL;
       *call = fwd_call_at ((*call)->list.next))
    for (unsigned i = 0; i < FWD_MAX_TRIES; i++)
      if ((*call)->tries[i].number == id->number)
        return &(*call)->tries[i];
  return NULL;
}

void
fwd_drop_parts (struct fwd_call *call, struct fwd_try *attempt)
{
  acc_return (call->forwarder->parts.account, ACC_PARTIAL,
              attempt->partial_bytes);
  attempt->partial_bytes = 0;
  frm_free (attempt->frame);
  attempt->frame = NULL;
  attempt->answer = NULL;
}

void
fwd_note_end (struct fwd_call *call, const struct fwd_try *attempt,
              enum fwd_end end, enum gat_refusal refusal)
{
  fwd_history_end (&call->history, attempt->number, end, refusal,
                   evl_now (call->forwarder->parts.loop));
  fwd_count_end (call, end);
}

void
fwd_end_try (struct fwd_call *call, struct fwd_try *attempt)
{
  attempt->number = 0;
  hub_end_request (call->forwarder->parts.hub, attempt->link);
}

void
fwd_cancel_try (struct fwd_call *call, struct fwd_try *attempt)
{
  Mesh__CallId id = MESH__CALL_ID__INIT;
  Mesh__Cancel cancel = MESH__CANCEL__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  if (attempt->number == 0)
    return;
  fwd_note_end (call, attempt, FWD_CANCELLED, GAT_NOT_REFUSED);
  id.number = attempt->number;
  cancel.id = &id;
  frame.body_case = MESH__FRAME__BODY_CANCEL;
  frame.cancel = &cancel;
  hub_send_on_link (call->forwarder->parts.hub, attempt->link, &frame);
  fwd_end_try (call, attempt);
}

void
fwd_cancel (struct fwd_call *call)
{
  for (unsigned i = 0; i < FWD_MAX_TRIES; i++)
    fwd_cancel_try (call, &call->tries[i]);
}

void
fwd_count_run (struct fwd_call *call, const struct fwd_try *attempt)
{
  call->may_have_run = true;
  /* An earlier one was excluded and counted before.  */
  if (attempt != &call->tries[FWD_CURRENT])
    return;
  fwd_exclude (call, attempt->peer);
  call->runs++;
  call->has_repeat = false;
}

bool
fwd_may_succeed (const struct fwd_call *call)
{
  const struct hub *hub = call->forwarder->parts.hub;

  for (unsigned i = 0; i < FWD_MAX_TRIES; i++)
    if (call->tries[i].number != 0
        && hub_is_link_responsive (hub, call->tries[i].link))
      return true;
  return false;
}

struct fwd_try *
fwd_find_free_try (struct fwd_call *call)
{
  for (unsigned i = 0; i < FWD_MAX_TRIES; i++)
    if (i != FWD_CURRENT && call->tries[i].number == 0)
      return &call->tries[i];
  return NULL;
}

void
fwd_keep_silent_try (struct fwd_call *call)
{
  struct fwd_try *current = &call->tries[FWD_CURRENT];

  *fwd_find_free_try (call) = *current;
  memset (current, 0, sizeof *current);
}

bool
fwd_keep_failure (struct fwd_call *call, struct fwd_try *attempt,
                  Mesh__Answer *answer, Mesh__Frame *frame)
{
  struct fwd_try *failed = &call->failed;

  if (failed->answer != NULL || !fwd_may_succeed (call))
    return false;
  /* The memory of an answer that came in parts was taken with them.  */
  if (attempt->frame != frame)
    {
      struct acc *account = call->forwarder->parts.account;

      fwd_drop_parts (call, attempt);
      if (!acc_fits (account, ACC_PARTIAL, answer->body.len)
          || !acc_take (account, ACC_PARTIAL, answer->body.len))
        return false;
      attempt->partial_bytes = answer->body.len;
      attempt->answer = answer;
      attempt->frame = frame;
    }
  fwd_count_run (call, attempt);
  *failed = *attempt;
  memset (attempt, 0, sizeof *attempt);
  fwd_log_kept (call, failed->peer, failed->answer->status);
  return true;
}

bool
fwd_pass_failure (struct fwd_call *call)
{
  if (call->failed.answer == NULL)
    return false;
  fwd_answer (call, call->failed.peer, call->failed.answer);
  return true;
}

bool
fwd_pass_last_failure (struct fwd_call *call)
{
  return !fwd_may_succeed (call) && fwd_pass_failure (call);
}
