/* Stand-in for the platform's object API: HTTP/1.1 and JSON, in memory.

   Usage: standin-platform ADDRESS

   GET, PUT, DELETE /v1/objects/KEY   with ETag, If-Match, If-None-Match
   GET /v1/objects?prefix=P           {"objects":[{"key","etag","value"}]}
   GET /v1/watch?key=K&after=E&timeout_ms=T   204 when nothing changed
   PUT /v1/faults    {"down":bool,"slow_ms":n,"lose":n,"drop":n,
                      "drop_reads":n,"down_after":n}; what is missing is off
   PUT /v1/budget    {"reads":n,"writes":n} a second, 429 past it; 0: no limit;
                     watches count as reads
   PUT /v1/restore   {"key":k,"value":v}: an older value under a new ETag
   GET /v1/counts    reads, writes, watches, refused, bytes_in, bytes_out since
                     the start, and objects  */

#include "base/clk.h"
#include "platform_faults.h"
#include "platform_store.h"

#include <civetweb.h>
#include <signal.h>
#include <stdatomic.h>
#include <time.h>
#include <unistd.h>

/* Every waiting watch and every idle connection holds a thread.  */
/* The thread sanitizer has room for 512 threads on arm64.  */
#ifdef __SANITIZE_THREAD__
#define THREADS "384"
#else
#define THREADS "768"
#endif

static int
respond (struct mg_connection *connection, int status, unsigned long etag,
         const char *body, size_t length)
{
  char header[256];
  char tag[48] = "";
  int size;

  if (etag > 0)
    snprintf (tag, sizeof tag, "ETag: \"%lu\"\r\n", etag);
  size = snprintf (header, sizeof header,
                   "HTTP/1.1 %d %s\r\n%s%sContent-Type: application/json\r\n"
                   "Content-Length: %zu\r\nConnection: keep-alive\r\n\r\n",
                   status, mg_get_response_code_text (connection, status), tag,
                   status == 429 ? "Retry-After: 1\r\n" : "", length);
  pthread_mutex_lock (&lock);
  counts.bytes_out += (unsigned long)size + length;
  pthread_mutex_unlock (&lock);
  mg_write (connection, header, (size_t)size);
  if (length > 0)
    mg_write (connection, body, length);
  return status;
}

static int
respond_empty (struct mg_connection *connection, int status,
               unsigned long etag)
{
  return respond (connection, status, etag, "{}", status == 204 ? 0 : 2);
}

static int
respond_json (struct mg_connection *connection, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  int status = respond (connection, 200, 0, text, strlen (text));

  free (text);
  json_decref (root);
  return status;
}

static int
break_connection (struct mg_connection *connection)
{
  mg_close_connection (connection);
  return 500;
}

static unsigned long
request_size (const struct mg_request_info *info)
{
  unsigned long size = strlen (info->request_method)
                       + strlen (info->request_uri)
                       + strlen ("  HTTP/1.1\r\n");

  if (info->query_string != NULL)
    size += strlen (info->query_string) + 1;
  for (int i = 0; i < info->num_headers; i++)
    size += strlen (info->http_headers[i].name)
            + strlen (info->http_headers[i].value) + strlen (": \r\n");
  return size + strlen ("\r\n");
}

/* Counts a call and applies the switched-on faults.  Returns 0 when it may go
   on, else the status that was sent.  */
static int
admit (struct mg_connection *connection, enum call_kind kind)
{
  unsigned long size = request_size (mg_get_request_info (connection));
  bool admitted;
  bool drop;
  bool down;
  int wait;

  pthread_mutex_lock (&lock);
  counts.bytes_in += size;
  wait = faults.slow_ms;
  down = faults_down ();
  admitted = counts_admit (kind, clk_now ());
  drop = admitted && !down && faults_drop (kind);
  pthread_mutex_unlock (&lock);
  if (wait > 0)
    usleep ((useconds_t)wait * 1000);
  if (down)
    return respond_empty (connection, 503, 0);
  if (!admitted)
    return respond_empty (connection, 429, 0);
  return drop ? break_connection (connection) : 0;
}

static bool
read_body (struct mg_connection *connection, struct buf *body)
{
  char part[16384];
  int count;

  while ((count = mg_read (connection, part, sizeof part)) > 0)
    {
      buf_append (body, part, (size_t)count);
      if (body->length > MAX_VALUE)
        return false;
    }
  pthread_mutex_lock (&lock);
  counts.bytes_in += body->length;
  pthread_mutex_unlock (&lock);
  return true;
}

