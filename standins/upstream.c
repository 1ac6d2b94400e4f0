/* Stand-in for an upstream: announces itself to its node, answers calls with
   its name, fails on demand and counts what it executed.

   Usage: standin-upstream ADDRESS ADMIN SERVICE NAME SLOTS

   On its own address:
   GET /ledger      {"KEY": executions, ...} by Idempotency-Key
   GET /counts      executions, after leaving and 2 s after that, refused, ...
   PUT /behaviour   JSON; absent members stay as they are:
     delay_ms           service time
     slow_factor        multiplies the service time
     cold_ms            the service time falls from 10 times to 1 time over
                        this long, from now on
     fail_share         share (0 to 1) of calls answered with fail_status
     fail_leaf_share    likewise, of the calls that make no nested call
     fail_status        default 500
     close_after_run    executes, then closes without a response
     truncate           states the whole length, sends half, closes
     body_bytes         length of the response; 0: one line
     refuse_beyond_slots closes connections without executing
     reported_slots     announces this many slots; 0: the true number
     linger_ms          stays this long at least after it announced leaving

   A call with the header Call-Next: URL[,URL...] makes a nested call to the
   first URL, with the others as its Call-Next and the same context, and adds
   contexts and answers to its own; 502 after a nested call that failed.  */

#include "base/buf.h"
#include "base/clk.h"
#include "base/rnd.h"
#include "wire/ctx.h"

#include <civetweb.h>
#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#define COLD_FACTOR 10.0
#define RETRIES_HEADER "Mulberryshift-Retries:"
#define LEAVE_LIMIT (2 * CLK_SECOND)

struct behaviour
{
  int delay_ms;
  double slow_factor;
  int cold_ms;
  clk_time cold_until;
  double fail_share;
  double fail_leaf_share;
  int fail_status;
  int close_after_run;
  int truncate;
  int body_bytes;
  int refuse_beyond_slots;
  int reported_slots;
  int linger_ms;
};

static const char *upstream_name;
static int slots;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct behaviour behaviour
    = { .slow_factor = 1, .fail_status = 500, .linger_ms = 100 };
static struct rnd random_state;
static json_t *ledger;
static clk_time left_at = CLK_NEVER;
static int executions;
static int after_leaving;
static int after_limit;
static int refused;
static int running;
static int highest;

static void
send_text (struct mg_connection *connection, int status, const char *headers,
           const char *body, size_t stated, size_t sent)
{
  mg_printf (connection,
             "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n"
             "Content-Length: %zu\r\nConnection: keep-alive\r\n%s\r\n",
             status, mg_get_response_code_text (connection, status), stated,
             headers);
  mg_write (connection, body, sent);
}

static int
send_json (struct mg_connection *connection, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);

  send_text (connection, 200, "", text, strlen (text), strlen (text));
  free (text);
  json_decref (root);
  return 200;
}

static int
serve_ledger (struct mg_connection *connection)
{
  json_t *copy;

  pthread_mutex_lock (&lock);
  copy = json_deep_copy (ledger);
  pthread_mutex_unlock (&lock);
  return send_json (connection, copy);
}

static int
serve_counts (struct mg_connection *connection)
{
  json_t *root;

  pthread_mutex_lock (&lock);
  root = json_pack ("{s:i, s:i, s:i, s:i, s:i, s:i}", "executions", executions,
                    "after_leaving", after_leaving, "after_leaving_2s",
                    after_limit, "refused", refused, "running", running,
                    "highest", highest);
  pthread_mutex_unlock (&lock);
  return send_json (connection, root);
}

static void
read_body (struct mg_connection *connection, struct buf *body)
{
  char part[8192];
  int count;

  while ((count = mg_read (connection, part, sizeof part)) > 0)
    buf_append (body, part, (size_t)count);
}

static int
serve_behaviour (struct mg_connection *connection)
{
  struct buf body = { 0 };
  struct behaviour wanted;
  json_t *root;
  bool valid;

  read_body (connection, &body);
  root = json_loadb (buf_text (&body), body.length, 0, NULL);
  buf_close (&body);
  pthread_mutex_lock (&lock);
  wanted = behaviour;
  wanted.cold_ms = 0;
  valid = root != NULL
          && json_unpack (root,
                          "{s?i, s?F, s?i, s?F, s?F, s?i, s?b, s?b, s?i, s?b, "
                          "s?i, s?i !}",
                          "delay_ms", &wanted.delay_ms, "slow_factor",
                          &wanted.slow_factor, "cold_ms", &wanted.cold_ms,
                          "fail_share", &wanted.fail_share, "fail_leaf_share",
                          &wanted.fail_leaf_share, "fail_status",
                          &wanted.fail_status, "close_after_run",
                          &wanted.close_after_run, "truncate",
                          &wanted.truncate, "body_bytes", &wanted.body_bytes,
                          "refuse_beyond_slots", &wanted.refuse_beyond_slots,
                          "reported_slots", &wanted.reported_slots,
                          "linger_ms", &wanted.linger_ms)
                 == 0;
  if (valid && wanted.cold_ms > 0)
    wanted.cold_until = clk_now () + wanted.cold_ms * CLK_MILLISECOND;
  else
    wanted.cold_ms = behaviour.cold_ms;
  if (valid)
    behaviour = wanted;
  pthread_mutex_unlock (&lock);
  json_decref (root);
  send_text (connection, valid ? 200 : 400, "", "\n", 1, 1);
  return 200;
}

