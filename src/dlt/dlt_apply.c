/* Applies deltas.  */

#include "base/err.h"
#include "base/mem.h"
#include "base/str.h"
#include "dlt/dlt.h"
#include "dlt/dlt_table.h"
#include "wire/mesh.pb-c.h"

#include <stdlib.h>
#include <string.h>

/* State of building a document from its base and a delta.  */
struct document_builder
{
  const struct doc_document *base; /* null: none */
  const Mesh__DocumentDelta *delta;
  struct doc_document *result;
  uint32_t *service_map; /* index in the result, by index in the base;
                            UINT32_MAX: not in the result */
};

static enum dlt_status
invalid (const char *what)
{
  err_set ("the delta is invalid: %s", what);
  return DLT_INVALID;
}

static uint32_t
find_service (const struct doc_document *document, const char *name)
{
  for (size_t i = 0; i < document->service_count; i++)
    if (strcmp (document->services[i].name, name) == 0)
      return (uint32_t)i;
  return UINT32_MAX;
}

/* Returns whether a delta has the target of a health check, or none, for each
   service.  A node of an earlier version sends no targets at all.  */
static bool
has_valid_health_paths (const Mesh__DocumentDelta *delta)
{
  if (delta->n_health_paths != 0 && delta->n_health_paths != delta->n_services)
    return false;
  for (size_t i = 0; i < delta->n_health_paths; i++)
    if (delta->health_paths[i][0] != '\0'
        && !doc_is_health_path (delta->health_paths[i]))
      return false;
  return true;
}

static void
build_services (struct document_builder *builder)
{
  const Mesh__DocumentDelta *delta = builder->delta;
  struct doc_document *result = builder->result;

  result->services = mem_alloc (delta->n_services, sizeof *result->services);
  for (size_t i = 0; i < delta->n_services; i++)
    {
      result->services[i].name = mem_copy_string (delta->services[i]);
      result->services[i].cross_region = true;
      if (delta->n_health_paths > 0 && delta->health_paths[i][0] != '\0')
        result->services[i].health_path
            = mem_copy_string (delta->health_paths[i]);
    }
  result->service_count = delta->n_services;
  if (builder->base == NULL)
    return;
  builder->service_map
      = mem_alloc (builder->base->service_count, sizeof (uint32_t));
  for (size_t i = 0; i < builder->base->service_count; i++)
    builder->service_map[i]
        = find_service (result, builder->base->services[i].name);
}

/* Adds a copy of a route of the base.  Returns false when the result lacks one
   of its services.  */
static bool
keep_route (struct document_builder *builder, const struct doc_route *from)
{
  struct doc_route *route
      = &builder->result->routes[builder->result->route_count];

  *route = *from;
  route->service = builder->service_map[from->service];
  route->weighted_services = mem_alloc (from->weighted_service_count,
                                        sizeof *route->weighted_services);
  route->host = str_retain (from->host);
  route->path = str_retain (from->path);
  builder->result->route_count++;
  for (size_t i = 0; i < from->weighted_service_count; i++)
    {
      route->weighted_services[i].weight = from->weighted_services[i].weight;
      route->weighted_services[i].service
          = builder->service_map[from->weighted_services[i].service];
      if (route->weighted_services[i].service == UINT32_MAX)
        return false;
    }
  return route->service != UINT32_MAX;
}

static bool
is_valid_route (const struct document_builder *builder,
                const Mesh__Route *message)
{
  size_t services = builder->result->service_count;
  uint64_t weight = 0;

  for (size_t i = 0; i < message->n_shares; i++)
    {
      weight += message->shares[i]->weight;
      if (message->shares[i]->service >= services)
        return false;
    }
  return message->service < services && message->call_class < DOC_CLASS_COUNT
         && message->deadline_ms > 0 && message->path[0] == '/'
         && strlen (message->path) <= DOC_MAX_PATH_LENGTH
         && strlen (message->host) <= DOC_MAX_HOST_LENGTH
         && (message->n_shares == 0 || weight > 0);
}

