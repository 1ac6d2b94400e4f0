/* The upstream beside this node, as it announced itself.  */

#include "up/up_lease.h"
#include "base/mem.h"

#include <pthread.h>
#include <stdlib.h>

struct up_lease
{
  pthread_mutex_t lock;
  struct up_announcement announcement;
  clk_time end;
};

struct up_lease *
up_lease_create (void)
{
  struct up_lease *lease = mem_alloc (1, sizeof *lease);

  pthread_mutex_init (&lease->lock, NULL);
  return lease;
}

void
up_lease_destroy (struct up_lease *lease)
{
  if (lease == NULL)
    return;
  pthread_mutex_destroy (&lease->lock);
  free (lease);
}

void
up_lease_renew (struct up_lease *lease,
                const struct up_announcement *announcement, clk_time now)
{
  pthread_mutex_lock (&lease->lock);
  lease->announcement = *announcement;
  lease->end = now + UP_LEASE_LENGTH;
  pthread_mutex_unlock (&lease->lock);
}

void
up_lease_end (struct up_lease *lease)
{
  pthread_mutex_lock (&lease->lock);
  lease->end = 0;
  pthread_mutex_unlock (&lease->lock);
}

bool
up_lease_get (struct up_lease *lease, clk_time now,
              struct up_announcement *announcement)
{
  bool valid;

  pthread_mutex_lock (&lease->lock);
  valid = now < lease->end;
  if (valid)
    *announcement = lease->announcement;
  pthread_mutex_unlock (&lease->lock);
  return valid;
}
