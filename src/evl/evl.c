/* Event loop, based on libev.  */

#include "evl/evl.h"

#include "base/mem.h"

#include <stdio.h>
#include <stdlib.h>

/* Most signals that a loop can watch.  */
#define MAX_SIGNALS 4

/* A watched signal.  */
struct signal_watch
{
  ev_signal watcher;
  evl_callback callback;
  void *context;
};

struct evl
{
  struct ev_loop *events;
  ev_check check_watcher;
  ev_prepare prepare_watcher;
  clk_time now;
  bool time_is_manual;     /* NOW changes by evl_advance only */
  uint64_t callback_count; /* callbacks of sockets, timers and tasks so far */
  struct evl_task *first_task;
  struct evl_task **last_task;
  struct signal_watch signals[MAX_SIGNALS];
  size_t signal_count;
};

/* Stores the time of a loop iteration, before the callbacks of its events.  */
static void
on_check (struct ev_loop *events, ev_check *watcher, int revents)
{
  struct evl *loop = watcher->data;

  (void)events;
  (void)revents;
  if (!loop->time_is_manual)
    loop->now = clk_now ();
}

static void
run_tasks (struct evl *loop)
{
  while (loop->first_task != NULL)
    {
      struct evl_task *task = loop->first_task;

      loop->first_task = task->next;
      if (loop->first_task == NULL)
        loop->last_task = &loop->first_task;
      task->pending = false;
      loop->callback_count++;
      task->callback (task->context);
    }
}

/* Runs the tasks of a loop iteration, after its callbacks and before the next
   wait.  */
static void
on_prepare (struct ev_loop *events, ev_prepare *watcher, int revents)
{
  (void)events;
  (void)revents;
  run_tasks (watcher->data);
}

struct evl *
evl_create (void)
{
  struct evl *loop = mem_alloc (1, sizeof *loop);

  loop->events = ev_loop_new (EVBACKEND_EPOLL | EVFLAG_NOENV);
  if (loop->events == NULL)
    {
      fprintf (stderr,
               "cannot create an event loop: epoll is not available\n");
      abort ();
    }
  loop->now = clk_now ();
  loop->last_task = &loop->first_task;
  ev_check_init (&loop->check_watcher, on_check);
  ev_set_priority (&loop->check_watcher, EV_MAXPRI);
  loop->check_watcher.data = loop;
  ev_check_start (loop->events, &loop->check_watcher);
  ev_prepare_init (&loop->prepare_watcher, on_prepare);
  loop->prepare_watcher.data = loop;
  ev_prepare_start (loop->events, &loop->prepare_watcher);
  return loop;
}

void
evl_destroy (struct evl *loop)
{
  if (loop == NULL)
    return;
  for (size_t i = 0; i < loop->signal_count; i++)
    ev_signal_stop (loop->events, &loop->signals[i].watcher);
  ev_loop_destroy (loop->events);
  free (loop);
}

void
evl_run (struct evl *loop)
{
  ev_run (loop->events, 0);
}

void
evl_run_once (struct evl *loop, clk_time deadline)
{
  struct evl_timer timeout;

  evl_timer_init (&timeout, loop, NULL, NULL);
  evl_timer_set (&timeout, deadline);
  ev_run (loop->events, EVRUN_ONCE);
  evl_timer_stop (&timeout);
  run_tasks (loop);
}

bool
evl_run_ready (struct evl *loop)
{
  uint64_t count_before = loop->callback_count;

  ev_run (loop->events, EVRUN_NOWAIT);
  run_tasks (loop);
  return loop->callback_count != count_before;
}

void
evl_advance (struct evl *loop, clk_time duration)
{
  loop->time_is_manual = true;
  loop->now += duration;
}

void
evl_stop (struct evl *loop)
{
  ev_break (loop->events, EVBREAK_ALL);
}

clk_time
evl_now (const struct evl *loop)
{
  return loop->now;
}

