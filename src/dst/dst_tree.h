/* Announcements and the tree that they follow; private to dst.  */

#ifndef MULBERRYSHIFT_DST_DST_TREE_H
#define MULBERRYSHIFT_DST_DST_TREE_H

#include "dst/dst_state.h"

/* How one announcement of the held version is sent.  */
struct dst_announcement
{
  const char *root; /* "": the receiver does not forward */
  bool with_delta;
  bool acknowledge;
};

/* Sends the held version to a member.  */
void dst_announce (struct dst *dst, const struct mbr_member *to,
                   const struct dst_announcement *how,
                   struct dst_actions *actions);

/* Sends the held version to the own children in the tree of ROOT, once a
   version.  */
void dst_forward (struct dst *dst, const char *root,
                  struct dst_actions *actions);

/* With staging: notifies the own children that the held version is in effect.
 */
void dst_forward_commit (struct dst *dst, const char *root,
                         struct dst_actions *actions);

#endif
