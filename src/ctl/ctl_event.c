/* Events that the helper threads report to the control thread.  */

#include "ctl/ctl_event.h"

#include "base/mem.h"
#include "wire/frm.h"

#include <stdlib.h>
#include <sys/eventfd.h>

struct ctl_event *
ctl_event_create (enum ctl_event_kind kind)
{
  struct ctl_event *event = mem_alloc (1, sizeof *event);

  event->kind = kind;
  return event;
}

void
ctl_event_destroy (struct ctl_event *event)
{
  frm_free (event->frame);
  buf_close (&event->data);
  free (event);
}

void
ctl_inbox_post (struct ctl_inbox *inbox, struct ctl_event *event)
{
  if (!ring_push (inbox->ring, event))
    {
      ctl_event_destroy (event);
      return;
    }
  eventfd_write (inbox->descriptor, 1);
}
