/* Deadlines of calls and links.  */

#include "gate/gate_internal.h"

#include <poll.h>

/* Waiting calls are refused at most this long after their deadline.  */
#define CALL_INTERVAL_MS 20
/* Links are looked at once in so many intervals, that is every 200 ms.  */
#define LINK_INTERVALS 10

static void
push (struct gate_call **list, struct gate_call *call)
{
  call->ready_next = *list;
  *list = call;
}

/* Returns whether a call that has not started must be refused; with the lock.
   A call that cannot end in time is refused while its sender still waits: the
   sender reports "unknown" when nothing arrives by the deadline.  */
static bool
must_refuse (const struct gate_call *call, clk_time now)
{
  if (call->state == GATE_QUEUED && call->admission != ADM_NONE)
    return !adm_can_end (call->link->gate->adm, call->admission, now);
  return call->deadline <= now;
}

/* Takes out the calls of a link that have not started; with the lock.  */
static void
withdraw_calls (struct gate_link *link, bool all, clk_time now,
                struct gate_call **list)
{
  struct gate_call *next;

  for (struct gate_call *call = link->calls; call != NULL; call = next)
    {
      next = call->next;
      if ((call->state == GATE_RECEIVING || call->state == GATE_QUEUED)
          && (all || must_refuse (call, now)))
        {
          gate_call_withdraw (call, false);
          push (list, call);
        }
      else if (call->state == GATE_ANSWERING && call->grant_until <= now)
        {
          gate_call_unlink (call);
          gate_call_free (call);
        }
    }
}

void
gate_sweep_calls (struct gate *gate, bool all, const char *reason)
{
  struct gate_call *list = NULL;
  clk_time now = clk_now ();

  pthread_mutex_lock (&gate->lock);
  for (uint32_t i = 0; i < GATE_MAX_LINKS; i++)
    if (gate->links[i] != NULL)
      withdraw_calls (gate->links[i], all, now, &list);
  pthread_mutex_unlock (&gate->lock);
  while (list != NULL)
    {
      struct gate_call *call = list;

      list = call->ready_next;
      gate_call_tell (call, reason);
    }
}

/* Returns whether a link is past one of its deadlines.  */
static bool
is_late (const struct gate_link *link, clk_time now)
{
  return now >= atomic_load (&link->frame_until)
         || now >= atomic_load (&link->write_until)
         || (now >= atomic_load (&link->idle_until) && link->calls == NULL);
}

static void
sweep_links (struct gate *gate)
{
  clk_time now = clk_now ();

  pthread_mutex_lock (&gate->lock);
  for (uint32_t i = 0; i < GATE_MAX_LINKS; i++)
    if (gate->links[i] != NULL && is_late (gate->links[i], now))
      gate_link_close (gate->links[i]);
  pthread_mutex_unlock (&gate->lock);
}

void *
gate_sweep (void *context)
{
  struct gate *gate = context;
  struct pollfd stop = { .fd = gate->stop_event, .events = POLLIN };

  for (unsigned round = 0; !atomic_load (&gate->stopping); round++)
    {
      poll (&stop, 1, CALL_INTERVAL_MS);
      gate_sweep_calls (gate, false, "the deadline passed before it started");
      if (round % LINK_INTERVALS == 0)
        sweep_links (gate);
    }
  return NULL;
}
