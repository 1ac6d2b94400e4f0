/* Channel between two nodes.  */

#include "chn/chn.h"

#include "base/mem.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Most bytes that one recv reads.  */
#define READ_SIZE (64u * 1024u)

/* A connection fails after this many unanswered keep-alive probes, one a
   second.  */
#define KEEPALIVE_PROBES 2

/* An empty input buffer with a larger capacity, in bytes, is freed, so that
   one large frame does not hold memory for the life of the channel.  */
#define MAX_IDLE_INPUT_CAPACITY 4096u

/* Sent bytes that are kept in the output buffer while it has others, so that
   they are not moved too often.  */
#define MAX_SENT_OUTPUT (256u * 1024u)

enum chn_state
{
  CHN_CONNECTING,
  CHN_OPEN,
  CHN_FAILED,
  CHN_CLOSED /* freed at the end of the loop iteration */
};

struct chn
{
  struct evl *loop;
  int descriptor;
  struct evl_socket socket;
  struct evl_task flush_task;
  struct evl_task end_task; /* reports a failure, or frees */
  enum chn_state state;
  const struct chn_handlers *handlers;
  void *context;
  void *data;
  struct buf input; /* bytes of an incomplete frame */
  struct buf output;
  size_t sent_length;
  clk_time last_receive_time;
  clk_time last_send_time; /* or when the output was last empty */
};

static void
update_events (struct chn *channel)
{
  int events = EVL_READ;

  if (channel->state == CHN_CONNECTING)
    events = EVL_WRITE;
  else if (channel->sent_length < channel->output.length)
    events |= EVL_WRITE;
  evl_socket_watch (&channel->socket, events);
}

static void
fail (struct chn *channel)
{
  if (channel->state == CHN_FAILED || channel->state == CHN_CLOSED)
    return;
  channel->state = CHN_FAILED;
  evl_socket_watch (&channel->socket, 0);
  evl_task_cancel (&channel->flush_task);
  evl_task_schedule (&channel->end_task);
}

static void
on_end (void *context)
{
  struct chn *channel = context;

  if (channel->state == CHN_FAILED)
    {
      channel->handlers->closed (channel->context, channel);
      return;
    }
  buf_close (&channel->input);
  buf_close (&channel->output);
  free (channel);
}

static void
flush (void *context)
{
  struct chn *channel = context;
  size_t before = channel->sent_length;

  while (channel->sent_length < channel->output.length)
    {
      ssize_t count = send (
          channel->descriptor, channel->output.data + channel->sent_length,
          channel->output.length - channel->sent_length, MSG_NOSIGNAL);

      if (count >= 0)
        channel->sent_length += (size_t)count;
      else if (errno == EAGAIN || errno == EWOULDBLOCK)
        break;
      else if (errno != EINTR)
        {
          fail (channel);
          return;
        }
    }
  if (channel->sent_length > before)
    channel->last_send_time = evl_now (channel->loop);
  if (channel->sent_length == channel->output.length
      || (channel->sent_length >= MAX_SENT_OUTPUT
          && channel->sent_length >= channel->output.length / 2))
    {
      buf_consume (&channel->output, channel->sent_length);
      channel->sent_length = 0;
    }
  update_events (channel);
}

/* Reads the length of the payload from the header of a frame.  Returns false
   when the header is not complete.  */
static bool
read_length (const uint8_t *data, size_t length, size_t *payload)
{
  if (length < FRM_HEADER_LENGTH)
    return false;
  *payload = (size_t)data[0] << 24 | (size_t)data[1] << 16
             | (size_t)data[2] << 8 | data[3];
  return true;
}

/* Passes the complete frames at DATA to the handler.  Returns the number of
   bytes that they take.  */
static size_t
handle_frames (struct chn *channel, const uint8_t *data, size_t length)
{
  size_t used = 0;
  size_t payload;

  while (channel->state == CHN_OPEN
         && read_length (data + used, length - used, &payload))
    {
      Mesh__Frame *frame;

      if (payload > FRM_MAX_LENGTH)
        {
          fail (channel);
          break;
        }
      if (length - used - FRM_HEADER_LENGTH < payload)
        break;
      if (frm_decode (data + used + FRM_HEADER_LENGTH, payload, &frame)
          != FRM_OK)
        {
          fail (channel);
          break;
        }
      used += FRM_HEADER_LENGTH + payload;
      if (!channel->handlers->frame (channel->context, channel, frame))
        frm_free (frame);
    }
  return used;
}

static void
handle_input (struct chn *channel, const uint8_t *data, size_t length)
{
  struct buf *input = &channel->input;
  size_t used;

  if (input->length == 0)
    {
      used = handle_frames (channel, data, length);
      if (channel->state == CHN_OPEN && used < length)
        buf_append (input, data + used, length - used);
      return;
    }
  buf_append (input, data, length);
  used = handle_frames (channel, input->data, input->length);
  memmove (input->data, input->data + used, input->length - used);
  input->length -= used;
  if (input->length == 0 && input->capacity > MAX_IDLE_INPUT_CAPACITY)
    buf_close (input);
}

