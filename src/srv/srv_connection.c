/* A caller's connection: reads requests, sends answers.  */

#include "srv/srv_internal.h"

#include "base/mem.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes read from a connection at once.  */
#define READ_SIZE (64u * 1024u)

/* Bytes kept of requests that follow the one under way; the rest stays in the
   socket.  */
#define MAX_READ_AHEAD (64u * 1024u)

/* How long an answered connection may take to be closed by the caller.
   Closing it at once could reset it, and the caller would lose the answer.  */
#define LINGER_TIME CLK_SECOND

static clk_time
now_of (const struct srv_connection *connection)
{
  return evl_now (connection->server->loop);
}

static void
watch (struct srv_connection *connection)
{
  int events = 0;

  if (connection->input.length < MAX_READ_AHEAD)
    events |= EVL_READ;
  if (connection->sent < connection->output.length)
    events |= EVL_WRITE;
  evl_socket_watch (&connection->socket, events);
}

void
srv_sweep (void *context)
{
  struct srv *server = context;

  while (server->closed != NULL)
    {
      struct srv_connection *connection = server->closed;

      server->closed = connection->next;
      htp_reader_close (&connection->reader);
      buf_close (&connection->input);
      buf_close (&connection->output);
      free (connection);
    }
}

void
srv_close_connection (struct srv_connection *connection)
{
  struct srv *server = connection->server;

  if (connection->state == SRV_CLOSED)
    return;
  if (connection->state == SRV_WORKING)
    server->in_progress--;
  if (connection->previous != NULL)
    connection->previous->next = connection->next;
  else
    server->connections = connection->next;
  if (connection->next != NULL)
    connection->next->previous = connection->previous;
  server->connection_count--;
  evl_socket_watch (&connection->socket, 0);
  evl_timer_stop (&connection->timer);
  close (connection->descriptor);
  connection->state = SRV_CLOSED;
  connection->next = server->closed;
  server->closed = connection;
  evl_task_schedule (&server->sweep);
}

/* Ends a connection that the caller has left.  */
static void
lose_connection (struct srv_connection *connection)
{
  struct srv *server = connection->server;

  if (connection->state == SRV_WORKING)
    server->handlers->disconnected (server->context, connection);
  srv_close_connection (connection);
}

static void
start_linger (struct srv_connection *connection)
{
  connection->state = SRV_LINGERING;
  shutdown (connection->descriptor, SHUT_WR);
  evl_timer_set (&connection->timer, now_of (connection) + LINGER_TIME);
  watch (connection);
}

/* Called when the output has left.  */
static void
end_output (struct srv_connection *connection)
{
  buf_close (&connection->output);
  connection->sent = 0;
  if (connection->state == SRV_IDLE && connection->last)
    start_linger (connection);
}

bool
srv_flush (struct srv_connection *connection)
{
  while (connection->sent < connection->output.length)
    {
      ssize_t count = send (
          connection->descriptor, connection->output.data + connection->sent,
          connection->output.length - connection->sent, MSG_NOSIGNAL);

      if (count >= 0)
        connection->sent += (size_t)count;
      else if (errno == EAGAIN || errno == EWOULDBLOCK)
        break;
      else if (errno != EINTR)
        {
          lose_connection (connection);
          return false;
        }
    }
  if (connection->output.length > 0
      && connection->sent == connection->output.length)
    end_output (connection);
  watch (connection);
  return true;
}

struct buf *
srv_start_response (struct srv_connection *connection, unsigned status)
{
  htp_put_status (&connection->output, status);
  return &connection->output;
}

/* Starts to wait for the next request.  */
static void
become_idle (struct srv_connection *connection)
{
  connection->state = SRV_IDLE;
  connection->data = NULL;
  evl_timer_set (&connection->timer,
                 now_of (connection)
                     + connection->server->limits.idle_timeout);
}

void
srv_finish_response (struct srv_connection *connection, const void *body,
                     size_t length)
{
  struct srv *server = connection->server;

  if (server->draining || !connection->caller_keeps)
    connection->last = true;
  if (connection->last)
    htp_put_header (&connection->output, "Connection", "close");
  htp_put_body (&connection->output, body, connection->is_head ? 0 : length);
  server->in_progress--;
  become_idle (connection);
  if (srv_flush (connection) && !connection->parsing)
    srv_parse (connection);
}

void
srv_abort (struct srv_connection *connection)
{
  srv_close_connection (connection);
}

void
srv_reject (struct srv_connection *connection, unsigned status)
{
  connection->last = true;
  connection->state = SRV_IDLE;
  htp_put_status (&connection->output, status);
  htp_put_header (&connection->output, "Connection", "close");
  htp_put_body (&connection->output, NULL, 0);
  evl_timer_set (&connection->timer, now_of (connection) + LINGER_TIME);
  srv_flush (connection);
}

static unsigned
status_of (enum htp_status status)
{
  if (status == HTP_HEADER_TOO_LARGE)
    return 431;
  return status == HTP_BODY_TOO_LARGE ? 413 : 400;
}

