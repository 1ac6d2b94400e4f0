/* Running calls.  A call is "not run" only if no byte of it went to the
   upstream.  */

#include "gate/gate_internal.h"

#include "base/err.h"
#include "wire/ctx.h"

#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>

/* The platform has this long to decide about an order key.  */
#define KEY_LIMIT (2 * CLK_SECOND)

static clk_time
key_deadline (const struct gate_call *call)
{
  clk_time limit = clk_now () + KEY_LIMIT;

  return call->deadline < limit ? call->deadline : limit;
}

/* Returns the first order's answer, if it is kept, or "unknown".  */
static Mesh__Answer *
answer_duplicate (struct gate_call *call, struct out_id first)
{
  struct gate *gate = call->link->gate;
  const Mesh__CallId *id = call->call->id;
  struct buf kept = { 0 };
  Mesh__Answer *answer = NULL;
  Mesh__Header *header;

  pthread_mutex_lock (&gate->lock);
  if (out_replay (gate->outcomes, first, call->fingerprint, &kept))
    answer = mesh__answer__unpack (NULL, kept.length, kept.data);
  pthread_mutex_unlock (&gate->lock);
  buf_close (&kept);
  if (answer == NULL)
    return gate_answer_create (
        id, OUT_UNKNOWN,
        "an order with this Idempotency-Key was already received; it is not "
        "run again");
  answer->id->origin = id->origin;
  answer->id->number = id->number;
  header = malloc (sizeof *header);
  answer->headers = realloc (answer->headers, (answer->n_headers + 1)
                                                  * sizeof (Mesh__Header *));
  if (header == NULL || answer->headers == NULL)
    abort ();
  mesh__header__init (header);
  header->name = strdup ("Mulberryshift-Duplicate");
  header->value = strdup ("true");
  answer->headers[answer->n_headers++] = header;
  return answer;
}

/* Claims the call's order key if it has one.  Returns the answer to give
   instead of running the call, or null.  */
static Mesh__Answer *
claim_key (struct gate_call *call)
{
  struct gate *gate = call->link->gate;
  const struct key_store *store = &gate->keys[call->call->order_keys];
  const Mesh__CallId *id = call->call->id;
  struct out_id first;

  if (call->call_class != DOC_AT_MOST_ONCE || call->call->order_key[0] == '\0'
      || (gate->hooks.disabled & GATE_KEY_CHECK) != 0)
    return NULL;
  if (store->state == NULL)
    return gate_answer_create (id, OUT_NOT_RUN,
                               "this node has no platform for order keys");
  switch (store->operations->claim (store->state, call->call->order_key,
                                    call->id, clk_now (), key_deadline (call),
                                    &first))
    {
    case KEY_NEW:
      call->key_held = true;
      return NULL;
    case KEY_DUPLICATE:
      return answer_duplicate (call, first);
    case KEY_FULL:
      return gate_answer_create (id, OUT_NOT_RUN,
                                 "this node remembers too many order keys");
    default:
      return gate_answer_create (
          id, OUT_NOT_RUN,
          "the platform could not confirm that the order is new");
    }
}

static void
release_key (struct gate_call *call)
{
  const struct key_store *store
      = &call->link->gate->keys[call->call->order_keys];

  store->operations->release (store->state, call->call->order_key, call->id,
                              clk_now () + KEY_LIMIT);
}

/* Takes the last decision to start.  From here on a cancel aborts the request
   at the upstream.  Returns a reason not to run, or null.  */
static const char *
start (struct gate_call *call, struct up_client *client,
       struct up_announcement *upstream)
{
  struct gate *gate = call->link->gate;
  const char *reason = NULL;

  pthread_mutex_lock (&gate->lock);
  call->started = clk_now ();
  if (call->cancelled)
    reason = "cancelled before it started";
  else if (atomic_load (&gate->leaving)
           && (gate->hooks.disabled & GATE_LEAVE_CHECK) == 0)
    reason = "this node is shutting down";
  else if (!up_lease_get (gate->lease, call->started, upstream)
           || strcmp (upstream->service, call->call->service) != 0)
    reason = "the upstream has left";
  else
    {
      up_reset (client);
      call->client = client;
    }
  pthread_mutex_unlock (&gate->lock);
  return reason;
}

