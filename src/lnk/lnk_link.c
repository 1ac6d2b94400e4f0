/* One link: frames written in turn, read by one of the threads that wait.  */

#include "lnk/lnk_link.h"

#include "base/err.h"
#include "base/mem.h"
#include "wire/frm.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_SIZE (64u * 1024u)
#define MAX_POLL_MS 60000

/* A link that takes no byte for this long while some wait is broken.  */
#define STUCK_LIMIT (5 * CLK_SECOND)

struct lnk_link *
lnk_link_create (struct net_address address, int socket,
                 const struct lnk_options *options, atomic_size_t *buffered)
{
  struct lnk_link *link = mem_alloc (1, sizeof *link);

  link->address = address;
  link->socket = socket;
  link->options = options;
  link->buffered = buffered;
  pthread_mutex_init (&link->lock, NULL);
  clk_init_condition (&link->writable);
  return link;
}

void
lnk_link_destroy (struct lnk_link *link)
{
  close (link->socket);
  buf_close (&link->input);
  buf_close (&link->pending);
  pthread_cond_destroy (&link->writable);
  pthread_mutex_destroy (&link->lock);
  free (link);
}

bool
lnk_link_is_stale (struct lnk_link *link)
{
  uint8_t byte;
  ssize_t count;
  bool stale;

  pthread_mutex_lock (&link->lock);
  count = link->reading ? 1
                        : recv (link->socket, &byte, sizeof byte,
                                MSG_PEEK | MSG_DONTWAIT);
  stale = link->broken || count == 0
          || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK
              && errno != EINTR);
  if (stale)
    lnk_link_break (link, "the peer closed the link");
  pthread_mutex_unlock (&link->lock);
  return stale;
}

void
lnk_link_add (struct lnk_link *link, struct lnk_exchange *exchange,
              const Mesh__CallId *id)
{
  struct lnk_exchange **place = &link->exchanges;

  memset (exchange, 0, sizeof *exchange);
  exchange->origin = id->origin;
  exchange->number = id->number;
  exchange->credit = LNK_WINDOW;
  clk_init_condition (&exchange->wake);
  pthread_mutex_lock (&link->lock);
  while (*place != NULL)
    place = &(*place)->next;
  *place = exchange;
  pthread_mutex_unlock (&link->lock);
}

/* Lets another waiting thread read when this one stops.  */
static void
hand_over_reading (struct lnk_link *link)
{
  if (link->reading)
    return;
  for (struct lnk_exchange *exchange = link->exchanges; exchange != NULL;
       exchange = exchange->next)
    if (exchange->waiting && !exchange->done)
      {
        pthread_cond_signal (&exchange->wake);
        return;
      }
}

void
lnk_link_remove (struct lnk_link *link, struct lnk_exchange *exchange)
{
  struct lnk_exchange **place = &link->exchanges;

  pthread_mutex_lock (&link->lock);
  while (*place != exchange)
    place = &(*place)->next;
  *place = exchange->next;
  hand_over_reading (link);
  pthread_mutex_unlock (&link->lock);
  atomic_fetch_sub (link->buffered, exchange->body.length);
  if (exchange->answer != NULL)
    mesh__answer__free_unpacked (exchange->answer, NULL);
  buf_close (&exchange->body);
  pthread_cond_destroy (&exchange->wake);
}

/* Delivers the whole frames in the input.  */
static void
parse_input (struct lnk_link *link)
{
  size_t done = 0;

  while (!link->broken && link->input.length - done >= FRM_HEADER_LENGTH)
    {
      const uint8_t *data = link->input.data + done;
      size_t length = (size_t)data[0] << 24 | (size_t)data[1] << 16
                      | (size_t)data[2] << 8 | data[3];
      Mesh__Frame *frame;

      if (length > FRM_MAX_LENGTH)
        {
          lnk_link_break (link, "the peer sent a frame that is too long");
          return;
        }
      if (link->input.length - done < FRM_HEADER_LENGTH + length)
        break;
      if (frm_decode (data + FRM_HEADER_LENGTH, length, &frame) != FRM_OK)
        {
          lnk_link_break (link, err_last ());
          return;
        }
      if (!lnk_dispatch (link, frame))
        lnk_link_break (link, err_last ());
      frm_free (frame);
      done += FRM_HEADER_LENGTH + length;
    }
  link->input.length -= done;
  if (done > 0 && link->input.length > 0)
    memmove (link->input.data, link->input.data + done, link->input.length);
}

