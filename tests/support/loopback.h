/* Loopback ports for listening sockets of tests.  Test programs run side by
   side, and some of their sockets listen on every address, so each program
   takes its ports from ranges that no other program holds.  */

#ifndef TESTS_SUPPORT_LOOPBACK_H
#define TESTS_SUPPORT_LOOPBACK_H

#include "base/net.h"

/* Number of successive ports in a range.  */
#define LOOPBACK_RANGE_SIZE 64

/* Reserves a range until the end of the process and returns its first port.
   The range lies below the ports that the system gives to outgoing
   connections.  Ends the process when all ranges are taken.  */
uint16_t loopback_reserve_range ();

/* Returns an address of 127.0.0.1 that no other test uses.  */
struct net_address loopback_allocate_address ();

#endif
