/* Digest of a document.  */

#include "dlt/dlt.h"

#include <string.h>
#include <xxhash.h>

static uint64_t
hash_string (const char *text, uint64_t seed)
{
  return XXH3_64bits_withSeed (text, strlen (text), seed);
}

static uint64_t
hash_route (const struct doc_document *document, const struct doc_route *route)
{
  uint32_t fields[] = { route->methods,
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
  return digest;
}
