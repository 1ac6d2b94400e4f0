/* Sending of versions in parts.  A link gets a part only when the socket has
   taken everything before it, so that short frames wait for one part at most.
   All links together get parts at the rate of the VM's link, the earlier
   transfers first: a receiver then gets its parts well within
   SYN_FETCH_TIMEOUT of each other, however many receivers there are.  */

#include "base/log.h"
#include "base/mem.h"
#include "syn/syn_internal.h"
#include "ver/ver.h"

#include <inttypes.h>
#include <stdlib.h>

/* Time after which links that had unsent bytes are looked at again.  */
#define RETRY_TIME (5 * CLK_MILLISECOND)

/* A payload that is being sent on a link.  */
struct syn_transfer
{
  struct hub_inbound_link *inbound;
  struct syn_payload *payload;
  struct syn_version_header header;
  uint32_t count; /* of parts */
  uint32_t next;  /* index of the part that is sent next */
  struct syn_transfer *next_transfer;
};

void
syn_payload_release (struct syn_payload *payload)
{
  if (payload == NULL || --payload->references > 0)
    return;
  buf_close (&payload->bytes);
  free (payload);
}

/* Returns the place of the transfer on INBOUND, or the end of the list.  */
static struct syn_transfer **
find_transfer (struct syn *sync, const struct hub_inbound_link *inbound)
{
  struct syn_transfer **place = &sync->transfers;

  while (*place != NULL && (*place)->inbound != inbound)
    place = &(*place)->next_transfer;
  return place;
}

static void
remove_transfer (struct syn_transfer **place)
{
  struct syn_transfer *transfer = *place;

  *place = transfer->next_transfer;
  syn_payload_release (transfer->payload);
  free (transfer);
}

const struct syn_version_header *
syn_transfer_find (struct syn *sync, const struct hub_inbound_link *inbound)
{
  const struct syn_transfer *transfer = *find_transfer (sync, inbound);

  return transfer != NULL ? &transfer->header : NULL;
}

void
syn_transfer_cancel (struct syn *sync, const struct hub_inbound_link *inbound)
{
  struct syn_transfer **place = find_transfer (sync, inbound);

  if (*place != NULL)
    remove_transfer (place);
}

void
syn_transfer_cancel_held (struct syn *sync,
                          const struct hub_inbound_link *inbound,
                          struct snp_stamp held)
{
  struct syn_transfer **place = find_transfer (sync, inbound);

  if (*place != NULL && (*place)->header.result.version <= held.version)
    remove_transfer (place);
}

void
syn_transfer_start (struct syn *sync, struct hub_inbound_link *inbound,
                    struct syn_payload *payload,
                    const struct syn_version_header *header)
{
  struct syn_transfer **place = find_transfer (sync, inbound);
  struct syn_transfer *transfer = mem_alloc (1, sizeof *transfer);

  transfer->inbound = inbound;
  transfer->payload = payload;
  payload->references++;
  transfer->header = *header;
  transfer->count = syn_part_count (payload->bytes.length);
  *place = transfer;
  log_write (LOG_INFO, "syn",
             "sending version %" PRIu64 " to another node in %u parts, %zu "
             "bytes in all",
             header->result.version, transfer->count, payload->bytes.length);
  if (sync->next_part_at < evl_now (sync->loop))
    sync->next_part_at = evl_now (sync->loop);
  if (sync->transfer_timer.deadline == CLK_NEVER)
    evl_timer_set (&sync->transfer_timer, sync->next_part_at);
}

void
syn_transfer_close (struct syn *sync)
{
  evl_timer_stop (&sync->transfer_timer);
  while (sync->transfers != NULL)
    remove_transfer (&sync->transfers);
}

static void
send_next_part (struct syn *sync, struct syn_transfer *transfer)
{
  const struct buf *bytes = &transfer->payload->bytes;
  size_t offset = (size_t)transfer->next * SYN_PART_LENGTH;
  size_t left = bytes->length - offset;

  syn_send_part (sync, transfer->inbound, &transfer->header,
                 bytes->data + offset,
                 left < SYN_PART_LENGTH ? left : SYN_PART_LENGTH,
                 transfer->next, transfer->count);
  transfer->next++;
}

/* Removes a transfer whose last part was sent.  A version that came into
   effect meanwhile follows.  */
static void
finish_transfer (struct syn *sync, struct syn_transfer **place)
{
  struct hub_inbound_link *inbound = (*place)->inbound;
  struct snp_stamp result = (*place)->header.result;
  struct syn_subscriber *subscriber = *syn_find_subscriber (sync, inbound);

  remove_transfer (place);
  if (subscriber == NULL)
    return;
  if (subscriber->held.version < result.version)
    subscriber->held = result;
  syn_push_version (sync, subscriber);
}

/* Returns the time that the link of the VM takes for one part; 0 when its rate
   is unknown.  */
static clk_time
part_time (const struct syn *sync)
{
  return hub_bulk_time (sync->hub, SYN_PART_LENGTH)
         - hub_bulk_time (sync->hub, 0);
}

void
syn_transfer_run (void *context)
{
  struct syn *sync = context;
  struct syn_transfer **place = &sync->transfers;
  clk_time now = evl_now (sync->loop);
  clk_time retry_at = now + RETRY_TIME;

  while (*place != NULL && sync->next_part_at <= now)
    {
      if (hub_unsent_bytes ((*place)->inbound) > 0)
        {
          place = &(*place)->next_transfer;
          continue;
        }
      send_next_part (sync, *place);
      sync->next_part_at = now + part_time (sync);
      if ((*place)->next == (*place)->count)
        finish_transfer (sync, place);
      else
        place = &(*place)->next_transfer;
    }
  if (sync->transfers != NULL)
    evl_timer_set (&sync->transfer_timer, sync->next_part_at > retry_at
                                              ? sync->next_part_at
                                              : retry_at);
}
