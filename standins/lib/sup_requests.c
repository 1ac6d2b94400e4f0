/* Requests at an upstream, and their answers.  */

#include "sup_internal.h"

#include "base/mem.h"
#include "pfm_names.h"
#include "scf.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Largest answer that a request can ask for, in bytes.  */
#define MAX_WANTED_SIZE (64u * 1024u * 1024u)

/* Longest time that a request can ask for, in ms.  */
#define MAX_WORK_MS 60000

static uint64_t
hash_id (const char *id)
{
  return XXH3_64bits (id, strlen (id));
}

unsigned
sup_runs_of (const struct sup *upstream, const char *id)
{
  uint64_t hash = hash_id (id);
  unsigned count = 0;

  for (size_t i = 0; i < upstream->done_count; i++)
    if (upstream->done[i] == hash)
      count++;
  return count;
}

static void
note_run (struct sup *upstream, const char *id)
{
  if (sup_runs_of (upstream, id) > 0)
    upstream->repeats++;
  if (upstream->done_count < SUP_MAX_RUNS)
    upstream->done[upstream->done_count++] = hash_id (id);
}

static void
note_fields (struct sup *upstream, const struct htp_message *message)
{
  struct buf *fields = &upstream->last_fields;

  fields->length = 0;
  for (unsigned i = 0; i < message->header_count; i++)
    buf_printf (fields, "%s: %s\n", htp_header_name (message, i),
                htp_header_value (message, i));
}

const char *
sup_last_fields (const struct sup *upstream)
{
  return upstream->last_fields.length > 0 ? buf_text (&upstream->last_fields)
                                          : "";
}

void
sup_free_run (struct sup_run *run)
{
  lst_remove (&run->upstream->runs, &run->list);
  run->upstream->running--;
  evl_timer_stop (&run->timer);
  free (run);
}

static struct buf *
start_answer (struct srv_exchange *exchange, unsigned status, const char *id,
              bool is_signed)
{
  struct buf *output = srv_start_response (exchange, status);

  if (id[0] != '\0')
    htp_put_header (output, PFM_REQUEST_ID, id);
  if (is_signed)
    htp_put_header (output, PFM_SIGNATURE, "standin");
  htp_put_header (output, "Keep-Alive", "timeout=10");
  return output;
}

/* Sends the id, filled up to BODY_SIZE bytes.  */
static void
send_body (struct srv_exchange *exchange, const char *id, size_t body_size)
{
  static const uint8_t filler[SUP_FLOOD_BLOCK];
  struct buf body = { 0 };

  buf_append (&body, id, strlen (id));
  while (body.length < body_size)
    {
      size_t left = body_size - body.length;

      buf_append (&body, filler, left < sizeof filler ? left : sizeof filler);
    }
  srv_finish_response (exchange, body.data, body.length);
  buf_close (&body);
}

static void
answer (struct srv_exchange *exchange, const char *id, size_t body_size,
        enum sup_fault fault)
{
  switch (fault)
    {
    case SUP_TRUNCATE:
      sup_send_raw (exchange, "HTTP/1.1 200 OK\r\n" PFM_REQUEST_ID ": ");
      sup_send_raw (exchange, id);
      sup_send_raw (exchange, "\r\n" PFM_SIGNATURE ": standin\r\n"
                              "Content-Length: 100\r\n\r\nshort");
      srv_abort (exchange);
      return;
    case SUP_MALFORMED:
      sup_send_raw (exchange, "\x01\x02 this is no response\r\n\r\n");
      srv_abort (exchange);
      return;
    case SUP_LOSE_RESPONSE:
      srv_abort (exchange);
      return;
    default:
      break;
    }
  start_answer (exchange, fault == SUP_FAIL ? 500 : 200, id,
                fault != SUP_UNSIGNED);
  send_body (exchange, id, body_size);
}

static void
on_done (void *context)
{
  struct sup_run *run = context;
  struct sup *upstream = run->upstream;
  struct srv_exchange *exchange = run->exchange;
  size_t body_size = run->body_size;
  enum sup_fault fault = run->is_spared ? SUP_HEALTHY : upstream->fault;
  char id[SUP_NAME_SIZE];

  if (upstream->flood_filler != NULL)
    {
      sup_start_flood (run);
      return;
    }
  memcpy (id, run->id, sizeof id);
  sup_note_last (upstream, exchange, id, false);
  sup_free_run (run);
  if (upstream->raw_text != NULL)
    sup_answer_raw (upstream, exchange, id);
  else
    answer (exchange, id, body_size, fault);
}