/* Sends grants and cancels as far as the socket takes them; with the lock
   held and no other writer.  */
static void
flush_pending (struct lnk_link *link)
{
  struct buf *pending = &link->pending;
  ssize_t count;

  if (link->writing || link->broken || pending->length == 0)
    return;
  count = send (link->socket, pending->data, pending->length,
                MSG_DONTWAIT | MSG_NOSIGNAL);
  if (count <= 0)
    return;
  link->stuck_since = 0;
  pending->length -= (size_t)count;
  memmove (pending->data, pending->data + count, pending->length);
}

/* Receives once and delivers; with the lock held, which is released
   meanwhile.  */
static void
read_once (struct lnk_link *link, clk_time deadline)
{
  struct pollfd item = { .fd = link->socket, .events = POLLIN };
  ssize_t count = -1;
  int error = EAGAIN;

  flush_pending (link);
  if (link->pending.length > 0 && !link->writing)
    item.events |= POLLOUT;
  link->reading = true;
  pthread_mutex_unlock (&link->lock);
  buf_reserve (&link->input, READ_SIZE);
  if (poll (&item, 1, clk_poll_timeout (clk_now (), deadline, MAX_POLL_MS)) > 0
      && (item.revents & ~POLLOUT) != 0)
    {
      count = recv (link->socket, link->input.data + link->input.length,
                    READ_SIZE, MSG_DONTWAIT);
      error = errno;
    }
  pthread_mutex_lock (&link->lock);
  link->reading = false;
  if (count > 0)
    {
      link->input.length += (size_t)count;
      parse_input (link);
    }
  else if (count == 0)
    lnk_link_break (link, "the peer closed the link");
  else if (error != EAGAIN && error != EWOULDBLOCK && error != EINTR)
    lnk_link_break (link, strerror (error));
  flush_pending (link);
}

/* Waits until the socket takes more bytes.  Reads meanwhile, since a peer that
   cannot write may not read either.  With the lock held.  */
static void
wait_writable (struct lnk_link *link, clk_time deadline)
{
  bool read = !link->reading;
  struct pollfd item = { .fd = link->socket,
                         .events = (short)(POLLOUT | (read ? POLLIN : 0)) };
  int ready;

  pthread_mutex_unlock (&link->lock);
  ready
      = poll (&item, 1, clk_poll_timeout (clk_now (), deadline, MAX_POLL_MS));
  pthread_mutex_lock (&link->lock);
  if (ready > 0 && (item.revents & (POLLERR | POLLNVAL)) != 0)
    lnk_link_break (link, "the link failed");
  else if (ready > 0 && (item.revents & ~POLLOUT) != 0 && !link->reading)
    read_once (link, 0);
}

/* Sends OUTPUT; with the lock held and WRITING set.  Returns the bytes that
   left.  */
static size_t
send_all (struct lnk_link *link, const struct buf *output, clk_time deadline)
{
  size_t done = 0;

  while (done < output->length && !link->broken)
    {
      ssize_t count;
      int error;

      pthread_mutex_unlock (&link->lock);
      count = send (link->socket, output->data + done, output->length - done,
                    MSG_DONTWAIT | MSG_NOSIGNAL);
      error = errno;
      pthread_mutex_lock (&link->lock);
      if (count >= 0)
        done += (size_t)count;
      else if (error != EAGAIN && error != EWOULDBLOCK && error != EINTR)
        lnk_link_break (link, strerror (error));
      else if (clk_now () >= deadline)
        break;
      else
        wait_writable (link, deadline);
    }
  return done;
}

