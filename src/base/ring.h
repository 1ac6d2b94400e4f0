/* Bounded ring of pointers between threads; any number of producers and
   consumers.  */

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

  /* Creates a ring for CAPACITY items.  */
  struct ring *ring_create (size_t capacity);

  /* Frees the ring, not the items still in it.  No thread may be using it.  */
  void ring_destroy (struct ring *ring);

  /* Adds ITEM (not null).  Returns false at once when the ring is full or
     closed.  */
  bool ring_push (struct ring *ring, void *item);

  /* Removes the oldest item; waits until DEADLINE.  Returns null at the
     deadline, and when the ring is closed and empty.  */
  void *ring_pop (struct ring *ring, clk_time deadline);

  /* Wakes all waiting consumers; later pushes fail.  */
  void ring_close (struct ring *ring);

#ifdef __cplusplus
}
#endif

#endif
