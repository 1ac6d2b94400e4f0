/* Directory of nodes.  */

#include "dir/dir.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* First allocation, in nodes.  */
#define FIRST_CAPACITY 16

struct dir_slot
{
  struct mbr_member member;
  clk_time learned;
  bool used;
};

struct dir
{
  struct dir_slot *slots;
  dir_handle end;
  dir_handle capacity;
  size_t count;
  uint64_t version;
};

struct dir *
dir_create (void)
{
  return mem_alloc (1, sizeof (struct dir));
}

void
dir_destroy (struct dir *directory)
{
  if (directory == NULL)
    return;
  free (directory->slots);
  free (directory);
}

/* Returns whether RECORD is newer than KNOWN, of the same node.  */
static bool
is_newer (const struct mbr_member *record, const struct mbr_member *known)
{
  if (record->incarnation != known->incarnation)
    return record->incarnation > known->incarnation;
  return record->sequence > known->sequence;
}

/* Returns a free slot, DIR_NONE when there is no room.  */
static dir_handle
take_slot (struct dir *directory)
{
  for (dir_handle i = 0; i < directory->end; i++)
    if (!directory->slots[i].used)
      return i;
  if (directory->end == DIR_MAX_NODES)
    return DIR_NONE;
  if (directory->end == directory->capacity)
    {
      directory->capacity = directory->capacity == 0 ? FIRST_CAPACITY
                                                     : 2 * directory->capacity;
      directory->slots = mem_resize (directory->slots, directory->capacity,
                                     sizeof *directory->slots);
    }
  return directory->end++;
}

enum dir_change
dir_merge (struct dir *directory, const struct mbr_member *member,
           clk_time now, dir_handle *handle)
{
  dir_handle at = dir_find (directory, member->name);
  enum dir_change change = DIR_CHANGED;

  if (at == DIR_NONE)
    {
      at = take_slot (directory);
      if (at == DIR_NONE)
        return DIR_FULL;
      directory->count++;
      change = DIR_NEW;
    }
  else if (mbr_member_equal (&directory->slots[at].member, member))
    change = DIR_SAME;
  else if (!is_newer (member, &directory->slots[at].member))
    change = DIR_OLDER;
  *handle = at;
  if (change == DIR_SAME || change == DIR_OLDER)
    return change;
  directory->slots[at] = (struct dir_slot){ *member, now, true };
  directory->version++;
  return change;
}

void
dir_remove (struct dir *directory, dir_handle handle)
{
  if (dir_get (directory, handle) == NULL)
    return;
  directory->slots[handle].used = false;
  directory->count--;
  directory->version++;
}

dir_handle
dir_find (const struct dir *directory, const char *name)
{
  for (dir_handle i = 0; i < directory->end; i++)
    if (directory->slots[i].used
        && strcmp (directory->slots[i].member.name, name) == 0)
      return i;
  return DIR_NONE;
}

const struct mbr_member *
dir_get (const struct dir *directory, dir_handle handle)
{
  if (handle >= directory->end || !directory->slots[handle].used)
    return NULL;
  return &directory->slots[handle].member;
}

dir_handle
dir_handle_limit (const struct dir *directory)
{
  return directory->end;
}

size_t
dir_count (const struct dir *directory)
{
  return directory->count;
}

size_t
dir_alive_count (const struct dir *directory)
{
  size_t count = 0;

  for (dir_handle i = 0; i < directory->end; i++)
    if (directory->slots[i].used
        && directory->slots[i].member.state != MBR_DEAD)
      count++;
  return count;
}

void
dir_purge_dead (struct dir *directory, clk_time limit)
{
  for (dir_handle i = 0; i < directory->end; i++)
    if (directory->slots[i].used
        && directory->slots[i].member.state == MBR_DEAD
        && directory->slots[i].learned < limit)
      dir_remove (directory, i);
}

uint64_t
dir_digest (const struct dir *directory)
{
  uint64_t digest = 0;

  for (dir_handle i = 0; i < directory->end; i++)
    {
      const struct mbr_member *member = &directory->slots[i].member;

      if (directory->slots[i].used)
        digest ^= XXH3_64bits_withSeed (member->name, strlen (member->name),
                                        member->incarnation * 31
                                            + member->sequence);
    }
  return digest;
}

uint64_t
dir_change_count (const struct dir *directory)
{
  return directory->version;
}
