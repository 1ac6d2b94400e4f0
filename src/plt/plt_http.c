/* Platform client over HTTP, by libcurl.  */

#include "base/err.h"
#include "base/mem.h"
#include "plt/plt.h"
#include "plt/plt_list.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Largest body of a single object and of a list, in bytes.  */
#define MAX_OBJECT (1024u * 1024u)
#define MAX_LIST (16u * 1024u * 1024u)

/* Statuses of final responses.  */
#define MIN_FINAL_STATUS 200
#define MAX_FINAL_STATUS 599

struct http_client
{
  CURL *curl;
  char *url;
  const int *stop; /* null: calls run to their deadline */
};

struct exchange
{
  struct buf body;
  size_t limit; /* of the body, in bytes */
  char etag[PLT_ETAG_SIZE];
  bool has_whole_head; /* the empty line behind the last header came */
  long status;
};

/* The part of a request's body that has not been sent.  */
struct upload
{
  const uint8_t *data;
  size_t length;
};

static size_t
store_body (char *data, size_t size, size_t count, void *context)
{
  struct exchange *exchange = context;

  if (exchange->body.length + size * count > exchange->limit)
    return 0;
  buf_append (&exchange->body, data, size * count);
  return size * count;
}

static bool
is_empty_line (const char *line, size_t length)
{
  return (length == 1 && line[0] == '\n')
         || (length == 2 && line[0] == '\r' && line[1] == '\n');
}

/* libcurl passes each line of the header, and of those of interim responses.
   A response that ends in its header is a success for it.  */
static size_t
store_header (char *data, size_t size, size_t count, void *context)
{
  struct exchange *exchange = context;
  size_t length = size * count;
  size_t start = strlen ("ETag:");

  if (is_empty_line (data, length))
    exchange->has_whole_head = true;
  else if (length >= 5 && memcmp (data, "HTTP/", 5) == 0)
    exchange->has_whole_head = false;
  if (length <= start || strncasecmp (data, "ETag:", start) != 0)
    return length;
  while (start < length && data[start] == ' ')
    start++;
  size_t end = length;
  while (end > start && (data[end - 1] == '\r' || data[end - 1] == '\n'))
    end--;
  if (end - start < sizeof exchange->etag)
    {
      memcpy (exchange->etag, data + start, end - start);
      exchange->etag[end - start] = '\0';
    }
  return length;
}

static size_t
send_body (char *place, size_t size, size_t count, void *context)
{
  struct upload *upload = context;
  size_t length = size * count;

  if (length > upload->length)
    length = upload->length;
  memcpy (place, upload->data, length);
  upload->data += length;
  upload->length -= length;
  return length;
}

/* Returns whether any byte of the request may have left.  */
static enum plt_status
classify_failure (CURL *curl, CURLcode code)
{
  long sent = 0;

  curl_easy_getinfo (curl, CURLINFO_REQUEST_SIZE, &sent);
  if (sent == 0)
    return PLT_UNREACHABLE;
  switch (code)
    {
    case CURLE_WRITE_ERROR:          /* longer than the limit */
    case CURLE_PARTIAL_FILE:         /* truncated */
    case CURLE_UNSUPPORTED_PROTOCOL: /* no HTTP status line */
    case CURLE_WEIRD_SERVER_REPLY:
      return PLT_INVALID;
    default:
      return PLT_UNKNOWN;
    }
}

static enum plt_status
classify_status (long status)
{
  if (status >= 200 && status < 300)
    return status == 204 ? PLT_NOT_FOUND : PLT_OK;
  if (status < MIN_FINAL_STATUS || status > MAX_FINAL_STATUS)
    return PLT_INVALID;
  switch (status)
    {
    case 404:
      return PLT_NOT_FOUND;
    case 409:
    case 412:
      return PLT_CONFLICT;
    case 429:
      return PLT_BUSY;
    case 500:
    case 502:
    case 503:
    case 504:
      return PLT_UNKNOWN;
    default:
      return PLT_REFUSED;
    }
}

/* libcurl calls this about once a second; not 0 ends the transfer.  */
static int
must_stop (void *context, curl_off_t total_down, curl_off_t down,
           curl_off_t total_up, curl_off_t up)
{
  const struct http_client *client = context;

  (void)total_down;
  (void)down;
  (void)total_up;
  (void)up;
  return __atomic_load_n (client->stop, __ATOMIC_ACQUIRE);
}

