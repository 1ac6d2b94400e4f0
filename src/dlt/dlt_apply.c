/* Applies differences.  */

#include "base/err.h"
#include "base/mem.h"
#include "base/str.h"
#include "dlt/dlt.h"
#include "dlt/dlt_table.h"
#include "wire/mesh.pb-c.h"

#include <stdlib.h>
#include <string.h>

/* A document that is being made.  */
struct maker
{
  const struct doc_document *base; /* null: none */
  const Mesh__DocumentDelta *delta;
  struct doc_document *result;
  uint32_t *services; /* index in the result of each of the base's */
};

static enum dlt_status
invalid (const char *what)
{
  err_set ("the difference between two versions is not valid: %s", what);
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

static void
make_services (struct maker *maker)
{
  const Mesh__DocumentDelta *delta = maker->delta;
  struct doc_document *result = maker->result;

  result->services = mem_alloc (delta->n_services, sizeof *result->services);
  for (size_t i = 0; i < delta->n_services; i++)
    {
      result->services[i].name = mem_copy_string (delta->services[i]);
      result->services[i].cross_region = true;
    }
  result->service_count = delta->n_services;
  if (maker->base == NULL)
    return;
  maker->services = mem_alloc (maker->base->service_count, sizeof (uint32_t));
  for (size_t i = 0; i < maker->base->service_count; i++)
    maker->services[i] = find_service (result, maker->base->services[i].name);
}

/* Adds a route of the base.  Returns false when its services are gone.  */
static bool
keep_route (struct maker *maker, const struct doc_route *from)
{
  struct doc_route *route = &maker->result->routes[maker->result->route_count];

  *route = *from;
  route->service = maker->services[from->service];
  route->weighted_services = mem_alloc (from->weighted_service_count,
                                        sizeof *route->weighted_services);
  route->host = str_retain (from->host);
  route->path = str_retain (from->path);
  maker->result->route_count++;
  for (size_t i = 0; i < from->weighted_service_count; i++)
    {
      route->weighted_services[i].weight = from->weighted_services[i].weight;
      route->weighted_services[i].service
          = maker->services[from->weighted_services[i].service];
      if (route->weighted_services[i].service == UINT32_MAX)
        return false;
    }
  return route->service != UINT32_MAX;
}

static bool
is_valid_route (const struct maker *maker, const Mesh__Route *message)
{
  size_t services = maker->result->service_count;
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

/* Returns a host that another route of the document has already, or a new
   copy: documents have few hosts.  */
static char *
share_host (const struct doc_document *document, const char *host)
{
  size_t count = document->route_count;

  if (count > 0 && strcmp (document->routes[count - 1].host, host) == 0)
    return str_retain (document->routes[count - 1].host);
  return str_create (host);
}

static void
add_route (struct maker *maker, const Mesh__Route *message)
{
  struct doc_document *result = maker->result;
  char *host = share_host (result, message->host);
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
  route->weighted_services
      = mem_alloc (message->n_shares, sizeof *route->weighted_services);
  route->weighted_service_count = message->n_shares;
  for (size_t i = 0; i < message->n_shares; i++)
    route->weighted_services[i]
        = (struct doc_weighted_service){ message->shares[i]->service,
                                         message->shares[i]->weight };
}

/* Marks the routes of the base that the difference changes or removes.  */
static void
mark_dropped (const struct dlt_table *table, Mesh__Route *const *routes,
              size_t count, bool *dropped)
{
  for (size_t i = 0; i < count; i++)
    {
      struct dlt_key key
          = { routes[i]->host, routes[i]->path, routes[i]->methods };
      size_t at = dlt_table_find (table, &key);

      if (at != DLT_NONE)
        dropped[at] = true;
    }
}

static enum dlt_status
keep_routes (struct maker *maker)
{
  const struct doc_document *base = maker->base;
  const Mesh__DocumentDelta *delta = maker->delta;
  enum dlt_status status = DLT_OK;
  struct dlt_table table;
  bool *dropped;

  if (base == NULL)
    return DLT_OK;
  dropped = mem_alloc (base->route_count, sizeof *dropped);
  dlt_table_init (&table, base->routes, base->route_count);
  mark_dropped (&table, delta->changed, delta->n_changed, dropped);
  mark_dropped (&table, delta->removed, delta->n_removed, dropped);
  for (size_t i = 0; i < base->route_count && status == DLT_OK; i++)
    if (!dropped[i] && !keep_route (maker, &base->routes[i]))
      status = invalid ("a route's service is gone");
  dlt_table_close (&table);
  free (dropped);
  return status;
}

static enum dlt_status
add_routes (struct maker *maker)
{
  for (size_t i = 0; i < maker->delta->n_changed; i++)
    {
      if (!is_valid_route (maker, maker->delta->changed[i]))
        return invalid ("a route is out of range");
      add_route (maker, maker->delta->changed[i]);
    }
  return DLT_OK;
}

static enum dlt_status
make_document (struct maker *maker)
{
  const Mesh__DocumentDelta *delta = maker->delta;
  size_t limit = delta->n_changed
                 + (maker->base != NULL ? maker->base->route_count : 0);
  enum dlt_status status;

  if (limit > DLT_MAX_ROUTES || delta->n_services > DOC_MAX_SERVICES)
    {
      err_set ("a document of up to %zu routes is too long", limit);
      return DLT_TOO_LONG;
    }
  maker->result->routes = mem_alloc (limit, sizeof *maker->result->routes);
  maker->result->caller_limits
      = (struct doc_caller_limits){ delta->header_bytes, delta->body_bytes,
                                    delta->header_ms, delta->idle_ms };
  make_services (maker);
  status = keep_routes (maker);
  return status == DLT_OK ? add_routes (maker) : status;
}

enum dlt_status
dlt_apply (const struct doc_document *base, const void *data, size_t length,
           struct doc_document **result)
{
  Mesh__DocumentDelta *delta
      = mesh__document_delta__unpack (NULL, length, data);
  struct maker maker = { .base = base, .delta = delta };
  enum dlt_status status;

  *result = NULL;
  if (delta == NULL)
    return invalid ("it cannot be decoded");
  maker.result = mem_alloc (1, sizeof *maker.result);
  status = make_document (&maker);
  if (status == DLT_OK)
    *result = maker.result;
  else
    doc_destroy (maker.result);
  free (maker.services);
  mesh__document_delta__free_unpacked (delta, NULL);
  return status;
}
