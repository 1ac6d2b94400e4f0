/* Digest of a document.  */

#include "dlt/dlt.h"

#include <string.h>
#include <xxhash.h>

/* Bits of a public route and of one with long bodies beside their methods.  A
   document without such routes and without tenants keeps the digest that
   earlier versions compute, as nodes of both exchange versions while a mesh is
   updated.  */
#define PUBLIC_ROUTE (1u << 31)
#define BULK_ROUTE (1u << 30)

/* Part of the digest of documents that require keys; an odd constant with as
   many ones as zeros.  */
#define REQUIRES_KEYS 0x9e3779b97f4a7c15u

static uint64_t
hash_string (const char *text, uint64_t seed)
{
  return XXH3_64bits_withSeed (text, strlen (text), seed);
}

static uint64_t
hash_route (const struct doc_document *document, const struct doc_route *route)
{
  uint32_t flags = (route->is_public ? PUBLIC_ROUTE : 0)
                   | (route->is_bulk ? BULK_ROUTE : 0);
  uint32_t fields[] = { route->methods | flags,
                        route->call_class,
                        route->deadline_ms,
                        route->target_latency_ms,
                        route->max_attempts,
                        route->priority,
                        (uint32_t)route->weighted_service_count };
  uint64_t hash = hash_string (route->host, 1);

  hash = hash_string (route->path, hash);
  hash = hash_string (document->services[route->service].name, hash);
  hash = XXH3_64bits_withSeed (fields, sizeof fields, hash);
  for (size_t i = 0; i < route->weighted_service_count; i++)
    hash = hash_string (
        document->services[route->weighted_services[i].service].name,
        hash + route->weighted_services[i].weight);
  return hash;
}

static uint64_t
hash_tenant (const struct doc_tenant *tenant)
{
  double limits[] = { tenant->rate, tenant->burst };
  uint64_t hash = hash_string (tenant->name, 3 + tenant->priority);

  hash = XXH3_64bits_withSeed (limits, sizeof limits, hash);
  return XXH3_64bits_withSeed (tenant->keys,
                               tenant->key_count * sizeof *tenant->keys, hash);
}

uint64_t
dlt_digest (const struct doc_document *document)
{
  const struct doc_caller_limits *limits = &document->caller_limits;
  uint64_t fields[] = { limits->max_header_bytes, limits->max_body_bytes,
                        limits->header_timeout_ms, limits->idle_timeout_ms };
  uint64_t digest = XXH3_64bits (fields, sizeof fields);

  for (size_t i = 0; i < document->service_count; i++)
    digest ^= hash_string (document->services[i].name, 2);
  for (size_t i = 0; i < document->route_count; i++)
    digest ^= hash_route (document, &document->routes[i]);
  for (size_t i = 0; i < document->tenant_count; i++)
    digest ^= hash_tenant (&document->tenants[i]);
  digest ^= document->requires_keys ? REQUIRES_KEYS : 0;
  return digest;
}
