/* Calls until they run: arrival, body parts, admission, cancel, query.  */

#include "base/mem.h"
#include "gate/gate_internal.h"

#include "wire/ctx.h"
#include "wire/frm.h"

#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <xxhash.h>

/* Deadlines further away are shortened, so that sums of times cannot
   overflow.  */
#define MAX_REMAINING (3600 * CLK_SECOND)

struct out_id
gate_call_id (const struct gate_link *link, const Mesh__CallId *id)
{
  return (struct out_id){ id->origin ^ link->peer, id->number };
}

struct gate_call *
gate_call_find (struct gate_link *link, const Mesh__CallId *id)
{
  struct gate_call *call = link->calls;

  while (call != NULL
         && (call->call->id->origin != id->origin
             || call->call->id->number != id->number))
    call = call->next;
  return call;
}

void
gate_call_count (struct gate_call *call, size_t bytes)
{
  call->link->gate->buffered += bytes - call->counted;
  call->link->buffered += bytes - call->counted;
  call->counted = bytes;
}

void
gate_call_unlink (struct gate_call *call)
{
  struct gate_call **place = &call->link->calls;

  while (*place != NULL && *place != call)
    place = &(*place)->next;
  if (*place == NULL)
    return;
  *place = call->next;
  call->link->call_count--;
}

void
gate_call_free (struct gate_call *call)
{
  struct gate_link *link = call->link;

  gate_call_count (call, 0);
  link->gate->calls--;
  if (call->answer != NULL)
    mesh__answer__free_unpacked (call->answer, NULL);
  buf_close (&call->body);
  frm_free (call->frame);
  free (call);
  gate_link_drop (link);
}

void
gate_call_withdraw (struct gate_call *call, bool forbid)
{
  struct gate *gate = call->link->gate;

  if (call->state == GATE_QUEUED && call->admission != ADM_NONE)
    {
      adm_remove (gate->adm, call->admission);
      gate->admitted[call->admission] = NULL;
    }
  call->admission = ADM_NONE;
  if (call->outcome != OUT_NONE && forbid)
    out_forbid (gate->outcomes, call->outcome, clk_now ());
  else if (call->outcome != OUT_NONE)
    out_discard (gate->outcomes, call->outcome);
  gate_meters_record (gate, call, OUT_NOT_RUN, clk_now ());
  gate_call_unlink (call);
}

void
gate_call_tell (struct gate_call *call, const char *reason)
{
  struct gate *gate = call->link->gate;

  gate_answer_send (call->link, call->call->id, OUT_NOT_RUN, reason);
  pthread_mutex_lock (&gate->lock);
  gate_call_free (call);
  pthread_mutex_unlock (&gate->lock);
}

/* Puts an admitted call on the ready list; with the gate's lock.  */
static void
make_ready (struct gate *gate, struct gate_call *call)
{
  call->state = GATE_RUNNING;
  call->ready_next = NULL;
  *gate->ready_end = call;
  gate->ready_end = &call->ready_next;
}

void
gate_call_pump (struct gate *gate)
{
  int handle;

  while ((handle = adm_next (gate->adm, clk_now ())) != ADM_NONE)
    make_ready (gate, gate->admitted[handle]);
}

/* Brings the limits of the admission up to date; with the gate's lock.  */
static void
update_limits (struct gate *gate, uint32_t slots,
               const struct gate_policy *policy)
{
  size_t runners = gate->thread_count - GATE_READERS;

  if (slots > runners)
    slots = (uint32_t)runners;
  if (gate->limits.slots == slots
      && memcmp (gate->limits.preference, policy->preference,
                 sizeof policy->preference)
             == 0)
    return;
  gate->limits.slots = slots;
  memcpy (gate->limits.preference, policy->preference,
          sizeof policy->preference);
  adm_set_limits (gate->adm, &gate->limits);
}

