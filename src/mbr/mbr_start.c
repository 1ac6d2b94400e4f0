/* Starts of upstreams.  */

#include "mbr/mbr_start.h"

#include <string.h>

struct mbr_start
mbr_start_of (const struct mbr_member *record)
{
  return (struct mbr_start){ record->upstream, record->upstream_born };
}

bool
mbr_start_equal (struct mbr_start left, struct mbr_start right)
{
  return strcmp (left.name, right.name) == 0
         && (left.born == right.born || left.born == 0 || right.born == 0);
}

bool
mbr_start_is_later (struct mbr_start start, struct mbr_start other)
{
  return start.born != 0 && other.born != 0 && start.born > other.born;
}

bool
mbr_start_covers (const struct mbr_member *record,
                  const struct mbr_member *departed)
{
  struct mbr_start named = mbr_start_of (record);
  struct mbr_start left = mbr_start_of (departed);

  if (named.name[0] == '\0')
    return false;
  if (mbr_start_equal (named, left))
    return record->upstream_leaving;
  return named.born == 0 || left.born == 0 || mbr_start_is_later (named, left);
}
