/* Directory of nodes.  */

#include "dir/dir.h"

#include "base/mem.h"
#include "mbr/mbr_start.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* First allocation, in nodes.  */
#define INITIAL_CAPACITY 16

struct dir_entry
{
  struct mbr_member member;
  clk_time updated_at;
  bool used;
  struct mbr_member *departure; /* earlier record that shows a departure which
                                   MEMBER lacks; null: none */
};

struct dir
{
  struct dir_entry *entries;
  dir_handle handle_limit;
  dir_handle capacity;
  size_t count;
  uint64_t change_count;
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
  for (dir_handle i = 0; i < directory->handle_limit; i++)
    free (directory->entries[i].departure);
  free (directory->entries);
  free (directory);
}

/* Returns whether RECORD is newer than KNOWN, a record of the same node.  The
   incarnation counts first, then the sequence.  */
static bool
is_newer (const struct mbr_member *record, const struct mbr_member *known)
{
  if (record->incarnation != known->incarnation)
    return record->incarnation > known->incarnation;
  return record->sequence > known->sequence;
}

/* Returns an unused handle, DIR_NONE when all DIR_MAX_NODES are used.  */
static dir_handle
allocate_handle (struct dir *directory)
{
  for (dir_handle i = 0; i < directory->handle_limit; i++)
    if (!directory->entries[i].used)
      return i;
  if (directory->handle_limit == DIR_MAX_NODES)
    return DIR_NONE;
  if (directory->handle_limit == directory->capacity)
    {
      directory->capacity = directory->capacity == 0 ? INITIAL_CAPACITY
                                                     : 2 * directory->capacity;
      directory->entries = mem_resize (directory->entries, directory->capacity,
                                       sizeof *directory->entries);
    }
  return directory->handle_limit++;
}

static const struct mbr_member *
find_departure (const struct dir_entry *entry)
{
  if (entry->departure != NULL)
    return entry->departure;
  return entry->member.upstream_leaving ? &entry->member : NULL;
}

static void
set_departure (struct dir_entry *entry, const struct mbr_member *record)
{
  if (entry->departure == NULL)
    entry->departure = mem_alloc (1, sizeof *entry->departure);
  *entry->departure = *record;
}

static void
clear_departure (struct dir_entry *entry)
{
  free (entry->departure);
  entry->departure = NULL;
}

/* Replaces the record of an entry by a newer one.  */
static void
replace_record (struct dir_entry *entry, const struct mbr_member *member,
                clk_time now)
{
  const struct mbr_member *departure = find_departure (entry);

  if (departure == NULL || mbr_start_covers (member, departure))
    clear_departure (entry);
  else if (departure != entry->departure)
    set_departure (entry, departure);
  entry->member = *member;
  entry->updated_at = now;
}

/* Keeps what a record that is older than the known one says of a departure. */
static void
note_older_record (struct dir_entry *entry, const struct mbr_member *member)
{
  const struct mbr_member *departure = find_departure (entry);

  if (member->upstream_leaving && !mbr_start_covers (&entry->member, member)
      && (departure == NULL || is_newer (member, departure)))
    set_departure (entry, member);
}

enum dir_change
dir_merge (struct dir *directory, const struct mbr_member *member,
           clk_time now, dir_handle *handle)
{
  dir_handle index = dir_find (directory, member->name);
  enum dir_change change = DIR_CHANGED;

  if (index == DIR_NONE)
    {
      index = allocate_handle (directory);
      if (index == DIR_NONE)
        return DIR_FULL;
      directory->count++;
      change = DIR_NEW;
    }
  else if (mbr_member_equal (&directory->entries[index].member, member))
    change = DIR_SAME;
  else if (!is_newer (member, &directory->entries[index].member))
    change = DIR_OLDER;
  *handle = index;
  if (change == DIR_SAME)
    return change;
  if (change == DIR_OLDER)
    {
      note_older_record (&directory->entries[index], member);
      return change;
    }
  if (change == DIR_NEW)
    directory->entries[index] = (struct dir_entry){ *member, now, true, NULL };
  else
    replace_record (&directory->entries[index], member, now);
  directory->change_count++;
  return change;
}

void
dir_remove (struct dir *directory, dir_handle handle)
{
  if (dir_get (directory, handle) == NULL)
    return;
  clear_departure (&directory->entries[handle]);
  directory->entries[handle].used = false;
  directory->count--;
  directory->change_count++;
}

dir_handle
dir_find (const struct dir *directory, const char *name)
{
  for (dir_handle i = 0; i < directory->handle_limit; i++)
    if (directory->entries[i].used
        && strcmp (directory->entries[i].member.name, name) == 0)
      return i;
  return DIR_NONE;
}

const struct mbr_member *
dir_get (const struct dir *directory, dir_handle handle)
{
  if (handle >= directory->handle_limit || !directory->entries[handle].used)
    return NULL;
  return &directory->entries[handle].member;
}

const struct mbr_member *
dir_departure (const struct dir *directory, dir_handle handle)
{
  if (dir_get (directory, handle) == NULL)
    return NULL;
  return find_departure (&directory->entries[handle]);
}

dir_handle
dir_handle_limit (const struct dir *directory)
{
  return directory->handle_limit;
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

  for (dir_handle i = 0; i < directory->handle_limit; i++)
    if (directory->entries[i].used
        && directory->entries[i].member.state != MBR_DEAD)
      count++;
  return count;
}

void
dir_purge_dead (struct dir *directory, clk_time dead_before)
{
  for (dir_handle i = 0; i < directory->handle_limit; i++)
    if (directory->entries[i].used
        && directory->entries[i].member.state == MBR_DEAD
        && directory->entries[i].updated_at < dead_before)
      dir_remove (directory, i);
}

uint64_t
dir_digest (const struct dir *directory)
{
  uint64_t digest = 0;

  for (dir_handle i = 0; i < directory->handle_limit; i++)
    {
      const struct mbr_member *member = &directory->entries[i].member;

      if (directory->entries[i].used)
        digest ^= XXH3_64bits_withSeed (member->name, strlen (member->name),
                                        member->incarnation * 31
                                            + member->sequence);
    }
  return digest;
}

uint64_t
dir_change_count (const struct dir *directory)
{
  return directory->change_count;
}
