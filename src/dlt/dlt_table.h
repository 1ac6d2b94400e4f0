/* Hash table of the routes of a document.  Used inside this module.  */

#ifndef MULBERRYSHIFT_DLT_DLT_TABLE_H
#define MULBERRYSHIFT_DLT_DLT_TABLE_H

#include "doc/doc.h"

#include <stddef.h>
#include <stdint.h>

/* Index of no route.  */
#define DLT_NOT_FOUND SIZE_MAX

/* Key that identifies a route within a document.  */
struct dlt_key
{
  const char *host;
  const char *path;
  uint32_t methods;
};

struct dlt_table
{
  uint32_t *entries; /* index of the route + 1; 0: unused */
  size_t mask;
  const struct doc_route *routes;
};

/* Builds the table of COUNT routes, which must outlive the table.  */
void dlt_table_init (struct dlt_table *table, const struct doc_route *routes,
                     size_t count);

/* Frees the table.  */
void dlt_table_close (struct dlt_table *table);

/* Returns the index of the route with this key, DLT_NOT_FOUND when there is
 * none.
 */
size_t dlt_table_find (const struct dlt_table *table,
                       const struct dlt_key *key);

/* Returns the key of a route.  */
struct dlt_key dlt_key_of (const struct doc_route *route);

#endif
