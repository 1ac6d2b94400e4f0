/* Balancer: chooses a member for a call from this node's own observations.
   Load and health that members report of themselves are not an input.

   Pure but for one lock: one mutex guards the whole table.  A choice holds it
   for some 100 ns, so at 2,000 calls/s it is held less than 0.1 % of the time;
   per-member atomics would need several consistent reads and gain nothing.  */

#ifndef MULBERRYSHIFT_BAL_BAL_H
#define MULBERRYSHIFT_BAL_BAL_H

#include "base/clk.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Members observed at most; the one unused for longest is replaced.  */
#define BAL_MAX_MEMBERS 4096

/* A new or returning member gets its full share after this time.  */
#define BAL_RAMP (10 * CLK_SECOND)

/* Returned by bal_choose and bal_owner when there is no member.  */
#define BAL_NONE UINT32_MAX

  /* A member that may serve a call.  Lower LOCALITY is nearer.  */
  struct bal_candidate
  {
    uint64_t key;  /* bal_key of name and incarnation */
    uint64_t name; /* bal_key of the name and 0, for bal_owner */
    uint8_t locality;
    bool suspect; /* chosen only when no alive candidate is usable */
    bool usable;  /* false: leaving or dead; counted by bal_owner only */
  };

  /* How one try ended.  */
  enum bal_result
  {
    BAL_SERVED,
    BAL_REFUSED, /* reported as not run by the member's gate */
    BAL_FAILED   /* no connection, no whole answer, or an upstream error */
  };

  /* Mechanisms that tests switch off; all false in the program.  */
  struct bal_options
  {
    bool no_ejection;
    bool no_ejection_bound;
    bool no_slow_start;
    bool no_latency;
  };

  struct bal;

  /* Creates an empty table.  SEED starts the random choices.  */
  struct bal *bal_create (uint64_t seed, const struct bal_options *options);

  /* Frees the table.  */
  void bal_destroy (struct bal *bal);

  /* Returns the key of a member; a restarted member has another one.  */
  uint64_t bal_key (const char *name, uint64_t incarnation);

  /* Chooses one of COUNT candidates, which are sorted by locality, and counts
     a call as outstanding there; end it with bal_finish.  Candidates with a
     key in TRIED are passed over.  Order of preference: alive and not ejected,
     nearer localities first; suspects; ejected ones, the next to return
     first.  Returns BAL_NONE when every candidate was tried.  Any thread.  */
  uint32_t bal_choose (struct bal *bal, const struct bal_candidate *candidates,
                       uint32_t count, const uint64_t *tried,
                       uint32_t tried_count, clk_time now);

  /* Counts a call as outstanding at the member of KEY, without a choice.  */
  void bal_start (struct bal *bal, uint64_t key, clk_time now);

  /* Ends a call that CANDIDATES[CHOSEN] was chosen for, after ELAPSED ns.  May
     eject the member, never more than half of CANDIDATES at a time.  */
  void bal_finish (struct bal *bal, const struct bal_candidate *candidates,
                   uint32_t count, uint32_t chosen, enum bal_result result,
                   clk_time elapsed, clk_time now);

  /* Returns whether the member of KEY is ejected at NOW.  */
  bool bal_is_ejected (struct bal *bal, uint64_t key, clk_time now);

  /* Returns the owner of an order key by rendezvous hashing over the names of
     all candidates, usable or not, so that it changes only when the set of
     known members does.  BAL_NONE when COUNT is 0.  Pure.  */
  uint32_t bal_owner (const struct bal_candidate *candidates, uint32_t count,
                      const char *order_key);

#ifdef __cplusplus
}
#endif

#endif
