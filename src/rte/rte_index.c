/* Builds and searches the index of a document's routes.  */

#include "rte/rte_index.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* FNV-1a, 64 bits.  It is computed byte by byte, so that the hashes of all
   prefixes of a path take one pass.  */
#define HASH_START 14695981039346656037u
#define HASH_PRIME 1099511628211u

/* Most places where a prefix can end: each "/" gives two.  */
#define MAX_ENDS (2 * DOC_MAX_PATH_LENGTH + 2)
#define MAX_SUFFIXES (DOC_MAX_HOST_LENGTH + 1)

#define NO_ENTRY UINT32_MAX

/* One route of the sorted list.  */
struct place
{
  const struct doc_route *route;
};

/* Routes of one host pattern and path, in the order of their match.  */
struct entry
{
  uint64_t hash;
  const struct place *places;
  uint32_t count;
  uint32_t next; /* entry with the same slot */
  uint32_t length;
};

/* All routes of one host pattern.  */
struct group
{
  uint64_t hash;       /* of the host, lower case, from its end */
  const char *host;    /* as written, without the "*" */
  size_t host_length;  /* of host */
  bool suffix;         /* matches every host that ends with host */
  size_t longest_path; /* bytes */
  struct entry *entries;
  uint32_t entry_count;
  uint32_t *slots;
  uint32_t slot_mask;
  uint32_t next;
};

struct rte_index
{
  struct place *places; /* sorted by host, path and preference */
  size_t count;
  struct group *groups;
  uint32_t group_count;
  uint32_t *slots;
  uint32_t slot_mask;
  uint32_t any; /* group of routes without a host, or NO_ENTRY */
  size_t longest_host;
  bool has_suffixes;
};

/* The end of a path prefix and the hash up to there.  */
struct end
{
  uint64_t hash;
  uint32_t length;
};

static uint64_t
hash_byte (uint64_t hash, char byte)
{
  return (hash ^ (unsigned char)byte) * HASH_PRIME;
}

static char
to_lower (char byte)
{
  return byte >= 'A' && byte <= 'Z' ? (char)(byte + ('a' - 'A')) : byte;
}

static uint32_t *
allocate_slots (uint32_t count, uint32_t *mask)
{
  uint32_t size = 4;
  uint32_t *slots;

  while (size < 2 * count)
    size *= 2;
  slots = mem_alloc (size, sizeof *slots);
  memset (slots, 0xff, size * sizeof *slots);
  *mask = size - 1;
  return slots;
}

static int
compare_routes (const void *left, const void *right)
{
  return doc_compare_routes (((const struct place *)left)->route,
                             ((const struct place *)right)->route);
}

static uint64_t
hash_path (const char *path)
{
  uint64_t hash = HASH_START;

  for (; *path != '\0'; path++)
    hash = hash_byte (hash, *path);
  return hash;
}

/* Adds the routes [START, END) of one host to GROUP.  */
static void
fill_group (struct rte_index *index, struct group *group, size_t start,
            size_t end)
{
  const struct place *places = index->places;

  group->entries = mem_alloc (end - start, sizeof *group->entries);
  for (size_t i = start; i < end; i++)
    {
      struct entry *entry;

      if (i > start
          && strcmp (places[i].route->path, places[i - 1].route->path) == 0)
        {
          group->entries[group->entry_count - 1].count++;
          continue;
        }
      entry = &group->entries[group->entry_count++];
      entry->places = &places[i];
      entry->count = 1;
      entry->hash = hash_path (places[i].route->path);
      entry->length = (uint32_t)strlen (places[i].route->path);
      if (entry->length > group->longest_path)
        group->longest_path = entry->length;
    }
  group->slots = allocate_slots (group->entry_count, &group->slot_mask);
  for (uint32_t i = 0; i < group->entry_count; i++)
    {
      uint32_t *slot
          = &group->slots[group->entries[i].hash & group->slot_mask];

      group->entries[i].next = *slot;
      *slot = i;
    }
}

static void
open_group (struct rte_index *index, const char *host)
{
  struct group *group = &index->groups[index->group_count];

  group->suffix = host[0] == '*';
  group->host = group->suffix ? host + 1 : host;
  group->host_length = strlen (group->host);
  group->hash = HASH_START;
  for (size_t i = group->host_length; i > 0; i--)
    group->hash = hash_byte (group->hash, to_lower (group->host[i - 1]));
  if (group->host_length > index->longest_host)
    index->longest_host = group->host_length;
  index->has_suffixes = index->has_suffixes || group->suffix;
  if (host[0] == '\0')
    index->any = index->group_count;
  index->group_count++;
}

static void
link_groups (struct rte_index *index)
{
  index->slots = allocate_slots (index->group_count, &index->slot_mask);
  for (uint32_t i = 0; i < index->group_count; i++)
    {
      uint32_t *slot = &index->slots[index->groups[i].hash & index->slot_mask];

      index->groups[i].next = *slot;
      *slot = i;
    }
}

