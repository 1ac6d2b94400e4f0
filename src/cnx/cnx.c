/* HTTP/1.1 client connection.  */

#include "cnx/cnx.h"

#include "base/log.h"
#include "base/mem.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* Most bytes that one recv reads.  */
#define READ_SIZE (64u * 1024u)

enum cnx_state
{
  CNX_CONNECTING,
  CNX_OPEN,
  CNX_FAILED,
  CNX_CLOSED /* freed at the end of the loop iteration */
};

struct cnx
{
  struct evl *loop;
  int descriptor;
  struct evl_socket socket;
  struct evl_task end_task; /* reports a failure, or frees */
  enum cnx_state state;
  const struct cnx_handlers *handlers;
  void *context;
  void *data;
  struct htp_reader reader;
  struct buf output;
  size_t sent_length;
  bool awaiting_response; /* cnx_send was called; no response yet */
  bool persistent;        /* the last response keeps the connection open */
  enum cnx_failure failure;
  clk_time open_time;
  clk_time connect_time; /* ns; 0: not connected yet */
  clk_time read_time;    /* of the last bytes of the response; 0: none */
};

static void
update_events (struct cnx *connection)
{
  int events = EVL_READ;

  if (connection->state == CNX_CONNECTING)
    events = EVL_WRITE;
  else if (connection->awaiting_response
           && connection->sent_length < connection->output.length)
    events |= EVL_WRITE;
  evl_socket_watch (&connection->socket, events);
}

static void
fail (struct cnx *connection, enum cnx_failure failure)
{
  if (connection->state == CNX_FAILED || connection->state == CNX_CLOSED)
    return;
  connection->state = CNX_FAILED;
  connection->failure = failure;
  evl_socket_watch (&connection->socket, 0);
  evl_task_schedule (&connection->end_task);
}

/* Reports a failure outside the call that detected it; frees a closed
   connection.  */
static void
on_end (void *context)
{
  struct cnx *connection = context;

  if (connection->state == CNX_FAILED)
    {
      connection->handlers->failed (connection->context, connection,
                                    connection->failure);
      return;
    }
  htp_reader_close (&connection->reader);
  buf_close (&connection->output);
  free (connection);
}

static void
flush (struct cnx *connection)
{
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
          fail (connection,
                connection->sent_length > 0 ? CNX_DISCONNECTED : CNX_NOT_SENT);
          return;
        }
    }
  update_events (connection);
}

/* Ends the exchange whose complete response is in the reader.  EXTRA_LENGTH
   bytes behind it were read already.  The handler may send the next request on
   this connection.  */
static void
end_exchange (struct cnx *connection, size_t extra_length)
{
  struct buf request = connection->output;
  size_t sent_length = connection->sent_length;
  bool without_body = connection->reader.without_body;
  struct htp_message message;

  /* Extra bytes would be read as the response to the next request.  */
  connection->persistent = connection->reader.message.keep_alive
                           && sent_length == request.length
                           && extra_length == 0;
  htp_take_message (&connection->reader, &message);
  buf_init (&connection->output);
  connection->sent_length = 0;
  connection->awaiting_response = false;
  if (connection->handlers->response (connection->context, connection,
                                      &message))
    {
      buf_close (&request);
      if (extra_length > 0)
        log_write (LOG_WARNING, "cnx",
                   "%zu bytes behind a response were dropped", extra_length);
    }
  else
    {
      /* After a response to an earlier request the next one cannot be matched
         to its request with certainty, so the connection is not reused.  */
      connection->output = request;
      connection->sent_length = sent_length;
      connection->reader.without_body = without_body;
      connection->awaiting_response = true;
      connection->persistent = false;
    }
  htp_message_close (&message);
}

static void
handle_input (struct cnx *connection, const uint8_t *data, size_t length)
{
  while (length > 0 && connection->state == CNX_OPEN)
    {
      enum htp_status status;
      size_t used;

      if (!connection->awaiting_response)
        {
          fail (connection, CNX_IDLE_CLOSED);
          return;
        }
      status = htp_read (&connection->reader, data, length, &used);
      data += used;
      length -= used;
      if (status == HTP_COMPLETE)
        end_exchange (connection, length);
      else if (status != HTP_INCOMPLETE)
        fail (connection, CNX_INVALID_RESPONSE);
    }
}

