/* Calls that wait at a gate for a slot of the upstream.  Pure: the owner asks
   which call is next when a slot is free, and which ones can no longer be
   served.

   Load that it answers: bursts of 1.4 to 1.8 times a service's capacity for
   some seconds.  Calls that can still be on time go first, the more urgent
   before the others and within one priority the one whose time runs out first;
   calls that are late already take what is left.  Thus a burst makes the calls
   late that are late in any case, instead of all of them a little.  While the
   burst lasts, late calls get few slots or none; the queue measures how many,
   and a call that would wait beyond its deadline is turned away at once.
   Within one priority, calls of tenants that use more than their share (see
   shr.h) go after the others, so that one tenant's burst does not make the
   calls of the others late.  */

#ifndef MULBERRYSHIFT_QUE_QUE_H
#define MULBERRYSHIFT_QUE_QUE_H

#include "base/clk.h"
#include "shr/shr.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Calls that may wait at a gate.  */
#define QUE_CAPACITY 512

  /* One waiting call.  */
  struct que_item
  {
    void *call;
    uint32_t priority;     /* 0 is the highest */
    clk_time service_time; /* expected time until it is answered, ns */
    clk_time target_time;  /* an answer by then is on time */
    clk_time deadline;     /* an answer after that is worth nothing */
    uint32_t tenant;       /* handle into the shares; SHR_NONE: none */
    bool is_bulk;          /* its response is long, and the link limits it */
  };

  /* The waiting calls, in order of arrival.  Zero-initialise.  */
  struct que
  {
    struct que_item items[QUE_CAPACITY];
    size_t count;
    struct shr shares;      /* of the tenants in the slots */
    bool is_link_full;      /* bulk calls wait also while a slot is free */
    clk_time bulk_interval; /* mean time of a bulk response on the link, ns */
    clk_time
        dequeue_interval; /* mean time between two calls that are taken, ns */
    double
        late_skip_ratio; /* recent part of these that late calls did not get */
    double over_skip_ratio; /* the same of calls over their tenant's share */
  };

  /* Adds a call.  Returns false when the queue is full.  */
  bool que_push (struct que *queue, const struct que_item *item);

  /* Removes and returns the next call to run, null when none can run now.  */
  void *que_pop (struct que *queue, clk_time now);

  /* Returns the expected wait of a call that would be added now.  */
  clk_time que_estimate_wait (const struct que *queue,
                              const struct que_item *item, clk_time now);

  /* Returns the time that the link takes for the bulk responses that go before
     that of ITEM; 0 for a call that is not a bulk one.  */
  clk_time que_estimate_link_wait (const struct que *queue,
                                   const struct que_item *item, clk_time now);

  /* Returns the number of calls that do not wait for the link.  */
  size_t que_count_runnable (const struct que *queue);

  /* Removes and returns a call that is not expected to end by its deadline any
     more, null when there is none.  */
  void *que_expire (struct que *queue, clk_time now);

  /* Ends all deadlines by LATEST.  */
  void que_limit_deadlines (struct que *queue, clk_time latest);

  /* Removes a call.  Returns false when it does not wait.  */
  bool que_remove (struct que *queue, const void *call);

  /* Returns how many waiting calls would run before ITEM.  */
  size_t que_count_ahead (const struct que *queue, const struct que_item *item,
                          clk_time now);

  /* Returns whether a call can still be on time.  */
  bool que_can_be_on_time (const struct que_item *item, clk_time now);

  /* Returns when que_expire may next find a call, CLK_NEVER when none waits.
     NOW is the time at which que_expire has found none.  */
  clk_time que_next_expiry (const struct que *queue, clk_time now);

#ifdef __cplusplus
}
#endif

#endif
