/* Links: connections that other nodes opened to this gate.

   Epoll data of a link: generation (32 bits), index (31 bits), and one bit
   that distinguishes output from input.  A stale event finds another
   generation.  */

#include "base/mem.h"
#include "gate/gate_internal.h"

#include "wire/frm.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* A drained buffer larger than this is freed: a node has hundreds of links and
   few of them are busy at a time.  */
#define MAX_SPARE (16u * 1024u)

/* Bytes read before the event is armed again, so that one busy link does not
   keep a thread from others.  */
#define READ_SIZE (64u * 1024u)
#define MAX_READ (512u * 1024u)

/* Returns the deadline LENGTH from now, or the shorter one of a test.  */
static clk_time
peer_deadline (const struct gate *gate, clk_time length)
{
  if (gate->hooks.peer_limit_ms > 0)
    length = gate->hooks.peer_limit_ms * CLK_MILLISECOND;
  return clk_now () + length;
}

static uint64_t
make_data (const struct gate_link *link, bool output)
{
  return (uint64_t)link->generation << 32 | (uint64_t)link->index << 1
         | (output ? 1 : 0);
}

/* Arms an event of a link for one thread; a closed link has none.  */
static void
arm (struct gate_link *link, bool output, int operation)
{
  struct epoll_event event
      = { .events = (output ? EPOLLOUT : EPOLLIN) | EPOLLONESHOT };

  event.data.u64 = make_data (link, output);
  epoll_ctl (link->gate->epoll, operation,
             output ? link->write_socket : link->socket, &event);
}

