/* Threads that the process depends on.  */

#ifndef MULBERRYSHIFT_BASE_THR_H
#define MULBERRYSHIFT_BASE_THR_H

#include <pthread.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Starts RUN (CONTEXT) in a thread.  Aborts when the thread cannot be
     created, since a node without one of its threads would appear to work.  */
  void thr_start (pthread_t *thread, void *(*run) (void *), void *context);

#ifdef __cplusplus
}
#endif

#endif
