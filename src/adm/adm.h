/* Admission at a gate: which calls run, wait or are refused.  Pure: a state,
   an event and the time give a decision.  One owner; the caller locks.

   In progress are at most as many calls as the upstream has slots.  Others
   wait in a bounded queue, ordered by class preference, then deadline, then
   arrival.  Handles index a fixed table; nothing is allocated per call.  */

#ifndef MULBERRYSHIFT_ADM_ADM_H
#define MULBERRYSHIFT_ADM_ADM_H

#include "base/clk.h"
#include "doc/doc.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Calls waiting and calls running at most.  */
#define ADM_MAX_QUEUED 256
#define ADM_MAX_RUNNING 1024
#define ADM_TABLE_SIZE (ADM_MAX_QUEUED + ADM_MAX_RUNNING)

/* Not a handle.  */
#define ADM_NONE (-1)

  enum adm_status
  {
    ADM_RUN,         /* run it now */
    ADM_QUEUED,      /* adm_next will return it, or adm_expire */
    ADM_FULL,        /* refused: no place in the queue for this class */
    ADM_TOO_LATE,    /* refused: the deadline cannot be met */
    ADM_TENANT_FULL, /* refused: the tenant's limit is reached */
    ADM_CLASS_FULL   /* refused: the class's limit is reached */
  };

  struct adm_limits
  {
    uint32_t slots; /* calls running at once, at most ADM_MAX_RUNNING */
    uint32_t queue; /* calls waiting, at most ADM_MAX_QUEUED */
    uint32_t
        once_reserve; /* places that only DOC_AT_MOST_ONCE calls may take */
    uint32_t class_max[DOC_CLASS_COUNT]; /* in progress; 0: no limit */
    enum doc_class preference[DOC_CLASS_COUNT];
  };

  struct adm_request
  {
    enum doc_class call_class;
    uint64_t tenant;     /* hash of the tenant's name */
    uint32_t tenant_max; /* calls running and waiting; 0: no limit */
    clk_time deadline;
  };

  struct adm;

  /* Creates an empty admission; limits above the maxima are lowered.  */
  struct adm *adm_create (const struct adm_limits *limits);

  /* Frees it.  */
  void adm_destroy (struct adm *adm);

  /* Replaces the limits.  Calls already in progress or waiting stay, and the
     queue takes the new order.  */
  void adm_set_limits (struct adm *adm, const struct adm_limits *limits);

  /* Decides about a call that arrived at NOW.  *HANDLE is set for ADM_RUN and
     ADM_QUEUED.  *EVICTED is a waiting call that must now be refused, or
     ADM_NONE; its handle is free when this returns.  */
  enum adm_status adm_offer (struct adm *adm,
                             const struct adm_request *request, clk_time now,
                             int *handle, int *evicted);

  /* Returns a waiting call to run now, or ADM_NONE when no slot is free or
     none waits.  Calls that are expected to end after their deadline are not
     started: they would be "unknown"; adm_expire takes them as "not run".  */
  int adm_next (struct adm *adm, clk_time now);

  /* Ends a running call and frees its handle.  SERVICE_TIME (ns) is learned
     from when it is not negative.  */
  void adm_finish (struct adm *adm, int handle, clk_time service_time);

  /* Removes a waiting call and frees its handle.  Returns false when it does
     not wait: it runs or has ended.  */
  bool adm_remove (struct adm *adm, int handle);

  /* Returns whether a waiting call could still end by its deadline if it
     started at NOW.  */
  bool adm_can_end (const struct adm *adm, int handle, clk_time now);

  /* Removes and returns one waiting call whose deadline has passed, or
     ADM_NONE.  */
  int adm_expire (struct adm *adm, clk_time now);

  /* Returns the number of running calls.  */
  uint32_t adm_running (const struct adm *adm);

  /* Returns the number of waiting calls.  */
  uint32_t adm_queued (const struct adm *adm);

#ifdef __cplusplus
}
#endif

#endif