static void
refuse (struct srv_exchange *exchange, unsigned status, const char *id)
{
  struct buf *output = start_answer (exchange, status, id, false);

  htp_put_header (output, PFM_NOT_EXECUTED, "1");
  srv_finish_response (exchange, NULL, 0);
}

static void
answer_health_check (struct sup *upstream, struct srv_exchange *exchange)
{
  bool healthy = upstream->health_passing
                 || (!upstream->draining && !upstream->deregistering
                     && !upstream->health_failing);
  struct buf *output = srv_start_response (exchange, healthy ? 200 : 503);

  upstream->health_checks++;
  htp_put_header (output, PFM_INSTANCE_ID, upstream->name);
  srv_finish_response (exchange, NULL, 0);
}

/* Returns the number after KEY in a target, FALLBACK without KEY and MAX when
   it is larger.  */
static uint64_t
find_number (const char *target, const char *key, uint64_t fallback,
             uint64_t max)
{
  const char *query = strstr (target, key);
  uint64_t number;

  if (query == NULL)
    return fallback;
  number = strtoull (query + strlen (key), NULL, 10);
  return number < max ? number : max;
}

/* Returns the size of the answer in bytes: what the query "bytes=N" asks for,
   else the setting.  */
static size_t
wanted_size (const struct sup *upstream, const char *target)
{
  return find_number (target, "?bytes=", upstream->body_size, MAX_WANTED_SIZE);
}

/* Returns the time of a request in ns: what the query "work_ms=N" asks for,
   else the setting.  */
static clk_time
wanted_time (const struct sup *upstream, const char *target)
{
  uint64_t usual
      = (uint64_t)(upstream->settings.service_time / CLK_MILLISECOND);
  uint64_t wanted = find_number (target, "?work_ms=", usual, MAX_WORK_MS);

  return wanted == usual ? upstream->settings.service_time
                         : (clk_time)wanted * CLK_MILLISECOND;
}

void
sup_handle_request (void *context, struct srv_exchange *exchange,
                    struct htp_message *message)
{
  struct sup *upstream = context;
  const char *id = htp_find_header (message, PFM_REQUEST_ID);
  const char *target = htp_find_header (message, PFM_TARGET_INSTANCE);
  struct sup_run *run;

  if (strcmp (htp_target (message), SCF_HEALTH_PATH) == 0)
    {
      answer_health_check (upstream, exchange);
      return;
    }
  upstream->arrivals++;
  upstream->last_arrival = evl_now (upstream->loop);
  if (id == NULL)
    {
      if (upstream->sends_late_copies)
        sup_send_copy (upstream, srv_descriptor (exchange));
      refuse (exchange, 400, "");
    }
  else if (target != NULL && strcmp (target, upstream->name) != 0)
    refuse (exchange, 421, id);
  else if (upstream->fault == SUP_SILENT)
    return;
  else if (upstream->fault == SUP_SHED
           || upstream->running >= upstream->settings.slots)
    {
      sup_note_last (upstream, exchange, id, true);
      refuse (exchange, 503, id);
    }
  else
    {
      if (upstream->sends_late_copies && upstream->last_id[0] != '\0')
        sup_send_copy (upstream, srv_descriptor (exchange));
      if (upstream->fault == SUP_EXTRA_RESPONSE)
        sup_send_raw (exchange, "HTTP/1.1 200 OK\r\n" PFM_SIGNATURE
                                ": other\r\nContent-Length: 5\r\n\r\nextra");
      note_run (upstream, id);
      note_fields (upstream, message);
      if (upstream->settings.on_run != NULL)
        upstream->settings.on_run (message);
      run = mem_alloc (1, sizeof *run);
      run->upstream = upstream;
      run->exchange = exchange;
      run->body_size = wanted_size (upstream, htp_target (message));
      snprintf (run->id, sizeof run->id, "%s", id);
      run->is_spared = upstream->fault_path != NULL
                       && strncmp (htp_target (message), upstream->fault_path,
                                   strlen (upstream->fault_path))
                              != 0;
      lst_push_front (&upstream->runs, &run->list);
      upstream->running++;
      evl_timer_init (&run->timer, upstream->loop, on_done, run);
      evl_timer_set (&run->timer,
                     evl_now (upstream->loop)
                         + wanted_time (upstream, htp_target (message)));
    }
}

void
sup_handle_gone (void *context, struct srv_exchange *exchange)
{
  struct sup *upstream = context;

  for (struct lst_entry *at = upstream->runs.first; at != NULL; at = at->next)
    {
      struct sup_run *run = LST_ITEM (at, struct sup_run, list);

      if (run->exchange != exchange)
        continue;
      if (upstream->settings.on_cut != NULL)
        upstream->settings.on_cut (run->id);
      sup_free_run (run);
      return;
    }
}
