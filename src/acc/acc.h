/* Account of the memory that a process holds for callers: responses that were
   not sent yet, responses that arrive in parts, requests that were read ahead,
   bodies of requests, and replies that are queued on links.  Its limits are
   parts of the memory that the process may use, so that their sum and the rest
   of the process stay within it.

   Unsent responses and parts of responses share one limit, because the parts
   become a response.  When bytes do not fit, connections whose callers read
   too slowly are closed through a hook.  Designed for 8,192 connections and
   2,000 changes a second; a change takes constant time as long as it fits.

   Pure apart from the hook.

   Example:

     acc_init (&account, memory_bytes);
     if (acc_take (&account, ACC_UNSENT, length))
       ...
     acc_return (&account, ACC_UNSENT, length);  */

#ifndef MULBERRYSHIFT_ACC_ACC_H
#define MULBERRYSHIFT_ACC_ACC_H

#include "htp/htp.h"

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  enum acc_kind
  {
    ACC_UNSENT,     /* responses that were not sent yet */
    ACC_PARTIAL,    /* responses of which parts have arrived */
    ACC_READ_AHEAD, /* requests behind an unanswered one */
    ACC_KIND_COUNT
  };

  /* Largest sizes, in bytes.  */
  struct acc_limits
  {
    size_t caller_bodies;  /* bodies of requests that callers send */
    size_t gate_bodies;    /* bodies of the calls at the gate */
    size_t gate_responses; /* responses that the gate reads */
    size_t answers;        /* ACC_UNSENT and ACC_PARTIAL together */
    size_t read_ahead;     /* ACC_READ_AHEAD */
    size_t replies;        /* replies that are queued on links */
  };

  /* Closes the connection whose unsent response has made no progress for the
     longest time, and returns its bytes to the account.  Returns false when no
     connection can be closed.  */
  typedef bool (*acc_close_slowest) (void *context);

  struct acc
  {
    struct acc_limits limits;
    size_t used[ACC_KIND_COUNT];
    struct htp_budget caller_bodies;
    acc_close_slowest close_slowest; /* null: none */
    void *context;
  };

  /* Initializes an empty account for a process that may use MEMORY bytes.  */
  void acc_init (struct acc *account, size_t memory);

  /* Returns the limits for MEMORY bytes.  */
  struct acc_limits acc_limits_of (size_t memory);

  /* Returns whether LENGTH more bytes of KIND fit now.  Long answers leave a
     reserve for short ones.  */
  bool acc_fits (const struct acc *account, enum acc_kind kind, size_t length);

  /* Takes LENGTH bytes.  Closes slow connections until they fit.  Returns
     false and takes nothing when they do not fit even then.  */
  bool acc_take (struct acc *account, enum acc_kind kind, size_t length);

  /* Gives LENGTH bytes back.  */
  void acc_return (struct acc *account, enum acc_kind kind, size_t length);

  /* Returns whether the parts of responses alone take so much that a further
     request might get no answer: closing slow connections does not help.  */
  bool acc_is_short (const struct acc *account);

#ifdef __cplusplus
}
#endif

#endif
