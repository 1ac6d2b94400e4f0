/* Sidecar: the process beside an upstream on the users' platform.  One thread
   runs an event loop with the servers for callers, readiness probes,
   heartbeats and metrics, the links to other nodes, the gate of the upstream
   and the client of the platform's store.  */

#ifndef MULBERRYSHIFT_SDC_SDC_H
#define MULBERRYSHIFT_SDC_SDC_H

#include "cfg/cfg_sidecar.h"
#include "evl/evl.h"
#include "ptf/ptf.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct sdc;

  /* Starts a sidecar on LOOP.  FILE is the settings file, which is read again
     when it changes, or null.  FILE and PLATFORM must outlive the sidecar.
     Returns null with err_set when it cannot listen at an address.  */
  struct sdc *sdc_create (struct evl *loop, const struct cfg_sidecar *settings,
                          const char *file,
                          const struct ptf_platform *platform);

  /* Stops the sidecar at once, without answers to the calls in progress, and
     frees it.  Null is allowed.  */
  void sdc_destroy (struct sdc *sidecar);

  /* Starts a shutdown: the sidecar drains, and stops when the requests in
     progress have ended or its grace period is over.  Does nothing during a
     shutdown.  */
  void sdc_terminate (struct sdc *sidecar);

  /* Returns whether a shutdown is complete.  */
  bool sdc_has_stopped (const struct sdc *sidecar);

  /* Returns whether the sidecar is ready for requests: it has a configuration
     and is not shutting down.  */
  bool sdc_is_ready (const struct sdc *sidecar);

  /* Returns the held configuration version, 0 when there is none.  */
  uint64_t sdc_config_version (const struct sdc *sidecar);

  /* Returns the number of known nodes that are not dead, itself included.  */
  size_t sdc_node_count (const struct sdc *sidecar);

  /* Runs a sidecar until the shutdown that SIGTERM or SIGINT starts is
     complete.  FILE is read again on SIGHUP and when it changes.  Returns 0,
     or 1 when the sidecar cannot start.  */
  int sdc_run (const struct cfg_sidecar *settings, const char *file,
               const struct ptf_platform *platform);

#ifdef __cplusplus
}
#endif

#endif
