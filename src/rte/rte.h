/* Finds the route of a request in a snapshot.  Pure.  */

#ifndef MULBERRYSHIFT_RTE_RTE_H
#define MULBERRYSHIFT_RTE_RTE_H

#include "snp/snp.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* Returns the route for a request, null when none matches.  An exact host is
     preferred to "*.x.y" (the longest), that to any host; then the longest
     path prefix of whole segments; then a route with methods to one without,
     and the earlier one in the text.  HOST may carry a port, PATH a query.
     The result lives as long as SNAPSHOT.  */
  const struct doc_route *rte_match (const struct snp_snapshot *snapshot,
                                     const char *host, const char *path,
                                     const char *method);

#ifdef __cplusplus
}
#endif

#endif
