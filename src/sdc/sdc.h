/* Sidecar: the process beside an upstream on the users' platform.  One thread
   runs an event loop with the servers for callers, probes and heartbeats, the
   links to other nodes, the gate of the upstream and the client of the
   store.  */

#ifndef MULBERRYSHIFT_SDC_SDC_H
#define MULBERRYSHIFT_SDC_SDC_H

#include "cfg/cfg_sidecar.h"
#include "ptf/ptf.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* Runs a sidecar until SIGTERM or SIGINT, and lets requests in progress
     finish.  FILE is read again at SIGHUP and when it changes.  Returns 0, or
     1 when the sidecar could not start.  */
  int sdc_run (const struct cfg_sidecar *settings, const char *file,
               const struct ptf_platform *platform);

#ifdef __cplusplus
}
#endif

#endif
