/* Growth and release of lists of actions.  */

#include "dst/dst_action.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

struct dst_action *
dst_actions_add (struct dst_actions *actions, enum dst_action_kind kind)
{
  struct dst_action *action;

  if (actions->count == actions->capacity)
    {
      actions->capacity = actions->capacity == 0 ? 8 : actions->capacity * 2;
      actions->items = mem_resize (actions->items, actions->capacity,
                                   sizeof *actions->items);
    }
  action = &actions->items[actions->count++];
  memset (action, 0, sizeof *action);
  action->kind = kind;
  return action;
}

void
dst_actions_clear (struct dst_actions *actions)
{
  for (size_t i = 0; i < actions->count; i++)
    buf_close (&actions->items[i].data);
  actions->count = 0;
}

void
dst_actions_close (struct dst_actions *actions)
{
  dst_actions_clear (actions);
  free (actions->items);
  memset (actions, 0, sizeof *actions);
}
