/* Writer of log lines.  */

#include "base/lgw.h"

#include "base/buf.h"
#include "base/clk.h"
#include "base/thr.h"

#include <errno.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Most bytes that are buffered for a slow reader.  */
#define MAX_PENDING_BYTES (256u * 1024u)

/* Lines are written in batches: the thread writes when this many bytes are
   pending, or else at the end of the interval.  */
#define WAKE_BYTES (16u * 1024u)
#define WRITE_INTERVAL (250 * CLK_MILLISECOND)

/* Longest time for which lgw_stop waits for a slow reader.  */
#define STOP_TIMEOUT (330 * CLK_MILLISECOND)

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t wake;
  pthread_cond_t done;
  pthread_t thread;
  struct buf pending;
  unsigned dropped; /* lines since the last write, because PENDING was full */
  bool running;     /* the thread exists and was not joined */
  bool stopping;    /* the thread is to end when nothing is pending */
  bool ended;       /* the thread has ended */
} writer = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* Writes all of LINES to standard output; gives up after a write error, such
   as a reader that has closed the pipe.  */
static void
write_all (const struct buf *lines)
{
  size_t at = 0;

  while (at < lines->length)
    {
      ssize_t count
          = write (STDOUT_FILENO, lines->data + at, lines->length - at);

      if (count < 0 && errno != EINTR)
        return;
      if (count > 0)
        at += (size_t)count;
    }
}

/* Waits until lines are to be written.  Returns false when the thread is to
   end.  The caller holds the lock.  */
static bool
wait_for_lines (void)
{
  clk_time deadline = clk_now () + WRITE_INTERVAL;

  while (!writer.stopping && writer.pending.length < WAKE_BYTES
         && clk_now () < deadline)
    {
      struct timespec until = clk_to_timespec (deadline);

      if (writer.pending.length == 0)
        {
          pthread_cond_wait (&writer.wake, &writer.lock);
          deadline = clk_now () + WRITE_INTERVAL;
        }
      else
        pthread_cond_timedwait (&writer.wake, &writer.lock, &until);
    }
  return !writer.stopping || writer.pending.length > 0;
}

static void
append_dropped_message (struct buf *lines, unsigned dropped)
{
  if (dropped > 0)
    buf_printf (lines,
                "{\"level\":\"warning\",\"module\":\"log\",\"message\":"
                "\"log lines were dropped because standard output is read too "
                "slowly\",\"dropped\":%u}\n",
                dropped);
}

static void *
run (void *context)
{
  struct buf lines = { 0 };

  pthread_mutex_lock (&writer.lock);
  while (wait_for_lines ())
    {
      unsigned dropped = writer.dropped;

      lines = writer.pending;
      buf_init (&writer.pending);
      writer.dropped = 0;
      pthread_mutex_unlock (&writer.lock);
      append_dropped_message (&lines, dropped);
      write_all (&lines);
      buf_close (&lines);
      pthread_mutex_lock (&writer.lock);
    }
  writer.ended = true;
  pthread_cond_signal (&writer.done);
  pthread_mutex_unlock (&writer.lock);
  return context;
}

/* Continues to use the thread of an earlier lgw_start, which a slow reader has
   kept from ending.  Returns false when the thread has ended since.  */
static bool
reuse_thread (void)
{
  bool ended;

  pthread_mutex_lock (&writer.lock);
  ended = writer.ended;
  writer.stopping = false;
  pthread_mutex_unlock (&writer.lock);
  if (ended)
    pthread_join (writer.thread, NULL);
  return !ended;
}

void
lgw_start (void)
{
  if (writer.running && reuse_thread ())
    return;
  clk_init_condition (&writer.wake);
  clk_init_condition (&writer.done);
  writer.stopping = false;
  writer.ended = false;
  writer.running = true;
  thr_start (&writer.thread, run, NULL);
}

void
lgw_add (const char *line, size_t length)
{
  bool wake;

  pthread_mutex_lock (&writer.lock);
  if (writer.pending.length + length > MAX_PENDING_BYTES)
    {
      writer.dropped++;
      pthread_mutex_unlock (&writer.lock);
      return;
    }
  /* The thread waits without a timeout only while nothing is pending.  */
  wake = writer.pending.length == 0;
  buf_append (&writer.pending, line, length);
  wake = wake || writer.pending.length >= WAKE_BYTES;
  if (wake)
    pthread_cond_signal (&writer.wake);
  pthread_mutex_unlock (&writer.lock);
}

void
lgw_stop (void)
{
  clk_time deadline = clk_now () + STOP_TIMEOUT;
  struct timespec until = clk_to_timespec (deadline);

  if (!writer.running)
    return;
  pthread_mutex_lock (&writer.lock);
  writer.stopping = true;
  pthread_cond_signal (&writer.wake);
  while (!writer.ended && clk_now () < deadline)
    pthread_cond_timedwait (&writer.done, &writer.lock, &until);
  writer.running = !writer.ended;
  pthread_mutex_unlock (&writer.lock);
  if (!writer.running)
    pthread_join (writer.thread, NULL);
}
