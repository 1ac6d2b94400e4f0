/* Stand-in of an upstream.  */

#include "sup.h"

#include "base/lst.h"
#include "base/mem.h"
#include "cnx/cnx.h"
#include "pfm_names.h"
#include "scf.h"
#include "srv/srv.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <xxhash.h>

#define NAME_SIZE 64
#define MAX_RUNS 65536
#define FLOOD_BLOCK 16384

/* Largest answer that a request can ask for, in bytes.  */
#define MAX_WANTED_SIZE (64u * 1024u * 1024u)

/* Time between two deregistrations.  */
#define DEREGISTER_INTERVAL (50 * CLK_MILLISECOND)

/* A request that takes a slot.  */
struct run
{
  struct sup *upstream;
  struct srv_exchange *exchange;
  char id[NAME_SIZE];
  bool is_spared; /* the fault is limited to other paths */
  struct evl_timer timer;
  struct lst_entry list;
  size_t body_size; /* of its answer; from the request, else the setting */
  bool is_flood;    /* it is answered without end */
  uint64_t flood_sent;
};

struct sup
{
  struct evl *loop;
  struct sup_settings settings;
  char name[NAME_SIZE];
  char service[NAME_SIZE];
  char data_centre[NAME_SIZE];
  char version[NAME_SIZE];
  struct srv *server;
  enum sup_fault fault;
  const char *fault_path; /* null: all */
  bool sends_late_copies;
  size_t body_size;
  char last_id[NAME_SIZE]; /* of the request answered or refused last */
  bool last_refused;
  int last_descriptor; /* of its connection; -1: none yet */
  bool flood_with_head;
  const char *flood_start;
  const char *flood_filler; /* null: answers end */
  uint64_t flood_limit;     /* bytes of the filler in one answer */
  uint64_t flood_bytes;
  struct buf last_fields; /* of the request that ran last */
  struct lst runs;
  uint32_t running;
  uint64_t done[MAX_RUNS]; /* hashes of the ids of what ran */
  size_t done_count;
  uint64_t repeats;
  uint64_t arrivals;
  uint64_t health_checks;
  bool health_failing;
  clk_time last_arrival;
  uint64_t born; /* ms since the epoch */
  uint64_t sequence;
  bool draining;
  bool deregistering;
  bool acknowledged;
  struct cnx *heartbeat;
  struct evl_timer timer; /* of the next heartbeat */
};

