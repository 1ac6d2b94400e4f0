/* Connection of a caller: reads requests and sends responses.  */

#include "srv/srv_internal.h"

#include "base/log.h"
#include "base/mem.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Most bytes that one recv reads.  */
#define READ_SIZE (64u * 1024u)

/* Bytes of later requests that are read while a request is handled; the rest
   stays in the socket.  */
#define MAX_READ_AHEAD (64u * 1024u)

/* Longest wait of a lingering close for the caller to close the connection.
   An immediate close could reset the connection, and the caller would lose the
   response.  */
#define LINGER_TIMEOUT CLK_SECOND

static clk_time
loop_now (const struct srv_connection *connection)
{
  return evl_now (connection->server->loop);
}

static void
update_events (struct srv_connection *connection)
{
  int events = 0;

  if (connection->input.length < MAX_READ_AHEAD)
    events |= EVL_READ;
  if (connection->sent_length < connection->output.length)
    events |= EVL_WRITE;
  evl_socket_watch (&connection->socket, events);
}

void
srv_free_closed (void *context)
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
  if (connection->state == SRV_HANDLING)
    server->request_count--;
  server->request_count -= connection->unsent_responses;
  connection->unsent_responses = 0;
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
  evl_task_schedule (&server->free_task);
}

/* Closes a connection whose caller has disconnected, and reports it.  */
static void
drop_connection (struct srv_connection *connection)
{
  struct srv *server = connection->server;

  if (connection->state == SRV_HANDLING)
    server->handlers->disconnected (server->context, connection);
  srv_close_connection (connection);
}

static void
start_lingering_close (struct srv_connection *connection)
{
  connection->state = SRV_LINGERING;
  shutdown (connection->descriptor, SHUT_WR);
  evl_timer_set (&connection->timer, loop_now (connection) + LINGER_TIMEOUT);
  update_events (connection);
}

/* Starts the time for which a connection may stay as it is.  */
static void
start_idle_timer (struct srv_connection *connection)
{
  evl_timer_set (&connection->timer,
                 loop_now (connection)
                     + connection->server->limits.idle_timeout);
}

/* Frees the output after all of it was sent.  After the last response a
   lingering close starts.  */
static void
handle_output_sent (struct srv_connection *connection)
{
  buf_close (&connection->output);
  connection->sent_length = 0;
  connection->server->request_count -= connection->unsent_responses;
  connection->unsent_responses = 0;
  if (connection->state == SRV_IDLE && connection->closing)
    start_lingering_close (connection);
}

bool
srv_flush (struct srv_connection *connection)
{
  size_t before = connection->sent_length;

  while (connection->sent_length < connection->output.length)
    {
      ssize_t count = send (
          connection->descriptor,
          connection->output.data + connection->sent_length,
          connection->output.length - connection->sent_length, MSG_NOSIGNAL);

      if (count >= 0)
        connection->sent_length += (size_t)count;
      else if (errno == EAGAIN || errno == EWOULDBLOCK)
        break;
      else if (errno != EINTR)
        {
          drop_connection (connection);
          return false;
        }
    }
  if (connection->sent_length < connection->output.length)
    {
      /* A caller that reads its response is not idle.  */
      if (connection->sent_length > before && connection->state == SRV_IDLE)
        start_idle_timer (connection);
    }
  else if (connection->output.length > 0)
    handle_output_sent (connection);
  update_events (connection);
  return true;
}

struct buf *
srv_start_response (struct srv_connection *connection, unsigned status)
{
  htp_put_status (&connection->output, status);
  return &connection->output;
}

/* Starts the wait for the next request.  */
static void
start_idle (struct srv_connection *connection)
{
  connection->state = SRV_IDLE;
  connection->data = NULL;
  start_idle_timer (connection);
}

void
srv_finish_response (struct srv_connection *connection, const void *body,
                     size_t length)
{
  struct srv *server = connection->server;

  if (server->draining || !connection->keep_alive)
    connection->closing = true;
  if (connection->closing)
    htp_put_header (&connection->output, "Connection", "close");
  htp_put_body (&connection->output, body, connection->is_head ? 0 : length);
  connection->unsent_responses++;
  start_idle (connection);
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
  connection->closing = true;
  connection->state = SRV_IDLE;
  htp_put_status (&connection->output, status);
  htp_put_header (&connection->output, "Connection", "close");
  htp_put_body (&connection->output, NULL, 0);
  evl_timer_set (&connection->timer, loop_now (connection) + LINGER_TIMEOUT);
  srv_flush (connection);
}

