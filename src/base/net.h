/* IPv4 addresses as text, and TCP and UDP sockets with deadlines.  */

#ifndef MULBERRYSHIFT_BASE_NET_H
#define MULBERRYSHIFT_BASE_NET_H

#include "base/clk.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Size of the longest text of an address, "255.255.255.255:65535", with its
   terminating null byte.  */
#define NET_TEXT_SIZE 22

  /* An IPv4 address and port, both in host byte order.  */
  struct net_address
  {
    uint32_t ip;
    uint16_t port;
  };

  /* Parses "1.2.3.4:80".  Returns false when TEXT is anything else.  */
  bool net_parse (const char *text, struct net_address *address);

  /* Writes ADDRESS as "1.2.3.4:80" to TEXT, which has NET_TEXT_SIZE bytes.  */
  void net_format (struct net_address address, char *text);

  /* Returns whether IP and port are equal.  */
  bool net_equal (struct net_address left, struct net_address right);

  /* Opens a TCP socket that listens at ADDRESS.  Returns it, or -1 with
     err_set.  */
  int net_listen (struct net_address address);

  /* Opens a UDP socket bound to ADDRESS.  Returns it, or -1 with err_set.  */
  int net_bind_datagram (struct net_address address);

  /* Connects by TCP and waits until DEADLINE; TCP_NODELAY is set.  Returns the
     blocking socket, or -1 with err_set.  */
  int net_connect (struct net_address address, clk_time deadline);

  /* Starts to connect by TCP without waiting; TCP_NODELAY is set.  The
     non-blocking socket becomes writable when the connect has ended;
     net_connect_result then returns its result.  Returns the socket, or -1
     with err_set.  */
  int net_connect_start (struct net_address address);

  /* Returns 0 when a started connect has succeeded, otherwise its errno
     value.  */
  int net_connect_result (int socket);

  /* Accepts one connection.  Returns its non-blocking socket, or -1 with errno
     set.  */
  int net_accept (int listener);

  /* Enables TCP keep-alive with a probe every second, so that the connection
     to a peer that no longer responds fails within PROBES + 1 seconds, with or
     without unacknowledged data.  */
  void net_set_keepalive (int socket, int probes);

  /* Sends one datagram without blocking.  A failure is ignored, like the loss
     of a datagram in the network.  */
  void net_send_datagram (int socket, struct net_address to, const void *data,
                          size_t length);

#ifdef __cplusplus
}
#endif

#endif