/* Returns HOST, as a reference to the host of the last route if that is equal,
   else as a new string.  Documents have few hosts.  */
static char *
reuse_host (const struct doc_document *document, const char *host)
{
  size_t count = document->route_count;

  if (count > 0 && strcmp (document->routes[count - 1].host, host) == 0)
    return str_retain (document->routes[count - 1].host);
  return str_create (host);
}

static void
add_route (struct document_builder *builder, const Mesh__Route *message)
{
  struct doc_document *result = builder->result;
  char *host = reuse_host (result, message->host);
  struct doc_route *route = &result->routes[result->route_count++];

  route->host = host;
  route->path = str_create (message->path);
  route->methods = message->methods;
  route->service = message->service;
  route->call_class = (enum doc_class)message->call_class;
  route->deadline_ms = message->deadline_ms;
  route->target_latency_ms = message->target_ms;
  route->max_attempts = message->max_attempts;
  route->priority = message->priority;
  route->is_public = message->is_public != 0;
  route->is_bulk = message->is_bulk != 0;
  route->weighted_services
      = mem_alloc (message->n_shares, sizeof *route->weighted_services);
  route->weighted_service_count = message->n_shares;
  for (size_t i = 0; i < message->n_shares; i++)
    route->weighted_services[i]
        = (struct doc_weighted_service){ message->shares[i]->service,
                                         message->shares[i]->weight };
}

/* Marks the routes of the base that the delta changes or removes.  */
static void
mark_excluded (const struct dlt_table *table, Mesh__Route *const *routes,
               size_t count, bool *excluded)
{
  for (size_t i = 0; i < count; i++)
    {
      struct dlt_key key
          = { routes[i]->host, routes[i]->path, routes[i]->methods };
      size_t index = dlt_table_find (table, &key);

      if (index != DLT_NOT_FOUND)
        excluded[index] = true;
    }
}

static enum dlt_status
keep_routes (struct document_builder *builder)
{
  const struct doc_document *base = builder->base;
  const Mesh__DocumentDelta *delta = builder->delta;
  enum dlt_status status = DLT_OK;
  struct dlt_table table;
  bool *excluded;

  if (base == NULL)
    return DLT_OK;
  excluded = mem_alloc (base->route_count, sizeof *excluded);
  dlt_table_init (&table, base->routes, base->route_count);
  mark_excluded (&table, delta->changed, delta->n_changed, excluded);
  mark_excluded (&table, delta->removed, delta->n_removed, excluded);
  for (size_t i = 0; i < base->route_count && status == DLT_OK; i++)
    if (!excluded[i] && !keep_route (builder, &base->routes[i]))
      status = invalid ("the service of an unchanged route is missing");
  dlt_table_close (&table);
  free (excluded);
  return status;
}

static enum dlt_status
add_routes (struct document_builder *builder)
{
  for (size_t i = 0; i < builder->delta->n_changed; i++)
    {
      if (!is_valid_route (builder, builder->delta->changed[i]))
        return invalid ("a field of a route is out of range");
      add_route (builder, builder->delta->changed[i]);
    }
  return DLT_OK;
}

static bool
is_valid_tenant (const Mesh__Tenant *message)
{
  return message->name[0] != '\0'
         && message->keys.len % sizeof (struct doc_key) == 0
         && message->rate >= 0 && message->burst >= 0;
}

static void
add_tenant (struct doc_document *result, const Mesh__Tenant *message)
{
  struct doc_tenant tenant
      = { .name = message->name,
          .keys = (struct doc_key *)message->keys.data,
          .key_count = message->keys.len / sizeof (struct doc_key),
          .priority = message->priority,
          .rate = message->rate,
          .burst = message->burst };

  doc_copy_tenant (&tenant, &result->tenants[result->tenant_count++]);
}

static int
compare_names (const void *left, const void *right)
{
  return strcmp (*(char *const *)left, *(char *const *)right);
}

/* Returns the sorted names of the tenants that the delta changes or removes,
   to be freed, and sets *COUNT to their number.  */
