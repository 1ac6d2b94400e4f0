/* Control of a node: passes each call to the implementation that the settings
   select.  */

#include "ctl/ctl.h"

#include "base/mem.h"

#include <stdlib.h>

struct ctl
{
  const struct ctl_operations *operations;
  void *state;
};

enum ctl_status
ctl_create (const struct ctl_parts *parts, struct ctl **ctl)
{
  struct ctl *result = mem_alloc (1, sizeof *result);

  result->operations = parts->settings->distribution == CFG_DISTRIBUTION_POLL
                           ? &ctl_poll
                           : &ctl_tree;
  result->state = result->operations->create (parts);
  if (result->state == NULL)
    {
      free (result);
      *ctl = NULL;
      return CTL_NO_SOCKET;
    }
  *ctl = result;
  return CTL_OK;
}

void
ctl_leave (struct ctl *ctl)
{
  ctl->operations->leave (ctl->state);
}

void
ctl_fetch (struct ctl *ctl, const Mesh__FetchRequest *request,
           Mesh__FetchReply *reply)
{
  ctl->operations->fetch (ctl->state, request, reply);
}

bool
ctl_is_ready (struct ctl *ctl)
{
  return ctl->operations->is_ready (ctl->state);
}

json_t *
ctl_status (struct ctl *ctl)
{
  return ctl->operations->status (ctl->state);
}

void
ctl_metrics (struct ctl *ctl)
{
  ctl->operations->metrics (ctl->state);
}

void
ctl_destroy (struct ctl *ctl)
{
  if (ctl == NULL)
    return;
  ctl->operations->destroy (ctl->state);
  free (ctl);
}
