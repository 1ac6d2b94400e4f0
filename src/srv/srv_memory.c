/* Memory that the server holds for callers.  */

#include "srv/srv_internal.h"

#include "base/log.h"
#include "base/mem.h"
#include "met/met.h"

#include <string.h>
#include <sys/socket.h>

/* A body is moved to a smaller buffer when at least this many bytes of it, and
   at least half, were sent.  */
#define SHRINK_SIZE (64u * 1024u)

void
srv_charge_ahead (struct srv_connection *connection)
{
  struct acc *account = connection->server->account;
  size_t bytes = connection->request_bytes + connection->input.length;

  if (account != NULL)
    account->used[ACC_READ_AHEAD] += bytes - connection->ahead_bytes;
  connection->ahead_bytes = bytes;
}

/* Sets the bytes that are charged for a response.  */
static void
set_held (struct srv_exchange *exchange, size_t bytes)
{
  struct srv_connection *connection = exchange->connection;

  if (connection->held_bytes == 0 && bytes > 0)
    connection->progress_at = evl_now (connection->server->loop);
  connection->held_bytes += bytes - exchange->held_bytes;
  exchange->held_bytes = bytes;
}

bool
srv_charge_response (struct srv_exchange *exchange)
{
  struct srv_connection *connection = exchange->connection;
  struct acc *account = connection->server->account;
  size_t bytes = exchange->head.capacity + exchange->body_length;
  bool fits = true;

  if (account != NULL)
    {
      connection->taking_memory = true;
      fits = acc_take (account, ACC_UNSENT, bytes);
      connection->taking_memory = false;
    }
  if (fits)
    set_held (exchange, bytes);
  return fits;
}

void
srv_release_response (struct srv_exchange *exchange)
{
  struct acc *account = exchange->connection->server->account;

  if (account != NULL)
    acc_return (account, ACC_UNSENT, exchange->held_bytes);
  set_held (exchange, 0);
}

void
srv_shrink_response (struct srv_exchange *exchange)
{
  struct acc *account = exchange->connection->server->account;
  size_t head = exchange->head.length;
  size_t sent = exchange->sent_length;
  size_t left;

  if (exchange->held_bytes == 0 || sent < head + SHRINK_SIZE
      || sent - head < exchange->body_length / 2)
    return;
  left = exchange->body_length - (sent - head);
  memmove (exchange->body, exchange->body + (sent - head), left);
  exchange->body = mem_resize (exchange->body, left, 1);
  if (account != NULL)
    acc_return (account, ACC_UNSENT, exchange->body_length - left);
  set_held (exchange, exchange->held_bytes - (exchange->body_length - left));
  exchange->body_length = left;
  exchange->sent_length = head;
}

/* Returns the connection with unsent responses that made no progress for the
   longest time; null when there is none that may be closed.  */
static struct srv_connection *
find_slowest (const struct srv *server)
{
  struct srv_connection *slowest = NULL;

  for (struct srv_connection *connection = server->connections;
       connection != NULL; connection = connection->next)
    if (connection->held_bytes > 0 && !connection->taking_memory
        && (slowest == NULL || connection->progress_at < slowest->progress_at))
      slowest = connection;
  return slowest;
}

static void
log_closed (const struct srv_connection *connection, const char *event,
            size_t bytes)
{
  const struct srv *server = connection->server;
  const struct acc *account = server->account;
  struct log_entry entry;

  met_add (met_counter ("callers_closed_for_memory_total", ""), 1);
  if (!log_begin (&entry, LOG_WARNING, "srv", event, NULL))
    return;
  log_add_number (&entry, "bytes", (int64_t)bytes);
  log_add_ms (&entry, "no_progress_ms",
              evl_now (server->loop) - connection->progress_at);
  log_add_number (&entry, "requests", (int64_t)connection->exchange_count);
  log_add_number (&entry, "unsent_bytes", (int64_t)account->used[ACC_UNSENT]);
  log_add_number (&entry, "partial_bytes",
                  (int64_t)account->used[ACC_PARTIAL]);
  log_add_number (&entry, "max_bytes", (int64_t)account->limits.answers);
  log_end (&entry);
}

/* Closes with a reset, which frees what the kernel holds for a caller that
   does not read.  */
static void
reset_connection (struct srv_connection *connection)
{
  const struct linger reset = { .l_onoff = 1 };

  setsockopt (connection->descriptor, SOL_SOCKET, SO_LINGER, &reset,
              sizeof reset);
  srv_close_connection (connection);
}

void
srv_close_unaffordable (struct srv_connection *connection, size_t length)
{
  log_closed (connection,
              "closed a connection whose response does not fit into memory",
              length);
  reset_connection (connection);
}

bool
srv_close_slowest (void *context)
{
  struct srv_connection *connection = find_slowest (context);

  if (connection == NULL)
    return false;
  log_closed (connection, "closed a connection whose caller reads too slowly",
              connection->held_bytes);
  reset_connection (connection);
  return true;
}
