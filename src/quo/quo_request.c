/* The list of requests that wait for credit.  */

#include "base/mem.h"
#include "quo/quo_internal.h"

#include <stdlib.h>

/* Makes room for one more request.  */
static void
reserve_waiting (struct quo_tenant *tenant)
{
  if (tenant->waiting_count < tenant->waiting_capacity)
    return;
  tenant->waiting_capacity = 2 * tenant->waiting_capacity + 1;
  tenant->waiting = mem_resize (tenant->waiting, tenant->waiting_capacity,
                                sizeof (struct quo_request *));
}

struct quo_request *
quo_add_request (struct quo_tenant *tenant, clk_time deadline,
                 quo_callback callback, void *context)
{
  clk_time give_up_at = tenant->used_at + QUO_MAX_WAIT;
  struct quo_request *request = mem_alloc (1, sizeof *request);

  request->tenant = tenant;
  request->give_up_at = deadline < give_up_at ? deadline : give_up_at;
  request->callback = callback;
  request->context = context;
  reserve_waiting (tenant);
  tenant->waiting[tenant->waiting_count++] = request;
  tenant->quota->waiting_count++;
  return request;
}

void
quo_cancel (struct quo_request *request)
{
  struct quo_tenant *tenant;
  uint32_t place = 0;

  if (request == NULL)
    return;
  tenant = request->tenant;
  while (tenant->waiting[place] != request)
    place++;
  tenant->waiting_count--;
  for (; place < tenant->waiting_count; place++)
    tenant->waiting[place] = tenant->waiting[place + 1];
  tenant->quota->waiting_count--;
  free (request);
}
