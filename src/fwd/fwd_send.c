/* Sends calls to gates.  */

#include "fwd/fwd_log.h"

#include <stdio.h>
#include <strings.h>

/* Longest part of a body in one frame, in bytes.  */
#define PART_SIZE (128u * 1024u)

/* The same of a body that is sent as the gate grants it.  */
#define BULK_PART_SIZE (16u * 1024u)

/* Header fields that this node adds to a call: the caller's service and its
   tenant.  */
#define OWN_HEADERS 2

/* Returns whether the system sets this header field of a call itself, or
   withholds it from upstreams.  */
static bool
is_own_header (const struct fwd_call *call, const char *name)
{
  const char *const *names = call->forwarder->parts.platform->headers;

  if (call->snapshot->document->requires_keys
      && (strcasecmp (name, names[PTF_TENANT]) == 0
          || strcasecmp (name, names[PTF_CREDENTIALS]) == 0))
    return true;
  return strcasecmp (name, names[PTF_REMAINING_MS]) == 0
         || strcasecmp (name, names[PTF_TARGET_UPSTREAM]) == 0
         || strcasecmp (name, names[PTF_CALLER_SERVICE]) == 0;
}

static void
add_header (Mesh__Call *message, Mesh__Header *header, const char *name,
            const char *value)
{
  mesh__header__init (header);
  header->name = (char *)name;
  header->value = (char *)value;
  message->headers[message->n_headers++] = header;
}

/* Sends the bytes of a body from START to END in parts of up to SIZE bytes. */
static void
send_parts (const struct fwd_call *call, const struct fwd_try *attempt,
            size_t start, size_t end, size_t size)
{
  struct fwd *forwarder = call->forwarder;
  const struct buf *body = &call->message.body;
  Mesh__CallId id = MESH__CALL_ID__INIT;
  Mesh__BodyPart part = MESH__BODY_PART__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  frame.body_case = MESH__FRAME__BODY_CALL_BODY;
  frame.call_body = &part;
  id.number = attempt->number;
  part.id = &id;
  for (size_t at = start; at < end; at += size)
    {
      part.data.data = body->data + at;
      part.data.len = end - at < size ? end - at : size;
      part.more = at + part.data.len < body->length;
      hub_send_on_link (forwarder->parts.hub, attempt->link, &frame);
    }
}

void
fwd_send_granted (struct fwd_call *call, struct fwd_try *attempt, size_t bytes)
{
  size_t start = attempt->sent_bytes;
  size_t left = call->message.body.length - start;

  if (bytes > left)
    bytes = left;
  attempt->sent_bytes += bytes;
  send_parts (call, attempt, start, start + bytes, BULK_PART_SIZE);
}

/* Sets the part of the body that goes with the call itself.  A long body
   follows as the gate grants it, if the route says so.  */
static void
set_body (struct fwd_call *call, Mesh__Call *message)
{
  const struct buf *body = &call->message.body;

  call->tries[FWD_CURRENT].sent_bytes = 0;
  if (call->route->is_bulk && body->length > BULK_PART_SIZE
      && body->length <= UINT32_MAX)
    {
      message->body_bytes = (uint32_t)body->length;
      message->more = true;
      return;
    }
  call->tries[FWD_CURRENT].sent_bytes = body->length;
  message->body.data = body->data;
  message->body.len = body->length < PART_SIZE ? body->length : PART_SIZE;
  message->more = body->length > PART_SIZE;
}

static uint32_t
left_us (clk_time deadline, clk_time now)
{
  clk_time left = (deadline - now) / CLK_MICROSECOND;

  if (left < 0)
    return 0;
  return left > UINT32_MAX ? UINT32_MAX : (uint32_t)left;
}

bool
fwd_send (struct fwd_call *call, dir_handle peer, clk_time max_wait)
{
  struct fwd *forwarder = call->forwarder;
  const struct htp_message *request = &call->message;
  clk_time now = evl_now (forwarder->parts.loop);
  Mesh__Header headers[HTP_MAX_HEADERS + OWN_HEADERS];
  Mesh__Header *pointers[HTP_MAX_HEADERS + OWN_HEADERS];
  Mesh__CallId id = MESH__CALL_ID__INIT;
  Mesh__Call message = MESH__CALL__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  id.number = forwarder->next_number;
  message.id = &id;
  message.method = (char *)htp_method (request);
  message.target = (char *)htp_target (request);
  message.headers = pointers;
  for (unsigned i = 0; i < request->header_count; i++)
    if (!htp_is_hop_by_hop (htp_header_name (request, i))
        && !is_own_header (call, htp_header_name (request, i)))
      add_header (&message, &headers[message.n_headers],
                  htp_header_name (request, i), htp_header_value (request, i));
  add_header (&message, &headers[message.n_headers],
              forwarder->parts.platform->headers[PTF_CALLER_SERVICE],
              forwarder->parts.service);
  if (call->tenant != NULL)
    {
      add_header (&message, &headers[message.n_headers],
                  forwarder->parts.platform->headers[PTF_TENANT],
                  call->tenant->name);
      message.tenant = call->tenant->name;
      message.tenant_rate = (float)call->tenant->rate;
    }
  message.remaining_us = left_us (call->deadline, now);
  message.target_us = left_us (call->target, now);
  message.max_wait_us = (uint32_t)(max_wait / CLK_MICROSECOND);
  message.priority = fwd_priority (call);
  message.repeat = call->runs > 0;
  message.is_bulk = call->route->is_bulk;
  message.service = (char *)call->service;
  message.route = call->kind;
  message.config_version = call->snapshot->stamp.version;
  set_body (call, &message);
  frame.body_case = MESH__FRAME__BODY_CALL;
  frame.call = &message;
  if (hub_send (forwarder->parts.hub, peer, &frame, 1,
                &call->tries[FWD_CURRENT].link)
      != HUB_OK)
    return false;
  evl_timer_stop (&call->repeat_timer);
  call->tries[FWD_CURRENT].number = forwarder->next_number++;
  if (forwarder->next_number == 0)
    forwarder->next_number = 1;
  call->tries[FWD_CURRENT].peer = peer;
  fwd_history_add (&call->history, call->tries[FWD_CURRENT].number, peer, now);
  fwd_log_placed (call, peer, max_wait);
  fwd_peer (forwarder, peer)->sent++;
  fwd_peer (forwarder, peer)->sent_at = now;
  if (message.more && message.body_bytes == 0)
    send_parts (call, &call->tries[FWD_CURRENT], PART_SIZE,
                request->body.length, PART_SIZE);
  return true;
}
