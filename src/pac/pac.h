/* Pacer: limits the bytes that a node puts on the link of its VM for long
   bodies.  Pure.

   Load that it answers: responses of 90 KB and more for which the upstream has
   slots and the link of the VM has not the bandwidth.  Packets that queue in
   the network delay pings, short calls and configuration alike; what is held
   back here can be overtaken, and its length is known.  */

#ifndef MULBERRYSHIFT_PAC_PAC_H
#define MULBERRYSHIFT_PAC_PAC_H

#include "base/clk.h"

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct pac
  {
    double rate;         /* bytes per ns; 0: no limit */
    double credit;       /* bytes that may be sent; negative after a send */
    clk_time updated_at; /* time of CREDIT */
  };

  /* Initializes a pacer for a rate in bytes per second; 0: no limit.  */
  void pac_init (struct pac *pacer, double bytes_per_second, clk_time now);

  /* Returns whether bytes may be sent now.  */
  bool pac_may_send (struct pac *pacer, clk_time now);

  /* Counts bytes that were sent.  */
  void pac_count (struct pac *pacer, size_t bytes);

  /* Returns when bytes may be sent next, given that they may not be sent at
     NOW; always later than NOW.  */
  clk_time pac_next_time (const struct pac *pacer, clk_time now);

  /* Returns the time in which BYTES are sent; 0 without a limit.  */
  clk_time pac_time_of (const struct pac *pacer, double bytes);

#ifdef __cplusplus
}
#endif

#endif
