/* Connection of a caller: reads requests.  */

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

/* Time in which a rejected request's response is to be sent.  */
#define REJECT_TIMEOUT CLK_SECOND

static clk_time
loop_now (const struct srv_connection *connection)
{
  return evl_now (connection->server->loop);
}

static size_t
max_pipelined (const struct srv_connection *connection)
{
  size_t limit = connection->server->limits.max_pipelined;

  return limit > 0 ? limit : SRV_MAX_PIPELINED;
}

/* Returns whether the bytes that are read ahead are within the bounds of the
   connection and of the server.  */
static bool
has_read_ahead_left (const struct srv_connection *connection)
{
  const struct srv *server = connection->server;
  size_t limit = server->limits.max_read_ahead;

  if (limit == 0)
    limit = SRV_MAX_READ_AHEAD;
  return connection->request_bytes + connection->input.length < limit
         && (server->account == NULL
             || acc_fits (server->account, ACC_READ_AHEAD, 1));
}

bool
srv_can_read (const struct srv_connection *connection)
{
  if (connection->state != SRV_OPEN || connection->last_read
      || connection->closing)
    return false;
  return connection->unanswered == 0
         || (!connection->server->draining
             && connection->exchange_count < max_pipelined (connection)
             && has_read_ahead_left (connection));
}

void
srv_update_events (struct srv_connection *connection)
{
  int events = 0;

  if (connection->state == SRV_CLOSED)
    return;
  if (connection->unanswered == 0 || connection->last_read
      || has_read_ahead_left (connection))
    events |= EVL_READ;
  if (connection->first != NULL && connection->first->state == SRV_SENDING)
    events |= EVL_WRITE;
  evl_socket_watch (&connection->socket, events);
}

static void
free_exchange (struct srv_exchange *exchange)
{
  htp_message_close (&exchange->message);
  buf_close (&exchange->head);
  if (!exchange->is_borrowed)
    free (exchange->body);
  free (exchange);
}

static void
free_connection (struct srv_connection *connection)
{
  const struct srv *server = connection->server;

  while (connection->first != NULL)
    {
      struct srv_exchange *exchange = connection->first;

      connection->first = exchange->next;
      if (exchange->state == SRV_HANDLING && !server->destroying)
        server->handlers->disconnected (server->context, exchange);
      free_exchange (exchange);
    }
  free (connection);
}

void
srv_free_closed (void *context)
{
  struct srv *server = context;

  while (server->ended != NULL)
    {
      struct srv_exchange *exchange = server->ended;

      server->ended = exchange->next_ended;
      free_exchange (exchange);
    }
  while (server->closed != NULL)
    {
      struct srv_connection *connection = server->closed;

      server->closed = connection->next;
      free_connection (connection);
    }
}

/* Gives back what the exchanges of a connection hold and counts them no
   more.  */
static void
release_exchanges (struct srv_connection *connection)
{
  for (struct srv_exchange *exchange = connection->first; exchange != NULL;
       exchange = exchange->next)
    {
      if (!exchange->is_rejection && exchange->state != SRV_ENDED)
        connection->server->request_count--;
      srv_release_response (exchange);
      if (exchange->state >= SRV_FINISHED && !exchange->is_borrowed)
        {
          free (exchange->body);
          exchange->body = NULL;
        }
      htp_message_close (&exchange->message);
      connection->request_bytes -= exchange->request_bytes;
      exchange->request_bytes = 0;
    }
  buf_close (&connection->input);
  srv_charge_ahead (connection);
}

static void
unlink_connection (struct srv_connection *connection)
{
  struct srv *server = connection->server;

  if (connection->previous != NULL)
    connection->previous->next = connection->next;
  else
    server->connections = connection->next;
  if (connection->next != NULL)
    connection->next->previous = connection->previous;
  server->connection_count--;
  connection->next = server->closed;
  server->closed = connection;
}

void
srv_close_connection (struct srv_connection *connection)
{
  if (connection->state == SRV_CLOSED)
    return;
  connection->state = SRV_CLOSED;
  release_exchanges (connection);
  htp_reader_close (&connection->reader);
  unlink_connection (connection);
  evl_socket_watch (&connection->socket, 0);
  evl_timer_stop (&connection->timer);
  close (connection->descriptor);
  connection->descriptor = -1;
  evl_task_schedule (&connection->server->free_task);
}

bool
srv_is_unused (const struct srv_connection *connection)
{
  return connection->state == SRV_OPEN && connection->first == NULL
         && !connection->reader.started;
}

void
srv_restart_timer (struct srv_connection *connection)
{
  const struct srv_limits *limits = &connection->server->limits;
  clk_time time = limits->idle_timeout;

  if (connection->handling > 0)
    {
      evl_timer_stop (&connection->timer);
      return;
    }
  if (connection->reading && !connection->reader.header_complete)
    time = limits->header_timeout;
  evl_timer_set (&connection->timer, loop_now (connection) + time);
}