/* Waits for the turn to write; with the lock held.  */
static bool
begin_write (struct lnk_link *link, clk_time deadline)
{
  struct timespec end = clk_to_timespec (deadline);

  while (link->writing && !link->broken)
    if (pthread_cond_timedwait (&link->writable, &link->lock, &end)
        == ETIMEDOUT)
      {
        err_set ("timed out waiting to write on a link");
        return false;
      }
  if (link->broken)
    {
      err_set ("%s", link->reason);
      return false;
    }
  link->writing = true;
  return true;
}

/* Keeps what did not leave: queued frames, and the rest of a frame that has
   partly left, which must be completed before the next one.  BEFORE is the
   length of the queued frames in OUTPUT.  With the lock held.  */
static void
keep_rest (struct lnk_link *link, const struct buf *output, size_t before,
           size_t total)
{
  size_t end = total <= before ? before : output->length;
  clk_time now = clk_now ();
  struct buf rest = { 0 };

  buf_append (&rest, output->data + total, end - total);
  buf_append (&rest, link->pending.data, link->pending.length);
  buf_close (&link->pending);
  link->pending = rest;
  if (total > 0 || link->stuck_since == 0)
    link->stuck_since = now;
  else if (now - link->stuck_since > STUCK_LIMIT)
    lnk_link_break (link, "the peer takes no more bytes");
  err_set ("timed out writing to a link");
}

/* Sends OUTPUT, whose first BEFORE bytes are queued frames; with the lock held
   and WRITING set.  Sets *SENT to the bytes beyond BEFORE that left.  */
static bool
send_frame (struct lnk_link *link, struct lnk_exchange *exchange,
            const struct buf *output, size_t before, clk_time deadline,
            size_t *sent)
{
  bool first = exchange != NULL && !exchange->sending;
  size_t total;

  if (exchange != NULL)
    exchange->sending = true;
  total = send_all (link, output, deadline);
  *sent = total > before ? total - before : 0;
  if (first && *sent == 0)
    exchange->sending = false;
  if (total == output->length)
    link->stuck_since = 0;
  else if (link->broken)
    err_set ("%s", link->reason);
  else
    keep_rest (link, output, before, total);
  return total == output->length;
}

bool
lnk_link_write (struct lnk_link *link, struct lnk_exchange *exchange,
                const Mesh__Frame *frame, clk_time deadline, size_t *sent)
{
  struct buf output = { 0 };
  bool whole = false;
  size_t before;

  *sent = 0;
  pthread_mutex_lock (&link->lock);
  if (!begin_write (link, deadline))
    {
      pthread_mutex_unlock (&link->lock);
      return false;
    }
  buf_append (&output, link->pending.data, link->pending.length);
  before = output.length;
  if (frm_encode (frame, &output) == FRM_OK)
    {
      link->pending.length = 0;
      whole = send_frame (link, exchange, &output, before, deadline, sent);
    }
  link->writing = false;
  pthread_cond_signal (&link->writable);
  hand_over_reading (link);
  pthread_mutex_unlock (&link->lock);
  buf_close (&output);
  return whole;
}

bool
lnk_link_wait (struct lnk_link *link, struct lnk_exchange *exchange,
               bool for_credit, clk_time deadline)
{
  struct timespec end = clk_to_timespec (deadline);
  bool ready;

  pthread_mutex_lock (&link->lock);
  for (;;)
    {
      ready = exchange->done || (for_credit && exchange->credit > 0);
      if (ready || clk_now () >= deadline)
        break;
      if (!link->reading)
        read_once (link, deadline);
      else
        {
          exchange->waiting = true;
          pthread_cond_timedwait (&exchange->wake, &link->lock, &end);
          exchange->waiting = false;
        }
    }
  hand_over_reading (link);
  pthread_mutex_unlock (&link->lock);
  return ready;
}

void
lnk_link_cancel (struct lnk_link *link, struct lnk_exchange *exchange)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Cancel cancel = MESH__CANCEL__INIT;
  Mesh__CallId id = MESH__CALL_ID__INIT;

  id.origin = exchange->origin;
  id.number = exchange->number;
  cancel.id = &id;
  frame.body_case = MESH__FRAME__BODY_CANCEL;
  frame.cancel = &cancel;
  frm_encode (&frame, &link->pending);
  flush_pending (link);
}