/* Handles the end of the stream: the peer has closed its direction.  */
static void
handle_end (struct cnx *connection)
{
  bool partial = connection->reader.started;

  if (!connection->awaiting_response)
    fail (connection, CNX_IDLE_CLOSED);
  else if (htp_read_eof (&connection->reader) == HTP_COMPLETE)
    {
      end_exchange (connection, 0);
      fail (connection, connection->awaiting_response ? CNX_DISCONNECTED
                                                      : CNX_IDLE_CLOSED);
    }
  else
    fail (connection, partial ? CNX_INVALID_RESPONSE : CNX_DISCONNECTED);
}

static void
read_socket (struct cnx *connection)
{
  static uint8_t data[READ_SIZE];
  ssize_t count = recv (connection->descriptor, data, sizeof data, 0);

  if (count > 0)
    {
      connection->read_time = evl_now (connection->loop);
      handle_input (connection, data, (size_t)count);
    }
  else if (count == 0)
    handle_end (connection);
  else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
    fail (connection,
          connection->awaiting_response ? CNX_DISCONNECTED : CNX_IDLE_CLOSED);
}

static void
on_socket (void *context, int events)
{
  struct cnx *connection = context;

  if (connection->state == CNX_CONNECTING)
    {
      if (net_connect_result (connection->descriptor) != 0)
        {
          fail (connection, CNX_NOT_SENT);
          return;
        }
      connection->state = CNX_OPEN;
      connection->connect_time
          = evl_now (connection->loop) - connection->open_time;
      flush (connection);
      return;
    }
  if ((events & EVL_WRITE) != 0)
    flush (connection);
  if ((events & EVL_READ) != 0 && connection->state == CNX_OPEN)
    read_socket (connection);
}

struct cnx *
cnx_open (struct evl *loop, struct net_address address,
          const struct cnx_handlers *handlers, void *context,
          const struct htp_limits *limits)
{
  struct cnx *connection = mem_alloc (1, sizeof *connection);

  connection->loop = loop;
  connection->open_time = evl_now (loop);
  connection->handlers = handlers;
  connection->context = context;
  connection->persistent = true;
  htp_reader_init (&connection->reader, HTP_RESPONSE, limits);
  evl_task_init (&connection->end_task, loop, on_end, connection);
  connection->descriptor = net_connect_start (address);
  evl_socket_init (&connection->socket, loop, connection->descriptor,
                   on_socket, connection);
  if (connection->descriptor < 0)
    fail (connection, CNX_NOT_SENT);
  else
    update_events (connection);
  return connection;
}

void
cnx_close (struct cnx *connection)
{
  if (connection == NULL || connection->state == CNX_CLOSED)
    return;
  evl_socket_watch (&connection->socket, 0);
  if (connection->descriptor >= 0)
    close (connection->descriptor);
  htp_reader_set_budget (&connection->reader, NULL);
  connection->state = CNX_CLOSED;
  evl_task_schedule (&connection->end_task);
}

void
cnx_set_budget (struct cnx *connection, struct htp_budget *budget)
{
  htp_reader_set_budget (&connection->reader, budget);
}

struct buf *
cnx_request_buffer (struct cnx *connection)
{
  return &connection->output;
}

void
cnx_send (struct cnx *connection, bool is_head)
{
  connection->awaiting_response = true;
  connection->sent_length = 0;
  connection->read_time = 0;
  connection->reader.without_body = is_head;
  if (connection->state == CNX_OPEN)
    flush (connection);
}

/* Returns whether the peer has neither sent bytes that were not read yet nor
   ended the connection.  */
static bool
is_silent (const struct cnx *connection)
{
  char byte;

  return recv (connection->descriptor, &byte, sizeof byte,
               MSG_PEEK | MSG_DONTWAIT)
             < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool
cnx_is_idle (const struct cnx *connection)
{
  if (connection->awaiting_response)
    return false;
  return connection->state == CNX_CONNECTING
         || (connection->state == CNX_OPEN && is_silent (connection));
}

bool
cnx_has_sent (const struct cnx *connection)
{
  return connection->awaiting_response && connection->sent_length > 0;
}

bool
cnx_is_persistent (const struct cnx *connection)
{
  return connection->persistent && connection->state == CNX_OPEN;
}

const char *
cnx_describe_fault (const struct cnx *connection)
{
  return htp_describe (connection->reader.failure);
}

clk_time
cnx_connect_time (const struct cnx *connection)
{
  return connection->connect_time;
}

clk_time
cnx_read_time (const struct cnx *connection)
{
  return connection->read_time;
}

void
cnx_set_keepalive (struct cnx *connection, int probes)
{
  if (connection->descriptor >= 0)
    net_set_keepalive (connection->descriptor, probes);
}

void
cnx_set_data (struct cnx *connection, void *data)
{
  connection->data = data;
}

void *
cnx_data (const struct cnx *connection)
{
  return connection->data;
}
