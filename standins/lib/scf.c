/* Stand-in of the operator's document.  */

#include "scf.h"

#include "pfm_names.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define PATH_SIZE 128

static json_t *
make_route (const char *path, const char *service, bool safe)
{
  return json_pack (
      "{s:s, s:{s:s}, s:{s:s, s:s, s:s, s:f, s:f, s:i, s:i, s:s}}",
      PFM_ENTRY_TYPE, PFM_ROUTES, PFM_METADATA, PFM_NAME, path, PFM_SPEC,
      PFM_HOST, SCF_HOST, PFM_PATH_PREFIX, path, PFM_ROUTE_TYPE,
      safe ? PFM_ROUTE_SAFE : PFM_ROUTE_UNSAFE, PFM_TIMEOUT_S, 1.0,
      PFM_TARGET_LATENCY_S, 0.3, PFM_PRIORITY, 1, PFM_MAX_ATTEMPTS, 2,
      PFM_SERVICE, service);
}

static void
add_service (json_t *entries, const char *service)
{
  char path[PATH_SIZE];

  snprintf (path, sizeof path, "/%s/", service);
  json_array_append_new (
      entries,
      json_pack ("{s:s, s:{s:s}, s:{s:s, s:i}}", PFM_ENTRY_TYPE, PFM_SERVICES,
                 PFM_METADATA, PFM_NAME, service, PFM_SPEC, PFM_HEALTH_PATH,
                 SCF_HEALTH_PATH, PFM_MAX_CONNECTIONS, 100));
  json_array_append_new (entries, make_route (path, service, true));
}

json_t *
scf_create_document (uint64_t version, const char *const *services,
                     size_t service_count, const char *const *paths,
                     size_t path_count)
{
  json_t *entries = json_array ();

  for (size_t i = 0; i < service_count; i++)
    add_service (entries, services[i]);
  for (size_t i = 0; i < path_count; i++)
    json_array_append_new (entries, make_route (paths[i], services[0], true));
  json_array_append_new (entries, make_route ("/once/", services[0], false));
  json_array_append_new (
      entries,
      json_pack ("{s:s, s:{}, s:{s:i, s:i, s:f, s:f}}", PFM_ENTRY_TYPE,
                 PFM_LIMITS, PFM_METADATA, PFM_SPEC, PFM_MAX_HEADER_BYTES,
                 16384, PFM_MAX_BODY_BYTES, 1000000, PFM_HEADER_TIMEOUT_S, 3.,
                 PFM_IDLE_TIMEOUT_S, 15.));
  return json_pack ("{s:I, s:o}", PFM_VERSION, (json_int_t)version,
                    PFM_RESOURCES, entries);
}

void
scf_add_tenant (json_t *document, const struct scf_tenant *tenant)
{
  json_t *keys = json_array ();

  for (size_t i = 0; i < tenant->key_count; i++)
    json_array_append_new (keys, json_string (tenant->keys[i]));
  json_array_append_new (
      json_object_get (document, PFM_RESOURCES),
      json_pack ("{s:s, s:{s:s}, s:{s:o, s:i, s:f, s:f}}", PFM_ENTRY_TYPE,
                 PFM_TENANTS, PFM_METADATA, PFM_NAME, tenant->name, PFM_SPEC,
                 PFM_API_KEYS, keys, PFM_PRIORITY, 1, PFM_RATE_PER_S,
                 tenant->rate, PFM_BURST, tenant->burst));
}

void
scf_set_timeout (json_t *document, double seconds)
{
  size_t index;
  json_t *entry;

  json_array_foreach (json_object_get (document, PFM_RESOURCES), index, entry)
  {
    json_t *spec = json_object_get (entry, PFM_SPEC);

    if (json_object_get (spec, PFM_TIMEOUT_S) != NULL)
      json_object_set_new (spec, PFM_TIMEOUT_S, json_real (seconds));
  }
}

void
scf_make_public (json_t *document, const char *path)
{
  json_t *entries = json_object_get (document, PFM_RESOURCES);
  size_t index;
  json_t *entry;

  json_array_foreach (entries, index, entry)
  {
    json_t *spec = json_object_get (entry, PFM_SPEC);
    const char *prefix
        = json_string_value (json_object_get (spec, PFM_PATH_PREFIX));

    if (prefix != NULL && strcmp (prefix, path) == 0)
      json_object_set_new (spec, PFM_PUBLIC, json_true ());
  }
}
