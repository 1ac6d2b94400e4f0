/* Probe of the platform's store: tells within a second whether it answers
   this node.  A call that waits for changes says nothing until it ends, so a
   node that depends on such calls also reads an object at times.  The read may
   be stale, which costs a tenth of another call, and is left out while other
   calls are answered.  */

#ifndef MULBERRYSHIFT_PRB_PRB_H
#define MULBERRYSHIFT_PRB_PRB_H

#include "sto/sto.h"

#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct prb;

  /* The store answers again, or does not answer any more.  */
  typedef void (*prb_changed) (void *context, bool answers);

  /* Creates a probe that reads the object NAME of KIND, which need not exist;
     both strings must outlive it.  */
  struct prb *prb_create (struct evl *loop, struct sto *store,
                          const char *kind, const char *name,
                          prb_changed changed, void *context);

  /* Frees the probe.  Null is allowed.  */
  void prb_destroy (struct prb *probe);

  /* Starts to probe, at once; the store is taken to answer at first.  Does
     nothing when started.  */
  void prb_start (struct prb *probe);

  /* Stops without a report.  */
  void prb_stop (struct prb *probe);

#ifdef __cplusplus
}
#endif

#endif
