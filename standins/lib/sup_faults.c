/* Answers that an upstream should not send: floods, copies and raw bytes.  */

#include "sup_internal.h"

#include "pfm_names.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

/* Writes bytes that the server would not.  */
static void
send_text (int descriptor, const char *text)
{
  send (descriptor, text, strlen (text), MSG_NOSIGNAL);
}

void
sup_send_raw (const struct srv_exchange *exchange, const char *text)
{
  send_text (srv_descriptor (exchange), text);
}

void
sup_set_raw_answer (struct sup *upstream, const char *text, size_t length,
                    enum sup_end end)
{
  upstream->raw_text = text;
  upstream->raw_length = length;
  upstream->raw_end = end;
}

void
sup_answer_raw (const struct sup *upstream, struct srv_exchange *exchange,
                const char *id)
{
  static const struct linger reset = { 1, 0 };
  int descriptor = srv_descriptor (exchange);
  struct buf output = { 0 };

  for (const char *at = upstream->raw_text; *at != '\0'; at++)
    if (*at == '@')
      buf_append (&output, id, strlen (id));
    else
      buf_append (&output, at, 1);
  if (output.length > upstream->raw_length)
    output.length = upstream->raw_length;
  send (descriptor, output.data, output.length, MSG_NOSIGNAL);
  buf_close (&output);
  if (upstream->raw_end == SUP_RESET)
    setsockopt (descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  srv_abort (exchange);
}

/* Sends as much of the filler as the connection takes, and goes on later.  */
static void
on_flood (void *context)
{
  struct sup_run *run = context;
  struct sup *upstream = run->upstream;
  char block[SUP_FLOOD_BLOCK];
  ssize_t count = 0;
  size_t length;

  if (upstream->flood_filler == NULL)
    return;
  length = strlen (upstream->flood_filler);
  while (run->flood_sent + sizeof block <= upstream->flood_limit)
    {
      for (size_t i = 0; i < sizeof block; i++)
        block[i] = upstream->flood_filler[(run->flood_sent + i) % length];
      count = send (srv_descriptor (run->exchange), block, sizeof block,
                    MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0)
        {
          run->flood_sent += (uint64_t)count;
          upstream->flood_bytes += (uint64_t)count;
        }
      if (count != (ssize_t)sizeof block)
        break;
    }
  evl_timer_set (&run->timer, evl_now (upstream->loop) + CLK_MILLISECOND);
}

void
sup_start_flood (struct sup_run *run)
{
  struct sup *upstream = run->upstream;

  if (upstream->flood_with_head)
    {
      sup_send_raw (run->exchange, "HTTP/1.1 200 OK\r\n" PFM_REQUEST_ID ": ");
      sup_send_raw (run->exchange, run->id);
      sup_send_raw (run->exchange, "\r\n" PFM_SIGNATURE ": standin\r\n");
    }
  sup_send_raw (run->exchange, upstream->flood_start);
  run->is_flood = true;
  run->timer.callback = on_flood;
  on_flood (run);
}

void
sup_note_last (struct sup *upstream, struct srv_exchange *exchange,
               const char *id, bool refused)
{
  snprintf (upstream->last_id, SUP_NAME_SIZE, "%s", id);
  upstream->last_refused = refused;
  upstream->last_descriptor = srv_descriptor (exchange);
}

/* Sends a copy of the last answer or refusal.  */
void
sup_send_copy (const struct sup *upstream, int descriptor)
{
  const char *id = upstream->last_id;
  char text[256];

  if (upstream->last_refused)
    snprintf (text, sizeof text,
              "HTTP/1.1 503 Service Unavailable\r\n" PFM_REQUEST_ID
              ": %s\r\n" PFM_NOT_EXECUTED ": 1\r\nContent-Length: 0\r\n\r\n",
              id);
  else
    snprintf (text, sizeof text,
              "HTTP/1.1 200 OK\r\n" PFM_REQUEST_ID ": %s\r\n" PFM_SIGNATURE
              ": standin\r\nContent-Length: %zu\r\n\r\n%s",
              id, strlen (id), id);
  send_text (descriptor, text);
}

void
sup_send_late_copy (struct sup *upstream)
{
  if (upstream->last_descriptor >= 0)
    sup_send_copy (upstream, upstream->last_descriptor);
}

void
sup_set_late_copies (struct sup *upstream, bool on)
{
  upstream->sends_late_copies = on;
}

void
sup_set_flood (struct sup *upstream, bool with_head, const char *start,
               const char *filler)
{
  upstream->flood_with_head = with_head;
  upstream->flood_start = start;
  upstream->flood_filler = filler;
  upstream->flood_limit = UINT64_MAX;
}

void
sup_set_flood_limit (struct sup *upstream, uint64_t bytes)
{
  upstream->flood_limit = bytes;
}

uint64_t
sup_flood_bytes (const struct sup *upstream)
{
  return upstream->flood_bytes;
}

size_t
sup_flood_count (const struct sup *upstream)
{
  size_t count = 0;

  for (struct lst_entry *at = upstream->runs.first; at != NULL; at = at->next)
    if (LST_ITEM (at, struct sup_run, list)->is_flood)
      count++;
  return count;
}

void
sup_set_fault (struct sup *upstream, enum sup_fault fault)
{
  upstream->fault = fault;
}

void
sup_set_fault_path (struct sup *upstream, const char *path)
{
  upstream->fault_path = path;
}
