/* Planned shutdown of a sidecar: when it drains its upstream, how long it
   accepts requests of callers, and when the process ends.  Pure.

   Load that it answers: callers learn of a shutdown from the readiness probe
   and then use another node.  Where too few nodes of a data centre are left,
   the probe does not count and callers keep coming; a node that ended early
   would leave them without a node.  So the node accepts requests as long as
   they come and can be answered before the process is killed, and ends early
   once its callers have left.  */

#ifndef MULBERRYSHIFT_STP_STP_H
#define MULBERRYSHIFT_STP_STP_H

#include "base/clk.h"

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Times of a shutdown.  */
  struct stp
  {
    clk_time drain_at;  /* the upstream gets no new calls from then on */
    clk_time screen_at; /* from then on only requests are accepted that end
                           before ANSWER_BY whatever they wait for */
    clk_time answer_by; /* all requests have ended */
    clk_time stop_at;   /* the process ends at the latest */
  };

  /* What decides the next step.  */
  struct stp_state
  {
    clk_time now;
    clk_time last_request_at; /* arrival of the last request of a caller */
    bool is_accepting;        /* requests may still arrive */
    size_t request_count;     /* requests of callers without a whole response
                                 sent */
    size_t call_count;        /* calls at the upstream or waiting for it */
    size_t unsent_bytes;      /* of answers to calls of other nodes */
  };

  /* What is due; each step stays due once it is.  */
  struct stp_steps
  {
    bool drain;          /* drain the upstream's gate */
    bool stop_accepting; /* accept no connections and requests */
    bool stop;           /* answer what is left, and end the process */
  };

  /* Returns the times of a shutdown that starts at NOW; the process is killed
     GRACE_PERIOD later.  */
  struct stp stp_begin (clk_time now, clk_time grace_period);

  /* Returns the steps that are due.  */
  struct stp_steps stp_check (const struct stp *shutdown,
                              const struct stp_state *state);

#ifdef __cplusplus
}
#endif

#endif
