/* Counts of the answers that this node's gate has given, by route.  */

#include "rol/rol_internal.h"

#include <string.h>

size_t
rol_find_route (struct rol_routes *routes, uint32_t hash)
{
  size_t i;

  for (i = 0; i + 1 < ROL_MAX_ROUTES && routes->hashes[i] != 0; i++)
    if (routes->hashes[i] == hash)
      return i;
  if (i + 1 < ROL_MAX_ROUTES)
    routes->hashes[i] = hash;
  return i;
}

bool
rol_has_gate_of (const struct rol *rollouts, const struct rol_service *service)
{
  const struct reg *registration = rollouts->options.registration;

  return registration->state != REG_NONE
         && strcmp (registration->upstream.service, service->name) == 0;
}

/* Starts the counts of the gate anew when the version of its upstream has
   changed.  */
void
rol_follow_upstream (struct rol *rollouts, struct rol_service *service)
{
  const char *version = rollouts->options.registration->upstream.version;
  struct rol_gate_counts *gate = &service->gate;
  uint64_t generation = gate->generation;

  if (strcmp (gate->version, version) == 0)
    return;
  memset (gate, 0, sizeof *gate);
  gate->generation = generation + 1;
  memcpy (gate->version, version, sizeof gate->version);
}

void
rol_count_run (struct rol *rollouts, uint32_t route, bool bad,
               clk_time elapsed)
{
  const struct reg *registration = rollouts->options.registration;
  struct rol_service *service
      = rol_find_service (rollouts, registration->upstream.service);
  double seconds = (double)elapsed / CLK_SECOND;
  struct rol_count *count;

  if (service == NULL || !rol_is_active (service)
      || evl_now (rollouts->options.loop) < registration->warmup_until)
    return;
  rol_follow_upstream (rollouts, service);
  count = &service->gate.counts[rol_find_route (&service->gate.routes, route)];
  count->answers++;
  if (bad)
    {
      count->bad++;
      return;
    }
  count->seconds += seconds;
  count->squares += seconds * seconds;
}