static const char *
describe (enum adm_status status)
{
  switch (status)
    {
    case ADM_FULL:
      return "the queue of this upstream is full";
    case ADM_TOO_LATE:
      return "the deadline cannot be met";
    case ADM_TENANT_FULL:
      return "the tenant has too many calls in progress";
    default:
      return "the class has too many calls in progress";
    }
}

/* Returns whether a call must not start any more; with the gate's lock.  */
static bool
is_stopped (const struct gate_call *call)
{
  const struct gate *gate = call->link->gate;

  return call->cancelled
         || (atomic_load (&gate->leaving)
             && (gate->hooks.disabled & GATE_LEAVE_CHECK) == 0);
}

/* Offers a whole call to the admission.  */
static void
admit (struct gate_call *call)
{
  struct gate *gate = call->link->gate;
  struct adm_request request
      = { call->call_class, call->tenant, call->tenant_max, call->deadline };
  struct gate_call *victim = NULL;
  enum adm_status status;
  int evicted;

  pthread_mutex_lock (&gate->lock);
  if (is_stopped (call))
    {
      gate_call_withdraw (call, false);
      pthread_mutex_unlock (&gate->lock);
      gate_call_tell (call, "cancelled before it started");
      return;
    }
  status = adm_offer (gate->adm, &request, clk_now (), &call->admission,
                      &evicted);
  if (evicted != ADM_NONE)
    {
      victim = gate->admitted[evicted];
      victim->admission = ADM_NONE;
      gate->admitted[evicted] = NULL;
      gate_call_withdraw (victim, false);
    }
  if (status == ADM_RUN || status == ADM_QUEUED)
    {
      gate->admitted[call->admission] = call;
      call->state = GATE_QUEUED;
      if (status == ADM_RUN)
        make_ready (gate, call);
      gate_call_pump (gate);
      call = NULL;
    }
  else
    gate_call_withdraw (call, false);
  pthread_mutex_unlock (&gate->lock);
  if (victim != NULL)
    gate_call_tell (victim, "displaced by a call that may run only once");
  if (call != NULL)
    gate_call_tell (call, describe (status));
}

/* Returns why a call is not run, or null; with the gate's lock.  */
static const char *
find_fault (const struct gate_call *call)
{
  const struct gate *gate = call->link->gate;
  const Mesh__Call *message = call->call;
  unsigned off = gate->hooks.disabled;
  size_t body = message->body.len;

  if (atomic_load (&gate->leaving) && (off & GATE_LEAVE_CHECK) == 0)
    return "this node is shutting down";
  /* 0: the sender does not know the incarnation, so it cannot query.  */
  if (message->gate_incarnation != 0
      && message->gate_incarnation != gate->incarnation
      && (off & GATE_INCARNATION_CHECK) == 0)
    return "this node has restarted";
  if (message->depth > CTX_MAX_DEPTH)
    return "the chain of calls is too deep";
  if (message->call_class >= DOC_CLASS_COUNT
      || message->order_keys > DOC_KEY_STORE_MEMORY)
    return "the call's class or order key method is unknown";
  if (gate->buffered + body > GATE_MAX_BUFFER
      || call->link->buffered + body > GATE_MAX_LINK_BUFFER
      || call->link->call_count >= GATE_MAX_LINK_CALLS)
    return "this node holds too many unfinished calls";
  return NULL;
}

/* Fills in a call from its message.  */
static struct gate_call *
create_call (struct gate_link *link, Mesh__Frame *frame)
{
  struct gate_call *call = mem_alloc (1, sizeof *call);
  const Mesh__Call *message = frame->call;
  clk_time remaining = MAX_REMAINING;
  const char *texts[] = { message->method, message->target, message->service,
                          message->order_key };

  if (message->remaining_us < (uint64_t)(MAX_REMAINING / CLK_MICROSECOND))
    remaining = (clk_time)message->remaining_us * CLK_MICROSECOND;
  call->link = link;
  call->frame = frame;
  call->call = frame->call;
  call->id = gate_call_id (link, message->id);
  call->call_class = (enum doc_class)message->call_class;
  call->tenant = XXH3_64bits (message->tenant, strlen (message->tenant));
  call->arrival = clk_now ();
  call->deadline = call->arrival + remaining;
  call->outcome = OUT_NONE;
  call->admission = ADM_NONE;
  call->credit = GATE_WINDOW;
  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
    call->fingerprint = XXH3_64bits_withSeed (texts[i], strlen (texts[i]),
                                              call->fingerprint);
  return call;
}

