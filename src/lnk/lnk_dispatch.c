/* Delivery of received frames to the calls that wait for them.  */

#include "lnk/lnk_link.h"

#include "base/err.h"
#include "wire/frm.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bytes received before the next grant; a quarter of the window keeps the peer
   sending while the grant travels.  */
#define GRANT_STEP (LNK_WINDOW / 4u)

static struct lnk_exchange *
find_exchange (struct lnk_link *link, const Mesh__CallId *id)
{
  struct lnk_exchange *exchange = link->exchanges;

  if (id == NULL)
    return NULL;
  if (link->options->ignore_ids)
    return exchange;
  while (exchange != NULL
         && (exchange->origin != id->origin || exchange->number != id->number))
    exchange = exchange->next;
  return exchange;
}

static void
finish (struct lnk_exchange *exchange, enum lnk_status status,
        const char *reason)
{
  exchange->done = true;
  exchange->status = status;
  snprintf (exchange->reason, sizeof exchange->reason, "%s", reason);
  pthread_cond_signal (&exchange->wake);
}

static void
queue_grant (struct lnk_link *link, struct lnk_exchange *exchange)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__WindowGrant grant = MESH__WINDOW_GRANT__INIT;
  Mesh__CallId id = MESH__CALL_ID__INIT;

  id.origin = exchange->origin;
  id.number = exchange->number;
  grant.id = &id;
  grant.bytes = exchange->ungranted;
  frame.body_case = MESH__FRAME__BODY_WINDOW_GRANT;
  frame.window_grant = &grant;
  frm_encode (&frame, &link->pending);
  exchange->ungranted = 0;
}

/* Appends a part of the answer's body; completes the answer when no MORE parts
   follow.  */
static void
add_part (struct lnk_link *link, struct lnk_exchange *exchange,
          const ProtobufCBinaryData *data, bool more)
{
  size_t limit = link->options->max_buffered != 0 ? link->options->max_buffered
                                                  : LNK_MAX_BUFFERED;

  if (exchange->body.length + data->len > LNK_MAX_BODY
      || atomic_load (link->buffered) + data->len > limit)
    {
      lnk_link_cancel (link, exchange);
      finish (exchange, LNK_LOST, "the answer's body is too long to keep");
      return;
    }
  atomic_fetch_add (link->buffered, data->len);
  buf_append (&exchange->body, data->data, data->len);
  exchange->ungranted += (uint32_t)data->len;
  if (!more)
    finish (exchange, LNK_OK, "");
  else if (exchange->ungranted >= GRANT_STEP)
    queue_grant (link, exchange);
}

static bool
take_answer (struct lnk_link *link, Mesh__Frame *frame)
{
  Mesh__Answer *answer = frame->answer;
  struct lnk_exchange *exchange = find_exchange (link, answer->id);
  ProtobufCBinaryData data = answer->body;

  if (exchange == NULL || exchange->done)
    return true; /* the call was given up or already answered */
  if (exchange->answer != NULL)
    {
      err_set ("the peer began an answer twice");
      return false;
    }
  exchange->answer = answer;
  frame->body_case = MESH__FRAME__BODY__NOT_SET;
  frame->answer = NULL;
  if (!answer->more)
    {
      finish (exchange, LNK_OK, "");
      return true;
    }
  answer->body.data = NULL;
  answer->body.len = 0;
  add_part (link, exchange, &data, true);
  free (data.data);
  return true;
}

static bool
take_part (struct lnk_link *link, const Mesh__BodyPart *part)
{
  struct lnk_exchange *exchange = find_exchange (link, part->id);

  if (exchange == NULL || exchange->done)
    return true;
  if (exchange->answer == NULL)
    {
      err_set ("the peer sent a body before its answer");
      return false;
    }
  add_part (link, exchange, &part->data, part->more);
  return true;
}

static void
take_grant (struct lnk_link *link, const Mesh__WindowGrant *grant)
{
  struct lnk_exchange *exchange = find_exchange (link, grant->id);

  if (exchange == NULL)
    return;
  exchange->credit += grant->bytes;
  if (exchange->credit > LNK_WINDOW)
    exchange->credit = LNK_WINDOW;
  pthread_cond_signal (&exchange->wake);
}

bool
lnk_dispatch (struct lnk_link *link, Mesh__Frame *frame)
{
  bool first = !link->spoken;

  link->spoken = true;
  switch (frame->body_case)
    {
    case MESH__FRAME__BODY_ANSWER:
      return take_answer (link, frame);
    case MESH__FRAME__BODY_ANSWER_BODY:
      return take_part (link, frame->answer_body);
    case MESH__FRAME__BODY_WINDOW_GRANT:
      take_grant (link, frame->window_grant);
      return true;
    case MESH__FRAME__BODY_HELLO:
      return true;
    case MESH__FRAME__BODY_REFUSAL:
      /* A refusal as the first frame means that nothing was accepted.  */
      for (struct lnk_exchange *exchange = link->exchanges;
           exchange != NULL && first; exchange = exchange->next)
        if (!exchange->done)
          finish (exchange, LNK_NOT_SENT, frame->refusal->reason);
      err_set ("the peer refused the link: %s", frame->refusal->reason);
      return false;
    default:
      err_set ("the peer sent an unexpected frame");
      return false;
    }
}

void
lnk_link_break (struct lnk_link *link, const char *reason)
{
  if (!link->broken)
    snprintf (link->reason, sizeof link->reason, "%s", reason);
  link->broken = true;
  for (struct lnk_exchange *exchange = link->exchanges; exchange != NULL;
       exchange = exchange->next)
    if (!exchange->done)
      {
        bool accept
            = link->options->accept_truncated && exchange->answer != NULL;

        finish (exchange,
                accept              ? LNK_OK
                : exchange->sending ? LNK_LOST
                                    : LNK_NOT_SENT,
                link->reason);
      }
}
