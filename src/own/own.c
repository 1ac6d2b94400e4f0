/* Owners of subjects.  */

#include "own/own.h"

#include <string.h>
#include <xxhash.h>

dir_handle
own_find_owner (const struct dir *directory, const char *kind,
                const char *subject, own_is_reachable is_reachable,
                void *context)
{
  uint64_t seed = XXH3_64bits_withSeed (subject, strlen (subject),
                                        XXH3_64bits (kind, strlen (kind)));
  dir_handle end = dir_handle_limit (directory);
  dir_handle owner = DIR_NONE;
  uint64_t highest = 0;

  for (dir_handle node = 0; node < end; node++)
    {
      const struct mbr_member *member = dir_get (directory, node);
      uint64_t hash;

      if (member == NULL || member->state != MBR_ALIVE)
        continue;
      hash = XXH3_64bits_withSeed (member->name, strlen (member->name), seed);
      if ((owner == DIR_NONE || hash > highest)
          && is_reachable (context, node))
        {
          owner = node;
          highest = hash;
        }
    }
  return owner;
}
