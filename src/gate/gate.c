/* Gate: start, event loop, stop.

   All sockets are in one epoll instance, served by a pool of threads.  An
   event is armed for one thread at a time; that thread reads what has come,
   arms the event again, and then runs a call that it read itself.  A call
   without a free slot waits in the admission table and holds no thread; the
   thread that frees a slot runs it.  At most thread_count - GATE_READERS calls
   run at a time, so some threads always read frames.  */

#include "base/mem.h"
#include "gate/gate_internal.h"

#include "base/err.h"
#include "base/log.h"
#include "base/thr.h"

#include <fcntl.h>
#include <linux/sockios.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

/* Part of the queue that "once" calls alone may take.  */
#define ONCE_RESERVE_SHARE 4

/* Epoll data that is not a link's; links have a generation above 0.  */
#define EVENT_LISTENER 1
#define EVENT_READY 2
#define EVENT_STOP 3

static void
handle_event (struct gate *gate, const struct epoll_event *event,
              struct up_client *client)
{
  uint64_t count;
  struct gate_link *link;

  if (event->data.u64 == EVENT_LISTENER)
    gate_accept (gate);
  else if (event->data.u64 == EVENT_READY)
    {
      if (read (gate->ready_event, &count, sizeof count) < 0)
        return;
    }
  else
    {
      link = gate_link_get (gate, event->data.u64);
      if (link == NULL)
        return;
      if ((event->data.u64 & 1) != 0)
        gate_link_flush (link);
      else
        gate_link_read (link);
      pthread_mutex_lock (&gate->lock);
      gate_link_drop (link);
      pthread_mutex_unlock (&gate->lock);
    }
  gate_run_ready (gate, client);
}

static void *
serve (void *context)
{
  struct gate *gate = context;
  struct up_client *client = up_create ();
  struct epoll_event event;

  while (!atomic_load (&gate->stopping))
    if (epoll_wait (gate->epoll, &event, 1, -1) == 1
        && event.data.u64 != EVENT_STOP)
      handle_event (gate, &event, client);
  up_destroy (client);
  return NULL;
}

static void
watch (struct gate *gate, int descriptor, uint32_t events, uint64_t data)
{
  struct epoll_event event = { .events = events };

  event.data.u64 = data;
  if (epoll_ctl (gate->epoll, EPOLL_CTL_ADD, descriptor, &event) != 0)
    abort ();
}

static void
open_descriptors (struct gate *gate)
{
  gate->epoll = epoll_create1 (EPOLL_CLOEXEC);
  gate->ready_event = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK | EFD_SEMAPHORE);
  gate->stop_event = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (gate->epoll < 0 || gate->ready_event < 0 || gate->stop_event < 0)
    abort ();
  fcntl (gate->listener, F_SETFL,
         fcntl (gate->listener, F_GETFL) | O_NONBLOCK);
  watch (gate, gate->listener, EPOLLIN, EVENT_LISTENER);
  watch (gate, gate->ready_event, EPOLLIN, EVENT_READY);
  watch (gate, gate->stop_event, EPOLLIN, EVENT_STOP);
}

static void
create_tables (struct gate *gate)
{
  int64_t queue = gate->settings->gate_queue_capacity;
  struct out_limits outcomes = { OUT_TABLE_ENTRIES, OUT_MAX_ANSWERS };

  if (queue > ADM_MAX_QUEUED)
    queue = ADM_MAX_QUEUED;
  gate->limits = (struct adm_limits){
    .slots = 1,
    .queue = (uint32_t)queue,
    .once_reserve = (uint32_t)queue / ONCE_RESERVE_SHARE,
    .preference = { DOC_AT_MOST_ONCE, DOC_IDEMPOTENT },
  };
  gate->adm = adm_create (&gate->limits);
  gate->outcomes = out_table_create (&outcomes);
  gate->keys[DOC_KEY_STORE_MEMORY] = key_open_memory (KEY_MEMORY_ENTRIES);
  if (gate->hooks.platform.open != NULL)
    gate->keys[DOC_KEY_STORE_PLATFORM] = key_open_platform (
        gate->settings->environment, &gate->hooks.platform);
  gate->ready_end = &gate->ready;
  gate->meters = gate_meters_create ();
}

