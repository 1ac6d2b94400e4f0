/* Tenant of a call.  */

#include "fwd/fwd_internal.h"

#include "ten/ten.h"

#include <string.h>
#include <xxhash.h>

/* Ranks of routes; see doc_route.  The rank of a tenant goes before all of
   them.  */
#define ROUTE_PRIORITIES 1001u

bool
fwd_find_tenant (struct fwd_call *call)
{
  const struct snp_snapshot *snapshot = call->snapshot;

  if (!snapshot->document->requires_keys)
    return true;
  if (ten_authenticate (snapshot->tenants, call->forwarder->parts.platform,
                        &call->message, &call->tenant)
      != TEN_OK)
    return call->route->is_public;
  call->tenant_hash
      = XXH3_64bits (call->tenant->name, strlen (call->tenant->name));
  return true;
}

uint32_t
fwd_priority (const struct fwd_call *call)
{
  uint32_t tenant = call->tenant != NULL ? call->tenant->priority : 0;

  return tenant * ROUTE_PRIORITIES + call->route->priority;
}