static void
read_socket (struct chn *channel)
{
  static uint8_t data[READ_SIZE];
  ssize_t count = recv (channel->descriptor, data, sizeof data, 0);

  if (count > 0)
    {
      channel->last_receive_time = evl_now (channel->loop);
      handle_input (channel, data, (size_t)count);
    }
  else if (count == 0
           || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR))
    fail (channel);
}

static void
on_socket (void *context, int events)
{
  struct chn *channel = context;

  if (channel->state == CHN_CONNECTING)
    {
      if (net_connect_result (channel->descriptor) != 0)
        {
          fail (channel);
          return;
        }
      channel->state = CHN_OPEN;
      channel->last_receive_time = evl_now (channel->loop);
      flush (channel);
      if (channel->state == CHN_OPEN && channel->handlers->opened != NULL)
        channel->handlers->opened (channel->context, channel);
      return;
    }
  if ((events & EVL_WRITE) != 0)
    flush (channel);
  if ((events & EVL_READ) != 0 && channel->state == CHN_OPEN)
    read_socket (channel);
}

static struct chn *
create (struct evl *loop, int descriptor, const struct chn_handlers *handlers,
        void *context)
{
  struct chn *channel = mem_alloc (1, sizeof *channel);

  channel->loop = loop;
  channel->descriptor = descriptor;
  channel->handlers = handlers;
  channel->context = context;
  channel->last_receive_time = evl_now (loop);
  evl_task_init (&channel->flush_task, loop, flush, channel);
  evl_task_init (&channel->end_task, loop, on_end, channel);
  evl_socket_init (&channel->socket, loop, descriptor, on_socket, channel);
  return channel;
}

struct chn *
chn_connect (struct evl *loop, struct net_address address,
             const struct chn_handlers *handlers, void *context)
{
  int descriptor = net_connect_start (address);
  struct chn *channel = create (loop, descriptor, handlers, context);

  if (descriptor < 0)
    {
      fail (channel);
      return channel;
    }
  net_set_keepalive (descriptor, KEEPALIVE_PROBES);
  update_events (channel);
  return channel;
}

struct chn *
chn_accept (struct evl *loop, int descriptor,
            const struct chn_handlers *handlers, void *context)
{
  struct chn *channel = create (loop, descriptor, handlers, context);

  channel->state = CHN_OPEN;
  net_set_keepalive (descriptor, KEEPALIVE_PROBES);
  update_events (channel);
  return channel;
}

void
chn_close (struct chn *channel)
{
  if (channel == NULL || channel->state == CHN_CLOSED)
    return;
  evl_socket_watch (&channel->socket, 0);
  evl_task_cancel (&channel->flush_task);
  if (channel->descriptor >= 0)
    close (channel->descriptor);
  channel->state = CHN_CLOSED;
  evl_task_schedule (&channel->end_task);
}

bool
chn_send (struct chn *channel, const Mesh__Frame *frame)
{
  if (channel->state != CHN_CONNECTING && channel->state != CHN_OPEN)
    return true;
  if (channel->output.length == 0)
    channel->last_send_time = evl_now (channel->loop);
  if (frm_encode (frame, &channel->output) != FRM_OK)
    return false;
  if (channel->state == CHN_OPEN)
    evl_task_schedule (&channel->flush_task);
  return true;
}

void
chn_send_encoded (struct chn *channel, const void *data, size_t length)
{
  if (channel->state != CHN_CONNECTING && channel->state != CHN_OPEN)
    return;
  if (channel->output.length == 0)
    channel->last_send_time = evl_now (channel->loop);
  buf_append (&channel->output, data, length);
  if (channel->state == CHN_OPEN)
    evl_task_schedule (&channel->flush_task);
}

void
chn_flush (struct chn *channel)
{
  if (channel->state == CHN_OPEN)
    flush (channel);
}

bool
chn_is_open (const struct chn *channel)
{
  return channel->state == CHN_OPEN;
}

size_t
chn_unsent_bytes (const struct chn *channel)
{
  return channel->output.length - channel->sent_length;
}

clk_time
chn_stalled_since (const struct chn *channel)
{
  return chn_unsent_bytes (channel) > 0 ? channel->last_send_time : CLK_NEVER;
}

clk_time
chn_last_receive_time (const struct chn *channel)
{
  return channel->last_receive_time;
}

void
chn_set_data (struct chn *channel, void *data)
{
  channel->data = data;
}

void *
chn_data (const struct chn *channel)
{
  return channel->data;
}
