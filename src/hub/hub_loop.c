/* Frames from the node to itself (loopback).  They are delivered at the end of
   the loop iteration, so that a handler never runs inside the call that sends
   the frame.  */

#include "hub/hub_internal.h"

#include "base/mem.h"

#include <stdlib.h>

/* Returns a copy of FRAME that the receiver owns, null when FRAME is too
   long.  */
static Mesh__Frame *
copy_frame (const Mesh__Frame *frame)
{
  struct buf bytes = { 0 };
  Mesh__Frame *copy = NULL;

  if (frm_encode (frame, &bytes) == FRM_OK)
    frm_decode (bytes.data + FRM_HEADER_LENGTH,
                bytes.length - FRM_HEADER_LENGTH, &copy);
  buf_close (&bytes);
  return copy;
}

enum hub_status
hub_send_loopback (struct hub *hub, const Mesh__Frame *frame, bool is_reply)
{
  Mesh__Frame *copy = copy_frame (frame);
  struct hub_loopback_frame *entry;

  if (copy == NULL)
    return HUB_FRAME_TOO_LONG;
  entry = mem_alloc (1, sizeof *entry);
  entry->frame = copy;
  entry->is_reply = is_reply;
  *hub->last_loopback_frame = entry;
  hub->last_loopback_frame = &entry->next;
  evl_task_schedule (&hub->loopback_task);
  return HUB_OK;
}

void
hub_deliver_loopback (void *context)
{
  struct hub *hub = context;

  while (hub->first_loopback_frame != NULL)
    {
      struct hub_loopback_frame *entry = hub->first_loopback_frame;
      bool kept;

      hub->first_loopback_frame = entry->next;
      if (hub->first_loopback_frame == NULL)
        hub->last_loopback_frame = &hub->first_loopback_frame;
      if (entry->is_reply)
        kept = hub->handlers->reply (hub->context, hub->self, entry->frame);
      else
        kept = hub->handlers->request (hub->context, &hub->loopback_link,
                                       entry->frame);
      if (!kept)
        frm_free (entry->frame);
      free (entry);
    }
}
