/* What the owner of a quota has granted to one tenant lately, and the credit
   that follows from it.  Pure.

   Load that it answers: a tenant that sends somewhat more than its rate all
   the time and keeps rate x 5 s + burst in each 5 s, and one that sends eight
   times its rate.

   Bound: in any span of at most QUO_HISTORY_SPAN the credit granted, less what
   was returned, is at most what was filled in during the span, plus the
   depth at its beginning.  Older grants are forgotten.  An error of rounding
   of up to 1e-5 of the depth and of the fill in a span comes on top.

   A history takes 440 bytes.  */

#ifndef MULBERRYSHIFT_QUO_QUO_HISTORY_H
#define MULBERRYSHIFT_QUO_QUO_HISTORY_H

#include "base/clk.h"

#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Resolution at which grants are forgotten.  */
#define QUO_HISTORY_SLOT (50 * CLK_MILLISECOND)

/* Grants are remembered for at least this time: the 5 s in which a tenant may
   run its rate x 5 s and its burst, and 200 ms in which a node may still use
   or return what it was granted before.  */
#define QUO_HISTORY_SPAN (5200 * CLK_MILLISECOND)

  struct quo_history;

  /* Creates a history after which there is credit for START requests.  */
  struct quo_history *quo_history_create (double start, clk_time now);

  /* Frees it.  Null is allowed.  */
  void quo_history_destroy (struct quo_history *history);

  /* Adds the credit that came since the last call, at RATE a second, and what
     was RETURNED.  No more than DEPTH is granted at once from now on.  */
  void quo_history_fill (struct quo_history *history, double rate,
                         double returned, double depth, clk_time now);

  /* Returns the credit at the time of the last fill.  */
  double quo_history_credit (const struct quo_history *history);

  /* Grants COUNT credits.  */
  void quo_history_grant (struct quo_history *history, double count);

  /* Returns the time at which there is credit for COUNT requests if RATE stays
     and nothing is granted before; LATEST when that is later.  */
  clk_time quo_history_find_time (const struct quo_history *history,
                                  double count, double rate, clk_time latest);

  /* Returns whether all that was granted is forgotten at NOW.  */
  bool quo_history_is_over (const struct quo_history *history, clk_time now);

#ifdef __cplusplus
}
#endif

#endif
