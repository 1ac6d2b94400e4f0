/* Decides whether a call is tried again, within a token bucket.  Pure.  */

#ifndef MULBERRYSHIFT_RTY_RTY_H
#define MULBERRYSHIFT_RTY_RTY_H

#include "base/clk.h"
#include "base/rnd.h"
#include "doc/doc.h"
#include "out/out.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Retries in a chain of calls, carried in the context.  */
#define RTY_MAX_RETRIES 2

/* Token bucket of a node, in thousandths of a retry.  */
#define RTY_TOKENS_PER_RETRY 1000
#define RTY_TOKENS_PER_SUCCESS                                                \
  100 /* per success: one retry for 10 successes */
#define RTY_MAX_TOKENS (10 * RTY_TOKENS_PER_RETRY)

  /* Tokens left; start with rty_budget_init.  Any thread.  */
  struct rty_budget
  {
    int32_t tokens; /* accessed atomically */
  };

  /* What the decision depends on.  */
  struct rty_attempt
  {
    enum doc_class call_class;
    enum out_outcome outcome; /* of the last try */
    uint32_t status;          /* of the upstream's answer, when answered */
    bool link_lost;           /* the link broke after the call was sent */
    bool gate_queried;        /* the gate has reported all that it knows */
    bool retries_exhausted;   /* the answer says that retries are spent */
    bool pinned;              /* only this member may run the call */
    uint32_t retries_left;    /* of the chain */
    clk_time time_left;       /* until the call's deadline, ns */
  };

  enum rty_action
  {
    RTY_RETURN,           /* give the outcome to the caller */
    RTY_RETURN_EXHAUSTED, /* likewise, and say that retries are spent */
    RTY_RETRY_ELSEWHERE,  /* a token was taken */
    RTY_QUERY_GATE        /* ask the same gate what became of the call */
  };

  /* Fills the bucket.  */
  void rty_budget_init (struct rty_budget *budget);

  /* Adds RTY_TOKENS_PER_SUCCESS tokens for a call that was answered.  */
  void rty_budget_refill (struct rty_budget *budget);

  /* Gives back the token of a retry that found no other member.  Any
     thread.  */
  void rty_budget_refund (struct rty_budget *budget);

  /* Decides what follows a try.  Takes a token from BUDGET only when it
     returns RTY_RETRY_ELSEWHERE.  */
  enum rty_action rty_decide (const struct rty_attempt *state,
                              struct rty_budget *budget);

  /* Returns a random delay before try number TRY (2 or more), in ns.  */
  clk_time rty_backoff_delay (uint32_t try_number, struct rnd *random);

#ifdef __cplusplus
}
#endif

#endif
