/* Runs calls at the upstream and answers them.  */

#include "base/err.h"
#include "base/log.h"
#include "gat/gat_log.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Weight of the newest call in the mean time in a slot, and in the share of
   failures.  */
#define SLOT_WEIGHT 32
#define FAILED_WEIGHT 16.

/* Longest header of a response accepted, and shortest and longest limit of its
   body, in bytes.  */
#define MAX_HEADER_BYTES (64u * 1024u)
#define MIN_BODY_LIMIT (256u * 1024u)
#define MAX_BODY_LIMIT FRM_MAX_BODY_LENGTH

/* Responses to earlier requests that are skipped before the one to a call.  */
#define MAX_SKIPPED 8

/* Longest reason why a response cannot be read, in bytes.  */
#define MAX_REASON 128

/* Connections that are lost within this time count as one failure.  */
#define LOSS_TIME (100 * CLK_MILLISECOND)

/* Share of the upstream's idle time for which a connection is used again;
   later the upstream might close it while a call is on its way.  */
#define KEEP_NUMERATOR 3
#define KEEP_DENOMINATOR 4

/* Returns whether the upstream that runs the call has been replaced.  */
static bool
is_of_earlier_upstream (const struct gat_call *call)
{
  return call->upstream != call->gate->upstream_count;
}

void
gat_count_answer (struct gat_call *call, bool bad)
{
  struct gat *gate = call->gate;

  if (gate->hooks.answered != NULL && !is_of_earlier_upstream (call))
    gate->hooks.answered (gate->hooks.context, call->frame->call->route, bad,
                          evl_now (gate->loop) - call->started);
}

/* Counts a lost connection.  An upstream that ends loses all its calls at
   once; they count as one.  */
static void
count_loss (struct gat_call *call)
{
  struct gat *gate = call->gate;
  clk_time now = evl_now (gate->loop);

  if (gate->lost_at != 0 && now - gate->lost_at < LOSS_TIME)
    return;
  gate->lost_at = now;
  gat_count_answer (call, true);
}

/* Learns from the end of a call in a slot.  */
static void
learn (struct gat_call *call, bool failed)
{
  struct gat *gate = call->gate;
  clk_time elapsed = evl_now (gate->loop) - call->started;

  if (is_of_earlier_upstream (call))
    return;
  gate->failed += ((failed ? 1. : 0.) - gate->failed) / FAILED_WEIGHT;
  if (failed)
    return;
  if (gate->slot == 0)
    gate->slot = elapsed;
  else
    gate->slot += (elapsed - gate->slot) / SLOT_WEIGHT;
  gat_learn_service (gat_kind_of (call), elapsed, call->is_sample);
}

/* Reads the upstream's idle time from "timeout=N".  */
static void
learn_keep_time (struct gat *gate, const struct htp_message *response)
{
  const char *value = htp_find_header (response, "Keep-Alive");
  const char *timeout = value != NULL ? strstr (value, "timeout=") : NULL;
  unsigned long seconds;

  if (timeout == NULL)
    return;
  seconds = strtoul (timeout + strlen ("timeout="), NULL, 10);
  if (seconds < 86400)
    gate->keep_time = (clk_time)seconds * CLK_SECOND;
}

/* Keeps the connection of a call that has ended for the next ones, unless it
   leads to an upstream that has been replaced.  */
static void
keep_connection (const struct gat_call *call, struct cnx *connection)
{
  struct gat *gate = call->gate;

  cnx_set_data (connection, NULL);
  if (!cnx_is_persistent (connection) || gate->idle_count == GAT_MAX_IDLE
      || is_of_earlier_upstream (call))
    {
      cnx_close (connection);
      return;
    }
  gate->idle[gate->idle_count++]
      = (struct gat_idle){ connection, evl_now (gate->loop) };
}

void
gat_close_idle (struct gat *gate)
{
  while (gate->idle_count > 0)
    cnx_close (gate->idle[--gate->idle_count].connection);
}