/* Reads the policy and checks the upstream.  Returns a reason not to run.  */
static const char *
prepare (struct gate_call *call)
{
  struct gate *gate = call->link->gate;
  struct gate_policy policy
      = { .preference = { DOC_AT_MOST_ONCE, DOC_IDEMPOTENT } };
  struct up_announcement upstream;
  const char *fault;

  if (gate->hooks.policy != NULL)
    gate->hooks.policy (gate->hooks.context, call->call->tenant, &policy);
  call->tenant_known = policy.tenant_known;
  call->tenant_max = policy.tenant_max;
  if (!up_lease_get (gate->lease, call->arrival, &upstream)
      || strcmp (upstream.service, call->call->service) != 0)
    return "no upstream of this service here";
  pthread_mutex_lock (&gate->lock);
  fault = find_fault (call);
  if (fault == NULL)
    update_limits (gate, upstream.slots, &policy);
  pthread_mutex_unlock (&gate->lock);
  return fault;
}

/* Sends the answer to an earlier call with this ID again.  */
static void
answer_repeat (struct gate_call *call)
{
  struct gate *gate = call->link->gate;
  struct buf kept = { 0 };
  Mesh__Answer *answer = NULL;
  Mesh__Frame frame = MESH__FRAME__INIT;

  pthread_mutex_lock (&gate->lock);
  if (out_replay (gate->outcomes, call->id, call->fingerprint, &kept))
    answer = mesh__answer__unpack (NULL, kept.length, kept.data);
  pthread_mutex_unlock (&gate->lock);
  buf_close (&kept);
  if (answer == NULL)
    {
      gate_answer_send (call->link, call->call->id, OUT_UNKNOWN,
                        "this call was received before");
      return;
    }
  frame.body_case = MESH__FRAME__BODY_ANSWER;
  frame.answer = answer;
  gate_link_send_frame (call->link, &frame);
  mesh__answer__free_unpacked (answer, NULL);
}

/* Enters a call into the outcome table and its link's list.  Returns false
   when it has been answered instead.  */
static bool
enter (struct gate_call *call)
{
  struct gate *gate = call->link->gate;
  unsigned off = gate->hooks.disabled;
  enum out_status status;

  pthread_mutex_lock (&gate->lock);
  status = call->link->closed
               ? OUT_FULL
               : out_begin (gate->outcomes, call->id, call->call_class,
                            call->fingerprint, clk_now (), &call->outcome);
  if ((status == OUT_REPEATED && (off & GATE_REPEAT_CHECK) != 0)
      || (status == OUT_FORBIDDEN && (off & GATE_FORBID) != 0))
    status = OUT_OK;
  if (status == OUT_OK)
    {
      gate_link_hold (call->link);
      gate->calls++;
      call->next = call->link->calls;
      call->link->calls = call;
      call->link->call_count++;
      gate_call_count (call, call->call->body.len);
    }
  pthread_mutex_unlock (&gate->lock);
  if (status == OUT_REPEATED)
    answer_repeat (call);
  else if (status == OUT_FORBIDDEN)
    gate_answer_send (call->link, call->call->id, OUT_NOT_RUN,
                      "the sender asked for this call before it came");
  else if (status == OUT_FORGOTTEN)
    gate_answer_send (call->link, call->call->id, OUT_UNKNOWN,
                      "this call may have been received before");
  else if (status == OUT_FULL)
    gate_answer_send (call->link, call->call->id, OUT_NOT_RUN,
                      "this node remembers too many finished calls");
  return status == OUT_OK;
}

