/* Age of a request: the time since its caller's first attempt.  A caller that
   was refused comes back with a new request whose timeout is what it has left,
   and its target latency still counts from the first attempt.  The timeouts of
   first attempts are learned for each route while nobody is refused; a request
   with a shorter one is taken for a later attempt.  Pure.

   Load that it answers: some seconds in which many callers are refused and
   come back.  Those that are late in any case would otherwise take the slots
   of requests that can still be on time.  */

#ifndef MULBERRYSHIFT_AGE_AGE_H
#define MULBERRYSHIFT_AGE_AGE_H

#include "base/clk.h"

#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Routes that are distinguished; the one unused for longest is replaced.  */
#define AGE_MAX_ROUTES 64

  struct age;

  /* Creates an estimator without routes.  */
  struct age *age_create (void);

  /* Frees it.  Null is allowed.  */
  void age_destroy (struct age *ages);

  /* Counts a request on ROUTE (hash, not 0) whose caller waits for TIMEOUT
     (ns) from now on, and returns the time since its first attempt, ns; 0 when
     it is a first attempt or when too little is known.  */
  clk_time age_take_request (struct age *ages, uint32_t route,
                             clk_time timeout, clk_time now);

  /* A caller on ROUTE was refused and may come back.  */
  void age_note_refusal (struct age *ages, uint32_t route, clk_time now);

#ifdef __cplusplus
}
#endif

#endif
