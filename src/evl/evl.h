/* Event loop of the data path of a node: sockets, timers, and tasks that are
   deferred to the end of a loop iteration.  One thread owns a loop and
   everything on it.  A loop iteration handles all events that are ready.

   Example:

     struct evl *loop = evl_create ();
     struct evl_timer timer;

     evl_timer_init (&timer, loop, on_timer, context);
     evl_timer_set (&timer, evl_now (loop) + CLK_SECOND);
     evl_run (loop);  */

#ifndef MULBERRYSHIFT_EVL_EVL_H
#define MULBERRYSHIFT_EVL_EVL_H

#include "base/clk.h"

#include <ev.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct evl;

  typedef void (*evl_callback) (void *context);

  /* Called with EVL_READ, EVL_WRITE or both.  */
  typedef void (*evl_socket_callback) (void *context, int events);

#define EVL_READ EV_READ
#define EVL_WRITE EV_WRITE

  /* A timer of a loop.  Members are private; DEADLINE may be read.  */
  struct evl_timer
  {
    ev_timer watcher;
    struct evl *loop;
    evl_callback callback;
    void *context;
    clk_time deadline; /* CLK_NEVER while the timer is not set */
  };

  /* A socket of a loop.  Members are private.  */
  struct evl_socket
  {
    ev_io watcher;
    struct evl *loop;
    evl_socket_callback callback;
    void *context;
  };

  /* A callback for the end of the current loop iteration.  Members are
     private.  */
  struct evl_task
  {
    struct evl *loop;
    evl_callback callback;
    void *context;
    struct evl_task *next;
    bool pending;
  };

  /* Creates a loop.  Aborts when epoll is not available.  */
  struct evl *evl_create (void);

  /* Frees a loop; its sockets, timers and tasks must be stopped.  Null is
     allowed.  */
  void evl_destroy (struct evl *loop);

  /* Handles events until evl_stop is called.  */
  void evl_run (struct evl *loop);

  /* Runs one loop iteration and its tasks; waits until DEADLINE at most for
     the first event.  For tests.  */
  void evl_run_once (struct evl *loop, clk_time deadline);

  /* Runs one loop iteration and its tasks without waiting.  Returns whether it
     called a callback.  For tests.  */
  bool evl_run_ready (struct evl *loop);

  /* Adds DURATION to the time of the loop, which no longer follows the clock
     of the system afterwards.  Timers are late if it is ahead of that clock.
     For tests whose result must not depend on how long callbacks take.  */
  void evl_advance (struct evl *loop, clk_time duration);

  /* Makes evl_run return after the current loop iteration.  */
  void evl_stop (struct evl *loop);

  /* Returns the time at which the current loop iteration started.  */
  clk_time evl_now (const struct evl *loop);

  /* Initializes a timer that is not set.  */
  void evl_timer_init (struct evl_timer *timer, struct evl *loop,
                       evl_callback callback, void *context);

  /* Calls the callback once at DEADLINE, instead of at an earlier set one;
     CLK_NEVER stops the timer.  */
  void evl_timer_set (struct evl_timer *timer, clk_time deadline);

  /* Stops the timer, if it is set.  */
  void evl_timer_stop (struct evl_timer *timer);

  /* Initializes a socket for DESCRIPTOR; no events are watched yet.  */
  void evl_socket_init (struct evl_socket *socket, struct evl *loop,
                        int descriptor, evl_socket_callback callback,
                        void *context);

  /* Calls the callback while the socket is ready for any of EVENTS: EVL_READ,
     EVL_WRITE or both; 0 stops that.  */
  void evl_socket_watch (struct evl_socket *socket, int events);

  /* Initializes a task that is not scheduled.  */
  void evl_task_init (struct evl_task *task, struct evl *loop,
                      evl_callback callback, void *context);

  /* Schedules the task to run once, at the end of the current loop
     iteration.  */
  void evl_task_schedule (struct evl_task *task);

  /* Cancels the task, if it is scheduled.  */
  void evl_task_cancel (struct evl_task *task);

  /* Calls CALLBACK on the loop when the process receives signal NUMBER.  A
     signal has one callback, for the life of the loop.  */
  void evl_on_signal (struct evl *loop, int number, evl_callback callback,
                      void *context);

#ifdef __cplusplus
}
#endif

#endif
