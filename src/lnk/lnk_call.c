/* Runs one call over a link: sends its frames within the window and waits for
   the answer.  */

#include "base/err.h"
#include "lnk/lnk_pool.h"

/* Attempts to find a link that is still open; each costs no byte.  */
#define MAX_ATTEMPTS 3

/* Sends the rest of the body in chunks under the window.  Returns false when
   the exchange ended or the deadline passed before all of it was sent.  */
static bool
send_parts (struct lnk_link *link, struct lnk_exchange *exchange,
            const Mesh__Call *call, clk_time deadline)
{
  size_t done = LNK_CHUNK;

  pthread_mutex_lock (&link->lock);
  exchange->credit -= LNK_CHUNK; /* the first chunk is in the call */
  pthread_mutex_unlock (&link->lock);
  while (done < call->body.len)
    {
      Mesh__Frame frame = MESH__FRAME__INIT;
      Mesh__BodyPart part = MESH__BODY_PART__INIT;
      size_t length = call->body.len - done;
      size_t sent;
      bool ended;

      if (!lnk_link_wait (link, exchange, true, deadline))
        return false;
      pthread_mutex_lock (&link->lock);
      ended = exchange->done;
      if (length > LNK_CHUNK)
        length = LNK_CHUNK;
      if (length > exchange->credit)
        length = exchange->credit;
      exchange->credit -= (uint32_t)length;
      pthread_mutex_unlock (&link->lock);
      if (ended)
        return false;
      part.id = call->id;
      part.data.data = call->body.data + done;
      part.data.len = length;
      part.more = done + length < call->body.len;
      frame.body_case = MESH__FRAME__BODY_CALL_BODY;
      frame.call_body = &part;
      if (!lnk_link_write (link, exchange, &frame, deadline, &sent))
        return false;
      done += length;
    }
  return true;
}

/* Notifies the gate that no more parts come, when it answered before the end
   of the body.  */
static void
cancel_if_done (struct lnk_link *link, struct lnk_exchange *exchange)
{
  pthread_mutex_lock (&link->lock);
  if (exchange->done && !link->broken)
    lnk_link_cancel (link, exchange);
  pthread_mutex_unlock (&link->lock);
}

/* Sends the call's first frame.  */
static bool
send_call (struct lnk_link *link, struct lnk_exchange *exchange,
           const Mesh__Call *call, clk_time deadline, size_t *sent)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Call first = *call;

  if (first.body.len > LNK_CHUNK)
    {
      first.body.len = LNK_CHUNK;
      first.more = true;
    }
  frame.body_case = MESH__FRAME__BODY_CALL;
  frame.call = &first;
  return lnk_link_write (link, exchange, &frame, deadline, sent);
}

/* Takes the answer out of a finished exchange.  */
static enum lnk_status
take_result (struct lnk_link *link, struct lnk_exchange *exchange,
             Mesh__Answer **answer)
{
  enum lnk_status status;

  pthread_mutex_lock (&link->lock);
  status = exchange->done ? exchange->status : LNK_TIMEOUT;
  if (status == LNK_OK)
    {
      *answer = exchange->answer;
      exchange->answer = NULL;
      if (exchange->body.length > 0)
        {
          atomic_fetch_sub (link->buffered, exchange->body.length);
          (*answer)->body.data = exchange->body.data;
          (*answer)->body.len = exchange->body.length;
          exchange->body = (struct buf){ 0 };
        }
      (*answer)->more = false;
    }
  else if (status == LNK_TIMEOUT)
    {
      lnk_link_cancel (link, exchange);
      err_set ("no answer by the deadline");
    }
  else
    err_set ("%s", exchange->reason);
  pthread_mutex_unlock (&link->lock);
  return status;
}

static enum lnk_status
run_exchange (struct lnk_link *link, const Mesh__Call *call, clk_time deadline,
              Mesh__Answer **answer)
{
  struct lnk_exchange exchange;
  enum lnk_status status;
  bool written;
  size_t sent;

  lnk_link_add (link, &exchange, call->id);
  written = send_call (link, &exchange, call, deadline, &sent);
  if (!written && sent == 0)
    status = LNK_NOT_SENT;
  else
    {
      if (written && call->body.len > LNK_CHUNK
          && !send_parts (link, &exchange, call, deadline))
        cancel_if_done (link, &exchange);
      lnk_link_wait (link, &exchange, false, deadline);
      status = take_result (link, &exchange, answer);
    }
  if (status == LNK_LOST && link->options->assume_not_sent)
    status = LNK_NOT_SENT;
  lnk_link_remove (link, &exchange);
  return status;
}

enum lnk_status
lnk_call (struct lnk_pool *pool, struct net_address address,
          const Mesh__Call *call, clk_time deadline, Mesh__Answer **answer)
{
  enum lnk_status status = LNK_NOT_SENT;

  *answer = NULL;
  for (int i = 0; i < MAX_ATTEMPTS && status == LNK_NOT_SENT; i++)
    {
      struct lnk_link *link = lnk_acquire (pool, address, deadline);

      if (link == NULL)
        return LNK_NOT_SENT;
      status = run_exchange (link, call, deadline, answer);
      lnk_release (pool, link);
    }
  return status;
}
