/* HTTP front: turns callers' requests into calls, by CivetWeb.  */

#include "http/http.h"

#include "base/buf.h"
#include "base/err.h"
#include "base/mem.h"
#include "http/http_answer.h"
#include "http/http_header.h"
#include "wire/ctx.h"

#include <civetweb.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#define READ_PIECE 16384

/* Limits on the rest of a refused body that is read.  */
#define MAX_DISCARD_BYTES (64u * 1024u * 1024u)
#define DISCARD_LIMIT (5 * CLK_SECOND)

/* mg_stop ends requests in progress.  The front is stopped only when none was
   in progress for QUIET, and at the latest after STOP_LIMIT.  */
#define QUIET (100 * CLK_MILLISECOND)
#define STOP_LIMIT (2 * CLK_SECOND)

struct http_front
{
  struct mg_context *server;
  struct call_runner *runner;
  size_t max_body;
  size_t max_kept;           /* connections kept open between requests */
  atomic_size_t connections; /* served by a thread now */
  atomic_bool draining;
  atomic_size_t in_progress;
  atomic_uint_fast64_t served;
};

/* Returns 0, or the status of the refusal.  */
static unsigned
read_body (struct mg_connection *connection,
           const struct mg_request_info *info, size_t limit, struct buf *body)
{
  int count;

  if (info->content_length > (long long)limit)
    return 413;
  if (info->content_length == 0)
    return 0;
  do
    {
      buf_reserve (body, READ_PIECE);
      count = mg_read (connection, body->data + body->length, READ_PIECE);
      if (count > 0)
        body->length += (size_t)count;
      if (body->length > limit)
        return 413;
    }
  while (count > 0);
  return count < 0
                 || (info->content_length > 0
                     && body->length != (size_t)info->content_length)
             ? 400
             : 0;
}

/* Reads and drops the rest of the body of a request that was refused.  The
   library closes the connection right after the response; with unread bytes
   that would reset it, and the caller would lose the response.  */
static void
discard_body (struct mg_connection *connection)
{
  clk_time deadline = clk_now () + DISCARD_LIMIT;
  uint8_t piece[READ_PIECE];
  size_t total = 0;
  int count;

  do
    {
      count = mg_read (connection, piece, sizeof piece);
      if (count > 0)
        total += (size_t)count;
    }
  while (count > 0 && total < MAX_DISCARD_BYTES && clk_now () < deadline);
}

/* Handles "Expect: 100-continue".  Returns whether the body will come.  */
static bool
accept_expectation (struct mg_connection *connection)
{
  const char *expectation = mg_get_header (connection, "Expect");

  if (expectation == NULL)
    return true;
  if (strcasecmp (expectation, "100-continue") != 0)
    return false;
  mg_printf (connection, "HTTP/1.1 100 Continue\r\n\r\n");
  return true;
}

/* Copies the caller's context into CALL and its call ID into PARENT.  Returns
   false when it is invalid.  */
static bool
read_context (struct mg_connection *connection, Mesh__Call *call,
              Mesh__CallId *parent)
{
  const char *text = mg_get_header (connection, CTX_HEADER);
  struct ctx context;

  if (text == NULL)
    return true;
  if (ctx_decode (text, &context) != CTX_OK || context.depth == 0)
    return false;
  parent->origin = context.origin;
  parent->number = context.number;
  call->parent = parent;
  call->depth = context.depth;
  call->retries_left = context.retries;
  /* 0 would mean that there is no limit.  */
  call->remaining_us
      = context.remaining_ms > 0 ? (uint64_t)context.remaining_ms * 1000 : 1;
  return true;
}

static void
fill_headers (const struct mg_request_info *info, const char *connection,
              Mesh__Header *headers, Mesh__Header **pointers, Mesh__Call *call)
{
  call->headers = pointers;
  for (int i = 0; i < info->num_headers; i++)
    {
      Mesh__Header *header = &headers[call->n_headers];
      const char *name = info->http_headers[i].name;

      if (http_is_hop_header (name, connection) || http_is_mesh_header (name))
        continue;
      mesh__header__init (header);
      header->name = (char *)name;
      header->value = (char *)info->http_headers[i].value;
      pointers[call->n_headers++] = header;
    }
}

/* Returns whether the connection must close after this response.  A thread
   serves one connection until it closes; if callers that are idle held all of
   them, another caller would wait for the keep-alive timeout.  */
static bool
must_close (struct http_front *front)
{
  return atomic_load (&front->draining)
         || atomic_load (&front->connections) > front->max_kept;
}

static void
forward (struct mg_connection *connection, struct http_front *front,
         const struct mg_request_info *info, const struct buf *body)
{
  Mesh__Header headers[MG_MAX_HEADERS];
  Mesh__Header *pointers[MG_MAX_HEADERS];
  Mesh__Call call = MESH__CALL__INIT;
  Mesh__CallId parent = MESH__CALL_ID__INIT;
  const char *host = mg_get_header (connection, "Host");
  const char *tenant = mg_get_header (connection, "Mulberryshift-Tenant");
  struct buf target = { 0 };
  Mesh__Answer *answer;

  if (!read_context (connection, &call, &parent))
    {
      http_write_refusal (connection, 400,
                          CTX_HEADER " must be copied unchanged");
      return;
    }
  buf_printf (&target, "%s%s%s", info->local_uri_raw,
              info->query_string != NULL ? "?" : "",
              info->query_string != NULL ? info->query_string : "");
  fill_headers (info, mg_get_header (connection, "Connection"), headers,
                pointers, &call);
  call.method = (char *)info->request_method;
  call.target = (char *)buf_text (&target);
  call.body.data = body->data;
  call.body.len = body->length;
  if (tenant != NULL)
    call.tenant = (char *)tenant;
  answer = call_run (front->runner, host != NULL ? host : "", &call);
  http_write_answer (connection, answer,
                     strcmp (info->request_method, "HEAD") == 0,
                     must_close (front));
  mesh__answer__free_unpacked (answer, NULL);
  buf_close (&target);
}