/* Returns whether the conditions of a write hold; with the lock held.  */
static bool
condition_holds (struct mg_connection *connection, const struct object *object)
{
  const char *match = mg_get_header (connection, "If-Match");
  char etag[32];

  if (mg_get_header (connection, "If-None-Match") != NULL)
    return object == NULL;
  if (match == NULL)
    return true;
  if (object == NULL)
    return false;
  snprintf (etag, sizeof etag, "\"%lu\"", object->etag);
  return strcmp (match, etag) == 0;
}

/* Closes without a response when a lost answer is due.  */
static int
finish_write (struct mg_connection *connection, int status, unsigned long etag)
{
  bool lose;

  pthread_mutex_lock (&lock);
  lose = status < 300 && faults.lose > 0;
  if (lose)
    faults.lose--;
  pthread_mutex_unlock (&lock);
  return lose ? break_connection (connection)
              : respond_empty (connection, status, etag);
}

static int
serve_put (struct mg_connection *connection, const char *key)
{
  struct buf body = { 0 };
  unsigned long etag = 0;
  int status = 412;

  if (strlen (key) > MAX_KEY || !read_body (connection, &body))
    status = 413;
  else
    {
      pthread_mutex_lock (&lock);
      if (condition_holds (connection, store_find (key)))
        {
          etag = store_set (key, &body);
          status = etag > 0 ? 200 : 507;
        }
      pthread_mutex_unlock (&lock);
    }
  buf_close (&body);
  return finish_write (connection, status, etag);
}

static int
serve_delete (struct mg_connection *connection, const char *key)
{
  const struct object *object;
  int status = 404;

  pthread_mutex_lock (&lock);
  object = store_find (key);
  if (object != NULL)
    {
      status = condition_holds (connection, object) ? 200 : 412;
      if (status == 200)
        store_remove (key);
    }
  pthread_mutex_unlock (&lock);
  return finish_write (connection, status, 0);
}

/* Copies the object; with the lock held.  Returns its ETag.  */
static unsigned long
copy_object (const struct object *object, struct buf *value)
{
  buf_append (value, buf_text (&object->value), object->value.length);
  return object->etag;
}

static int
serve_get (struct mg_connection *connection, const char *key)
{
  const struct object *object;
  struct buf value = { 0 };
  unsigned long etag = 0;
  int status;

  pthread_mutex_lock (&lock);
  object = store_find (key);
  if (object != NULL)
    etag = copy_object (object, &value);
  pthread_mutex_unlock (&lock);
  status = etag > 0 ? respond (connection, 200, etag, buf_text (&value),
                               value.length)
                    : respond_empty (connection, 404, 0);
  buf_close (&value);
  return status;
}

static int
serve_list (struct mg_connection *connection, const char *query)
{
  char prefix[PLT_KEY_SIZE] = "";
  json_t *list;

  mg_get_var (query, strlen (query), "prefix", prefix, sizeof prefix);
  pthread_mutex_lock (&lock);
  list = store_list (prefix);
  pthread_mutex_unlock (&lock);
  return respond_json (connection, json_pack ("{s:o}", "objects", list));
}

static int
serve_objects (struct mg_connection *connection, void *context)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  const char *key = info->local_uri + strlen ("/v1/objects");
  const char *query = info->query_string != NULL ? info->query_string : "";
  bool put = strcmp (info->request_method, "PUT") == 0;
  bool delete = strcmp (info->request_method, "DELETE") == 0;
  int status = admit (connection, put || delete ? CALL_WRITE : CALL_READ);

  (void)context;
  if (status != 0)
    return status;
  if (*key == '/')
    key++;
  if (*key == '\0')
    return put || delete ? respond_empty (connection, 400, 0)
                         : serve_list (connection, query);
  if (put)
    return serve_put (connection, key);
  return delete ? serve_delete (connection, key) : serve_get (connection, key);
}

/* Waits for another ETag than KNOWN.  Returns the ETag and the value, or 0. */
static unsigned long
await_change (const char *key, unsigned long known, clk_time deadline,
              struct buf *value, bool *down)
{
  struct timespec end = clk_to_timespec (deadline);
  const struct object *object;
  unsigned long etag = 0;

  pthread_mutex_lock (&lock);
  for (;;)
    {
      object = store_find (key);
      if (faults.down || (object != NULL && object->etag != known)
          || pthread_cond_timedwait (store_changed (key), &lock, &end) != 0)
        break;
    }
  object = store_find (key);
  *down = faults.down;
  if (!*down && object != NULL && object->etag != known)
    etag = copy_object (object, value);
  pthread_mutex_unlock (&lock);
  return etag;
}