/* Hands a complete request over.  */
static void
dispatch (struct srv_connection *connection)
{
  struct srv *server = connection->server;
  struct htp_message message;

  htp_take_message (&connection->reader, &message);
  connection->state = SRV_WORKING;
  connection->caller_keeps = message.keep_alive;
  connection->is_head = message.method == HTTP_HEAD;
  evl_timer_stop (&connection->timer);
  server->in_progress++;
  server->handlers->request (server->context, connection, &message);
  htp_message_close (&message);
}

/* Sets the deadline of a request whose bytes are coming.  */
static void
start_reading (struct srv_connection *connection)
{
  const struct srv_limits *limits = &connection->server->limits;
  clk_time now = now_of (connection);

  if (connection->state == SRV_IDLE)
    {
      connection->state = SRV_READING;
      evl_timer_set (&connection->timer, now + limits->header_timeout);
    }
  else if (connection->reader.header_complete)
    evl_timer_set (&connection->timer, now + limits->idle_timeout);
}

/* Says that the body is welcome, for callers that wait to hear so.  */
static void
send_continue (struct srv_connection *connection)
{
  static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
  const char *expect = htp_find_header (&connection->reader.message, "Expect");

  if (expect == NULL || connection->output.length > 0
      || connection->reader.message.body.length > 0)
    return;
  send (connection->descriptor, interim, sizeof interim - 1, MSG_NOSIGNAL);
}

/* Feeds LENGTH bytes to the reader.  Returns the bytes used.  */
static size_t
feed (struct srv_connection *connection, const uint8_t *data, size_t length)
{
  bool had_header = connection->reader.header_complete;
  enum htp_status status;
  size_t used;

  connection->reader.limits = connection->server->limits.sizes;
  status = htp_read (&connection->reader, data, length, &used);
  if (status == HTP_COMPLETE)
    dispatch (connection);
  else if (status != HTP_INCOMPLETE)
    srv_reject (connection, status_of (status));
  else
    {
      if (connection->reader.started)
        start_reading (connection);
      if (!had_header && connection->reader.header_complete)
        send_continue (connection);
    }
  return used;
}

static bool
can_read_request (const struct srv_connection *connection)
{
  return !connection->last
         && (connection->state == SRV_IDLE
             || connection->state == SRV_READING);
}

/* Handles LENGTH bytes and keeps those that belong to later requests.  */
static void
take_input (struct srv_connection *connection, const uint8_t *data,
            size_t length)
{
  size_t at = 0;

  connection->parsing = true;
  while (at < length && can_read_request (connection))
    at += feed (connection, data + at, length - at);
  connection->parsing = false;
  if (connection->last || connection->state == SRV_CLOSED)
    return;
  if (at < length)
    buf_append (&connection->input, data + at, length - at);
  watch (connection);
}

void
srv_parse (struct srv_connection *connection)
{
  struct buf input = connection->input;

  if (input.length == 0)
    return;
  buf_init (&connection->input);
  take_input (connection, input.data, input.length);
  buf_close (&input);
}

static void
read_socket (struct srv_connection *connection)
{
  static uint8_t data[READ_SIZE];
  ssize_t count = recv (connection->descriptor, data, sizeof data, 0);

  if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return;
  if (count <= 0)
    {
      lose_connection (connection);
      return;
    }
  if (connection->state == SRV_LINGERING || connection->last)
    return;
  if (connection->state == SRV_WORKING || connection->input.length > 0)
    {
      buf_append (&connection->input, data, (size_t)count);
      if (connection->state != SRV_WORKING)
        srv_parse (connection);
      else
        watch (connection);
      return;
    }
  take_input (connection, data, (size_t)count);
}

static void
on_socket (void *context, int events)
{
  struct srv_connection *connection = context;

  if ((events & EVL_WRITE) != 0 && !srv_flush (connection))
    return;
  if ((events & EVL_READ) != 0)
    read_socket (connection);
}

/* A request was not complete in time, or the connection was idle for too
   long.  */
static void
on_timer (void *context)
{
  struct srv_connection *connection = context;

  if (connection->state == SRV_READING)
    srv_reject (connection, 408);
  else if (connection->state != SRV_WORKING)
    srv_close_connection (connection);
}

void
srv_open_connection (struct srv *server, int descriptor)
{
  struct srv_connection *connection = mem_alloc (1, sizeof *connection);

  connection->server = server;
  connection->descriptor = descriptor;
  connection->next = server->connections;
  if (server->connections != NULL)
    server->connections->previous = connection;
  server->connections = connection;
  server->connection_count++;
  htp_reader_init (&connection->reader, HTP_REQUEST, &server->limits.sizes);
  evl_timer_init (&connection->timer, server->loop, on_timer, connection);
  evl_socket_init (&connection->socket, server->loop, descriptor, on_socket,
                   connection);
  become_idle (connection);
  watch (connection);
  /* The request usually arrives with the connection: trying at once saves a
     round of the loop.  */
  read_socket (connection);
}

int
srv_descriptor (const struct srv_connection *connection)
{
  return connection->descriptor;
}

void
srv_set_data (struct srv_connection *connection, void *data)
{
  connection->data = data;
}

void *
srv_data (const struct srv_connection *connection)
{
  return connection->data;
}
