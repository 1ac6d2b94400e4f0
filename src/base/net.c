/* IPv4 addresses as text, and TCP and UDP sockets with deadlines.  */

#include "base/net.h"

#include "base/err.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Most established connections that wait to be accepted.  */
#define LISTEN_BACKLOG 512

static struct sockaddr_in
to_socket_address (struct net_address address)
{
  struct sockaddr_in result = { .sin_family = AF_INET };

  result.sin_addr.s_addr = htonl (address.ip);
  result.sin_port = htons (address.port);
  return result;
}

bool
net_parse (const char *text, struct net_address *address)
{
  char host[NET_TEXT_SIZE];
  const char *colon = strrchr (text, ':');
  struct in_addr ip;
  char *end;
  unsigned long port;

  if (colon == NULL || (size_t)(colon - text) >= sizeof host || colon[1] < '0'
      || colon[1] > '9')
    return false;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  port = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || port > UINT16_MAX || inet_pton (AF_INET, host, &ip) != 1)
    return false;
  address->ip = ntohl (ip.s_addr);
  address->port = (uint16_t)port;
  return true;
}

void
net_format (struct net_address address, char *text)
{
  snprintf (text, NET_TEXT_SIZE, "%u.%u.%u.%u:%u", address.ip >> 24,
            address.ip >> 16 & 255, address.ip >> 8 & 255, address.ip & 255,
            address.port);
}

bool
net_equal (struct net_address left, struct net_address right)
{
  return left.ip == right.ip && left.port == right.port;
}

/* Opens a socket of TYPE and binds it to ADDRESS.  Returns it, or -1 with
   err_set.  */
static int
open_bound_socket (struct net_address address, int type)
{
  struct sockaddr_in where = to_socket_address (address);
  int descriptor = socket (AF_INET, type | SOCK_CLOEXEC, 0);
  char text[NET_TEXT_SIZE];
  int on = 1;

  net_format (address, text);
  if (descriptor < 0)
    {
      err_set ("cannot open a socket: %s", strerror (errno));
      return -1;
    }
  if (type == SOCK_STREAM)
    setsockopt (descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (descriptor, (struct sockaddr *)&where, sizeof where) != 0)
    {
      err_set ("cannot bind to address %s: %s", text, strerror (errno));
      close (descriptor);
      return -1;
    }
  return descriptor;
}

int
net_listen (struct net_address address)
{
  int descriptor = open_bound_socket (address, SOCK_STREAM);
  int on = 1;

  /* Accepted sockets inherit TCP_NODELAY.  Without it a second small frame
     waits up to 40 ms for the acknowledgement of the first.  */
  if (descriptor >= 0)
    setsockopt (descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (descriptor >= 0 && listen (descriptor, LISTEN_BACKLOG) != 0)
    {
      err_set ("cannot listen on the socket: %s", strerror (errno));
      close (descriptor);
      return -1;
    }
  return descriptor;
}

int
net_bind_datagram (struct net_address address)
{
  return open_bound_socket (address, SOCK_DGRAM);
}

/* Waits until DEADLINE for a started connect.  Returns 0 or an errno
   value.  */
static int
finish_connect (int descriptor, clk_time deadline)
{
  struct pollfd item = { .fd = descriptor, .events = POLLOUT };
  int error = 0;
  socklen_t size = sizeof error;
  int ready;

  do
    ready = poll (&item, 1, clk_poll_timeout (clk_now (), deadline, 60000));
  while (ready < 0 && errno == EINTR);
  if (ready == 0)
    return ETIMEDOUT;
  if (ready < 0)
    return errno;
  getsockopt (descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

int
net_connect (struct net_address address, clk_time deadline)
{
  struct sockaddr_in where = to_socket_address (address);
  int descriptor
      = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  char text[NET_TEXT_SIZE];
  int error = 0;
  int on = 1;

  net_format (address, text);
  if (descriptor < 0)
    {
      err_set ("cannot open a socket: %s", strerror (errno));
      return -1;
    }
  if (connect (descriptor, (struct sockaddr *)&where, sizeof where) != 0)
    error
        = errno == EINPROGRESS ? finish_connect (descriptor, deadline) : errno;
  if (error != 0)
    {
      err_set ("cannot connect to %s: %s", text, strerror (error));
      close (descriptor);
      return -1;
    }
  fcntl (descriptor, F_SETFL, fcntl (descriptor, F_GETFL) & ~O_NONBLOCK);
  setsockopt (descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return descriptor;
}

int
net_connect_start (struct net_address address)
{
  struct sockaddr_in where = to_socket_address (address);
  int descriptor
      = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  char text[NET_TEXT_SIZE];
  int on = 1;

  if (descriptor < 0)
    {
      err_set ("cannot open a socket: %s", strerror (errno));
      return -1;
    }
  setsockopt (descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (descriptor, (struct sockaddr *)&where, sizeof where) == 0
      || errno == EINPROGRESS)
    return descriptor;
  net_format (address, text);
  err_set ("cannot connect to %s: %s", text, strerror (errno));
  close (descriptor);
  return -1;
}

int
net_connect_result (int socket)
{
  int error = 0;
  socklen_t size = sizeof error;

  if (getsockopt (socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
    return errno;
  return error;
}

int
net_accept (int listener)
{
  return accept4 (listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
}

void
net_set_keepalive (int socket, int probes)
{
  int on = 1;
  int interval_s = 1;
  int timeout_ms = (probes + 1) * 1000;

  setsockopt (socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (socket, IPPROTO_TCP, TCP_KEEPIDLE, &interval_s,
              sizeof interval_s);
  setsockopt (socket, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
              sizeof interval_s);
  setsockopt (socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt (socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
              sizeof timeout_ms);
}

void
net_send_datagram (int socket, struct net_address to, const void *data,
                   size_t length)
{
  struct sockaddr_in where = to_socket_address (to);

  sendto (socket, data, length, MSG_DONTWAIT | MSG_NOSIGNAL,
          (struct sockaddr *)&where, sizeof where);
}