static char **
replaced_tenants (const Mesh__DocumentDelta *delta, size_t *count)
{
  char **names = mem_alloc (
      delta->n_changed_tenants + delta->n_removed_tenants, sizeof *names);

  *count = 0;
  for (size_t i = 0; i < delta->n_changed_tenants; i++)
    names[(*count)++] = delta->changed_tenants[i]->name;
  for (size_t i = 0; i < delta->n_removed_tenants; i++)
    names[(*count)++] = delta->removed_tenants[i];
  qsort (names, *count, sizeof *names, compare_names);
  return names;
}

/* Adds the tenants of the base that the delta leaves as they are.  */
static void
keep_tenants (struct document_builder *builder)
{
  const struct doc_document *base = builder->base;
  struct doc_document *result = builder->result;
  size_t count;
  char **replaced = replaced_tenants (builder->delta, &count);

  for (size_t i = 0; base != NULL && i < base->tenant_count; i++)
    if (bsearch (&base->tenants[i].name, replaced, count, sizeof *replaced,
                 compare_names)
        == NULL)
      doc_copy_tenant (&base->tenants[i],
                       &result->tenants[result->tenant_count++]);
  free (replaced);
}

static enum dlt_status
build_tenants (struct document_builder *builder)
{
  const Mesh__DocumentDelta *delta = builder->delta;
  struct doc_document *result = builder->result;
  size_t base_count = builder->base != NULL ? builder->base->tenant_count : 0;

  if (base_count + delta->n_changed_tenants > DLT_MAX_TENANTS)
    {
      err_set ("a document of up to %zu tenants has too many",
               base_count + delta->n_changed_tenants);
      return DLT_TOO_LONG;
    }
  result->requires_keys = delta->requires_keys != 0;
  result->tenants = mem_alloc (base_count + delta->n_changed_tenants,
                               sizeof *result->tenants);
  keep_tenants (builder);
  for (size_t i = 0; i < delta->n_changed_tenants; i++)
    {
      if (!is_valid_tenant (delta->changed_tenants[i]))
        return invalid ("a field of a tenant is out of range");
      add_tenant (result, delta->changed_tenants[i]);
    }
  doc_sort_tenants (result);
  return DLT_OK;
}

static enum dlt_status
build_document (struct document_builder *builder)
{
  const Mesh__DocumentDelta *delta = builder->delta;
  size_t max_routes
      = delta->n_changed
        + (builder->base != NULL ? builder->base->route_count : 0);
  enum dlt_status status;

  if (max_routes > DLT_MAX_ROUTES || delta->n_services > DOC_MAX_SERVICES)
    {
      err_set ("a document of up to %zu routes has too many routes or "
               "services",
               max_routes);
      return DLT_TOO_LONG;
    }
  if (!has_valid_health_paths (delta))
    return invalid ("the target of a health check is out of range");
  builder->result->routes
      = mem_alloc (max_routes, sizeof *builder->result->routes);
  builder->result->caller_limits
      = (struct doc_caller_limits){ delta->header_bytes, delta->body_bytes,
                                    delta->header_ms, delta->idle_ms };
  build_services (builder);
  status = keep_routes (builder);
  if (status == DLT_OK)
    status = add_routes (builder);
  return status == DLT_OK ? build_tenants (builder) : status;
}

enum dlt_status
dlt_apply (const struct doc_document *base, const void *data, size_t length,
           struct doc_document **result)
{
  Mesh__DocumentDelta *delta
      = mesh__document_delta__unpack (NULL, length, data);
  struct document_builder builder = { .base = base, .delta = delta };
  enum dlt_status status;

  *result = NULL;
  if (delta == NULL)
    return invalid ("it cannot be decoded");
  builder.result = mem_alloc (1, sizeof *builder.result);
  status = build_document (&builder);
  if (status == DLT_OK)
    *result = builder.result;
  else
    doc_destroy (builder.result);
  free (builder.service_map);
  mesh__document_delta__free_unpacked (delta, NULL);
  return status;
}
