/* Threads that the process depends on.  */

#include "base/thr.h"

#include <stdlib.h>

void
thr_start (pthread_t *thread, void *(*run) (void *), void *context)
{
  if (pthread_create (thread, NULL, run, context) != 0)
    abort ();
}
