/* Loopback ports for listening sockets of tests.  */

#include "support/loopback.h"

#include "base/err.h"

#include <cstdio>
#include <cstdlib>
#include <unistd.h>

/* The ranges begin here and end below the outgoing ports (32768).  */
static const uint16_t first_port = 10000;
static const unsigned range_count = 350;

/* A bound UDP socket at this address marks the range that begins at its port
   as taken.  No test uses the address otherwise.  */
static const uint32_t guard_ip = 0x7ffffffe; /* 127.255.255.254 */

uint16_t
loopback_reserve_range ()
{
  unsigned start = (unsigned)getpid () % range_count;

  for (unsigned i = 0; i < range_count; i++)
    {
      unsigned range = (start + i) % range_count;
      uint16_t port = (uint16_t)(first_port + range * LOOPBACK_RANGE_SIZE);

      /* The guard stays open until the process ends.  */
      if (net_bind_datagram ({ guard_ip, port }) >= 0)
        return port;
    }
  fprintf (stderr, "no range of loopback ports is free: %s\n", err_last ());
  abort ();
}

struct net_address
loopback_allocate_address ()
{
  static uint16_t next_port;
  static uint16_t range_end;

  if (next_port == range_end)
    {
      next_port = loopback_reserve_range ();
      range_end = (uint16_t)(next_port + LOOPBACK_RANGE_SIZE);
    }
  return { 0x7f000001, next_port++ };
}