/* Counts the start of an execution.  Returns false when it is refused.  */
static bool
begin_execution (const char *key, bool leaf, struct behaviour *now_wanted,
                 bool *fail)
{
  clk_time now = clk_now ();
  bool accepted;

  pthread_mutex_lock (&lock);
  *now_wanted = behaviour;
  *fail = rnd_unit (&random_state)
          < (leaf && behaviour.fail_leaf_share > behaviour.fail_share
                 ? behaviour.fail_leaf_share
                 : behaviour.fail_share);
  accepted = !behaviour.refuse_beyond_slots || running < slots;
  if (accepted)
    {
      executions++;
      after_leaving += now >= left_at;
      after_limit += left_at != CLK_NEVER && now >= left_at + LEAVE_LIMIT;
      running++;
      highest = running > highest ? running : highest;
    }
  else
    refused++;
  if (accepted && key != NULL)
    json_object_set_new (
        ledger, key,
        json_integer (json_integer_value (json_object_get (ledger, key)) + 1));
  pthread_mutex_unlock (&lock);
  return accepted;
}

static void
end_execution (void)
{
  pthread_mutex_lock (&lock);
  running--;
  pthread_mutex_unlock (&lock);
}

/* Waits for the service time.  */
static void
serve_time (const struct behaviour *wanted)
{
  double factor = wanted->slow_factor;
  clk_time now = clk_now ();

  if (now < wanted->cold_until && wanted->cold_ms > 0)
    factor *= 1
              + (COLD_FACTOR - 1) * (double)(wanted->cold_until - now)
                    / ((double)wanted->cold_ms * CLK_MILLISECOND);
  if (wanted->delay_ms > 0)
    usleep ((useconds_t)(wanted->delay_ms * factor * 1000));
}

static size_t
store (char *data, size_t size, size_t count, void *context)
{
  buf_append (context, data, size * count);
  return size * count;
}

static struct curl_slist *
copy_header (struct curl_slist *list, struct mg_connection *connection,
             const char *name)
{
  const char *value = mg_get_header (connection, name);
  struct buf line = { 0 };

  if (value == NULL)
    return list;
  buf_printf (&line, "%s: %s", name, value);
  list = curl_slist_append (list, buf_text (&line));
  buf_close (&line);
  return list;
}

/* Keeps the value of Mulberryshift-Retries.  */
static size_t
store_header (char *data, size_t size, size_t count, void *context)
{
  size_t length = size * count;

  if (length > strlen (RETRIES_HEADER)
      && strncasecmp (data, RETRIES_HEADER, strlen (RETRIES_HEADER)) == 0)
    buf_append (context, data, length);
  return length;
}

/* Appends the contexts and the answer of the nested call to TEXT, and to
   HEADERS what it says about retries.  Returns whether it succeeded.  */
static bool
call_next (struct mg_connection *connection, const char *list,
           struct buf *text, struct buf *headers)
{
  CURL *curl = curl_easy_init ();
  struct curl_slist *fields = copy_header (NULL, connection, CTX_HEADER);
  size_t length = strcspn (list, ",");
  bool more = list[length] == ',';
  struct buf url = { 0 };
  struct buf rest = { 0 };
  struct buf answer = { 0 };
  long status = 0;

  buf_append (&url, list, length);
  /* The last call of a chain has an empty Call-Next.  */
  buf_printf (&rest, more ? "Call-Next: %s" : "Call-Next;%s",
              list + length + more);
  fields = curl_slist_append (fields, buf_text (&rest));
  curl_easy_setopt (curl, CURLOPT_URL, buf_text (&url));
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, fields);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, 30000L);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, store);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &answer);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, store_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, headers);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  buf_printf (text, "next %ld %s", status, buf_text (&answer));
  curl_slist_free_all (fields);
  curl_easy_cleanup (curl);
  buf_close (&url);
  buf_close (&rest);
  buf_close (&answer);
  return status == 200;
}

static void
fill_body (struct buf *text, int length)
{
  for (int i = 0; i < length; i++)
    {
      char letter = (char)('a' + (i + i / 1000) % 26);

      buf_append (text, &letter, 1);
    }
}

