/* Bounded blocking queue of pointers.  */

#include "base/ring.h"

#include "base/mem.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>

struct ring
{
  pthread_mutex_t lock;
  pthread_cond_t not_empty;
  size_t capacity;
  size_t first;
  size_t count;
  bool closed;
  void *items[];
};

struct ring *
ring_create (size_t capacity)
{
  struct ring *ring = mem_alloc (1, sizeof *ring + capacity * sizeof (void *));

  ring->capacity = capacity;
  pthread_mutex_init (&ring->lock, NULL);
  clk_init_condition (&ring->not_empty);
  return ring;
}

void
ring_destroy (struct ring *ring)
{
  if (ring == NULL)
    return;
  pthread_cond_destroy (&ring->not_empty);
  pthread_mutex_destroy (&ring->lock);
  free (ring);
}

bool
ring_push (struct ring *ring, void *item)
{
  bool accepted;

  pthread_mutex_lock (&ring->lock);
  accepted = !ring->closed && ring->count < ring->capacity;
  if (accepted)
    {
      ring->items[(ring->first + ring->count) % ring->capacity] = item;
      ring->count++;
      pthread_cond_signal (&ring->not_empty);
    }
  pthread_mutex_unlock (&ring->lock);
  return accepted;
}

void *
ring_pop (struct ring *ring, clk_time deadline)
{
  struct timespec limit = clk_to_timespec (deadline);
  void *item = NULL;
  int wait = 0;

  pthread_mutex_lock (&ring->lock);
  while (ring->count == 0 && !ring->closed && wait != ETIMEDOUT)
    wait
        = deadline == CLK_NEVER
              ? pthread_cond_wait (&ring->not_empty, &ring->lock)
              : pthread_cond_timedwait (&ring->not_empty, &ring->lock, &limit);
  if (ring->count > 0)
    {
      item = ring->items[ring->first];
      ring->first = (ring->first + 1) % ring->capacity;
      ring->count--;
    }
  pthread_mutex_unlock (&ring->lock);
  return item;
}

void
ring_close (struct ring *ring)
{
  pthread_mutex_lock (&ring->lock);
  ring->closed = true;
  pthread_cond_broadcast (&ring->not_empty);
  pthread_mutex_unlock (&ring->lock);
}
