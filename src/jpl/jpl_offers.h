/* Offers of the directory: which nodes a node that has joined offers its
   directory to, and when.  Pure: events and time in, nodes out.  */

#ifndef MULBERRYSHIFT_JPL_JPL_OFFERS_H
#define MULBERRYSHIFT_JPL_JPL_OFFERS_H

#include "dir/dir.h"
#include "jpl/jpl.h"

#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Time after which a node that was learned of and has opened no link is
   offered the directory.  A node that lists by itself opens a link within it.
   */
#define JPL_OFFER_DELAY (50 * CLK_MILLISECOND)

/* Most nodes that one round offers to.  */
#define JPL_OFFERS_PER_ROUND 16

  struct jpl_offers;

  /* Creates a plan without nodes.  */
  struct jpl_offers *jpl_offers_create (void);

  /* Frees a plan.  Null is allowed.  */
  void jpl_offers_destroy (struct jpl_offers *offers);

  /* Notes that NODE was learned of at NOW; the handle may have meant another
     node before.  */
  void jpl_offers_learned (struct jpl_offers *offers, dir_handle node,
                           clk_time now);

  /* Notes that NODE has opened a link and needs no offer.  */
  void jpl_offers_linked (struct jpl_offers *offers, dir_handle node);

  /* Sets whether this node offers to NODE by its present roles.  */
  void jpl_offers_set_target (struct jpl_offers *offers, dir_handle node,
                              bool is_target);

  /* Takes the nodes that are due and returns their number.  Each node is taken
     once after it was learned of.  */
  size_t jpl_offers_take (struct jpl_offers *offers, clk_time now,
                          dir_handle nodes[JPL_OFFERS_PER_ROUND]);

  /* Returns when the next offer is due, CLK_NEVER when none is.  */
  clk_time jpl_offers_next (const struct jpl_offers *offers);

#ifdef __cplusplus
}
#endif

#endif