/* Writes the body of the response; returns its status.  */
static int
compose (struct mg_connection *connection, const struct behaviour *wanted,
         struct buf *text, struct buf *headers)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  const char *next = mg_get_header (connection, "Call-Next");
  const char *context = mg_get_header (connection, CTX_HEADER);

  if (wanted->body_bytes > 0)
    fill_body (text, wanted->body_bytes);
  else
    buf_printf (text, "%s %s %s\n", upstream_name, info->request_method,
                info->local_uri);
  if (next == NULL)
    return 200;
  buf_printf (text, "context %s\n", context != NULL ? context : "-");
  if (next[0] == '\0')
    return 200;
  return call_next (connection, next, text, headers) ? 200 : 502;
}

static int
serve_execution (struct mg_connection *connection)
{
  const char *next = mg_get_header (connection, "Call-Next");
  bool leaf = next == NULL || next[0] == '\0';
  struct behaviour wanted;
  struct buf text = { 0 };
  struct buf headers = { 0 };
  bool fail;

  read_body (connection, &text);
  text.length = 0;
  if (!begin_execution (mg_get_header (connection, "Idempotency-Key"), leaf,
                        &wanted, &fail))
    {
      buf_close (&text);
      mg_close_connection (connection);
      return 500;
    }
  serve_time (&wanted);
  int status = compose (connection, &wanted, &text, &headers);

  if (wanted.close_after_run)
    mg_close_connection (connection);
  else
    send_text (connection, fail ? wanted.fail_status : status,
               buf_text (&headers), buf_text (&text), text.length,
               wanted.truncate ? text.length / 2 : text.length);
  if (wanted.truncate && !wanted.close_after_run)
    mg_close_connection (connection);
  end_execution ();
  buf_close (&text);
  buf_close (&headers);
  return wanted.close_after_run || wanted.truncate ? 500 : 200;
}

static int
serve (struct mg_connection *connection)
{
  const struct mg_request_info *info = mg_get_request_info (connection);

  if (strcmp (info->local_uri, "/ledger") == 0)
    return serve_ledger (connection);
  if (strcmp (info->local_uri, "/counts") == 0)
    return serve_counts (connection);
  if (strcmp (info->local_uri, "/behaviour") == 0)
    return serve_behaviour (connection);
  return serve_execution (connection);
}

/* Sends PUT or DELETE to the node beside this upstream.  */
static void
announce (const char *admin, const char *method, const char *body)
{
  CURL *curl = curl_easy_init ();
  struct buf url = { 0 };
  struct buf answer = { 0 };

  buf_printf (&url, "http://%s/v1/upstream", admin);
  curl_easy_setopt (curl, CURLOPT_URL, buf_text (&url));
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, 1000L);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, store);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &answer);
  curl_easy_perform (curl);
  curl_easy_cleanup (curl);
  buf_close (&url);
  buf_close (&answer);
}

static void
announce_presence (char **arguments)
{
  struct buf body = { 0 };
  int reported;

  pthread_mutex_lock (&lock);
  reported = behaviour.reported_slots > 0 ? behaviour.reported_slots : slots;
  pthread_mutex_unlock (&lock);
  buf_printf (&body,
              "{\"service\":\"%s\",\"name\":\"%s\",\"address\":\"%s\","
              "\"slots\":%d,\"connections\":100}",
              arguments[3], arguments[4], arguments[1], reported);
  announce (arguments[2], "PUT", buf_text (&body));
  buf_close (&body);
}

/* Announces leaving, then waits until running calls have finished.  */
static void
leave (const char *admin)
{
  clk_time earliest;
  bool busy = true;

  announce (admin, "DELETE", "");
  pthread_mutex_lock (&lock);
  left_at = clk_now ();
  earliest = left_at + behaviour.linger_ms * CLK_MILLISECOND;
  pthread_mutex_unlock (&lock);
  while (busy)
    {
      usleep (10000);
      pthread_mutex_lock (&lock);
      busy = running > 0 || clk_now () < earliest;
      pthread_mutex_unlock (&lock);
    }
}

int
main (int count, char **arguments)
{
  struct mg_callbacks callbacks = { .begin_request = serve };
  struct timespec second = { .tv_sec = 1 };
  struct mg_context *server;
  sigset_t signals;

  if (count != 6)
    {
      fprintf (stderr,
               "Usage: standin-upstream ADDRESS ADMIN SERVICE NAME SLOTS\n");
      return 2;
    }
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  const char *options[] = { "listening_ports",
                            arguments[1],
                            "num_threads",
                            "128",
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            "60000",
                            "tcp_nodelay",
                            "1",
                            NULL };

  upstream_name = arguments[4];
  slots = (int)strtol (arguments[5], NULL, 10);
  ledger = json_object ();
  rnd_init (&random_state, 1);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  server = mg_start (&callbacks, NULL, options);
  if (server == NULL)
    return 1;
  do
    announce_presence (arguments);
  while (sigtimedwait (&signals, NULL, &second) < 0);
  leave (arguments[2]);
  mg_stop (server);
  json_decref (ledger);
  return 0;
}