static void
on_timer (struct ev_loop *events, ev_timer *watcher, int revents)
{
  struct evl_timer *timer = watcher->data;

  (void)events;
  (void)revents;
  if (timer->deadline > timer->loop->now)
    {
      evl_timer_set (timer, timer->deadline);
      return;
    }
  timer->deadline = CLK_NEVER;
  if (timer->callback == NULL)
    return;
  timer->loop->callback_count++;
  timer->callback (timer->context);
}

void
evl_timer_init (struct evl_timer *timer, struct evl *loop,
                evl_callback callback, void *context)
{
  ev_timer_init (&timer->watcher, on_timer, 0., 0.);
  timer->watcher.data = timer;
  timer->loop = loop;
  timer->callback = callback;
  timer->context = context;
  timer->deadline = CLK_NEVER;
}

void
evl_timer_set (struct evl_timer *timer, clk_time deadline)
{
  struct evl *loop = timer->loop;
  double delay = 0;

  ev_timer_stop (loop->events, &timer->watcher);
  timer->deadline = deadline;
  if (deadline == CLK_NEVER)
    return;
  if (deadline > loop->now)
    delay = (double)(deadline - loop->now) / (double)CLK_SECOND;
  ev_timer_set (&timer->watcher, delay, 0.);
  ev_timer_start (loop->events, &timer->watcher);
}

void
evl_timer_stop (struct evl_timer *timer)
{
  if (timer->loop != NULL)
    evl_timer_set (timer, CLK_NEVER);
}

static void
on_socket (struct ev_loop *events, ev_io *watcher, int revents)
{
  struct evl_socket *socket = watcher->data;

  (void)events;
  socket->loop->callback_count++;
  socket->callback (socket->context, revents & (EVL_READ | EVL_WRITE));
}

void
evl_socket_init (struct evl_socket *socket, struct evl *loop, int descriptor,
                 evl_socket_callback callback, void *context)
{
  ev_io_init (&socket->watcher, on_socket, descriptor, 0);
  socket->watcher.data = socket;
  socket->loop = loop;
  socket->callback = callback;
  socket->context = context;
}

void
evl_socket_watch (struct evl_socket *socket, int events)
{
  struct ev_loop *loop = socket->loop->events;

  if (ev_is_active (&socket->watcher)
      && (socket->watcher.events & (EVL_READ | EVL_WRITE)) == events)
    return;
  ev_io_stop (loop, &socket->watcher);
  if (events == 0)
    return;
  ev_io_set (&socket->watcher, socket->watcher.fd, events);
  ev_io_start (loop, &socket->watcher);
}

void
evl_task_init (struct evl_task *task, struct evl *loop, evl_callback callback,
               void *context)
{
  *task = (struct evl_task){ .loop = loop,
                             .callback = callback,
                             .context = context };
}

void
evl_task_schedule (struct evl_task *task)
{
  struct evl *loop = task->loop;

  if (task->pending)
    return;
  task->pending = true;
  task->next = NULL;
  *loop->last_task = task;
  loop->last_task = &task->next;
}

void
evl_task_cancel (struct evl_task *task)
{
  struct evl_task **position;

  if (!task->pending)
    return;
  task->pending = false;
  for (position = &task->loop->first_task; *position != task;
       position = &(*position)->next)
    ;
  *position = task->next;
  if (task->loop->last_task == &task->next)
    task->loop->last_task = position;
}

static void
on_signal (struct ev_loop *events, ev_signal *watcher, int revents)
{
  const struct signal_watch *watch = watcher->data;

  (void)events;
  (void)revents;
  watch->callback (watch->context);
}

void
evl_on_signal (struct evl *loop, int number, evl_callback callback,
               void *context)
{
  struct signal_watch *watch = &loop->signals[loop->signal_count++];

  if (loop->signal_count > MAX_SIGNALS)
    abort ();
  ev_signal_init (&watch->watcher, on_signal, number);
  watch->watcher.data = watch;
  watch->callback = callback;
  watch->context = context;
  ev_signal_start (loop->events, &watch->watcher);
}
