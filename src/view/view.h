/* What a call needs to see: one snapshot joined with the members known when it
   was published.  Published by the control thread through one RCU pointer;
   each call keeps the view that it started with.  */

#ifndef MULBERRYSHIFT_VIEW_VIEW_H
#define MULBERRYSHIFT_VIEW_VIEW_H

#include "bal/bal.h"
#include "mbr/mbr_member.h"
#include "snp/snp.h"

#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Where a candidate is, seen from this node; nearer ones are preferred.  */
  enum view_locality
  {
    VIEW_SAME_DATA_CENTRE,
    VIEW_SAME_REGION,
    VIEW_OTHER_REGION,
    VIEW_LOCALITY_COUNT
  };

  /* Members of one service that its rule and locality allow.  CANDIDATES are
     alive or suspect, nearest first; OWNERS also hold members that are leaving
     or dead, so that an order key keeps its owner.  Entry I stands for the
     member of index CANDIDATE_MEMBERS[I] or OWNER_MEMBERS[I].  */
  struct view_service
  {
    struct bal_candidate *candidates;
    uint32_t *candidate_members;
    uint32_t candidate_count;
    struct bal_candidate *owners;
    uint32_t *owner_members;
    uint32_t owner_count;
  };

  /* Read only after view_create.  */
  struct view
  {
    struct snp_snapshot *snapshot; /* null while no version is held */
    struct mbr_member *members;
    size_t member_count;
    struct view_service *services; /* one for each of the document's */
    int references;                /* atomic; use view_release */
  };

  /* Builds a view.  SNAPSHOT may be null; the view takes a reference of its
     own. MEMBERS are copied.  SELF names this node's data centre and region. A
     candidate is alive or suspect and allowed by the service's rule.  The
     caller owns one reference.  */
  struct view *view_create (struct snp_snapshot *snapshot,
                            const struct mbr_member *members,
                            size_t member_count,
                            const struct mbr_member *self);

  /* Makes VIEW the current one and takes over the caller's reference.  Waits
     until no reader holds the old pointer without a reference.  */
  void view_publish (struct view *view);

  /* Returns the current view with a reference for the caller; null before the
     first view_publish.  Any thread.  */
  struct view *view_acquire (void);

  /* Drops a reference; null is allowed.  */
  void view_release (struct view *view);

#ifdef __cplusplus
}
#endif

#endif
