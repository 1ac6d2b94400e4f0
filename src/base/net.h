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

/* Longest text of an address, "255.255.255.255:65535" and the null.  */
#define NET_TEXT_SIZE 22

  /* An IPv4 address and port, both in host byte order.  */
  struct net_address
  {
    uint32_t ip;
    uint16_t port;
  };

  /* Parses "1.2.3.4:80".  Returns false when TEXT is anything else.  */
  bool net_parse (const char *text, struct net_address *address);

  /* Writes "1.2.3.4:80" to TEXT, which holds NET_TEXT_SIZE bytes.  */
  void net_format (struct net_address address, char *text);

  /* Returns whether both parts are equal.  */
  bool net_equal (struct net_address left, struct net_address right);

  /* Opens a listening TCP socket.  Returns it, or -1 with err_set.  */
  int net_listen (struct net_address address);

  /* Opens a bound UDP socket.  Returns it, or -1 with err_set.  */
  int net_bind_datagram (struct net_address address);

  /* Connects by TCP until DEADLINE, without Nagle's delay.  Returns the
     socket, or -1 with err_set.  */
  int net_connect (struct net_address address, clk_time deadline);

  /* Starts a connect without waiting: the socket, which never blocks, becomes
     writable when it is connected, and net_connect_result tells how that
     ended.  Returns the socket, or -1 with err_set.  */
  int net_connect_start (struct net_address address);

  /* Returns 0 when a started connect succeeded, else its errno value.  */
  int net_connect_result (int socket);

  /* Accepts one connection as a socket that never blocks.  Returns it, or -1
     with errno set.  */
  int net_accept (int listener);

  /* Makes the system probe an idle peer every second, so that a connection
     whose peer has vanished without a word fails within PROBES + 1 seconds,
     with or without unacknowledged data.  */
  void net_set_keepalive (int socket, int probes);

  /* Sends one datagram; a failure counts as a lost datagram.  */
  void net_send_datagram (int socket, struct net_address to, const void *data,
                          size_t length);

#ifdef __cplusplus
}
#endif

#endif
