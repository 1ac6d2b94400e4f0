/* The part of a tenant's rate that an owner may grant while it cannot see all
   nodes.  Pure.

   Load that it answers: data centres that cannot see each other for minutes,
   each with an owner of its own.  An owner fills its buckets by the part of
   the nodes that are not silent, so the owners of all sides add up to no more
   than the rate.  The part falls at once and rises after a hold time, since
   the nodes find their common owner again only after a backoff.  */

#ifndef MULBERRYSHIFT_QUO_QUO_SHARE_H
#define MULBERRYSHIFT_QUO_QUO_SHARE_H

#include "dir/dir.h"

#ifdef __cplusplus
extern "C"
{
#endif

/* Time for which the lowest part holds.  */
#define QUO_SHARE_HOLD (1500 * CLK_MILLISECOND)

  /* How a node is seen.  */
  enum quo_link_state
  {
    QUO_UNKNOWN,      /* nothing is known of its link */
    QUO_CONNECTED,    /* it is connected */
    QUO_DISCONNECTED, /* its connection failed: as when its process has ended
                       */
    QUO_SILENT        /* it stopped to answer on an open link */
  };

  struct quo_share
  {
    bool *silent; /* by handle */
    dir_handle count;
    double part; /* in effect */
    double seen; /* at the last check */
    clk_time rise_at;
  };

  /* Starts with the part 1.  */
  void quo_share_init (struct quo_share *share);

  /* Frees its memory.  */
  void quo_share_close (struct quo_share *share);

  /* Looks at all nodes again.  A node that was silent counts as silent until
     it is connected again, also when later connections to it fail or it is
     declared dead; one that is unseen or lost counts like most of those of its
     data centre.  Returns the part in effect.  */
  double quo_share_check (struct quo_share *share, const struct dir *directory,
                          enum quo_link_state (*look) (void *context,
                                                       dir_handle node),
                          void *context, clk_time now);

  /* Returns the part of the known nodes that are in the data centre of SELF
     and not silent.  */
  double quo_share_of_centre (const struct quo_share *share,
                              const struct dir *directory, dir_handle self);

  /* Returns whether NODE counts as silent.  */
  bool quo_share_is_silent (const struct quo_share *share, dir_handle node);

  /* NODE has stopped to answer.  */
  void quo_share_note_silent (struct quo_share *share, dir_handle node);

  /* NODE answers again, or the handle is given to another node, or the node
     has started again.  */
  void quo_share_forget (struct quo_share *share, dir_handle node);

#ifdef __cplusplus
}
#endif

#endif
