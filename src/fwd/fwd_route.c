/* Route and service of a call.  */

#include "fwd/fwd_internal.h"

#include "rte/rte.h"

#include <string.h>
#include <xxhash.h>

/* Fractional part of the golden ratio.  Multiples of it fall evenly into the
   unit interval, so that every few requests are shared by weight.  */
#define GOLDEN_STEP 0.61803398874989484820

/* Returns the service of a route with shares: the next point of an even
   sequence falls into one of them.  */
static uint32_t
choose_share (struct fwd *forwarder, const struct doc_route *route)
{
  size_t index = (size_t)(route - forwarder->snapshot->document->routes);
  double *point = &forwarder->share_points[index];
  uint64_t total = 0;
  double at;

  *point += GOLDEN_STEP;
  if (*point >= 1)
    *point -= 1;
  for (size_t i = 0; i < route->weighted_service_count; i++)
    total += route->weighted_services[i].weight;
  at = *point * (double)total;
  for (size_t i = 0; i + 1 < route->weighted_service_count; i++)
    {
      if (at < route->weighted_services[i].weight)
        return route->weighted_services[i].service;
      at -= route->weighted_services[i].weight;
    }
  return route->weighted_services[route->weighted_service_count - 1].service;
}

bool
fwd_find_route (struct fwd_call *call)
{
  const char *host = htp_find_header (&call->message, "Host");
  uint32_t service;

  call->route
      = rte_match (call->snapshot, host != NULL ? host : "",
                   htp_target (&call->message), htp_method (&call->message));
  if (call->route == NULL)
    return false;
  service = call->route->service;
  if (call->route->weighted_service_count > 0)
    service = choose_share (call->forwarder, call->route);
  call->service = call->snapshot->document->services[service].name;
  call->kind = (uint32_t)XXH3_64bits_withSeed (
      call->route->path, strlen (call->route->path),
      XXH3_64bits (call->route->host, strlen (call->route->host)));
  return true;
}
