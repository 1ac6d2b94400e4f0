/* Index of a document's routes: hash tables from host to group and from group
   and path prefix to the routes with it.  */

#ifndef MULBERRYSHIFT_RTE_RTE_INDEX_H
#define MULBERRYSHIFT_RTE_RTE_INDEX_H

#include "doc/doc.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct rte_index;

  /* Builds the index of DOCUMENT, which must outlive it.  */
  struct rte_index *rte_index_create (const struct doc_document *document);

  /* Frees an index; null is allowed.  */
  void rte_index_destroy (struct rte_index *index);

  /* Returns the route for a request, null when none matches.  */
  const struct doc_route *rte_index_find (const struct rte_index *index,
                                          const char *host, const char *path,
                                          const char *method);

  /* Returns the length of HOST without its port: up to the ":", or the "]" of
     an IPv6 address.  */
  size_t rte_host_length (const char *host);

#ifdef __cplusplus
}
#endif

#endif
