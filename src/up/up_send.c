/* HTTP/1.1 client to the upstream beside this node.

   libcurl repeats a request by itself when a kept connection closes before
   the first byte of the response, which could run a call twice; a fresh
   connection for every call avoids that but costs a handshake.  This client
   keeps its connection and never repeats.  */

#include "base/mem.h"
#include "up/up.h"

#include "base/buf.h"
#include "base/err.h"
#include "up/up_parse.h"
#include "wire/ctx.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

/* A connection idle for longer is not used again: the upstream may be about to
   close it, and a request that crosses the close has an unknown outcome.
   Servers close idle connections after 2 s or more.  */
#define MAX_IDLE CLK_SECOND

#define MAX_POLL_MS 60000
#define READ_SIZE 65536

struct up_client
{
  pthread_mutex_t lock; /* socket and cancelled */
  int socket;           /* -1: none */
  bool cancelled;
  struct net_address address;
  clk_time idle_until;
  struct buf output;
  uint8_t input[READ_SIZE];
};

struct up_client *
up_create (void)
{
  struct up_client *client = mem_alloc (1, sizeof *client);

  pthread_mutex_init (&client->lock, NULL);
  client->socket = -1;
  return client;
}

/* Replaces the connection; SOCKET may be -1.  Returns false when the request
   was cancelled.  */
static bool
set_socket (struct up_client *client, int socket)
{
  bool cancelled;

  pthread_mutex_lock (&client->lock);
  if (client->socket >= 0)
    close (client->socket);
  client->socket = socket;
  cancelled = client->cancelled;
  pthread_mutex_unlock (&client->lock);
  return !cancelled;
}

void
up_destroy (struct up_client *client)
{
  if (client == NULL)
    return;
  set_socket (client, -1);
  buf_close (&client->output);
  pthread_mutex_destroy (&client->lock);
  free (client);
}

void
up_reset (struct up_client *client)
{
  pthread_mutex_lock (&client->lock);
  client->cancelled = false;
  pthread_mutex_unlock (&client->lock);
}

void
up_cancel (struct up_client *client)
{
  pthread_mutex_lock (&client->lock);
  client->cancelled = true;
  if (client->socket >= 0)
    shutdown (client->socket, SHUT_RDWR);
  pthread_mutex_unlock (&client->lock);
}

/* Returns whether the kept connection looks usable: recently used, to the same
   address, neither closed nor readable.  */
