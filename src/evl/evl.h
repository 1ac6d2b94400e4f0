/* Event loop of a node's data path: sockets, deadlines and work that is put
   off to the end of a round.  One thread owns a loop and everything on it.

   Example:

     struct evl *loop = evl_create ();
     struct evl_timer timer;

     evl_timer_init (&timer, loop, on_time, context);
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

  /* A deadline on a loop.  Members are private.  */
  struct evl_timer
  {
    ev_timer watcher;
    struct evl *loop;
    evl_callback callback;
    void *context;
    clk_time deadline; /* CLK_NEVER while the timer is not set */
  };

  /* A socket on a loop.  Members are private.  */
  struct evl_socket
  {
    ev_io watcher;
    struct evl *loop;
    evl_socket_callback callback;
    void *context;
  };

  /* Work for the end of the current round.  Members are private.  */
  struct evl_task
  {
    struct evl *loop;
    evl_callback callback;
    void *context;
    struct evl_task *next;
    bool pending;
  };

  /* Creates a loop.  Aborts when the system has no poll mechanism.  */
  struct evl *evl_create (void);

  /* Frees a loop; its sockets, timers and tasks must be stopped.  */
  void evl_destroy (struct evl *loop);

  /* Handles events until evl_stop.  */
  void evl_run (struct evl *loop);

  /* Handles what is ready and due now and returns; waits at most until
     DEADLINE for the first event.  For tests.  */
  void evl_run_once (struct evl *loop, clk_time deadline);

  /* Makes evl_run return after the current round.  */
  void evl_stop (struct evl *loop);

  /* Returns the time at which the current round started.  */
  clk_time evl_now (const struct evl *loop);

  /* Prepares a timer that is not set.  */
  void evl_timer_init (struct evl_timer *timer, struct evl *loop,
                       evl_callback action, void *context);

  /* Sets or moves the deadline; CLK_NEVER stops the timer.  */
  void evl_timer_set (struct evl_timer *timer, clk_time deadline);

  /* Stops the timer.  */
  void evl_timer_stop (struct evl_timer *timer);

  /* Prepares the watch of DESCRIPTOR, without events.  */
  void evl_socket_init (struct evl_socket *socket, struct evl *loop,
                        int descriptor, evl_socket_callback ready,
                        void *context);

  /* Watches for EVENTS; 0 stops the watch.  */
  void evl_socket_watch (struct evl_socket *socket, int events);

  /* Prepares a task that is not pending.  */
  void evl_task_init (struct evl_task *task, struct evl *loop,
                      evl_callback action, void *context);

  /* Runs the task once at the end of the current round.  */
  void evl_task_schedule (struct evl_task *task);

  /* Takes back a pending task.  */
  void evl_task_cancel (struct evl_task *task);

  /* Calls ACTION on the loop when the process gets signal NUMBER.  One action
     a signal; it stays for the life of the loop.  */
  void evl_on_signal (struct evl *loop, int number, evl_callback action,
                      void *context);

#ifdef __cplusplus
}
#endif

#endif