/* Returns what is wrong with a response, null when it can be passed on.  */
static const char *
find_fault (const struct gat *gate, const struct htp_message *response)
{
  const char *const *names = gate->platform->headers;

  if (htp_find_header (response, "Content-Encoding") != NULL)
    return "the response is encoded";
  if (response->status / 100 == 2
      && htp_find_header (response, names[PTF_SIGNATURE]) == NULL)
    return "the response has no signature";
  return NULL;
}

static bool
says_not_run (const struct gat *gate, const struct htp_message *response)
{
  return response->status == 421
         || htp_find_header (response, gate->platform->headers[PTF_NOT_RUN])
                != NULL;
}

/* Returns whether a response with this id (null: none) is to CALL.  A second
   response to an earlier request may come first; every response repeats the id
   of its request, and has none when that had none.  */
static bool
is_response_to (const struct gat_call *call, const char *id)
{
  if (call->id == NULL || id == NULL)
    return call->id == id;
  return strcmp (id, call->id) == 0;
}

/* Skips a response to another request.  Returns false while the one to CALL is
   still awaited; an upstream that sends others without end is given up.  */
static bool
skip_response (struct gat_call *call)
{
  if (call->skipped++ < MAX_SKIPPED)
    {
      log_write (LOG_WARNING, "gat",
                 "a response to another request was dropped");
      return false;
    }
  cnx_close (call->connection);
  call->connection = NULL;
  learn (call, true);
  gat_count_answer (call, true);
  gat_answer_unknown (call, "too many responses to other requests");
  return true;
}

static bool
on_response (void *context, struct cnx *connection,
             struct htp_message *message)
{
  struct gat_call *call = cnx_data (connection);
  struct gat *gate = context;
  const char *id
      = htp_find_header (message, gate->platform->headers[PTF_CALL_ID]);
  const char *fault;

  if (!is_response_to (call, id))
    return skip_response (call);
  learn_keep_time (gate, message);
  call->connection = NULL;
  keep_connection (call, connection);
  if (says_not_run (gate, message))
    {
      learn (call, true);
      if (message->status >= 500)
        gat_count_answer (call, true);
      gat_refuse (call, GAT_SHED);
      return true;
    }
  fault = find_fault (gate, message);
  learn (call, fault != NULL || message->status >= 500);
  if (call->frame->call->is_bulk && message->status / 100 == 2)
    gat_learn_bytes (gat_kind_of (call), message->body.length);
  gat_count_answer (call, fault != NULL || message->status >= 500);
  if (fault != NULL)
    gat_answer_unknown (call, fault);
  else
    gat_answer (call, message);
  return true;
}

/* Forgets a kept connection that has ended.  */
static void
drop_idle (struct gat *gate, struct cnx *connection)
{
  for (size_t i = 0; i < gate->idle_count; i++)
    if (gate->idle[i].connection == connection)
      {
        gate->idle_count--;
        memmove (&gate->idle[i], &gate->idle[i + 1],
                 (gate->idle_count - i) * sizeof *gate->idle);
        break;
      }
  cnx_close (connection);
}

static void
on_failed (void *context, struct cnx *connection, enum cnx_failure failure)
{
  struct gat_call *call = cnx_data (connection);
  struct gat *gate = context;
  char reason[MAX_REASON];

  if (call == NULL)
    {
      drop_idle (gate, connection);
      return;
    }
  call->connection = NULL;
  snprintf (reason, sizeof reason, "the response cannot be read: %s",
            cnx_describe_fault (connection));
  cnx_close (connection);
  learn (call, true);
  if (failure == CNX_NOT_SENT)
    {
      gat_refuse (call, GAT_UNREACHABLE);
      gate->hooks.on_unreachable (gate->hooks.context);
    }
  else if (failure == CNX_INVALID_RESPONSE)
    {
      gat_count_answer (call, true);
      gat_answer_unknown (call, reason);
    }
  else
    {
      count_loss (call);
      gat_answer_unknown (call, "the connection was lost");
    }
}

