/* Sidecar: the process beside an upstream on the users' platform.  One thread
   runs an event loop with the servers for callers, probes and heartbeats, the
   links to other nodes, the gate of the upstream and the client of the
   store.  */

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

  /* Starts a sidecar on LOOP; FILE holds its settings, or is null when they do
     not change.  Returns null with err_set when an address cannot be used.  */
  struct sdc *sdc_create (struct evl *loop, const struct cfg_sidecar *settings,
                          const char *file,
                          const struct ptf_platform *platform);

  /* Stops everything at once and frees the sidecar.  Null is allowed.  */
  void sdc_destroy (struct sdc *sidecar);

  /* Starts a shutdown: no new work, and the end when requests in progress have
     finished.  */
  void sdc_terminate (struct sdc *sidecar);

  /* Returns whether a shutdown has come to its end.  */
  bool sdc_has_stopped (const struct sdc *sidecar);

  /* Returns whether the sidecar takes new work.  */
  bool sdc_is_ready (const struct sdc *sidecar);

  /* Returns the configuration version in effect, 0 when there is none.  */
  uint64_t sdc_config_version (const struct sdc *sidecar);

  /* Returns the number of nodes that the sidecar knows, with itself.  */
  size_t sdc_node_count (const struct sdc *sidecar);

  /* Runs a sidecar until SIGTERM or SIGINT, and lets requests in progress
     finish.  FILE is read again at SIGHUP and when it changes.  Returns 0, or
     1 when the sidecar could not start.  */
  int sdc_run (const struct cfg_sidecar *settings, const char *file,
               const struct ptf_platform *platform);

#ifdef __cplusplus
}
#endif

#endif
