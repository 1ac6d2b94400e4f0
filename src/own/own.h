/* Owners: which node keeps the count or takes the decision for a subject, such
   as a tenant's quota or the roll-out of a service.  Each node works it out
   from its directory by rendezvous hashing, so nobody grants or leases the
   role; when the owner is lost, the next node of the same order takes over.
   Pure.

   Two nodes whose directories differ may name two owners for a moment.  What
   an owner does must stay harmless then.  */

#ifndef MULBERRYSHIFT_OWN_OWN_H
#define MULBERRYSHIFT_OWN_OWN_H

#include "dir/dir.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* Returns whether a node can be reached; CONTEXT is that of
     own_find_owner.  */
  typedef bool (*own_is_reachable) (void *context, dir_handle node);

  /* Returns the owner of SUBJECT of this KIND among the alive nodes of
     DIRECTORY that IS_REACHABLE accepts, DIR_NONE when there is none.  */
  dir_handle own_find_owner (const struct dir *directory, const char *kind,
                             const char *subject,
                             own_is_reachable is_reachable, void *context);

#ifdef __cplusplus
}
#endif

#endif
