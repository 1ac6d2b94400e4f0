/* Replies with long bodies.  They are queued here and sent at a limited rate,
   so that all other frames overtake them and the link of the VM does not
   fill.  */

#include "base/mem.h"
#include "hub/hub_internal.h"

#include <stdlib.h>

/* Time after which links that were passed over are looked at again.  */
#define RETRY_TIME (5 * CLK_MILLISECOND)

/* A frame that waits to be sent.  */
struct hub_bulk_frame
{
  struct hub_inbound_link *link;
  uint64_t call; /* number of the call that it answers */
  struct buf bytes;
  struct hub_bulk_frame *next;
};

/* Removes the frame at *PLACE from the queue.  */
static void
remove_frame (struct hub *hub, struct hub_bulk_frame **place)
{
  struct hub_bulk_frame *frame = *place;

  *place = frame->next;
  if (frame->next == NULL)
    hub->last_bulk_frame = place;
  hub->bulk_bytes -= frame->bytes.length;
  buf_close (&frame->bytes);
  free (frame);
}

/* Returns whether LINK takes no further frame in this scan of the queue.  A
   frame is sent only when the socket has taken all before it: what the channel
   holds cannot be withdrawn any more, and a peer that reads slowly must not
   delay the others.  A link that was full stays so until the next scan, so
   that its frames keep their order.  */
static bool
is_full (struct hub_inbound_link *link)
{
  uint64_t scan = link->hub->bulk_scan;

  if (link->full_in_scan == scan)
    return true;
  if (chn_unsent_bytes (link->channel) > 0)
    chn_flush (link->channel);
  if (chn_unsent_bytes (link->channel) > 0)
    link->full_in_scan = scan;
  return link->full_in_scan == scan;
}

void
hub_send_bulk_frames (void *context)
{
  struct hub *hub = context;
  clk_time now = evl_now (hub->loop);
  struct hub_bulk_frame **place = &hub->first_bulk_frame;
  clk_time next = now + RETRY_TIME;

  hub->bulk_scan++;
  while (*place != NULL)
    {
      struct hub_bulk_frame *frame = *place;

      if (!pac_may_send (&hub->pacer, now))
        {
          next = pac_next_time (&hub->pacer, now);
          break;
        }
      if (is_full (frame->link))
        {
          place = &frame->next;
          continue;
        }
      chn_send_encoded (frame->link->channel, frame->bytes.data,
                        frame->bytes.length);
      pac_count (&hub->pacer, frame->bytes.length);
      remove_frame (hub, place);
    }
  evl_timer_set (&hub->bulk_timer,
                 hub->first_bulk_frame != NULL ? next : CLK_NEVER);
}

size_t
hub_drop_bulk_frames (struct hub *hub, const struct hub_inbound_link *link)
{
  struct hub_bulk_frame **place = &hub->first_bulk_frame;
  size_t before = hub->bulk_bytes;

  while (*place != NULL)
    if (link == NULL || (*place)->link == link)
      remove_frame (hub, place);
    else
      place = &(*place)->next;
  return before - hub->bulk_bytes;
}

size_t
hub_cancel_bulk (struct hub *hub, const struct hub_inbound_link *link,
                 uint64_t call)
{
  struct hub_bulk_frame **place = &hub->first_bulk_frame;
  size_t before = hub->bulk_bytes;

  while (*place != NULL)
    if ((*place)->link == link && (*place)->call == call)
      remove_frame (hub, place);
    else
      place = &(*place)->next;
  return before - hub->bulk_bytes;
}

void
hub_set_bulk_rate (struct hub *hub, double bytes_per_second)
{
  pac_init (&hub->pacer, bytes_per_second, evl_now (hub->loop));
}

/* Returns the number of the call that FRAME answers.  */
static uint64_t
call_of (const Mesh__Frame *frame)
{
  if (frame->body_case == MESH__FRAME__BODY_ANSWER)
    return frame->answer->id->number;
  return frame->answer_body->id->number;
}

void
hub_reply_bulk (struct hub *hub, struct hub_inbound_link *link,
                const Mesh__Frame *frame)
{
  struct hub_bulk_frame *entry;

  if (link->channel == NULL || hub->pacer.rate <= 0)
    {
      hub_reply (hub, link, frame);
      return;
    }
  entry = mem_alloc (1, sizeof *entry);
  entry->link = link;
  entry->call = call_of (frame);
  frm_encode (frame, &entry->bytes);
  hub->bulk_bytes += entry->bytes.length;
  *hub->last_bulk_frame = entry;
  hub->last_bulk_frame = &entry->next;
  if (hub->first_bulk_frame == entry)
    hub_send_bulk_frames (hub);
}

clk_time
hub_bulk_time (const struct hub *hub, size_t bytes)
{
  return pac_time_of (&hub->pacer, (double)(hub->bulk_bytes + bytes));
}

size_t
hub_bulk_bytes (const struct hub *hub)
{
  return hub->bulk_bytes;
}
