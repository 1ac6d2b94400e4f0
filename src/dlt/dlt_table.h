/* Routes of a document by what identifies them: host, path and methods.  Used
   inside this module.  */

#ifndef MULBERRYSHIFT_DLT_DLT_TABLE_H
#define MULBERRYSHIFT_DLT_DLT_TABLE_H

#include "doc/doc.h"

#include <stddef.h>
#include <stdint.h>

/* Not a place.  */
#define DLT_NONE SIZE_MAX

/* What identifies a route.  */
struct dlt_key
{
  const char *host;
  const char *path;
  uint32_t methods;
};

struct dlt_table
{
  uint32_t *slots; /* index of the route + 1; 0: free */
  size_t mask;
  const struct doc_route *routes;
};

/* Builds the table of COUNT routes, which must outlive it.  */
void dlt_table_init (struct dlt_table *table, const struct doc_route *routes,
                     size_t count);

/* Frees the table.  */
void dlt_table_close (struct dlt_table *table);

/* Returns the index of the route with this key, DLT_NONE when there is none.
 */
size_t dlt_table_find (const struct dlt_table *table,
                       const struct dlt_key *key);

/* Returns the key of a route.  */
struct dlt_key dlt_key_of (const struct doc_route *route);

#endif
