/* Bounded blocking queue of pointers for any number of producer and consumer
   threads, stored in a ring buffer.  */

#ifndef MULBERRYSHIFT_BASE_RING_H
#define MULBERRYSHIFT_BASE_RING_H

#include "base/clk.h"

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct ring;

  /* Creates a queue for CAPACITY items.  */
  struct ring *ring_create (size_t capacity);

  /* Frees the queue, but not the items that are still in it.  No thread may be
     using it.  Null is allowed.  */
  void ring_destroy (struct ring *ring);

  /* Adds ITEM, which must not be null.  Returns false without waiting when the
     queue is full or closed.  */
  bool ring_push (struct ring *ring, void *item);

  /* Removes and returns the oldest item; waits for one until DEADLINE.
     Returns null at the deadline, and when the queue is closed and empty.  */
  void *ring_pop (struct ring *ring, clk_time deadline);

  /* Closes the queue: wakes all waiting consumers and makes later pushes
     fail.  */
  void ring_close (struct ring *ring);

#ifdef __cplusplus
}
#endif

#endif