/* Sends one request.  BODY and CONDITION (a header line) may be null.  */
static enum plt_status
perform (struct http_client *client, const char *method, const char *path,
         const char *condition, const struct buf *body, size_t limit,
         clk_time deadline, struct exchange *exchange)
{
  struct curl_slist *headers = NULL;
  char url[2 * PLT_KEY_SIZE + 512];
  struct upload upload = { 0 };
  CURLcode code;
  enum plt_status status;

  memset (exchange, 0, sizeof *exchange);
  exchange->limit = limit;
  snprintf (url, sizeof url, "%s%s", client->url, path);
  headers = curl_slist_append (headers, "Expect:");
  headers = curl_slist_append (headers, "Content-Type: application/json");
  if (condition != NULL)
    headers = curl_slist_append (headers, condition);
  curl_easy_reset (client->curl);
  curl_easy_setopt (client->curl, CURLOPT_URL, url);
  curl_easy_setopt (client->curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (client->curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (client->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (client->curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (client->curl, CURLOPT_TIMEOUT_MS,
                    (long)clk_poll_timeout (clk_now (), deadline, 120000) + 1);
  curl_easy_setopt (client->curl, CURLOPT_WRITEFUNCTION, store_body);
  curl_easy_setopt (client->curl, CURLOPT_WRITEDATA, exchange);
  curl_easy_setopt (client->curl, CURLOPT_HEADERFUNCTION, store_header);
  curl_easy_setopt (client->curl, CURLOPT_HEADERDATA, exchange);
  if (client->stop != NULL)
    {
      curl_easy_setopt (client->curl, CURLOPT_NOPROGRESS, 0L);
      curl_easy_setopt (client->curl, CURLOPT_XFERINFOFUNCTION, must_stop);
      curl_easy_setopt (client->curl, CURLOPT_XFERINFODATA, client);
    }
  if (body != NULL)
    {
      /* A body that cannot be rewound keeps libcurl from repeating a write by
         itself when a reused connection breaks before the response: the
         repeat would fail its condition and hide that the first one took
         effect.  */
      upload.data = body->data;
      upload.length = body->length;
      curl_easy_setopt (client->curl, CURLOPT_UPLOAD, 1L);
      curl_easy_setopt (client->curl, CURLOPT_READFUNCTION, send_body);
      curl_easy_setopt (client->curl, CURLOPT_READDATA, &upload);
      curl_easy_setopt (client->curl, CURLOPT_INFILESIZE_LARGE,
                        (curl_off_t)body->length);
    }
  code = curl_easy_perform (client->curl);
  curl_slist_free_all (headers);
  if (code != CURLE_OK)
    {
      err_set ("platform %s: %s", client->url, curl_easy_strerror (code));
      return classify_failure (client->curl, code);
    }
  if (!exchange->has_whole_head)
    {
      err_set ("platform %s: the response ends in its header", client->url);
      return PLT_INVALID;
    }
  curl_easy_getinfo (client->curl, CURLINFO_RESPONSE_CODE, &exchange->status);
  status = classify_status (exchange->status);
  if (status != PLT_OK)
    err_set ("platform %s answered %ld to %s %s", client->url,
             exchange->status, method, path);
  return status;
}

/* Moves the exchange's result into OBJECT, or frees it.  */
static enum plt_status
take_object (enum plt_status status, const char *key,
             struct exchange *exchange, struct plt_object *object)
{
  if (status == PLT_OK && exchange->etag[0] == '\0')
    {
      err_set ("platform sent object %s without an ETag", key);
      status = PLT_INVALID;
    }
  memset (object, 0, sizeof *object);
  if (status != PLT_OK)
    {
      buf_close (&exchange->body);
      return status;
    }
  snprintf (object->key, sizeof object->key, "%s", key);
  memcpy (object->etag, exchange->etag, sizeof object->etag);
  object->value = exchange->body;
  return PLT_OK;
}

static enum plt_status
http_get (void *state, const char *key, clk_time deadline,
          struct plt_object *object)
{
  char path[PLT_KEY_SIZE + 32];
  struct exchange exchange;
  enum plt_status status;

  snprintf (path, sizeof path, "/v1/objects/%s", key);
  status = perform (state, "GET", path, NULL, NULL, MAX_OBJECT, deadline,
                    &exchange);
  if (exchange.status == 204)
    {
      err_set ("platform sent no content for object %s", key);
      status = PLT_INVALID;
    }
  return take_object (status, key, &exchange, object);
}

static enum plt_status
http_put (void *state, const char *key, enum plt_condition condition,
          const char *etag, const struct buf *value, clk_time deadline,
          char new_etag[PLT_ETAG_SIZE])
{
  char path[PLT_KEY_SIZE + 32];
  char header[PLT_ETAG_SIZE + 32];
  struct exchange exchange;
  enum plt_status status;

  snprintf (path, sizeof path, "/v1/objects/%s", key);
  if (condition == PLT_IF_ABSENT)
    snprintf (header, sizeof header, "If-None-Match: *");
  else
    snprintf (header, sizeof header, "If-Match: %s", etag);
  status = perform (state, "PUT", path, header, value, MAX_OBJECT, deadline,
                    &exchange);
  memcpy (new_etag, exchange.etag, sizeof exchange.etag);
  buf_close (&exchange.body);
  if (exchange.status == 404 && condition == PLT_IF_MATCH)
    return PLT_CONFLICT;
  if (exchange.status >= 200 && exchange.status < 300)
    {
      if (exchange.etag[0] != '\0')
        return PLT_OK;
      err_set ("platform confirmed the write of %s without an ETag", key);
      return PLT_INVALID;
    }
  return status;
}

static enum plt_status
http_remove (void *state, const char *key, const char *etag, clk_time deadline)
{
  char path[PLT_KEY_SIZE + 32];
  char header[PLT_ETAG_SIZE + 32];
  struct exchange exchange;
  enum plt_status status;

  snprintf (path, sizeof path, "/v1/objects/%s", key);
  snprintf (header, sizeof header, "If-Match: %s", etag);
  status = perform (state, "DELETE", path, header, NULL, MAX_OBJECT, deadline,
                    &exchange);
  buf_close (&exchange.body);
  /* 204 means that the object was removed.  */
  return status == PLT_NOT_FOUND && exchange.status == 204 ? PLT_OK : status;
}

static enum plt_status
http_list (void *state, const char *prefix, clk_time deadline,
           struct plt_list *list)
{
  char path[PLT_KEY_SIZE + 32];
  struct exchange exchange;
  enum plt_status status;

  memset (list, 0, sizeof *list);
  snprintf (path, sizeof path, "/v1/objects?prefix=%s", prefix);
  status = perform (state, "GET", path, NULL, NULL, MAX_LIST, deadline,
                    &exchange);
  if (status == PLT_OK)
    status = plt_list_decode (buf_text (&exchange.body), exchange.body.length,
                              list);
  buf_close (&exchange.body);
  return status;
}

static enum plt_status
http_watch (void *state, const char *key, const char *etag, clk_time deadline,
            struct plt_object *object)
{
  char path[2 * PLT_KEY_SIZE + 64];
  struct exchange exchange;
  enum plt_status status;
  char plain[PLT_ETAG_SIZE];
  size_t length = 0;

  /* The query takes the ETag without its quotes.  */
  for (const char *c = etag; *c != '\0'; c++)
    if (*c != '"')
      plain[length++] = *c;
  plain[length] = '\0';
  snprintf (path, sizeof path, "/v1/watch?key=%s&after=%s&timeout_ms=%d", key,
            plain, clk_poll_timeout (clk_now (), deadline, 60000));
  status = perform (state, "GET", path, NULL, NULL, MAX_OBJECT,
                    deadline + CLK_SECOND, &exchange);
  return take_object (status, key, &exchange, object);
}

static void
http_destroy (void *state)
{
  struct http_client *client = state;

  curl_easy_cleanup (client->curl);
  free (client->url);
  free (client);
}

static const struct plt_operations http_operations
    = { http_get, http_put, http_remove, http_list, http_watch, http_destroy };

struct plt_client
plt_open_http (const char *url)
{
  struct http_client *client = mem_alloc (1, sizeof *client);

  client->curl = curl_easy_init ();
  client->url = mem_copy_string (url);
  if (client->curl == NULL)
    abort ();
  return (struct plt_client){ &http_operations, client };
}

void
plt_close (struct plt_client *client)
{
  if (client->operations != NULL)
    client->operations->destroy (client->state);
  memset (client, 0, sizeof *client);
}

void
plt_object_close (struct plt_object *object)
{
  buf_close (&object->value);
}

const char *
plt_describe (enum plt_status status)
{
  static const char *const texts[]
      = { "done",
          "there is no such object",
          "somebody else changed the object first",
          "the platform has no capacity left for this call; try again soon",
          "the platform cannot be reached; check its address and try again",
          "the platform did not answer, so the result is not known",
          "the platform refused the request",
          "the platform's answer cannot be understood" };

  return texts[status];
}

void
plt_http_stop_on (struct plt_client *client, const int *stop)
{
  struct http_client *http = client->state;

  http->stop = stop;
}
