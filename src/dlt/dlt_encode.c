/* Encodes deltas.  */

#include "base/mem.h"
#include "dlt/dlt.h"
#include "dlt/dlt_table.h"
#include "wire/mesh.pb-c.h"

#include <stdlib.h>
#include <string.h>

/* State of encoding a delta.  */
struct encoder
{
  const struct doc_document *base;
  const struct doc_document *result;
  Mesh__DocumentDelta delta;
  Mesh__Route *routes; /* one for each entry of CHANGED and REMOVED */
  size_t route_count;
  Mesh__Tenant *tenants; /* one for each entry of CHANGED_TENANTS */
};

static bool
same_service (const struct encoder *encoder, uint32_t before, uint32_t after)
{
  return strcmp (encoder->base->services[before].name,
                 encoder->result->services[after].name)
         == 0;
}

static bool
same_weighted_services (const struct encoder *encoder,
                        const struct doc_route *before,
                        const struct doc_route *after)
{
  if (before->weighted_service_count != after->weighted_service_count)
    return false;
  for (size_t i = 0; i < after->weighted_service_count; i++)
    if (before->weighted_services[i].weight
            != after->weighted_services[i].weight
        || !same_service (encoder, before->weighted_services[i].service,
                          after->weighted_services[i].service))
      return false;
  return true;
}

static bool
same_route (const struct encoder *encoder, const struct doc_route *before,
            const struct doc_route *after)
{
  return before->call_class == after->call_class
         && before->deadline_ms == after->deadline_ms
         && before->target_latency_ms == after->target_latency_ms
         && before->max_attempts == after->max_attempts
         && before->priority == after->priority
         && before->is_public == after->is_public
         && before->is_bulk == after->is_bulk
         && same_service (encoder, before->service, after->service)
         && same_weighted_services (encoder, before, after);
}

static Mesh__Route *
add_route_key (struct encoder *encoder, const struct doc_route *route)
{
  Mesh__Route *message = &encoder->routes[encoder->route_count++];

  mesh__route__init (message);
  message->host = route->host;
  message->path = route->path;
  message->methods = route->methods;
  return message;
}

static void
add_weighted_services (Mesh__Route *message, const struct doc_route *route)
{
  size_t count = route->weighted_service_count;
  Mesh__RouteShare *shares = mem_alloc (count, sizeof *shares);

  /* protobuf-c stores a repeated field as an array of pointers.  */
  message->shares = mem_alloc (
      count, sizeof *message->shares); /* NOLINT(bugprone-sizeof-expression) */
  message->n_shares = count;
  for (size_t i = 0; i < count; i++)
    {
      mesh__route_share__init (&shares[i]);
      shares[i].service = route->weighted_services[i].service;
      shares[i].weight = route->weighted_services[i].weight;
      message->shares[i] = &shares[i];
    }
  if (count == 0)
    free (shares);
}

static void
add_changed (struct encoder *encoder, const struct doc_route *route)
{
  Mesh__Route *message = add_route_key (encoder, route);

  message->service = route->service;
  message->call_class = route->call_class;
  message->deadline_ms = route->deadline_ms;
  message->target_ms = route->target_latency_ms;
  message->max_attempts = route->max_attempts;
  message->priority = route->priority;
  message->is_public = route->is_public;
  message->is_bulk = route->is_bulk;
  add_weighted_services (message, route);
  encoder->delta.changed[encoder->delta.n_changed++] = message;
}

static void
find_changed (struct encoder *encoder)
{
  const struct doc_document *base = encoder->base;
  const struct doc_document *result = encoder->result;
  struct dlt_table table;

  dlt_table_init (&table, base != NULL ? base->routes : NULL,
                  base != NULL ? base->route_count : 0);
  for (size_t i = 0; i < result->route_count; i++)
    {
      struct dlt_key key = dlt_key_of (&result->routes[i]);
      size_t index = dlt_table_find (&table, &key);

      if (base == NULL || index == DLT_NOT_FOUND
          || !same_route (encoder, &base->routes[index], &result->routes[i]))
        add_changed (encoder, &result->routes[i]);
    }
  dlt_table_close (&table);
}

static void
find_removed (struct encoder *encoder)
{
  const struct doc_document *base = encoder->base;
  struct dlt_table table;

  if (base == NULL)
    return;
  dlt_table_init (&table, encoder->result->routes,
                  encoder->result->route_count);
  for (size_t i = 0; i < base->route_count; i++)
    {
      struct dlt_key key = dlt_key_of (&base->routes[i]);

      if (dlt_table_find (&table, &key) == DLT_NOT_FOUND)
        encoder->delta.removed[encoder->delta.n_removed++]
            = add_route_key (encoder, &base->routes[i]);
    }
  dlt_table_close (&table);
}

