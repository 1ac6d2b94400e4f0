/* Node records after a restore of the store.  */

#include "rst/rst.h"

#include "mbr/mbr_start.h"

#include <stddef.h>

/* Returns whether the store lost that the upstream beside a node that is
   leaving has left: the record of an earlier time is back.  A record that is
   missing may have been removed by the node.  */
static bool
lacks_departure (const struct mbr_member *known,
                 const struct mbr_member *stored)
{
  return known->upstream_leaving && stored != NULL
         && stored->incarnation <= known->incarnation
         && !mbr_start_covers (stored, known);
}

enum rst_action
rst_decide (const struct mbr_member *known, const struct mbr_member *stored)
{
  if (known->state == MBR_DEAD)
    return stored != NULL && stored->incarnation <= known->incarnation
               ? RST_REMOVE
               : RST_KEEP;
  if (known->state != MBR_ALIVE)
    return lacks_departure (known, stored) ? RST_WRITE : RST_KEEP;
  if (stored == NULL)
    return RST_WRITE;
  if (stored->incarnation > known->incarnation
      || mbr_member_equivalent (known, stored))
    return RST_KEEP;
  return RST_WRITE;
}
