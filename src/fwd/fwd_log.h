/* Log lines and metrics of the forwarder: one line a decision, with what
   decided it.  Used inside this module.  */

#ifndef MULBERRYSHIFT_FWD_FWD_LOG_H
#define MULBERRYSHIFT_FWD_FWD_LOG_H

#include "fwd/fwd_internal.h"

/* Why a call is not sent again.  */
enum fwd_denial
{
  FWD_KIND,     /* it may have run, and must not run twice */
  FWD_ATTEMPTS, /* its route allows no more upstreams */
  FWD_BUDGET    /* the budget of repeats is spent */
};

/* The call goes to PEER, where it may wait MAX_WAIT.  */
void fwd_log_placed (const struct fwd_call *call, dir_handle peer,
                     clk_time max_wait);

/* The call is not sent, as its tenant is over its share at the gates; that of
   PEER has the shortest wait.  */
void fwd_log_over_share (const struct fwd_call *call, dir_handle peer);

/* PEER's gate did not run the call.  */
void fwd_log_refusal (const struct fwd_call *call, dir_handle peer,
                      enum gat_refusal refusal);

/* Counts the end of an attempt.  */
void fwd_count_end (const struct fwd_call *call, enum fwd_end end);

/* PEER's answer will not come.  */
void fwd_log_lost (const struct fwd_call *call, dir_handle peer,
                   const char *reason);

/* PEER does not answer, and the call is sent to another node too.  */
void fwd_log_silent (const struct fwd_call *call, dir_handle peer);

/* The call is sent again, or not.  */
void fwd_log_repeated (const struct fwd_call *call);
void fwd_log_denied (const struct fwd_call *call, enum fwd_denial denial);

/* PEER's upstream has answered with the failure STATUS, which is kept as long
   as another attempt may succeed.  */
void fwd_log_kept (const struct fwd_call *call, dir_handle peer,
                   unsigned status);

/* The caller got the answer of PEER's upstream, or one of this node's own, or
   has left.  */
void fwd_log_answered (const struct fwd_call *call, dir_handle peer,
                       unsigned status);
void fwd_log_failed (const struct fwd_call *call, unsigned status,
                     const char *reason, clk_time retry_after);
void fwd_log_gone (const struct fwd_call *call);

/* The account of memory has no room for the answer to an attempt.  */
void fwd_log_short (const struct fwd_call *call,
                    const struct fwd_try *attempt);

#endif
