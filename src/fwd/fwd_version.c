/* Versions of a service's upstreams during a roll-out; see rol_split.h.  */

#include "fwd/fwd_internal.h"

#include <string.h>

/* Part of the time to the target for which a call on trial may wait.  */
#define TRIAL_PART 10

void
fwd_choose_side (struct fwd_call *call)
{
  struct rol *rollouts = call->forwarder->parts.rollouts;

  if (rollouts == NULL)
    return;
  call->side = call->is_placed ? rol_place_again (rollouts, call->service)
                               : rol_begin_call (rollouts, call->service);
  call->is_placed = true;
}

bool
fwd_change_side (struct fwd_call *call)
{
  enum rol_side before = call->side;

  if (before != ROL_NEW)
    return false;
  call->side
      = rol_find_no_room (call->forwarder->parts.rollouts, call->service);
  return call->side != before;
}

clk_time
fwd_limit_wait (const struct fwd_call *call, clk_time max_wait)
{
  clk_time limit
      = (call->target - evl_now (call->forwarder->parts.loop)) / TRIAL_PART;

  if (call->side != ROL_NEW || max_wait <= limit
      || !rol_may_turn_back (call->forwarder->parts.rollouts, call->service,
                             call->side))
    return max_wait;
  return limit > 0 ? limit : 0;
}

bool
fwd_allows (const struct fwd_call *call, dir_handle peer)
{
  return call->side == ROL_ANY
         || rol_allows (call->forwarder->parts.rollouts, call->service,
                        call->side, peer);
}

void
fwd_count_answer (const struct fwd_call *call, dir_handle peer, bool bad)
{
  struct rol *rollouts = call->forwarder->parts.rollouts;

  if (rollouts != NULL)
    rol_count_answer (rollouts, call->service, peer, bad);
}

/* Returns whether an attempt is under way to an upstream whose version is not
   VERSION.  */
static bool
is_at_other_version (const struct fwd *forwarder,
                     const struct fwd_try *attempt, const char *version)
{
  const struct mbr_member *member
      = dir_get (forwarder->parts.directory, attempt->peer);

  return attempt->number != 0 && member != NULL
         && strcmp (member->version, version) != 0;
}

static bool
has_other_version (const struct fwd_call *call, const char *version)
{
  for (unsigned i = 0; i < FWD_MAX_TRIES; i++)
    if (is_at_other_version (call->forwarder, &call->tries[i], version))
      return true;
  return false;
}

size_t
fwd_count_other_calls (const struct fwd *forwarder, const char *service,
                       const char *version)
{
  size_t count = 0;

  for (const struct fwd_call *call = fwd_call_at (forwarder->calls.first);
       call != NULL; call = fwd_call_at (call->list.next))
    if (fwd_is_under_way (call) && strcmp (call->service, service) == 0
        && has_other_version (call, version))
      count++;
  return count;
}