static unsigned
error_status (const struct srv *server, enum htp_status status)
{
  if (status == HTP_NO_MEMORY
      || (status != HTP_INVALID && server->provisional))
    return 503;
  if (status == HTP_HEADER_TOO_LARGE)
    return 431;
  return status == HTP_BODY_TOO_LARGE ? 413 : 400;
}

/* Rejects a request that cannot be read.  */
static void
reject_unread (struct srv_connection *connection, enum htp_status status)
{
  if (status == HTP_NO_MEMORY)
    log_write (LOG_WARNING, "srv",
               "rejected a request: its body does not fit into the memory for "
               "bodies, of which %zu of %zu bytes are in use",
               connection->server->budget->used_bytes,
               connection->server->budget->max_bytes);
  srv_reject (connection, error_status (connection->server, status));
}

/* Passes a complete request to the handler.  */
static void
dispatch (struct srv_connection *connection)
{
  struct srv *server = connection->server;
  struct htp_message message;

  htp_take_message (&connection->reader, &message);
  connection->state = SRV_HANDLING;
  connection->keep_alive = message.keep_alive;
  connection->is_head = message.method == HTTP_HEAD;
  evl_timer_stop (&connection->timer);
  server->request_count++;
  server->last_request_time = loop_now (connection);
  server->handlers->request (server->context, connection, &message);
  htp_message_close (&message);
}

/* Sets the timeout of a request that was received in part.  */
static void
start_reading (struct srv_connection *connection)
{
  const struct srv_limits *limits = &connection->server->limits;
  clk_time now = loop_now (connection);

  if (connection->state == SRV_IDLE)
    {
      connection->state = SRV_READING;
      evl_timer_set (&connection->timer, now + limits->header_timeout);
    }
  else if (connection->reader.header_complete)
    evl_timer_set (&connection->timer, now + limits->idle_timeout);
}

/* Sends 100 Continue to a caller that expects it before it sends the body.  */
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

/* Feeds up to LENGTH bytes to the reader.  Returns the number of bytes
   used.  */
static size_t
feed_reader (struct srv_connection *connection, const uint8_t *data,
             size_t length)
{
  bool had_header = connection->reader.header_complete;
  enum htp_status status;
  size_t used;

  connection->reader.limits = connection->server->limits.sizes;
  status = htp_read (&connection->reader, data, length, &used);
  if (status == HTP_COMPLETE)
    dispatch (connection);
  else if (status != HTP_INCOMPLETE)
    reject_unread (connection, status);
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
  return !connection->closing
         && (connection->state == SRV_IDLE
             || connection->state == SRV_READING);
}

/* Parses LENGTH bytes and stores those that belong to later requests.  */
static void
handle_input (struct srv_connection *connection, const uint8_t *data,
              size_t length)
{
  size_t used = 0;

  connection->parsing = true;
  while (used < length && can_read_request (connection))
    used += feed_reader (connection, data + used, length - used);
  connection->parsing = false;
  if (connection->closing || connection->state == SRV_CLOSED)
    return;
  if (used < length)
    buf_append (&connection->input, data + used, length - used);
  update_events (connection);
}

void
srv_parse (struct srv_connection *connection)
{
  struct buf input = connection->input;

  if (input.length == 0)
    return;
  buf_init (&connection->input);
  handle_input (connection, input.data, input.length);
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
      drop_connection (connection);
      return;
    }
  if (connection->state == SRV_LINGERING || connection->closing)
    return;
  if (connection->state == SRV_HANDLING || connection->input.length > 0)
    {
      buf_append (&connection->input, data, (size_t)count);
      if (connection->state != SRV_HANDLING)
        srv_parse (connection);
      else
        update_events (connection);
      return;
    }
  handle_input (connection, data, (size_t)count);
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

/* Handles a timeout: of a request that was not complete in time, of an idle
   connection or of a lingering close.  */
static void
on_timer (void *context)
{
  struct srv_connection *connection = context;

  if (connection->state == SRV_READING)
    srv_reject (connection, 408);
  else if (connection->state != SRV_HANDLING)
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
  htp_reader_set_budget (&connection->reader, server->budget);
  evl_timer_init (&connection->timer, server->loop, on_timer, connection);
  evl_socket_init (&connection->socket, server->loop, descriptor, on_socket,
                   connection);
  start_idle (connection);
  update_events (connection);
  /* The request usually arrives together with the connection: reading it now
     saves a loop iteration.  */
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