static Mesh__Answer *
send_upstream (struct gate_call *call, struct up_client *client,
               const struct up_announcement *upstream)
{
  struct gate *gate = call->link->gate;
  const Mesh__Call *message = call->call;
  bool parts = call->body.length > 0;
  clk_time remaining = call->deadline - call->started;
  struct ctx context
      = { message->id->origin, message->id->number,
          remaining > 0 ? (uint32_t)(remaining / CLK_MILLISECOND) : 0,
          message->depth, message->retries_left };
  char text[CTX_TEXT_SIZE];
  struct up_request request
      = { upstream->address,
          message,
          parts ? call->body.data : message->body.data,
          parts ? call->body.length : message->body.len,
          text,
          call->deadline,
          (gate->hooks.disabled & GATE_WHOLE_CHECK) != 0 };
  Mesh__Answer *answer = gate_answer_create (message->id, OUT_ANSWERED, "");
  enum up_status status;
  bool cancelled;

  ctx_encode (&context, text);
  status = up_send (client, &request, answer);
  if (status == UP_LOST && (gate->hooks.disabled & GATE_EXACT_OUTCOME) != 0)
    status = UP_NOT_SENT;
  pthread_mutex_lock (&gate->lock);
  call->client = NULL;
  cancelled = call->cancelled;
  pthread_mutex_unlock (&gate->lock);
  if (status == UP_OK)
    return answer;
  mesh__answer__free_unpacked (answer, NULL);
  return gate_answer_create (message->id,
                             status == UP_NOT_SENT ? OUT_NOT_RUN : OUT_UNKNOWN,
                             cancelled ? "cancelled" : err_last ());
}

/* Runs a call, or decides that it does not run.  */
static Mesh__Answer *
execute (struct gate_call *call, struct up_client *client)
{
  struct up_announcement upstream;
  const char *reason;
  Mesh__Answer *answer = claim_key (call);

  if (answer != NULL)
    return answer;
  reason = start (call, client, &upstream);
  if (reason != NULL)
    answer = gate_answer_create (call->call->id, OUT_NOT_RUN, reason);
  else
    answer = send_upstream (call, client, &upstream);
  if (call->key_held && answer->outcome == OUT_NOT_RUN)
    release_key (call);
  return answer;
}

/* Keeps the outcome for queries; with the gate's lock.  */
static void
keep_outcome (struct gate_call *call, const Mesh__Answer *answer, clk_time now)
{
  struct gate *gate = call->link->gate;
  struct buf packed = { 0 };

  if (call->outcome == OUT_NONE)
    return;
  if (answer->outcome == OUT_NOT_RUN)
    {
      out_discard (gate->outcomes, call->outcome);
      return;
    }
  if (answer->body.len <= OUT_MAX_ANSWER)
    {
      buf_reserve (&packed, mesh__answer__get_packed_size (answer));
      packed.length = mesh__answer__pack (answer, packed.data);
    }
  out_finish (gate->outcomes, call->outcome, packed.data, packed.length, now);
  buf_close (&packed);
}

static void
run_call (struct gate_call *call, struct up_client *client)
{
  struct gate *gate = call->link->gate;
  Mesh__Answer *answer = execute (call, client);
  clk_time now = clk_now ();

  pthread_mutex_lock (&gate->lock);
  gate->admitted[call->admission] = NULL;
  adm_finish (gate->adm, call->admission,
              answer->outcome == OUT_ANSWERED && call->started > 0
                  ? now - call->started
                  : -1);
  keep_outcome (call, answer, now);
  gate_meters_record (gate, call, (enum out_outcome)answer->outcome, now);
  gate_call_pump (gate);
  pthread_mutex_unlock (&gate->lock);
  gate_answer_start (call, answer);
}

void
gate_run_ready (struct gate *gate, struct up_client *client)
{
  while (!atomic_load (&gate->stopping))
    {
      struct gate_call *call;
      bool more;

      pthread_mutex_lock (&gate->lock);
      call = gate->ready;
      if (call != NULL)
        gate->ready = call->ready_next;
      if (gate->ready == NULL)
        gate->ready_end = &gate->ready;
      more = gate->ready != NULL;
      pthread_mutex_unlock (&gate->lock);
      if (call == NULL)
        return;
      if (more)
        eventfd_write (gate->ready_event, 1);
      run_call (call, client);
    }
}