static int
serve_watch (struct mg_connection *connection, void *context)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  const char *query = info->query_string != NULL ? info->query_string : "";
  char key[PLT_KEY_SIZE] = "";
  char after[32] = "";
  char timeout[32] = "";
  struct buf value = { 0 };
  unsigned long etag;
  bool down;
  int status = admit (connection, CALL_WATCH);

  (void)context;
  if (status != 0)
    return status;
  mg_get_var (query, strlen (query), "key", key, sizeof key);
  mg_get_var (query, strlen (query), "timeout_ms", timeout, sizeof timeout);
  mg_get_var (query, strlen (query), "after", after, sizeof after);
  etag = await_change (key, strtoul (after, NULL, 10),
                       clk_now ()
                           + strtol (timeout, NULL, 10) * CLK_MILLISECOND,
                       &value, &down);
  if (etag > 0)
    status = respond (connection, 200, etag, buf_text (&value), value.length);
  else
    status = respond_empty (connection, down ? 503 : 204, 0);
  buf_close (&value);
  return status;
}

static void
apply_restore (const json_t *root)
{
  const char *key = json_string_value (json_object_get (root, "key"));
  const json_t *value = json_object_get (root, "value");
  struct buf text = { 0 };

  if (key == NULL || strlen (key) > MAX_KEY || !json_is_string (value))
    return;
  buf_append (&text, json_string_value (value), json_string_length (value));
  store_set (key, &text);
  buf_close (&text);
}

static void
apply_faults (const json_t *root)
{
  faults_set (root);
  store_wake_all ();
}

static void
apply_budget (const json_t *root)
{
  limit_set (&read_limit, json_object_get (root, "reads"));
  limit_set (&write_limit, json_object_get (root, "writes"));
}

/* One switch: a JSON object applied with the lock held.  */
struct control
{
  void (*apply) (const json_t *root);
};

static int
serve_control (struct mg_connection *connection, void *context)
{
  const struct control *control = context;
  struct buf body = { 0 };
  json_t *root = NULL;

  if (read_body (connection, &body))
    root = json_loadb (buf_text (&body), body.length, 0, NULL);
  buf_close (&body);
  if (!json_is_object (root))
    {
      json_decref (root);
      return respond_empty (connection, 400, 0);
    }
  pthread_mutex_lock (&lock);
  control->apply (root);
  pthread_mutex_unlock (&lock);
  json_decref (root);
  return respond_empty (connection, 200, 0);
}

static int
serve_counts (struct mg_connection *connection, void *context)
{
  json_t *root;

  (void)context;
  pthread_mutex_lock (&lock);
  root = counts_json (object_count);
  pthread_mutex_unlock (&lock);
  return respond_json (connection, root);
}

/* Whether all handlers are set: CivetWeb serves before they can be, and
   answers 405 to writes then.  */
static atomic_bool is_ready;

/* Holds requests back until the handlers are set.  */
static int
await_handlers (struct mg_connection *connection)
{
  (void)connection;
  while (!atomic_load (&is_ready))
    usleep (1000);
  return 0;
}

int
main (int count, char **arguments)
{
  static struct control controls[]
      = { { apply_faults }, { apply_budget }, { apply_restore } };
  struct mg_callbacks callbacks = { .begin_request = await_handlers };
  struct mg_context *server;
  sigset_t signals;
  int number;

  if (count != 2)
    {
      fprintf (stderr, "Usage: standin-platform ADDRESS\n");
      return 2;
    }
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  const char *options[] = { "listening_ports",
                            arguments[1],
                            "num_threads",
                            THREADS,
                            "connection_queue",
                            "512",
                            "listen_backlog",
                            "512",
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            "10000",
                            "tcp_nodelay",
                            "1",
                            NULL };

  store_init ();
  server = mg_start (&callbacks, NULL, options);
  if (server == NULL)
    {
      fprintf (stderr, "%s cannot be served.\n", arguments[1]);
      return 1;
    }
  mg_set_request_handler (server, "/v1/objects", serve_objects, NULL);
  mg_set_request_handler (server, "/v1/watch$", serve_watch, NULL);
  mg_set_request_handler (server, "/v1/faults$", serve_control, &controls[0]);
  mg_set_request_handler (server, "/v1/budget$", serve_control, &controls[1]);
  mg_set_request_handler (server, "/v1/restore$", serve_control, &controls[2]);
  mg_set_request_handler (server, "/v1/counts$", serve_counts, NULL);
  atomic_store (&is_ready, true);
  sigwait (&signals, &number);
  return 0;
}
