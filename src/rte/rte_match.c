/* Finds the route of a request in a snapshot.  */

#include "rte/rte.h"
#include "rte/rte_index.h"

const struct doc_route *
rte_match (const struct snp_snapshot *snapshot, const char *host,
           const char *path, const char *method)
{
  return rte_index_find (snapshot->index, host, path, method);
}
