/* Probe of the platform's store: detects within a second whether the store
   answers this node.  A long poll shows nothing until it ends, so a node that
   depends on long polls also reads an object from time to time.  The read
   allows stale data, which costs the store a tenth of another call, and is
   skipped while the store answers other calls.  */

#ifndef MULBERRYSHIFT_PRB_PRB_H
#define MULBERRYSHIFT_PRB_PRB_H

#include "sto/sto.h"

#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct prb;

  /* Reports that the store has become reachable or unreachable.  */
  typedef void (*prb_changed) (void *context, bool reachable);

  /* Creates a probe that reads the object NAME of KIND, which need not exist.
     Both strings must outlive the probe.  */
  struct prb *prb_create (struct evl *loop, struct sto *store,
                          const char *kind, const char *name,
                          prb_changed changed, void *context);

  /* Stops and frees the probe.  Null is allowed.  */
  void prb_destroy (struct prb *probe);

  /* Starts probing now.  The store counts as reachable at first.  Does nothing
     when the probe is started.  */
  void prb_start (struct prb *probe);

  /* Stops probing without a report.  */
  void prb_stop (struct prb *probe);

#ifdef __cplusplus
}
#endif

#endif