static void
serve (struct mg_connection *connection, struct http_front *front,
       const struct mg_request_info *info)
{
  struct http_header headers[MG_MAX_HEADERS];
  struct buf body = { 0 };
  const char *fault;
  unsigned status;

  for (int i = 0; i < info->num_headers; i++)
    {
      headers[i].name = info->http_headers[i].name;
      headers[i].value = info->http_headers[i].value;
    }
  fault = http_find_fault (headers, (size_t)info->num_headers,
                           info->http_version);
  if (fault != NULL)
    {
      http_write_refusal (connection, 400, fault);
      return;
    }
  if (info->content_length > (long long)front->max_body)
    status = 413;
  else if (!accept_expectation (connection))
    status = 417;
  else
    status = read_body (connection, info, front->max_body, &body);
  if (status == 0)
    forward (connection, front, info, &body);
  else
    http_write_refusal (connection, status,
                        status == 413   ? "the request's body is too long"
                        : status == 417 ? "only 100-continue can be expected"
                                        : "the request's body is incomplete");
  /* A caller that expects 100-continue does not send a body after a final
     status.  */
  if (status == 413 && mg_get_header (connection, "Expect") == NULL)
    discard_body (connection);
  buf_close (&body);
}

static int
handle_request (struct mg_connection *connection)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  struct http_front *front = info->user_data;

  atomic_fetch_add (&front->in_progress, 1);
  serve (connection, front, info);
  atomic_fetch_add (&front->served, 1);
  atomic_fetch_sub (&front->in_progress, 1);
  return 200;
}

static int
handle_open (const struct mg_connection *connection, void **data)
{
  struct http_front *front = mg_get_user_data (mg_get_context (connection));

  (void)data;
  atomic_fetch_add (&front->connections, 1);
  return 0;
}

static void
handle_close (const struct mg_connection *connection)
{
  struct http_front *front = mg_get_user_data (mg_get_context (connection));

  atomic_fetch_sub (&front->connections, 1);
}

/* Reports requests that the HTTP library refused itself.  */
static int
handle_error (struct mg_connection *connection, int status,
              const char *message)
{
  char reason[256];

  snprintf (reason, sizeof reason, "the request is not valid HTTP: %.200s",
            message != NULL && message[0] != '\0' ? message : "malformed");
  http_write_refusal (connection, (unsigned)status, reason);
  return 0;
}

enum http_status
http_front_create (const struct cfg_settings *settings,
                   struct call_runner *runner, struct http_front **front)
{
  struct http_front *result = mem_alloc (1, sizeof *result);
  struct mg_callbacks callbacks = { .begin_request = handle_request,
                                    .init_connection = handle_open,
                                    .connection_closed = handle_close,
                                    .http_error = handle_error };
  char address[NET_TEXT_SIZE];
  char threads[32];

  net_format (settings->http_address, address);
  snprintf (threads, sizeof threads, "%lld",
            (long long)settings->http_threads);
  /* The limits on headers, request time and idle time bound what a slow or
     hostile caller can hold: one thread for 30 s, 16 KiB of headers.  */
  const char *options[] = { "listening_ports",
                            address,
                            "num_threads",
                            threads,
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            "60000",
                            "request_timeout_ms",
                            "30000",
                            "max_request_size",
                            "16384",
                            "connection_queue",
                            "128",
                            "decode_url",
                            "no",
                            "tcp_nodelay",
                            "1",
                            NULL };

  result->runner = runner;
  result->max_kept = (size_t)settings->http_threads * 3 / 4;
  result->max_body = (size_t)settings->http_max_body_bytes;
  result->server = mg_start (&callbacks, result, options);
  if (result->server == NULL)
    {
      err_set ("cannot serve callers on %s; is another process using the "
               "address?",
               address);
      free (result);
      *front = NULL;
      return HTTP_NO_LISTENER;
    }
  *front = result;
  return HTTP_OK;
}

void
http_front_drain (struct http_front *front)
{
  atomic_store (&front->draining, true);
}

size_t
http_front_in_progress (struct http_front *front)
{
  return atomic_load (&front->in_progress);
}

/* Waits until no request was in progress for QUIET.  */
static void
await_quiet (struct http_front *front)
{
  clk_time begun = clk_now ();
  clk_time last = begun;
  uint64_t served = atomic_load (&front->served);
  clk_time now;

  while ((now = clk_now ()) - last < QUIET && now - begun < STOP_LIMIT)
    {
      if (atomic_load (&front->in_progress) > 0
          || atomic_load (&front->served) != served)
        last = now;
      served = atomic_load (&front->served);
      usleep (5000);
    }
}

void
http_front_destroy (struct http_front *front)
{
  if (front == NULL)
    return;
  http_front_drain (front);
  await_quiet (front);
  mg_stop (front->server);
  free (front);
}
