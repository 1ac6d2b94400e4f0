/* Requests of a connection: each waits, is handled, and gets its response.  */

#include "srv/srv_internal.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

/* No further request of a connection starts while it holds more bytes of
   responses: its caller is to read them first.  */
#define MAX_HELD_RESPONSES (1024u * 1024u)

static struct srv_exchange *
add_exchange (struct srv_connection *connection)
{
  struct srv_exchange *exchange = mem_alloc (1, sizeof *exchange);

  exchange->connection = connection;
  if (connection->last != NULL)
    connection->last->next = exchange;
  else
    connection->first = exchange;
  connection->last = exchange;
  connection->exchange_count++;
  return exchange;
}

void
srv_add_request (struct srv_connection *connection)
{
  struct srv *server = connection->server;
  struct srv_exchange *exchange = add_exchange (connection);

  htp_take_message (&connection->reader, &exchange->message);
  connection->reading = false;
  exchange->keep_alive = exchange->message.keep_alive;
  exchange->is_head = exchange->message.method == HTTP_HEAD;
  if (!exchange->keep_alive)
    connection->last_read = true;
  if (connection->unanswered > 0)
    exchange->request_bytes
        = exchange->message.text.length + exchange->message.body.length;
  connection->request_bytes += exchange->request_bytes;
  connection->unanswered++;
  server->request_count++;
  server->last_request_time = evl_now (server->loop);
  /* A request that waits for its caller to read ends with the idle time.  */
  if (connection->held_bytes > 0)
    srv_restart_timer (connection);
  srv_charge_ahead (connection);
}

/* Passes a request to the handler.  */
static void
start (struct srv_exchange *exchange)
{
  struct srv_connection *connection = exchange->connection;
  struct srv *server = connection->server;
  struct htp_message message = exchange->message;

  exchange->message = (struct htp_message){ 0 };
  exchange->state = SRV_HANDLING;
  connection->handling++;
  evl_timer_stop (&connection->timer);
  server->handlers->request (server->context, exchange, &message);
  htp_message_close (&message);
}

/* Returns whether all requests before EXCHANGE were answered.  */
static bool
is_next (const struct srv_exchange *exchange)
{
  const struct srv_exchange *at = exchange->connection->first;

  while (at != exchange && at->state >= SRV_FINISHED)
    at = at->next;
  return at == exchange;
}

static bool
may_start (const struct srv_exchange *exchange)
{
  const struct srv_connection *connection = exchange->connection;
  const struct srv *server = connection->server;

  if (connection->held_bytes > MAX_HELD_RESPONSES)
    return false;
  return is_next (exchange)
         || (server->handlers->may_overlap != NULL
             && server->handlers->may_overlap (server->context,
                                               &exchange->message));
}

bool
srv_start_requests (struct srv_connection *connection)
{
  bool started = false;

  for (struct srv_exchange *exchange = connection->first;
       exchange != NULL && connection->state == SRV_OPEN;
       exchange = exchange->next)
    if (exchange->state == SRV_WAITING && may_start (exchange))
      {
        start (exchange);
        started = true;
      }
  return started;
}

void
srv_end_exchange (struct srv_exchange *exchange)
{
  struct srv_connection *connection = exchange->connection;
  struct srv *server = connection->server;

  connection->first = exchange->next;
  if (connection->first == NULL)
    connection->last = NULL;
  connection->exchange_count--;
  if (!exchange->is_rejection)
    server->request_count--;
  srv_release_response (exchange);
  buf_close (&exchange->head);
  if (!exchange->is_borrowed)
    free (exchange->body);
  exchange->body = NULL;
  exchange->state = SRV_ENDED;
  exchange->next_ended = server->ended;
  server->ended = exchange;
  evl_task_schedule (&server->free_task);
}

struct buf *
srv_start_response (struct srv_exchange *exchange, unsigned status)
{
  htp_put_status (&exchange->head, status);
  return &exchange->head;
}

/* Copies what was not sent of a body that belongs to the caller.  */
static void
copy_body (struct srv_exchange *exchange)
{
  size_t head = exchange->head.length;
  size_t sent
      = exchange->sent_length > head ? exchange->sent_length - head : 0;
  size_t left = exchange->body_length - sent;

  exchange->is_borrowed = false;
  exchange->body = left > 0 ? mem_copy (exchange->body + sent, left) : NULL;
  exchange->body_length = left;
  exchange->sent_length -= sent;
}

/* Keeps what the socket did not take.  Closes the connection when there is no
   memory for it.  */
static void
hold (struct srv_exchange *exchange)
{
  if (exchange->is_borrowed)
    copy_body (exchange);
  if (srv_charge_response (exchange))
    srv_shrink_response (exchange);
  else
    srv_close_unaffordable (exchange->connection,
                            exchange->head.capacity + exchange->body_length);
}

/* Continues the connection after a response was completed.  */
static void
go_on (struct srv_connection *connection)
{
  if (connection->unanswered == 0)
    srv_end_wait (connection);
  else if (connection->handling == 0)
    srv_restart_timer (connection);
  srv_advance (connection);
}

static void
finish (struct srv_exchange *exchange)
{
  struct srv_connection *connection = exchange->connection;

  if (exchange->is_head)
    exchange->body_length = 0;
  exchange->state = SRV_FINISHED;
  connection->handling--;
  connection->unanswered--;
  connection->request_bytes -= exchange->request_bytes;
  exchange->request_bytes = 0;
  srv_charge_ahead (connection);
  if (!srv_flush (connection))
    return;
  if (exchange->state != SRV_ENDED)
    hold (exchange);
  if (connection->state == SRV_OPEN)
    go_on (connection);
}

void
srv_finish_response (struct srv_exchange *exchange, const void *body,
                     size_t length)
{
  if (exchange->connection->state == SRV_CLOSED)
    {
      exchange->state = SRV_ENDED;
      return;
    }
  exchange->body = (uint8_t *)body;
  exchange->body_length = length;
  exchange->is_borrowed = true;
  finish (exchange);
}

void
srv_give_response (struct srv_exchange *exchange, uint8_t *body, size_t length)
{
  exchange->body = body;
  if (exchange->connection->state == SRV_CLOSED)
    {
      exchange->state = SRV_ENDED;
      return;
    }
  exchange->body_length = length;
  finish (exchange);
}

void
srv_abort (struct srv_exchange *exchange)
{
  struct srv_connection *connection = exchange->connection;

  if (exchange->state == SRV_HANDLING && connection->state != SRV_CLOSED)
    {
      connection->handling--;
      connection->unanswered--;
      connection->server->request_count--;
    }
  exchange->state = SRV_ENDED;
  srv_close_connection (connection);
}

void
srv_reject (struct srv_connection *connection, unsigned status)
{
  struct srv_exchange *exchange = add_exchange (connection);

  connection->last_read = true;
  connection->reading = false;
  exchange->is_rejection = true;
  exchange->state = SRV_FINISHED;
  htp_put_status (&exchange->head, status);
  if (connection->unanswered == 0)
    srv_end_wait (connection);
  if (srv_flush (connection) && exchange->state != SRV_ENDED)
    hold (exchange);
}

int
srv_descriptor (const struct srv_exchange *exchange)
{
  return exchange->connection->descriptor;
}

void
srv_set_data (struct srv_exchange *exchange, void *data)
{
  exchange->data = data;
}

void *
srv_data (const struct srv_exchange *exchange)
{
  return exchange->data;
}
