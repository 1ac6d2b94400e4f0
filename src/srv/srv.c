/* Listener of the HTTP server.  */

#include "srv/srv.h"

#include "base/log.h"
#include "base/mem.h"
#include "srv/srv_internal.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Most connections accepted in one loop iteration, so that a burst of new ones
   does not delay requests.  */
#define MAX_ACCEPTS_PER_ITERATION 32

/* Delay before accepting again after descriptors or memory ran out.  */
#define ACCEPT_RETRY_DELAY (100 * CLK_MILLISECOND)

static void
on_accept_timer (void *context)
{
  struct srv *server = context;

  evl_socket_watch (&server->socket, EVL_READ);
}

static bool
is_full (const struct srv *server)
{
  return server->limits.max_connections > 0
         && server->connection_count >= server->limits.max_connections;
}

static void
on_listener (void *context, int events)
{
  struct srv *server = context;

  (void)events;
  for (int i = 0; i < MAX_ACCEPTS_PER_ITERATION; i++)
    {
      int descriptor = net_accept (server->listener);

      if (descriptor >= 0 && is_full (server))
        close (descriptor);
      else if (descriptor >= 0)
        srv_open_connection (server, descriptor);
      else if (errno == EMFILE || errno == ENFILE || errno == ENOMEM
               || errno == ENOBUFS)
        {
          log_write (LOG_WARNING, "srv",
                     "cannot accept a connection: %s; trying again shortly",
                     strerror (errno));
          evl_socket_watch (&server->socket, 0);
          evl_timer_set (&server->accept_timer,
                         evl_now (server->loop) + ACCEPT_RETRY_DELAY);
          return;
        }
      else if (errno == EAGAIN || errno == EWOULDBLOCK)
        return;
    }
}

enum srv_status
srv_create (struct evl *loop, struct net_address address,
            const struct srv_handlers *handlers, void *context,
            const struct srv_limits *limits, struct srv **server)
{
  int listener = net_listen (address);
  struct srv *result;

  *server = NULL;
  if (listener < 0)
    return SRV_LISTEN_FAILED;
  fcntl (listener, F_SETFL, fcntl (listener, F_GETFL) | O_NONBLOCK);
  result = mem_alloc (1, sizeof *result);
  result->loop = loop;
  result->listener = listener;
  result->handlers = handlers;
  result->context = context;
  result->limits = *limits;
  evl_timer_init (&result->accept_timer, loop, on_accept_timer, result);
  evl_task_init (&result->free_task, loop, srv_free_closed, result);
  evl_socket_init (&result->socket, loop, listener, on_listener, result);
  evl_socket_watch (&result->socket, EVL_READ);
  *server = result;
  return SRV_OK;
}

void
srv_destroy (struct srv *server)
{
  if (server == NULL)
    return;
  server->destroying = true;
  while (server->connections != NULL)
    srv_close_connection (server->connections);
  srv_stop_accepting (server);
  srv_set_account (server, NULL);
  srv_free_closed (server);
  evl_task_cancel (&server->free_task);
  free (server);
}

void
srv_set_limits (struct srv *server, const struct srv_limits *limits)
{
  server->limits = *limits;
}

void
srv_set_provisional (struct srv *server, bool provisional)
{
  server->provisional = provisional;
}

void
srv_set_budget (struct srv *server, struct htp_budget *budget)
{
  server->budget = budget;
}

void
srv_set_account (struct srv *server, struct acc *account)
{
  if (server->account != NULL)
    server->account->close_slowest = NULL;
  server->account = account;
  if (account == NULL)
    return;
  account->close_slowest = srv_close_slowest;
  account->context = server;
}

void
srv_drain (struct srv *server)
{
  server->draining = true;
}

void
srv_stop_accepting (struct srv *server)
{
  struct srv_connection *next;

  server->draining = true;
  if (server->listener >= 0)
    {
      /* Accepts the waiting connections first: they were made before their
         callers could know of the shutdown, and would be reset.  */
      if (!server->destroying)
        on_listener (server, EVL_READ);
      evl_timer_stop (&server->accept_timer);
      evl_socket_watch (&server->socket, 0);
      close (server->listener);
      server->listener = -1;
    }
  for (struct srv_connection *connection = server->connections;
       connection != NULL; connection = next)
    {
      next = connection->next;
      if (srv_is_unused (connection))
        srv_close_connection (connection);
    }
}

bool
srv_is_accepting (const struct srv *server)
{
  return server->listener >= 0;
}

size_t
srv_request_count (const struct srv *server)
{
  return server->request_count;
}

clk_time
srv_last_request_time (const struct srv *server)
{
  return server->last_request_time;
}

size_t
srv_connection_count (const struct srv *server)
{
  return server->connection_count;
}
