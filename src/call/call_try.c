/* One try of a call at one member, and the query for its outcome.  */

#include "call/call_try.h"

#include "base/err.h"
#include "base/mem.h"
#include "out/out_table.h"
#include "wire/frm.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Pauses between questions; the first is short, since a link that broke often
   leaves a call that has almost finished.  */
#define QUERY_PAUSE_MIN (5 * CLK_MILLISECOND)
#define QUERY_PAUSE_MAX (250 * CLK_MILLISECOND)

/* Longest wait for one reply.  */
#define QUERY_LIMIT CLK_SECOND

/* Part of the remaining time that is kept for the answer's way back, so that a
   call which waited in vain at the gate is reported as not run.  */
#define RETURN_SHARE 50
#define RETURN_MAX_US 5000

/* Statuses of final responses.  */
#define MIN_FINAL_STATUS 200u
#define MAX_FINAL_STATUS 599u

Mesh__Answer *
call_try_answer (enum out_outcome outcome, uint32_t status, const char *reason)
{
  Mesh__Answer *answer = mem_alloc (1, sizeof *answer);

  mesh__answer__init (answer);
  answer->outcome = outcome;
  answer->status = status;
  answer->reason = mem_copy_string (reason);
  return answer;
}

/* Returns a valid answer; frees one with an outcome that is out of range.  */
static Mesh__Answer *
check_answer (Mesh__Answer *answer)
{
  if (answer->outcome <= OUT_UNKNOWN
      && (answer->outcome != OUT_ANSWERED
          || (answer->status >= MIN_FINAL_STATUS
              && answer->status <= MAX_FINAL_STATUS)))
    return answer;
  mesh__answer__free_unpacked (answer, NULL);
  return call_try_answer (OUT_UNKNOWN, 0, "the gate sent an invalid answer");
}

Mesh__Answer *
call_try_send (struct lnk_pool *pool, const struct mbr_member *member,
               Mesh__Call *call, clk_time deadline, bool *lost)
{
  clk_time left = (deadline - clk_now ()) / CLK_MICROSECOND;
  clk_time kept = left / RETURN_SHARE;
  Mesh__Answer *answer;

  *lost = false;
  if (left <= 0)
    return call_try_answer (OUT_NOT_RUN, 0, "the deadline has passed");
  call->remaining_us
      = (uint64_t)(left - (kept < RETURN_MAX_US ? kept : RETURN_MAX_US));
  call->gate_incarnation = member->incarnation;
  switch (lnk_call (pool, member->address, call, deadline, &answer))
    {
    case LNK_OK:
      return check_answer (answer);
    case LNK_NOT_SENT:
      return call_try_answer (OUT_NOT_RUN, 0, err_last ());
    case LNK_LOST:
      *lost = true;
      return call_try_answer (OUT_UNKNOWN, 0, err_last ());
    default:
      return call_try_answer (OUT_UNKNOWN, 0, err_last ());
    }
}

/* Turns a reply into an answer; null when the call is still running.  */
static Mesh__Answer *
take_reply (Mesh__QueryReply *reply, const Mesh__CallId *id)
{
  Mesh__Answer *answer;

  if (reply->id == NULL || reply->id->origin != id->origin
      || reply->id->number != id->number)
    return call_try_answer (OUT_UNKNOWN, 0,
                            "the gate replied about another call");
  switch (reply->state)
    {
    case OUT_STATE_NOT_RUN:
      return call_try_answer (OUT_NOT_RUN, 0, "the gate did not run the call");
    case OUT_STATE_RUNNING:
      return NULL;
    case OUT_STATE_FINISHED:
      if (reply->answer == NULL || reply->answer->more)
        return call_try_answer (OUT_UNKNOWN, 0,
                                "the call finished; its answer was lost");
      answer = reply->answer;
      reply->answer = NULL;
      return check_answer (answer);
    default:
      return call_try_answer (
          OUT_UNKNOWN, 0, "the gate does not know what became of the call");
    }
}

/* Asks once; null when there was no reply or the call is still running.  */
static Mesh__Answer *
query_once (struct lnk_pool *pool, const struct mbr_member *member,
            const Mesh__CallId *id, clk_time deadline)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Query query = MESH__QUERY__INIT;
  clk_time limit = clk_now () + QUERY_LIMIT;
  Mesh__Answer *answer = NULL;
  Mesh__Frame *response;

  query.id = (Mesh__CallId *)id;
  query.gate_incarnation = member->incarnation;
  frame.body_case = MESH__FRAME__BODY_QUERY;
  frame.query = &query;
  if (lnk_request (pool, member->address, &frame,
                   limit < deadline ? limit : deadline, &response)
      != LNK_OK)
    return NULL;
  if (response->body_case == MESH__FRAME__BODY_QUERY_REPLY)
    answer = take_reply (response->query_reply, id);
  frm_free (response);
  return answer;
}

Mesh__Answer *
call_try_query (struct lnk_pool *pool, const struct mbr_member *member,
                const Mesh__CallId *id, clk_time deadline, uint32_t *count)
{
  clk_time pause = QUERY_PAUSE_MIN;

  for (;;)
    {
      Mesh__Answer *answer = query_once (pool, member, id, deadline);
      clk_time now = clk_now ();

      ++*count;
      if (answer != NULL)
        return answer;
      if (now >= deadline)
        return call_try_answer (
            OUT_UNKNOWN, 0,
            "the link broke and the gate could not be asked "
            "by the deadline");
      if (pause > deadline - now)
        pause = deadline - now;
      usleep ((useconds_t)(pause / CLK_MICROSECOND));
      pause = pause * 2 < QUERY_PAUSE_MAX ? pause * 2 : QUERY_PAUSE_MAX;
    }
}
