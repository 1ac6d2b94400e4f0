/* Account of the memory held for callers.  */

#include "acc/acc.h"

#include <string.h>

/* Each limit is the memory of the process divided by one of these.  Together
   they take 0.81 of it.  A body of a request is in memory up to four times: as
   it was read, in frames, at the gate, and in the request to the upstream.  A
   response is in memory twice while it is passed on.  Without the reserve the
   limit of answers is still above that of one response at a gate.  The limit
   of replies covers one response of each slot.  */
#define CALLER_BODIES_DIVISOR 8
#define GATE_BODIES_DIVISOR 8
#define GATE_RESPONSES_DIVISOR 6
#define ANSWERS_DIVISOR 5
#define READ_AHEAD_DIVISOR 32
#define REPLIES_DIVISOR 6

/* Answers up to this length may use the reserve, in bytes.  */
#define SHORT_ANSWER (64u * 1024u)

/* Part of the limit of answers that is reserved for short ones.  */
#define RESERVE_DIVISOR 8

/* The account is short when parts of responses take more than the limit
   divided by this.  */
#define SHORT_DIVISOR 2

struct acc_limits
acc_limits_of (size_t memory)
{
  return (struct acc_limits){
    .caller_bodies = memory / CALLER_BODIES_DIVISOR,
    .gate_bodies = memory / GATE_BODIES_DIVISOR,
    .gate_responses = memory / GATE_RESPONSES_DIVISOR,
    .answers = memory / ANSWERS_DIVISOR,
    .read_ahead = memory / READ_AHEAD_DIVISOR,
    .replies = memory / REPLIES_DIVISOR,
  };
}

void
acc_init (struct acc *account, size_t memory)
{
  memset (account, 0, sizeof *account);
  account->limits = acc_limits_of (memory);
  account->caller_bodies.max_bytes = account->limits.caller_bodies;
}

bool
acc_fits (const struct acc *account, enum acc_kind kind, size_t length)
{
  size_t limit = account->limits.answers;
  size_t used = account->used[ACC_UNSENT] + account->used[ACC_PARTIAL];

  if (kind == ACC_READ_AHEAD)
    {
      limit = account->limits.read_ahead;
      used = account->used[ACC_READ_AHEAD];
    }
  else if (length > SHORT_ANSWER)
    limit -= limit / RESERVE_DIVISOR;
  return used <= limit && length <= limit - used;
}

bool
acc_take (struct acc *account, enum acc_kind kind, size_t length)
{
  while (!acc_fits (account, kind, length))
    if (kind == ACC_READ_AHEAD || account->close_slowest == NULL
        || !account->close_slowest (account->context))
      return false;
  account->used[kind] += length;
  return true;
}

void
acc_return (struct acc *account, enum acc_kind kind, size_t length)
{
  account->used[kind] -= length;
}

bool
acc_is_short (const struct acc *account)
{
  return account->used[ACC_PARTIAL] > account->limits.answers / SHORT_DIVISOR;
}
