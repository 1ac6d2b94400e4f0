/* Sends the responses of a connection in the order of its requests.  */

#include "srv/srv_internal.h"

#include <errno.h>
#include <sys/socket.h>
#include <sys/uio.h>

/* Most buffers that one call sends.  */
#define MAX_VECTORS 32

/* Longest wait of a lingering close for the caller to close the connection.
   An immediate close could reset the connection, and the caller would lose the
   response.  */
#define LINGER_TIMEOUT CLK_SECOND

/* Ends the head of a response whose turn has come.  Whether it closes the
   connection is decided now: it does when no further request was read.  */
static void
seal (struct srv_exchange *exchange)
{
  struct srv_connection *connection = exchange->connection;

  if (exchange->next == NULL
      && (connection->server->draining || !exchange->keep_alive))
    connection->closing = true;
  if (connection->closing)
    {
      connection->last_read = true;
      buf_close (&connection->input);
      htp_put_header (&exchange->head, "Connection", "close");
    }
  buf_printf (&exchange->head, "Content-Length: %zu\r\n\r\n",
              exchange->body_length);
  exchange->state = SRV_SENDING;
}

static void
seal_ready (struct srv_connection *connection)
{
  for (struct srv_exchange *exchange = connection->first;
       exchange != NULL && exchange->state >= SRV_FINISHED;
       exchange = exchange->next)
    if (exchange->state == SRV_FINISHED)
      seal (exchange);
}

static size_t
response_length (const struct srv_exchange *exchange)
{
  return exchange->head.length + exchange->body_length;
}

/* Adds the bytes from AT on to VECTORS.  */
static void
add_vector (struct iovec *vectors, size_t *count, uint8_t *data, size_t length,
            size_t at)
{
  if (at >= length)
    return;
  vectors[*count].iov_base = data + at;
  vectors[*count].iov_len = length - at;
  ++*count;
}

/* Collects the unsent bytes of responses whose turn has come.  */
static size_t
collect (const struct srv_connection *connection, struct iovec *vectors)
{
  size_t count = 0;

  for (struct srv_exchange *exchange = connection->first;
       exchange != NULL && exchange->state == SRV_SENDING
       && count + 2 <= MAX_VECTORS;
       exchange = exchange->next)
    {
      size_t head = exchange->head.length;
      size_t sent = exchange->sent_length;

      add_vector (vectors, &count, exchange->head.data, head, sent);
      add_vector (vectors, &count, exchange->body, exchange->body_length,
                  sent > head ? sent - head : 0);
    }
  return count;
}

/* Notes that COUNT bytes were sent.  */
static void
take_sent (struct srv_connection *connection, size_t count)
{
  while (count > 0)
    {
      struct srv_exchange *exchange = connection->first;
      size_t left = response_length (exchange) - exchange->sent_length;

      if (count < left)
        {
          exchange->sent_length += count;
          srv_shrink_response (exchange);
          return;
        }
      count -= left;
      srv_end_exchange (exchange);
    }
}

static void
start_lingering_close (struct srv_connection *connection)
{
  connection->state = SRV_LINGERING;
  shutdown (connection->descriptor, SHUT_WR);
  evl_timer_set (&connection->timer,
                 evl_now (connection->server->loop) + LINGER_TIMEOUT);
}

/* Sends until the socket takes no more.  Returns the bytes sent, -1 when the
   connection has failed.  */
static ssize_t
send_ready (struct srv_connection *connection)
{
  struct iovec vectors[MAX_VECTORS];
  struct msghdr message = { .msg_iov = vectors };
  ssize_t total = 0;

  while ((message.msg_iovlen = collect (connection, vectors)) > 0)
    {
      ssize_t count = sendmsg (connection->descriptor, &message, MSG_NOSIGNAL);

      if (count >= 0)
        {
          total += count;
          take_sent (connection, (size_t)count);
        }
      else if (errno == EAGAIN || errno == EWOULDBLOCK)
        break;
      else if (errno != EINTR)
        return -1;
    }
  return total;
}

bool
srv_flush (struct srv_connection *connection)
{
  ssize_t sent;

  if (connection->state != SRV_OPEN)
    return connection->state != SRV_CLOSED;
  seal_ready (connection);
  sent = send_ready (connection);
  if (sent < 0)
    {
      srv_close_connection (connection);
      return false;
    }
  if (sent > 0)
    {
      connection->progress_at = evl_now (connection->server->loop);
      /* A caller that reads its response is not idle.  */
      if (connection->first != NULL && connection->handling == 0
          && !connection->reading)
        srv_restart_timer (connection);
    }
  if (connection->closing && connection->first == NULL)
    start_lingering_close (connection);
  srv_update_events (connection);
  return true;
}