struct rte_index *
rte_index_create (const struct doc_document *document)
{
  struct rte_index *index = mem_alloc (1, sizeof *index);
  size_t start = 0;

  index->any = NO_ENTRY;
  index->count = document->route_count;
  index->places = mem_alloc (index->count, sizeof *index->places);
  index->groups = mem_alloc (index->count, sizeof *index->groups);
  for (size_t i = 0; i < index->count; i++)
    index->places[i].route = &document->routes[i];
  qsort (index->places, index->count, sizeof *index->places, compare_routes);
  for (size_t i = 1; i <= index->count; i++)
    if (i == index->count
        || strcasecmp (index->places[start].route->host,
                       index->places[i].route->host)
               != 0)
      {
        open_group (index, index->places[start].route->host);
        fill_group (index, &index->groups[index->group_count - 1], start, i);
        start = i;
      }
  link_groups (index);
  return index;
}

void
rte_index_destroy (struct rte_index *index)
{
  if (index == NULL)
    return;
  for (uint32_t i = 0; i < index->group_count; i++)
    {
      free (index->groups[i].entries);
      free (index->groups[i].slots);
    }
  free (index->slots);
  free (index->groups);
  free (index->places);
  free (index);
}

size_t
rte_host_length (const char *host)
{
  size_t length = strcspn (host, host[0] == '[' ? "]" : ":");

  return host[0] == '[' && host[length] == ']' ? length + 1 : length;
}

/* Stores the places where a prefix of PATH may end, the longest last, and
   returns their number.  A prefix ends before or after a "/", or at the end of
   the path.  */
static size_t
find_ends (const char *path, size_t longest, struct end *ends)
{
  uint64_t hash = HASH_START;
  size_t count = 0;
  uint32_t i = 0;

  for (; path[i] != '\0' && path[i] != '?' && i <= longest; i++)
    {
      if (i > 0 && (path[i] == '/' || path[i - 1] == '/'))
        ends[count++] = (struct end){ hash, i };
      hash = hash_byte (hash, path[i]);
    }
  if (i > 0 && i <= longest)
    ends[count++] = (struct end){ hash, i };
  return count;
}

static const struct doc_route *
find_method (const struct entry *entry, uint32_t bit)
{
  for (uint32_t i = 0; i < entry->count; i++)
    if (entry->places[i].route->methods == 0
        || (entry->places[i].route->methods & bit) != 0)
      return entry->places[i].route;
  return NULL;
}

static const struct doc_route *
find_in_group (const struct group *group, const char *path,
               const struct end *ends, size_t count, uint32_t bit)
{
  for (size_t i = count; i > 0; i--)
    {
      const struct end *end = &ends[i - 1];
      uint32_t at = group->slots[end->hash & group->slot_mask];

      for (; at != NO_ENTRY; at = group->entries[at].next)
        {
          const struct entry *entry = &group->entries[at];
          const struct doc_route *route;

          if (entry->hash != end->hash || entry->length != end->length
              || memcmp (entry->places[0].route->path, path, end->length) != 0)
            continue;
          route = find_method (entry, bit);
          if (route != NULL)
            return route;
        }
    }
  return NULL;
}

static const struct group *
find_group (const struct rte_index *index, const char *host, size_t length,
            uint64_t hash, bool suffix)
{
  uint32_t at = index->slots[hash & index->slot_mask];

  for (; at != NO_ENTRY; at = index->groups[at].next)
    {
      const struct group *group = &index->groups[at];

      if (group->hash == hash && group->suffix == suffix
          && group->host_length == length
          && strncasecmp (group->host, host, length) == 0)
        return group;
    }
  return NULL;
}

/* Stores the groups that match HOST, the most exact last, and returns their
   number.  */
static size_t
find_groups (const struct rte_index *index, const char *host,
             const struct group **groups)
{
  size_t length = rte_host_length (host);
  uint64_t hash = HASH_START;
  size_t count = 0;
  size_t at = length;
  const struct group *group;

  if (index->any != NO_ENTRY)
    groups[count++] = &index->groups[index->any];
  for (; at > 0 && length - at < index->longest_host; at--)
    {
      hash = hash_byte (hash, to_lower (host[at - 1]));
      if (!index->has_suffixes || host[at - 1] != '.' || at == 1)
        continue;
      group = find_group (index, host + at - 1, length - at + 1, hash, true);
      if (group != NULL)
        groups[count++] = group;
    }
  if (at > 0 || length == 0)
    return count;
  group = find_group (index, host, length, hash, false);
  if (group != NULL)
    groups[count++] = group;
  return count;
}

const struct doc_route *
rte_index_find (const struct rte_index *index, const char *host,
                const char *path, const char *method)
{
  struct end ends[MAX_ENDS];
  const struct group *groups[MAX_SUFFIXES + 2];
  size_t group_count = find_groups (index, host, groups);
  uint32_t bit = doc_method_bit (method);
  size_t longest = 0;
  size_t end_count;

  for (size_t i = 0; i < group_count; i++)
    if (groups[i]->longest_path > longest)
      longest = groups[i]->longest_path;
  end_count = find_ends (path, longest, ends);
  for (size_t i = group_count; i > 0; i--)
    {
      const struct doc_route *route
          = find_in_group (groups[i - 1], path, ends, end_count, bit);

      if (route != NULL)
        return route;
    }
  return NULL;
}