static bool
is_usable (struct up_client *client, struct net_address address)
{
  char byte;

  return client->socket >= 0 && net_equal (client->address, address)
         && clk_now () < client->idle_until
         && recv (client->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static bool
connect_upstream (struct up_client *client, const struct up_request *request)
{
  int socket;

  set_socket (client, -1);
  socket = net_connect (request->address, request->deadline);
  if (socket < 0)
    return false;
  client->address = request->address;
  if (set_socket (client, socket))
    return true;
  err_set ("the call was cancelled");
  return false;
}

/* Returns whether TEXT has no space, control character or line end.  */
static bool
is_word (const char *text)
{
  if (*text == '\0')
    return false;
  for (; *text != '\0'; text++)
    if ((unsigned char)*text <= ' ' || *text == 127)
      return false;
  return true;
}

static bool
is_value (const char *text)
{
  for (; *text != '\0'; text++)
    if (((unsigned char)*text < ' ' && *text != '\t') || *text == 127)
      return false;
  return true;
}

/* Headers that this client writes itself.  */
static bool
is_own (const char *name)
{
  static const char *const names[]
      = { "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
          "Upgrade",    "TE",         "Proxy-Connection",  "Trailer",
          "Expect",     CTX_HEADER };

  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    if (strcasecmp (names[i], name) == 0)
      return true;
  return false;
}

/* Writes the head to OUTPUT.  Returns false for a request that could be read
   as another one.  */
static bool
build_head (const struct up_request *request, struct buf *output)
{
  const Mesh__Call *call = request->call;
  char address[NET_TEXT_SIZE];
  bool has_host = false;

  output->length = 0;
  if (!is_word (call->method) || !is_word (call->target)
      || call->target[0] != '/')
    return false;
  buf_printf (output, "%s %s HTTP/1.1\r\n", call->method, call->target);
  for (size_t i = 0; i < call->n_headers; i++)
    {
      const Mesh__Header *header = call->headers[i];

      if (!is_word (header->name) || strchr (header->name, ':') != NULL
          || !is_value (header->value))
        return false;
      if (is_own (header->name))
        continue;
      has_host = has_host || strcasecmp (header->name, "Host") == 0;
      buf_printf (output, "%s: %s\r\n", header->name, header->value);
    }
  net_format (request->address, address);
  if (!has_host)
    buf_printf (output, "Host: %s\r\n", address);
  if (request->body_length > 0 || strcmp (call->method, "POST") == 0
      || strcmp (call->method, "PUT") == 0
      || strcmp (call->method, "PATCH") == 0)
    buf_printf (output, "Content-Length: %zu\r\n", request->body_length);
  buf_printf (output, CTX_HEADER ": %s\r\n\r\n", request->context);
  return true;
}

static bool
wait_ready (int socket, short events, clk_time deadline)
{
  for (;;)
    {
      struct pollfd item = { .fd = socket, .events = events };
      clk_time now = clk_now ();
      int ready;

      if (now >= deadline)
        {
          err_set ("the upstream did not answer by the call's deadline");
          return false;
        }
      ready = poll (&item, 1, clk_poll_timeout (now, deadline, MAX_POLL_MS));
      if (ready > 0)
        return true;
      if (ready < 0 && errno != EINTR)
        {
          err_set ("poll failed: %s", strerror (errno));
          return false;
        }
    }
}

/* Sends LENGTH bytes; *SENT is raised by the bytes that left.  */
static bool
write_bytes (struct up_client *client, const uint8_t *data, size_t length,
             clk_time deadline, size_t *sent)
{
  size_t done = 0;

  while (done < length)
    {
      ssize_t count = send (client->socket, data + done, length - done,
                            MSG_DONTWAIT | MSG_NOSIGNAL);

      if (count > 0)
        {
          done += (size_t)count;
          *sent += (size_t)count;
        }
      else if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        {
          if (!wait_ready (client->socket, POLLOUT, deadline))
            return false;
        }
      else if (count < 0 && errno != EINTR)
        {
          err_set ("sending to the upstream failed: %s", strerror (errno));
          return false;
        }
    }
  return true;
}

/* Sends the request.  A connection that takes no byte of it is replaced once:
   then nothing has left, so nothing can run twice.  */
static enum up_status
write_request (struct up_client *client, const struct up_request *request)
{
  size_t sent = 0;
  bool reused = is_usable (client, request->address);

  if (!build_head (request, &client->output))
    {
      err_set ("the call's method, target or a header is malformed");
      return UP_NOT_SENT;
    }
  if (request->body_length > 0 && request->body_length <= READ_SIZE)
    buf_append (&client->output, request->body, request->body_length);
  if (!reused && !connect_upstream (client, request))
    return UP_NOT_SENT;
  if (!write_bytes (client, client->output.data, client->output.length,
                    request->deadline, &sent))
    {
      if (sent > 0)
        return UP_LOST;
      if (!reused || !connect_upstream (client, request)
          || !write_bytes (client, client->output.data, client->output.length,
                           request->deadline, &sent))
        return sent > 0 ? UP_LOST : UP_NOT_SENT;
    }
  if (request->body_length > READ_SIZE
      && !write_bytes (client, request->body, request->body_length,
                       request->deadline, &sent))
    return UP_LOST;
  return UP_OK;
}

static enum up_status
read_response (struct up_client *client, const struct up_request *request,
               struct up_parser *parser)
{
  enum up_parse_status status = UP_PARSE_MORE;

  while (status == UP_PARSE_MORE)
    {
      ssize_t count = recv (client->socket, client->input,
                            sizeof client->input, MSG_DONTWAIT);

      if (count > 0)
        status = up_parser_feed (parser, client->input, (size_t)count);
      else if (count == 0 && request->accept_truncated && parser->status > 0)
        return UP_OK;
      else if (count == 0)
        {
          err_set ("the upstream closed before its response was whole");
          return UP_LOST;
        }
      else if (errno == EAGAIN || errno == EWOULDBLOCK)
        {
          if (!wait_ready (client->socket, POLLIN, request->deadline))
            return UP_LOST;
        }
      else if (errno != EINTR)
        {
          err_set ("receiving from the upstream failed: %s", strerror (errno));
          return UP_LOST;
        }
    }
  return status == UP_PARSE_WHOLE ? UP_OK : UP_LOST;
}

enum up_status
up_send (struct up_client *client, const struct up_request *request,
         Mesh__Answer *answer)
{
  struct up_parser parser;
  enum up_status status;

  if (clk_now () >= request->deadline)
    {
      err_set ("the call's deadline has passed");
      return UP_NOT_SENT;
    }
  status = write_request (client, request);
  up_parser_init (&parser, strcmp (request->call->method, "HEAD") == 0);
  if (status == UP_OK)
    status = read_response (client, request, &parser);
  if (status == UP_OK)
    {
      up_parser_take (&parser, answer);
      client->idle_until = clk_now () + MAX_IDLE;
    }
  if (status != UP_OK || !parser.keep_alive)
    set_socket (client, -1);
  up_parser_close (&parser);
  return status;
}
