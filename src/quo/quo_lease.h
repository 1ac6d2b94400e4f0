/* A node's credit of one tenant: what the owner granted, what the node is
   going to need, and the floor that it uses without an owner.  Pure.

   Load that it answers: requests of a tenant that come in clumps at a few
   nodes, and a tenant whose callers come back again and again after a refusal.
   Between two replies of the owner a node decides alone.  */

#ifndef MULBERRYSHIFT_QUO_QUO_LEASE_H
#define MULBERRYSHIFT_QUO_QUO_LEASE_H

#include "base/clk.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Time from a request for credit until the credit expires.  It counts from the
   request, so that a slow frame does not make it longer.  */
#define QUO_LEASE_TIME (150 * CLK_MILLISECOND)

/* Longest time that a request waits for credit.  */
#define QUO_MAX_WAIT (100 * CLK_MILLISECOND)

/* Shortest and longest time after which a refused caller may come back.  */
#define QUO_SHORTEST_RETRY (50 * CLK_MILLISECOND)
#define QUO_LONGEST_RETRY (2 * CLK_SECOND)

/* Credits that a node asks for at once at most.  */
#define QUO_MAX_WANTED 4096u

  struct quo_lease
  {
    uint32_t credit;
    clk_time expires_at; /* of CREDIT */
    uint64_t owner;      /* that granted CREDIT; see quo_lease_grant */
    double demand;       /* arrivals, per second */
    double served;       /* requests that got credit, per second */
    clk_time measured_at;
    clk_time refused_until; /* the owner has no credit before */
    clk_time scarce_until;  /* the owner had less credit than was wanted */
    clk_time retry_until;   /* refused callers come back until then */
    double floor_credit;
    clk_time floor_at; /* 0: not used since an owner answered */
  };

  /* Counts a request that asks for credit.  */
  void quo_lease_note_arrival (struct quo_lease *lease, clk_time now);

  /* Takes one credit.  Returns false when there is none.  */
  bool quo_lease_take (struct quo_lease *lease, clk_time now);

  /* Puts back one credit of a request that did not run.  */
  void quo_lease_return (struct quo_lease *lease, clk_time now);

  /* Returns the credits to ask for when WAITING requests wait: these, or the
     demand of the next 100 ms when that is more and credit is not scarce, at
     least 1.  */
  uint32_t quo_lease_wanted (const struct quo_lease *lease, uint32_t waiting,
                             clk_time now);

  /* Takes the credit that is held from OWNER and has just expired unused, to
     be returned to it.  Returns 0 for credit that expired longer ago or is of
     another owner.  */
  uint32_t quo_lease_take_expired (struct quo_lease *lease, uint64_t owner,
                                   clk_time now);

  /* Adds CREDIT that OWNER, a number of the caller's choice, granted to a
     request for WANTED sent at ASKED_AT.  */
  void quo_lease_grant (struct quo_lease *lease, uint32_t credit,
                        uint32_t wanted, uint64_t owner, clk_time asked_at);

  /* The owner has no credit for WAIT ns.  */
  void quo_lease_refuse (struct quo_lease *lease, clk_time wait, clk_time now);

  /* Returns whether one more request behind WAITING others can get credit by
     DEADLINE, according to the owner's last reply.  */
  bool quo_lease_may_wait (const struct quo_lease *lease, uint32_t waiting,
                           double rate, clk_time deadline, clk_time now);

  /* Takes one credit of the node's floor: half of RATE / NODE_COUNT a second,
     one request deep.  UNIT, 0 to 1, is the part that is there at first after
     an owner has answered, so that the floors of all nodes do not give one
     request each at the same time.  */
  bool quo_lease_take_floor (struct quo_lease *lease, double rate,
                             size_t node_count, double unit, clk_time now);

  /* Returns the time in ns after which a refused caller may come back: when
     there will be credit for it after the callers refused before it, and a
     random part by UNIT, 0 to 1.  */
  clk_time quo_lease_retry (struct quo_lease *lease, double rate,
                            size_t node_count, double unit, clk_time now);

#ifdef __cplusplus
}
#endif

#endif
