/* Metrics of the sending side.  Series are looked up once, since a look-up
   takes a lock.  Used inside this module.  */

#ifndef MULBERRYSHIFT_CALL_CALL_STAT_H
#define MULBERRYSHIFT_CALL_CALL_STAT_H

#include "call/call_trace.h"
#include "met/met.h"

#include <pthread.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define CALL_STAT_OUTCOMES 3
#define CALL_STAT_MAX_TENANTS 64

  struct call_stat_tenant
  {
    char name[CALL_TRACE_NAME_SIZE];
    uint64_t *counters[CALL_STAT_OUTCOMES];
    struct hst *latency;
  };

  struct call_stat
  {
    uint64_t *counters[DOC_CLASS_COUNT][CALL_STAT_OUTCOMES];
    struct hst *latency[DOC_CLASS_COUNT];
    uint64_t *retries;
    uint64_t *queries;
    pthread_mutex_t lock; /* guards the tenants */
    struct call_stat_tenant tenants[CALL_STAT_MAX_TENANTS];
    size_t tenant_count;
  };

  /* Looks the series up.  */
  void call_stat_init (struct call_stat *stat);

  /* Counts one finished call.  TENANT must be a name of the document, or null;
     names beyond CALL_STAT_MAX_TENANTS are counted as "other".  Any thread. */
  void call_stat_count (struct call_stat *stat,
                        const struct call_trace_call *call,
                        const char *tenant);

#ifdef __cplusplus
}
#endif

#endif