static void
add_services (struct encoder *encoder)
{
  const struct doc_document *result = encoder->result;

  encoder->delta.services = mem_alloc (result->service_count, sizeof (char *));
  encoder->delta.n_services = result->service_count;
  encoder->delta.health_paths
      = mem_alloc (result->service_count, sizeof (char *));
  encoder->delta.n_health_paths = result->service_count;
  for (size_t i = 0; i < result->service_count; i++)
    {
      const struct doc_service *service = &result->services[i];

      encoder->delta.services[i] = service->name;
      encoder->delta.health_paths[i]
          = service->health_path != NULL ? service->health_path : (char *)"";
    }
}

static void
add_limits (struct encoder *encoder)
{
  const struct doc_caller_limits *limits = &encoder->result->caller_limits;

  encoder->delta.header_bytes = limits->max_header_bytes;
  encoder->delta.body_bytes = limits->max_body_bytes;
  encoder->delta.header_ms = limits->header_timeout_ms;
  encoder->delta.idle_ms = limits->idle_timeout_ms;
}

/* Adds the tenants that the base lacks or has otherwise, and the names of
   those that the result lacks.  */
static void
add_tenants (struct encoder *encoder)
{
  const struct doc_document *base = encoder->base;
  const struct doc_document *result = encoder->result;
  Mesh__DocumentDelta *delta = &encoder->delta;
  size_t base_count = base != NULL ? base->tenant_count : 0;

  delta->requires_keys = result->requires_keys;
  encoder->tenants = mem_alloc (result->tenant_count, sizeof (Mesh__Tenant));
  delta->changed_tenants
      = mem_alloc (result->tenant_count, sizeof (Mesh__Tenant *));
  delta->removed_tenants = mem_alloc (base_count, sizeof (char *));
  for (size_t i = 0; i < result->tenant_count; i++)
    {
      const struct doc_tenant *tenant = &result->tenants[i];
      const struct doc_tenant *before
          = base != NULL ? doc_find_tenant (base, tenant->name) : NULL;
      Mesh__Tenant *message = &encoder->tenants[delta->n_changed_tenants];

      if (before != NULL && doc_equal_tenants (before, tenant))
        continue;
      mesh__tenant__init (message);
      message->name = tenant->name;
      message->keys.data = (uint8_t *)tenant->keys;
      message->keys.len = tenant->key_count * sizeof *tenant->keys;
      message->priority = tenant->priority;
      message->rate = tenant->rate;
      message->burst = tenant->burst;
      delta->changed_tenants[delta->n_changed_tenants++] = message;
    }
  for (size_t i = 0; i < base_count; i++)
    if (doc_find_tenant (result, base->tenants[i].name) == NULL)
      delta->removed_tenants[delta->n_removed_tenants++]
          = base->tenants[i].name;
}

static void
close_encoder (struct encoder *encoder)
{
  for (size_t i = 0; i < encoder->delta.n_changed; i++)
    {
      Mesh__Route *route = encoder->delta.changed[i];

      if (route->n_shares > 0)
        free (route->shares[0]);
      free (route->shares);
    }
  free (encoder->delta.changed_tenants);
  free (encoder->delta.removed_tenants);
  free (encoder->tenants);
  free (encoder->delta.services);
  free (encoder->delta.health_paths);
  free (encoder->delta.changed);
  free (encoder->delta.removed);
  free (encoder->routes);
}

void
dlt_encode (const struct doc_document *base, const struct doc_document *result,
            struct buf *output)
{
  size_t max_messages
      = result->route_count + (base != NULL ? base->route_count : 0);
  struct encoder encoder = { .base = base, .result = result };
  size_t length;

  mesh__document_delta__init (&encoder.delta);
  encoder.routes = mem_alloc (max_messages, sizeof *encoder.routes);
  encoder.delta.changed = mem_alloc (max_messages, sizeof (Mesh__Route *));
  encoder.delta.removed = mem_alloc (max_messages, sizeof (Mesh__Route *));
  find_changed (&encoder);
  find_removed (&encoder);
  add_services (&encoder);
  add_limits (&encoder);
  add_tenants (&encoder);
  length = mesh__document_delta__get_packed_size (&encoder.delta);
  buf_reserve (output, length);
  mesh__document_delta__pack (&encoder.delta, output->data + output->length);
  output->length += length;
  close_encoder (&encoder);
}