/* Sends 100 Continue to a caller that expects it before it sends the body.
   While a response is being sent, it waits for its end.  */
static void
send_continue (struct srv_connection *connection)
{
  static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
  const char *expect = htp_find_header (&connection->reader.message, "Expect");

  if (expect == NULL || connection->first != NULL
      || connection->reader.message.body.length > 0)
    return;
  send (connection->descriptor, interim, sizeof interim - 1, MSG_NOSIGNAL);
}

void
srv_end_wait (struct srv_connection *connection)
{
  connection->reading = connection->reader.started && !connection->last_read;
  srv_restart_timer (connection);
  if (connection->last_read && connection->last != NULL
      && connection->last->is_rejection)
    evl_timer_set (&connection->timer, loop_now (connection) + REJECT_TIMEOUT);
  if (connection->reading && connection->reader.header_complete)
    send_continue (connection);
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

/* Sets the timeout of a request that was received in part.  It starts when no
   request before it is unanswered.  */
static void
note_partial (struct srv_connection *connection)
{
  if (connection->unanswered > 0 || !connection->reader.started)
    return;
  if (connection->reading && connection->reader.header_complete)
    srv_restart_timer (connection);
  else if (!connection->reading)
    evl_timer_set (&connection->timer,
                   loop_now (connection)
                       + connection->server->limits.header_timeout);
  connection->reading = true;
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
    {
      srv_add_request (connection);
      srv_start_requests (connection);
    }
  else if (status != HTP_INCOMPLETE)
    reject_unread (connection, status);
  else
    {
      note_partial (connection);
      if (!had_header && connection->reader.header_complete)
        send_continue (connection);
    }
  return used;
}

size_t
srv_parse (struct srv_connection *connection, const uint8_t *data,
           size_t length)
{
  size_t used = 0;

  while (used < length && srv_can_read (connection))
    used += feed_reader (connection, data + used, length - used);
  return used;
}

/* Keeps bytes that cannot be parsed yet.  */
static void
keep_input (struct srv_connection *connection, const uint8_t *data,
            size_t length)
{
  if (connection->state != SRV_OPEN || connection->last_read || length == 0)
    return;
  buf_append (&connection->input, data, length);
}

/* Parses the bytes that were kept.  Returns whether there was progress.  */
static bool
parse_input (struct srv_connection *connection)
{
  struct buf input = connection->input;
  size_t used;

  if (input.length == 0 || !srv_can_read (connection))
    return false;
  buf_init (&connection->input);
  used = srv_parse (connection, input.data, input.length);
  keep_input (connection, input.data + used, input.length - used);
  buf_close (&input);
  return used > 0;
}

void
srv_advance (struct srv_connection *connection)
{
  if (connection->advancing)
    return;
  connection->advancing = true;
  while (connection->state == SRV_OPEN
         && (srv_start_requests (connection) || parse_input (connection)))
    ;
  connection->advancing = false;
  if (connection->state == SRV_CLOSED)
    return;
  srv_charge_ahead (connection);
  srv_update_events (connection);
}

static void
handle_input (struct srv_connection *connection, const uint8_t *data,
              size_t length)
{
  size_t used = 0;

  connection->advancing = true;
  if (connection->input.length == 0)
    used = srv_parse (connection, data, length);
  keep_input (connection, data + used, length - used);
  connection->advancing = false;
  srv_advance (connection);
}

static void
read_socket (struct srv_connection *connection)
{
  static uint8_t data[READ_SIZE];
  ssize_t count = recv (connection->descriptor, data, sizeof data, 0);

  if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return;
  if (count <= 0)
    srv_close_connection (connection);
  else if (connection->state == SRV_OPEN && !connection->last_read)
    handle_input (connection, data, (size_t)count);
}

static void
on_socket (void *context, int events)
{
  struct srv_connection *connection = context;
  bool was_sending = connection->first != NULL;

  if ((events & EVL_WRITE) != 0)
    {
      if (!srv_flush (connection))
        return;
      if (was_sending && connection->first == NULL && connection->reading
          && connection->reader.header_complete)
        send_continue (connection);
      srv_advance (connection);
    }
  if ((events & EVL_READ) != 0 && connection->state != SRV_CLOSED)
    read_socket (connection);
}

/* Handles a timeout: of a request that was not complete in time, of an idle
   connection, of a response that is not read, or of a lingering close.  */
static void
on_timer (void *context)
{
  struct srv_connection *connection = context;

  if (connection->handling > 0)
    return;
  if (connection->reading && connection->state == SRV_OPEN
      && connection->unanswered == 0 && !connection->last_read)
    srv_reject (connection, 408);
  else
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
  srv_restart_timer (connection);
  srv_update_events (connection);
  /* The request usually arrives together with the connection: reading it now
     saves a loop iteration.  */
  read_socket (connection);
}