/* Prepares a call for its body parts.  */
static void
receive (struct gate_call *call)
{
  struct gate *gate = call->link->gate;
  bool stopped;

  buf_append (&call->body, call->call->body.data, call->call->body.len);
  pthread_mutex_lock (&gate->lock);
  stopped = is_stopped (call);
  if (stopped)
    gate_call_withdraw (call, false);
  else
    call->state = GATE_RECEIVING;
  pthread_mutex_unlock (&gate->lock);
  if (stopped)
    gate_call_tell (call, "cancelled before it started");
}

bool
gate_call_begin (struct gate_link *link, Mesh__Frame *frame)
{
  struct gate_call *call;
  const char *fault;

  if (frame->call->id == NULL || frame->call->body.len > GATE_WINDOW)
    {
      frm_free (frame);
      return false;
    }
  call = create_call (link, frame);
  fault = prepare (call);
  if (fault != NULL || !enter (call))
    {
      if (fault != NULL)
        {
          gate_answer_send (link, call->call->id, OUT_NOT_RUN, fault);
          pthread_mutex_lock (&link->gate->lock);
          gate_meters_record (link->gate, call, OUT_NOT_RUN, clk_now ());
          pthread_mutex_unlock (&link->gate->lock);
        }
      frm_free (frame);
      free (call);
      return true;
    }
  call->credit -= call->call->body.len;
  call->unacknowledged = call->call->body.len;
  if (call->call->more)
    receive (call);
  else
    admit (call);
  return true;
}

static void
send_grant (struct gate_link *link, Mesh__CallId *id, size_t bytes)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__WindowGrant grant = MESH__WINDOW_GRANT__INIT;

  grant.id = id;
  grant.bytes = (uint32_t)bytes;
  frame.body_case = MESH__FRAME__BODY_WINDOW_GRANT;
  frame.window_grant = &grant;
  gate_link_send_frame (link, &frame);
}

/* Adds the bytes of a part; with the gate's lock.  Returns why the call must
   be refused, or null.  */
static const char *
append_part (struct gate_call *call, const Mesh__BodyPart *part)
{
  const struct gate *gate = call->link->gate;
  size_t total = call->body.length + part->data.len;

  if (total > GATE_MAX_CALL_BODY)
    return "the request body is too long";
  if (gate->buffered + part->data.len > GATE_MAX_BUFFER
      || call->link->buffered + part->data.len > GATE_MAX_LINK_BUFFER)
    return "this node holds too many unfinished calls";
  buf_append (&call->body, part->data.data, part->data.len);
  gate_call_count (call, total);
  call->credit -= part->data.len;
  call->unacknowledged += part->data.len;
  return NULL;
}

bool
gate_call_part (struct gate_link *link, const Mesh__BodyPart *part)
{
  struct gate *gate = link->gate;
  struct gate_call *call;
  const char *fault;
  size_t grant = 0;

  if (part->id == NULL || part->data.len > GATE_PART)
    return false;
  pthread_mutex_lock (&gate->lock);
  call = gate_call_find (link, part->id);
  /* Parts of a call that was refused meanwhile are dropped.  */
  if (call == NULL || call->state != GATE_RECEIVING)
    {
      pthread_mutex_unlock (&gate->lock);
      return call == NULL;
    }
  if (part->data.len > call->credit)
    {
      pthread_mutex_unlock (&gate->lock);
      return false;
    }
  fault = append_part (call, part);
  if (fault != NULL)
    gate_call_withdraw (call, false);
  else if (part->more && call->unacknowledged >= GATE_WINDOW / 2)
    {
      grant = call->unacknowledged;
      call->credit += grant;
      call->unacknowledged = 0;
    }
  if (fault == NULL && !part->more)
    call->state = GATE_ADMITTING;
  pthread_mutex_unlock (&gate->lock);
  if (fault != NULL)
    gate_call_tell (call, fault);
  else if (!part->more)
    admit (call);
  else if (grant > 0)
    send_grant (link, part->id, grant);
  return true;
}
