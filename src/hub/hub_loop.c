/* Frames from the node to itself.  They are handed over at the end of the
   round, so that a sender is never called back from within its own call.  */

#include "hub/hub_internal.h"

#include "base/mem.h"

#include <stdlib.h>

/* Returns a copy that the receiver owns, null when FRAME is too long.  */
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
hub_loop (struct hub *hub, const Mesh__Frame *frame, bool is_reply)
{
  Mesh__Frame *copy = copy_frame (frame);
  struct hub_loop_frame *entry;

  if (copy == NULL)
    return HUB_FRAME_TOO_LONG;
  entry = mem_alloc (1, sizeof *entry);
  entry->frame = copy;
  entry->is_reply = is_reply;
  *hub->last_frame = entry;
  hub->last_frame = &entry->next;
  evl_task_schedule (&hub->deliver);
  return HUB_OK;
}

void
hub_deliver (void *context)
{
  struct hub *hub = context;

  while (hub->first_frame != NULL)
    {
      struct hub_loop_frame *entry = hub->first_frame;
      bool kept;

      hub->first_frame = entry->next;
      if (hub->first_frame == NULL)
        hub->last_frame = &hub->first_frame;
      if (entry->is_reply)
        kept = hub->handlers->reply (hub->context, hub->self, entry->frame);
      else
        kept = hub->handlers->request (hub->context, &hub->own, entry->frame);
      if (!kept)
        frm_free (entry->frame);
      free (entry);
    }
}
