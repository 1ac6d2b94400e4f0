/* Offers of the directory.  */

#include "jpl/jpl_offers.h"

#include "base/mem.h"

#include <stdlib.h>

struct candidate
{
  clk_time due_at; /* CLK_NEVER: needs no offer */
  bool is_target;
};

struct jpl_offers
{
  struct candidate *candidates; /* by handle */
  dir_handle count;
};

struct jpl_offers *
jpl_offers_create (void)
{
  return mem_alloc (1, sizeof (struct jpl_offers));
}

void
jpl_offers_destroy (struct jpl_offers *offers)
{
  if (offers == NULL)
    return;
  free (offers->candidates);
  free (offers);
}

static struct candidate *
candidate_of (struct jpl_offers *offers, dir_handle node)
{
  if (node >= offers->count)
    {
      offers->candidates = mem_resize (offers->candidates, node + 1,
                                       sizeof *offers->candidates);
      for (dir_handle i = offers->count; i <= node; i++)
        offers->candidates[i] = (struct candidate){ CLK_NEVER, false };
      offers->count = node + 1;
    }
  return &offers->candidates[node];
}

void
jpl_offers_learned (struct jpl_offers *offers, dir_handle node, clk_time now)
{
  *candidate_of (offers, node)
      = (struct candidate){ now + JPL_OFFER_DELAY, false };
}

void
jpl_offers_linked (struct jpl_offers *offers, dir_handle node)
{
  candidate_of (offers, node)->due_at = CLK_NEVER;
}

void
jpl_offers_set_target (struct jpl_offers *offers, dir_handle node,
                       bool is_target)
{
  candidate_of (offers, node)->is_target = is_target;
}

size_t
jpl_offers_take (struct jpl_offers *offers, clk_time now,
                 dir_handle nodes[JPL_OFFERS_PER_ROUND])
{
  size_t taken = 0;

  for (dir_handle i = 0; i < offers->count && taken < JPL_OFFERS_PER_ROUND;
       i++)
    if (offers->candidates[i].is_target && offers->candidates[i].due_at <= now)
      {
        offers->candidates[i].due_at = CLK_NEVER;
        nodes[taken++] = i;
      }
  return taken;
}

clk_time
jpl_offers_next (const struct jpl_offers *offers)
{
  clk_time next = CLK_NEVER;

  for (dir_handle i = 0; i < offers->count; i++)
    if (offers->candidates[i].is_target && offers->candidates[i].due_at < next)
      next = offers->candidates[i].due_at;
  return next;
}