static struct gate_link *
create_link (struct gate *gate, int socket)
{
  struct gate_link *link = mem_alloc (1, sizeof *link);
  int on = 1;

  setsockopt (socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  link->gate = gate;
  link->socket = socket;
  link->write_socket = dup (socket);
  link->references = 1;
  atomic_init (&link->idle_until, peer_deadline (link->gate, GATE_IDLE_LIMIT));
  atomic_init (&link->frame_until,
               peer_deadline (link->gate, GATE_HELLO_LIMIT));
  atomic_init (&link->write_until, CLK_NEVER);
  pthread_mutex_init (&link->write_lock, NULL);
  return link;
}

/* Enters a link into the table.  Returns false when it is full.  */
static bool
enter_link (struct gate *gate, struct gate_link *link)
{
  for (uint32_t i = 0; i < GATE_MAX_LINKS && link->write_socket >= 0; i++)
    if (gate->links[i] == NULL)
      {
        link->index = i;
        link->generation = ++gate->generations[i];
        gate->links[i] = link;
        gate->link_count++;
        arm (link, false, EPOLL_CTL_ADD);
        return true;
      }
  return false;
}

void
gate_accept (struct gate *gate)
{
  int socket;

  while ((socket
          = accept4 (gate->listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK))
         >= 0)
    {
      struct gate_link *link = create_link (gate, socket);

      pthread_mutex_lock (&gate->lock);
      if (atomic_load (&gate->stopping) || !enter_link (gate, link))
        gate_link_drop (link);
      pthread_mutex_unlock (&gate->lock);
    }
}

struct gate_link *
gate_link_get (struct gate *gate, uint64_t data)
{
  uint32_t index = (uint32_t)data >> 1;
  struct gate_link *link = NULL;

  if (index >= GATE_MAX_LINKS)
    return NULL;
  pthread_mutex_lock (&gate->lock);
  if (gate->links[index] != NULL
      && gate->links[index]->generation == (uint32_t)(data >> 32))
    {
      link = gate->links[index];
      gate_link_hold (link);
    }
  pthread_mutex_unlock (&gate->lock);
  return link;
}

void
gate_link_hold (struct gate_link *link)
{
  link->references++;
}

void
gate_link_drop (struct gate_link *link)
{
  if (--link->references > 0)
    return;
  close (link->socket);
  if (link->write_socket >= 0)
    close (link->write_socket);
  buf_close (&link->input);
  buf_close (&link->output);
  pthread_mutex_destroy (&link->write_lock);
  free (link);
}

/* Ends one call of a link that closes.  */
static void
abandon (struct gate_call *call)
{
  switch (call->state)
    {
    case GATE_RECEIVING:
    case GATE_QUEUED:
      gate_call_withdraw (call, false);
      gate_call_free (call);
      break;
    case GATE_ANSWERING:
      gate_call_unlink (call);
      gate_call_free (call);
      break;
    default:
      gate_call_unlink (call);
      call->orphan = true;
      if (call->state == GATE_RUNNING && call->call_class == DOC_AT_MOST_ONCE)
        break;
      call->cancelled = true;
      if (call->client != NULL)
        up_cancel (call->client);
    }
}

void
gate_link_close (struct gate_link *link)
{
  struct gate *gate = link->gate;

  if (link->closed)
    return;
  link->closed = true;
  epoll_ctl (gate->epoll, EPOLL_CTL_DEL, link->socket, NULL);
  epoll_ctl (gate->epoll, EPOLL_CTL_DEL, link->write_socket, NULL);
  shutdown (link->socket, SHUT_RDWR);
  while (link->calls != NULL)
    abandon (link->calls);
  gate->links[link->index] = NULL;
  gate->link_count--;
  gate_link_drop (link);
}

/* Handles the whole frames in the input.  Returns false when the link must be
   closed.  */
static bool
handle_input (struct gate_link *link)
{
  struct buf *input = &link->input;
  size_t done = 0;
  bool valid = true;

  while (valid && input->length - done >= FRM_HEADER_LENGTH)
    {
      const uint8_t *data = input->data + done;
      size_t length = (size_t)data[0] << 24 | (size_t)data[1] << 16
                      | (size_t)data[2] << 8 | data[3];
      Mesh__Frame *frame;

      if (length > FRM_MAX_LENGTH)
        return false;
      if (input->length - done - FRM_HEADER_LENGTH < length)
        break;
      done += FRM_HEADER_LENGTH + length;
      valid = frm_decode (data + FRM_HEADER_LENGTH, length, &frame) == FRM_OK
              && gate_handle_frame (link, frame);
    }
  if (done > 0)
    {
      memmove (input->data, input->data + done, input->length - done);
      input->length -= done;
      atomic_store (&link->idle_until,
                    peer_deadline (link->gate, GATE_IDLE_LIMIT));
    }
  if (input->length == 0 && input->capacity > MAX_SPARE)
    buf_close (input);
  if (link->introduced && (done > 0 || input->length == 0))
    atomic_store (&link->frame_until, input->length > 0 ? peer_deadline (
                                          link->gate, GATE_FRAME_LIMIT)
                                                        : CLK_NEVER);
  else if (link->introduced && atomic_load (&link->frame_until) == CLK_NEVER)
    atomic_store (&link->frame_until,
                  peer_deadline (link->gate, GATE_FRAME_LIMIT));
  return valid;
}

void
gate_link_read (struct gate_link *link)
{
  struct gate *gate = link->gate;
  uint8_t data[READ_SIZE];
  size_t total = 0;
  bool valid = true;

  while (valid && total < MAX_READ)
    {
      ssize_t count = recv (link->socket, data, sizeof data, MSG_DONTWAIT);

      if (count < 0 && errno == EINTR)
        continue;
      if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        break;
      valid = count > 0;
      if (!valid)
        break;
      total += (size_t)count;
      buf_append (&link->input, data, (size_t)count);
      valid = handle_input (link);
      /* A short read has emptied the socket; more input fires the event.  */
      if ((size_t)count < READ_SIZE)
        break;
    }
  pthread_mutex_lock (&gate->lock);
  if (!valid)
    gate_link_close (link);
  else if (!link->closed)
    arm (link, false, EPOLL_CTL_MOD);
  pthread_mutex_unlock (&gate->lock);
}

/* Writes what waits; with the write lock.  A failed connection is shut down;
   its input event then closes the link.  */
static void
write_output (struct gate_link *link)
{
  struct buf *output = &link->output;

  while (link->output_done < output->length)
    {
      ssize_t count = send (
          link->write_socket, output->data + link->output_done,
          output->length - link->output_done, MSG_DONTWAIT | MSG_NOSIGNAL);

      if (count > 0)
        {
          link->output_done += (size_t)count;
          atomic_store (&link->write_until,
                        peer_deadline (link->gate, GATE_WRITE_LIMIT));
        }
      else if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        {
          if (atomic_load (&link->write_until) == CLK_NEVER)
            atomic_store (&link->write_until,
                          peer_deadline (link->gate, GATE_WRITE_LIMIT));
          arm (link, true, EPOLL_CTL_MOD);
          if (errno == ENOENT)
            arm (link, true, EPOLL_CTL_ADD);
          return;
        }
      else if (count < 0 && errno != EINTR)
        {
          shutdown (link->write_socket, SHUT_RDWR);
          break;
        }
    }
  output->length = 0;
  if (output->capacity > MAX_SPARE)
    buf_close (output);
  link->output_done = 0;
  atomic_store (&link->write_until, CLK_NEVER);
}

void
gate_link_flush (struct gate_link *link)
{
  pthread_mutex_lock (&link->write_lock);
  write_output (link);
  pthread_mutex_unlock (&link->write_lock);
}

void
gate_link_send (struct gate_link *link, const struct buf *frames)
{
  pthread_mutex_lock (&link->write_lock);
  if (link->output.length - link->output_done > GATE_MAX_OUTPUT)
    shutdown (link->write_socket, SHUT_RDWR);
  else
    {
      bool waits = link->output.length > link->output_done;

      buf_append (&link->output, frames->data, frames->length);
      if (!waits)
        write_output (link);
    }
  pthread_mutex_unlock (&link->write_lock);
}

void
gate_link_send_frame (struct gate_link *link, const Mesh__Frame *frame)
{
  struct buf output = { 0 };

  if (frm_encode (frame, &output) == FRM_OK)
    gate_link_send (link, &output);
  else
    shutdown (link->write_socket, SHUT_RDWR);
  buf_close (&output);
}