static void
start_threads (struct gate *gate)
{
  int64_t count = gate->settings->gate_threads;

  if (count < GATE_READERS + 1)
    count = GATE_READERS + 1;
  gate->thread_count = (size_t)count;
  gate->threads = mem_alloc (gate->thread_count, sizeof *gate->threads);
  for (size_t i = 0; i < gate->thread_count; i++)
    thr_start (&gate->threads[i], serve, gate);
  thr_start (&gate->sweeper, gate_sweep, gate);
}

enum gate_status
gate_create (const struct cfg_settings *settings, uint64_t incarnation,
             struct up_lease *lease, const struct gate_hooks *hooks,
             struct gate **gate)
{
  struct gate *result = mem_alloc (1, sizeof *result);

  *gate = NULL;
  result->settings = settings;
  result->incarnation = incarnation;
  result->mesh
      = XXH3_64bits (settings->environment, strlen (settings->environment));
  result->lease = lease;
  result->hooks = *hooks;
  result->listener = net_listen (settings->mesh_address);
  if (result->listener < 0)
    {
      free (result);
      return GATE_NO_LISTENER;
    }
  pthread_mutex_init (&result->lock, NULL);
  create_tables (result);
  open_descriptors (result);
  start_threads (result);
  *gate = result;
  return GATE_OK;
}

void
gate_leave (struct gate *gate)
{
  atomic_store (&gate->leaving, true);
  gate_sweep_calls (gate, true, "this node is shutting down");
}

/* Returns whether bytes of a link wait here or are not acknowledged by the
   peer's system.  Closing a socket that has unread input, such as a window
   grant, resets the connection and drops what is still on its way.  */
static bool
has_output (const struct gate_link *link)
{
  int unsent = 0;

  return atomic_load (&link->write_until) != CLK_NEVER
         || (ioctl (link->socket, SIOCOUTQ, &unsent) == 0 && unsent > 0);
}

size_t
gate_in_progress (struct gate *gate)
{
  size_t count;

  pthread_mutex_lock (&gate->lock);
  count = gate->calls;
  for (uint32_t i = 0; i < GATE_MAX_LINKS; i++)
    if (gate->links[i] != NULL && has_output (gate->links[i]))
      count++;
  pthread_mutex_unlock (&gate->lock);
  return count;
}

/* Closes all links.  Calls that run are aborted: a node that drains has none
   left.  */
static void
close_links (struct gate *gate)
{
  pthread_mutex_lock (&gate->lock);
  for (uint32_t i = 0; i < GATE_MAX_LINKS; i++)
    if (gate->links[i] != NULL)
      {
        for (struct gate_call *call = gate->links[i]->calls; call != NULL;
             call = call->next)
          if (call->client != NULL)
            up_cancel (call->client);
        gate_link_close (gate->links[i]);
      }
  pthread_mutex_unlock (&gate->lock);
}

/* Frees the calls that waited for a thread when the gate stopped.  */
static void
free_ready (struct gate *gate)
{
  pthread_mutex_lock (&gate->lock);
  while (gate->ready != NULL)
    {
      struct gate_call *call = gate->ready;

      gate->ready = call->ready_next;
      gate_call_free (call);
    }
  pthread_mutex_unlock (&gate->lock);
}

void
gate_destroy (struct gate *gate)
{
  uint64_t one = 1;

  if (gate == NULL)
    return;
  atomic_store (&gate->leaving, true);
  atomic_store (&gate->stopping, true);
  if (write (gate->stop_event, &one, sizeof one) < 0)
    abort ();
  close_links (gate);
  for (size_t i = 0; i < gate->thread_count; i++)
    pthread_join (gate->threads[i], NULL);
  pthread_join (gate->sweeper, NULL);
  close_links (gate);
  free_ready (gate);
  close (gate->listener);
  close (gate->epoll);
  close (gate->ready_event);
  close (gate->stop_event);
  adm_destroy (gate->adm);
  out_table_destroy (gate->outcomes);
  key_close (&gate->keys[DOC_KEY_STORE_MEMORY]);
  key_close (&gate->keys[DOC_KEY_STORE_PLATFORM]);
  gate_meters_destroy (gate->meters);
  pthread_mutex_destroy (&gate->lock);
  free (gate->threads);
  free (gate);
}
