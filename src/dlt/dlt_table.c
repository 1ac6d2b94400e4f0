/* Hash table of routes: open addressing with linear probing.  */

#include "dlt/dlt_table.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static size_t
hash_key (const struct dlt_key *key)
{
  XXH64_hash_t host = XXH3_64bits (key->host, strlen (key->host));

  return (size_t)XXH3_64bits_withSeed (key->path, strlen (key->path),
                                       host + key->methods);
}

struct dlt_key
dlt_key_of (const struct doc_route *route)
{
  return (struct dlt_key){ route->host, route->path, route->methods };
}

static bool
has_key (const struct doc_route *route, const struct dlt_key *key)
{
  return route->methods == key->methods && strcmp (route->path, key->path) == 0
         && strcmp (route->host, key->host) == 0;
}

void
dlt_table_init (struct dlt_table *table, const struct doc_route *routes,
                size_t count)
{
  size_t size = 16;

  while (size < 2 * count)
    size *= 2;
  table->entries = mem_alloc (size, sizeof *table->entries);
  table->mask = size - 1;
  table->routes = routes;
  for (size_t i = 0; i < count; i++)
    {
      struct dlt_key key = dlt_key_of (&routes[i]);
      size_t entry = hash_key (&key) & table->mask;

      while (table->entries[entry] != 0)
        entry = (entry + 1) & table->mask;
      table->entries[entry] = (uint32_t)i + 1;
    }
}

void
dlt_table_close (struct dlt_table *table)
{
  free (table->entries);
}

size_t
dlt_table_find (const struct dlt_table *table, const struct dlt_key *key)
{
  size_t entry = hash_key (key) & table->mask;

  for (; table->entries[entry] != 0; entry = (entry + 1) & table->mask)
    if (has_key (&table->routes[table->entries[entry] - 1], key))
      return table->entries[entry] - 1;
  return DLT_NOT_FOUND;
}