static const struct cnx_handlers handlers = { on_response, on_failed };

/* Returns the limits of one response.  Each slot gets an equal part of the
   memory, so that an upstream that sends bytes without end in some of them
   leaves room for the others.  */
static struct htp_limits
response_limits (const struct gat *gate)
{
  uint32_t slots = gate->registration->upstream.slots;
  size_t limit = gate->response_budget.max_bytes / (slots > 0 ? slots : 1);

  if (limit < MIN_BODY_LIMIT)
    limit = MIN_BODY_LIMIT;
  if (limit > MAX_BODY_LIMIT)
    limit = MAX_BODY_LIMIT;
  return (struct htp_limits){ MAX_HEADER_BYTES, limit };
}

/* Returns a kept connection that the upstream will not close soon, or a new
   one.  */
static struct cnx *
take_connection (struct gat *gate)
{
  struct htp_limits limits = response_limits (gate);
  struct cnx *connection;
  clk_time oldest = evl_now (gate->loop)
                    - gate->keep_time * KEEP_NUMERATOR / KEEP_DENOMINATOR;

  /* The newest is at the end; the older ones are closed once too old.  */
  while (gate->idle_count > 0 && gate->idle[0].since < oldest)
    drop_idle (gate, gate->idle[0].connection);
  while (gate->idle_count > 0)
    {
      connection = gate->idle[--gate->idle_count].connection;
      if (cnx_is_idle (connection))
        return connection;
      /* It has ended or received bytes, which is reported later in this loop
         iteration.  */
      cnx_close (connection);
    }
  connection = cnx_open (gate->loop, gate->registration->upstream.address,
                         &handlers, gate, &limits);
  cnx_set_budget (connection, &gate->response_budget);
  return connection;
}

static void
put_headers (const struct gat_call *call, struct buf *output)
{
  const Mesh__Call *message = call->frame->call;
  const struct gat *gate = call->gate;
  clk_time left = call->deadline - evl_now (gate->loop);
  char text[24];

  for (size_t i = 0; i < message->n_headers; i++)
    htp_put_header (output, message->headers[i]->name,
                    message->headers[i]->value);
  snprintf (text, sizeof text, "%" PRId64,
            left < CLK_MILLISECOND ? 1 : left / CLK_MILLISECOND);
  htp_put_header (output, gate->platform->headers[PTF_REMAINING_MS], text);
  htp_put_header (output, gate->platform->headers[PTF_TARGET_UPSTREAM],
                  gate->registration->upstream.name);
}

/* The deadline of a running call.  */
static void
on_deadline (void *context)
{
  struct gat_call *call = context;

  cnx_close (call->connection);
  call->connection = NULL;
  learn (call, true);
  gat_count_answer (call, true);
  gat_answer_unknown (call, "the deadline passed");
}

void
gat_run (struct gat_call *call)
{
  const Mesh__Call *message = call->frame->call;
  struct gat *gate = call->gate;
  struct buf *output;

  call->state = GAT_RUNNING;
  call->started = evl_now (gate->loop);
  call->upstream = gate->upstream_count;
  gate->running++;
  gat_expect_response (call);
  shr_charge (&gate->queue.shares, call->tenant, gat_service_of (call),
              call->started);
  gat_log_started (call);
  call->connection = take_connection (gate);
  cnx_set_data (call->connection, call);
  output = cnx_request_buffer (call->connection);
  htp_put_request (output, message->method, message->target);
  put_headers (call, output);
  htp_put_body (output, message->body.data, message->body.len);
  call->timer.callback = on_deadline;
  evl_timer_set (&call->timer, call->deadline);
  cnx_send (call->connection, strcmp (message->method, "HEAD") == 0);
}