static uint64_t
hash_id (const char *id)
{
  return XXH3_64bits (id, strlen (id));
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
    if (LST_ITEM (at, struct run, list)->is_flood)
      count++;
  return count;
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
  if (upstream->done_count < MAX_RUNS)
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

static void
free_run (struct run *run)
{
  lst_remove (&run->upstream->runs, &run->list);
  run->upstream->running--;
  evl_timer_stop (&run->timer);
  free (run);
}

/* Writes bytes that the server would not.  */
static void
send_text (int descriptor, const char *text)
{
  send (descriptor, text, strlen (text), MSG_NOSIGNAL);
}

static void
send_raw (const struct srv_exchange *exchange, const char *text)
{
  send_text (srv_descriptor (exchange), text);
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

/* Sends as much of the filler as the connection takes, and goes on later.  */
static void
on_flood (void *context)
{
  struct run *run = context;
  struct sup *upstream = run->upstream;
  char block[FLOOD_BLOCK];
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

static void
start_flood (struct run *run)
{
  struct sup *upstream = run->upstream;

  if (upstream->flood_with_head)
    {
      send_raw (run->exchange, "HTTP/1.1 200 OK\r\n" PFM_REQUEST_ID ": ");
      send_raw (run->exchange, run->id);
      send_raw (run->exchange, "\r\n" PFM_SIGNATURE ": standin\r\n");
    }
  send_raw (run->exchange, upstream->flood_start);
  run->is_flood = true;
  run->timer.callback = on_flood;
  on_flood (run);
}

/* Sends the id, filled up to BODY_SIZE bytes.  */
static void
send_body (struct srv_exchange *exchange, const char *id, size_t body_size)
{
  static const uint8_t filler[FLOOD_BLOCK];
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
      send_raw (exchange, "HTTP/1.1 200 OK\r\n" PFM_REQUEST_ID ": ");
      send_raw (exchange, id);
      send_raw (exchange, "\r\n" PFM_SIGNATURE ": standin\r\n"
                          "Content-Length: 100\r\n\r\nshort");
      srv_abort (exchange);
      return;
    case SUP_MALFORMED:
      send_raw (exchange, "\x01\x02 this is no response\r\n\r\n");
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
note_last (struct sup *upstream, struct srv_exchange *exchange, const char *id,
           bool refused)
{
  snprintf (upstream->last_id, NAME_SIZE, "%s", id);
  upstream->last_refused = refused;
  upstream->last_descriptor = srv_descriptor (exchange);
}

/* Sends a copy of the last answer or refusal.  */
static void
send_copy (const struct sup *upstream, int descriptor)
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
    send_copy (upstream, upstream->last_descriptor);
}

static void
on_done (void *context)
{
  struct run *run = context;
  struct sup *upstream = run->upstream;
  struct srv_exchange *exchange = run->exchange;
  size_t body_size = run->body_size;
  enum sup_fault fault = run->is_spared ? SUP_HEALTHY : upstream->fault;
  char id[NAME_SIZE];

  if (upstream->flood_filler != NULL)
    {
      start_flood (run);
      return;
    }
  memcpy (id, run->id, sizeof id);
  note_last (upstream, exchange, id, false);
  free_run (run);
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
  bool healthy = !upstream->draining && !upstream->deregistering
                 && !upstream->health_failing;
  struct buf *output = srv_start_response (exchange, healthy ? 200 : 503);

  upstream->health_checks++;
  htp_put_header (output, PFM_INSTANCE_ID, upstream->name);
  srv_finish_response (exchange, NULL, 0);
}

/* Returns the size of the answer in bytes: what the query "bytes=N" asks for,
   else the setting.  */
static size_t
wanted_size (const struct sup *upstream, const char *target)
{
  static const char key[] = "?bytes=";
  const char *query = strstr (target, key);
  unsigned long size;

  if (query == NULL)
    return upstream->body_size;
  size = strtoul (query + strlen (key), NULL, 10);
  return size < MAX_WANTED_SIZE ? size : MAX_WANTED_SIZE;
}

static void
on_request (void *context, struct srv_exchange *exchange,
            struct htp_message *message)
{
  struct sup *upstream = context;
  const char *id = htp_find_header (message, PFM_REQUEST_ID);
  const char *target = htp_find_header (message, PFM_TARGET_INSTANCE);
  struct run *run;

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
        send_copy (upstream, srv_descriptor (exchange));
      refuse (exchange, 400, "");
    }
  else if (target != NULL && strcmp (target, upstream->name) != 0)
    refuse (exchange, 421, id);
  else if (upstream->fault == SUP_SILENT)
    return;
  else if (upstream->fault == SUP_SHED
           || upstream->running >= upstream->settings.slots)
    {
      note_last (upstream, exchange, id, true);
      refuse (exchange, 503, id);
    }
  else
    {
      if (upstream->sends_late_copies && upstream->last_id[0] != '\0')
        send_copy (upstream, srv_descriptor (exchange));
      if (upstream->fault == SUP_EXTRA_RESPONSE)
        send_raw (exchange, "HTTP/1.1 200 OK\r\n" PFM_SIGNATURE
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
      evl_timer_set (&run->timer, evl_now (upstream->loop)
                                      + upstream->settings.service_time);
    }
}

static void
on_gone (void *context, struct srv_exchange *exchange)
{
  struct sup *upstream = context;

  for (struct lst_entry *at = upstream->runs.first; at != NULL; at = at->next)
    if (LST_ITEM (at, struct run, list)->exchange == exchange)
      {
        free_run (LST_ITEM (at, struct run, list));
        return;
      }
}

static const struct srv_handlers handlers = { on_request, on_gone, NULL };

static bool
on_acknowledged (void *context, struct cnx *connection,
                 struct htp_message *message)
{
  struct sup *upstream = context;

  if (message->status / 100 == 2 && cnx_data (connection) != NULL)
    upstream->acknowledged = true;
  if (!cnx_is_persistent (connection))
    {
      cnx_close (connection);
      upstream->heartbeat = NULL;
    }
  return true;
}

static void
on_lost (void *context, struct cnx *connection, enum cnx_failure failure)
{
  struct sup *upstream = context;

  (void)failure;
  cnx_close (connection);
  upstream->heartbeat = NULL;
}

static const struct cnx_handlers heartbeat_handlers
    = { on_acknowledged, on_lost };

static void
put_deregistration (const struct sup *upstream, struct buf *output)
{
  char body[64];

  snprintf (body, sizeof body, "{\"" PFM_BORN "\":%" PRIu64 "}",
            upstream->born);
  htp_put_header (output, "Content-Type", "application/json");
  htp_put_body (output, body, strlen (body));
}

static void
put_heartbeat (const struct sup *upstream, struct buf *output)
{
  char address[NET_TEXT_SIZE];
  struct buf body = { 0 };

  net_format (upstream->settings.announced_address, address);
  buf_printf (&body,
              "{\"" PFM_ADDRESS "\":\"%s\",\"" PFM_BORN "\":%" PRIu64
              ",\"" PFM_INFO "\":{\"" PFM_SERVICE "\":\"%s\",\"" PFM_ZONE
              "\":\"%s\",\"" PFM_SOFTWARE_VERSION "\":\"%s\",\"" PFM_SLOTS
              "\":%u},\"" PFM_STATUS "\":{\"" PFM_STATE "\":\"%s\",\"" PFM_SEQ
              "\":%" PRIu64 ",\"" PFM_COLD_LEFT_S "\":0}}",
              address, upstream->born, upstream->service,
              upstream->data_centre, upstream->version,
              upstream->settings.slots,
              upstream->draining ? PFM_STATE_DRAINING : PFM_STATE_READY,
              upstream->sequence);
  htp_put_header (output, "Content-Type", "application/json");
  htp_put_body (output, body.data, body.length);
  buf_close (&body);
}

static void
send_heartbeat (void *context)
{
  static const struct htp_limits limits = { 4096, 4096 };
  struct sup *upstream = context;
  bool leaves = upstream->draining || upstream->deregistering;
  char target[2 * NAME_SIZE];
  struct buf *output;

  if (upstream->deregistering && upstream->acknowledged)
    return;
  evl_timer_set (&upstream->timer,
                 evl_now (upstream->loop)
                     + (upstream->deregistering
                            ? DEREGISTER_INTERVAL
                            : upstream->settings.heartbeat_interval));
  if (upstream->heartbeat == NULL)
    upstream->heartbeat = cnx_open (upstream->loop, upstream->settings.control,
                                    &heartbeat_handlers, upstream, &limits);
  if (!cnx_is_idle (upstream->heartbeat))
    return;
  upstream->sequence++;
  cnx_set_data (upstream->heartbeat, leaves ? upstream : NULL);
  snprintf (target, sizeof target, "%s%s",
            upstream->deregistering ? PFM_DEREGISTER_PATH : PFM_HEARTBEAT_PATH,
            upstream->name);
  output = cnx_request_buffer (upstream->heartbeat);
  htp_put_request (output, "POST", target);
  htp_put_header (output, "Host", "control");
  if (upstream->deregistering)
    put_deregistration (upstream, output);
  else
    put_heartbeat (upstream, output);
  cnx_send (upstream->heartbeat, false);
}

struct sup *
sup_create (struct evl *loop, const struct sup_settings *settings)
{
  static const struct srv_limits limits = {
    { 16384, 64u * 1024u * 1024u }, 60 * CLK_SECOND, 10 * CLK_SECOND, 0, 0, 0
  };
  struct sup *upstream = mem_alloc (1, sizeof *upstream);

  upstream->loop = loop;
  upstream->settings = *settings;
  if (settings->announced_address.port == 0)
    upstream->settings.announced_address = settings->address;
  upstream->last_descriptor = -1;
  upstream->born = clk_wall_ms ();
  snprintf (upstream->name, NAME_SIZE, "%s", settings->name);
  snprintf (upstream->service, NAME_SIZE, "%s", settings->service);
  snprintf (upstream->data_centre, NAME_SIZE, "%s", settings->data_centre);
  snprintf (upstream->version, NAME_SIZE, "%s",
            settings->version != NULL ? settings->version : "v1");
  evl_timer_init (&upstream->timer, loop, send_heartbeat, upstream);
  if (srv_create (loop, settings->address, &handlers, upstream, &limits,
                  &upstream->server)
      != SRV_OK)
    {
      free (upstream);
      return NULL;
    }
  send_heartbeat (upstream);
  return upstream;
}

void
sup_destroy (struct sup *upstream)
{
  struct lst_entry *link;

  if (upstream == NULL)
    return;
  while ((link = lst_pop_front (&upstream->runs)) != NULL)
    free_run (LST_ITEM (link, struct run, list));
  evl_timer_stop (&upstream->timer);
  cnx_close (upstream->heartbeat);
  srv_destroy (upstream->server);
  buf_close (&upstream->last_fields);
  free (upstream);
}

void
sup_go_dark (struct sup *upstream)
{
  upstream->fault = SUP_SILENT;
  evl_timer_stop (&upstream->timer);
  cnx_close (upstream->heartbeat);
  upstream->heartbeat = NULL;
  srv_stop_accepting (upstream->server);
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

void
sup_set_body_size (struct sup *upstream, size_t bytes)
{
  upstream->body_size = bytes;
}

void
sup_set_service_time (struct sup *upstream, clk_time work)
{
  upstream->settings.service_time = work;
}

void
sup_drain (struct sup *upstream)
{
  upstream->draining = true;
  send_heartbeat (upstream);
}

void
sup_deregister (struct sup *upstream)
{
  upstream->deregistering = true;
  send_heartbeat (upstream);
}

bool
sup_is_drain_acknowledged (const struct sup *upstream)
{
  return upstream->acknowledged;
}

uint64_t
sup_run_count (const struct sup *upstream)
{
  return upstream->done_count;
}

uint64_t
sup_request_count (const struct sup *upstream)
{
  return upstream->arrivals;
}

uint64_t
sup_duplicate_count (const struct sup *upstream)
{
  return upstream->repeats;
}

void
sup_set_health_failing (struct sup *upstream, bool on)
{
  upstream->health_failing = on;
}

uint64_t
sup_health_check_count (const struct sup *upstream)
{
  return upstream->health_checks;
}

clk_time
sup_last_request_time (const struct sup *upstream)
{
  return upstream->last_arrival;
}
