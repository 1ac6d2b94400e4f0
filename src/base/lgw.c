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

/* Bytes that may wait for the reader.  */
#define CAPACITY (256u * 1024u)

/* Lines are written together: this many bytes wake the thread at once, fewer
   wait for the next interval.  */
#define WAKE_LENGTH (16u * 1024u)
#define INTERVAL (250 * CLK_MILLISECOND)

/* How long a process that ends waits for the reader.  */
#define STOP_PATIENCE (330 * CLK_MILLISECOND)

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t wake;
  pthread_cond_t done;
  pthread_t thread;
  struct buf pending;
  unsigned dropped; /* lines, for lack of room */
  bool running;
  bool stopping;
  bool ended;
} writer = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* Writes all of a buffer; a reader that has gone ends it.  */
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

/* Waits until there is something to write.  Returns false at the end.  The
   lock is held.  */
static bool
wait_for_lines (void)
{
  clk_time deadline = clk_now () + INTERVAL;

  while (!writer.stopping && writer.pending.length < WAKE_LENGTH
         && clk_now () < deadline)
    {
      struct timespec until = clk_to_timespec (deadline);

      if (writer.pending.length == 0)
        {
          pthread_cond_wait (&writer.wake, &writer.lock);
          deadline = clk_now () + INTERVAL;
        }
      else
        pthread_cond_timedwait (&writer.wake, &writer.lock, &until);
    }
  return !writer.stopping || writer.pending.length > 0;
}

static void
add_drop_line (struct buf *lines, unsigned dropped)
{
  if (dropped > 0)
    buf_printf (lines,
                "{\"level\":\"warning\",\"module\":\"log\",\"message\":"
                "\"lines were dropped\",\"dropped\":%u}\n",
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
      add_drop_line (&lines, dropped);
      write_all (&lines);
      buf_close (&lines);
      pthread_mutex_lock (&writer.lock);
    }
  writer.ended = true;
  pthread_cond_signal (&writer.done);
  pthread_mutex_unlock (&writer.lock);
  return context;
}

/* Uses the thread of an earlier start, which its reader has kept from ending.
   Returns false when it has ended since.  */
static bool
resume (void)
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
  if (writer.running && resume ())
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
  if (writer.pending.length + length > CAPACITY)
    {
      writer.dropped++;
      pthread_mutex_unlock (&writer.lock);
      return;
    }
  /* The thread sleeps without a deadline only while nothing is pending.  */
  wake = writer.pending.length == 0;
  buf_append (&writer.pending, line, length);
  wake = wake || writer.pending.length >= WAKE_LENGTH;
  if (wake)
    pthread_cond_signal (&writer.wake);
  pthread_mutex_unlock (&writer.lock);
}

void
lgw_stop (void)
{
  clk_time deadline = clk_now () + STOP_PATIENCE;
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
