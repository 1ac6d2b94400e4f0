/* Outcome table of a gate.  */

#include "out/out_table.h"
#include "base/mem.h"

#include "out/out_origin.h"

#include <stdlib.h>
#include <string.h>

enum kind
{
  KIND_FREE,
  KIND_ACTIVE, /* queued or running */
  KIND_FINISHED,
  KIND_FORBIDDEN
};

struct entry
{
  struct out_id id;
  uint64_t fingerprint;
  clk_time end; /* of a finished or forbidden entry */
  uint8_t *answer;
  uint32_t answer_length;
  uint32_t chain;     /* next entry of the same bucket, or of the free list */
  uint32_t next;      /* next entry that finished, of the same class */
  uint8_t kind;       /* enum kind */
  uint8_t call_class; /* enum doc_class */
};

/* Finished entries of one class in the order of their ends.  */
struct list
{
  uint32_t first;
  uint32_t last;
  uint32_t kept; /* no entry before this one has a kept answer */
};

struct out_table
{
  struct out_limits limits;
  struct entry *entries;
  uint32_t *buckets;
  uint32_t free;
  uint32_t fresh; /* entries from here on were never used, nor their memory */
  uint32_t count;
  size_t kept;
  struct list lists[DOC_CLASS_COUNT];
  struct out_origins *origins;
};

struct out_table *
out_table_create (const struct out_limits *limits)
{
  struct out_table *table = mem_alloc (1, sizeof *table);

  table->limits = *limits;
  if (table->limits.entries > OUT_TABLE_ENTRIES)
    table->limits.entries = OUT_TABLE_ENTRIES;
  table->entries = calloc (table->limits.entries, sizeof *table->entries);
  table->buckets = calloc (table->limits.entries, sizeof *table->buckets);
  if (table->entries == NULL || table->buckets == NULL)
    abort ();
  table->origins = out_origins_create ();
  table->free = OUT_NONE;
  for (uint32_t i = 0; i < table->limits.entries; i++)
    table->buckets[i] = OUT_NONE;
  for (int i = 0; i < DOC_CLASS_COUNT; i++)
    table->lists[i] = (struct list){ OUT_NONE, OUT_NONE, OUT_NONE };
  return table;
}

void
out_table_destroy (struct out_table *table)
{
  if (table == NULL)
    return;
  for (uint32_t i = 0; i < table->fresh; i++)
    free (table->entries[i].answer);
  out_origins_destroy (table->origins);
  free (table->entries);
  free (table->buckets);
  free (table);
}

static uint32_t *
get_bucket (const struct out_table *table, struct out_id id)
{
  uint64_t hash
      = (id.origin ^ id.number * 0x9E3779B97F4A7C15u) * 0xC2B2AE3D27D4EB4Fu;

  return &table->buckets[(hash >> 32) % table->limits.entries];
}

static uint32_t
find (const struct out_table *table, struct out_id id)
{
  uint32_t index = *get_bucket (table, id);

  while (index != OUT_NONE
         && (table->entries[index].id.origin != id.origin
             || table->entries[index].id.number != id.number))
    index = table->entries[index].chain;
  return index;
}

static void
drop_answer (struct out_table *table, struct entry *entry)
{
  table->kept -= entry->answer_length;
  free (entry->answer);
  entry->answer = NULL;
  entry->answer_length = 0;
}

/* Takes an entry out of its bucket and frees it.  */
static void
release (struct out_table *table, uint32_t index)
{
  struct entry *entry = &table->entries[index];
  uint32_t *place = get_bucket (table, entry->id);

  while (*place != index)
    place = &table->entries[*place].chain;
  *place = entry->chain;
  drop_answer (table, entry);
  entry->kind = KIND_FREE;
  entry->chain = table->free;
  table->free = index;
  table->count--;
}

/* Removes the oldest finished entry of a class.  */
static void
remove_first (struct out_table *table, struct list *list, clk_time now)
{
  uint32_t index = list->first;
  struct entry *entry = &table->entries[index];

  out_origins_raise (table->origins, entry->id.origin, entry->id.number, now);
  list->first = entry->next;
  if (list->last == index)
    list->last = OUT_NONE;
  if (list->kept == index)
    list->kept = entry->next;
  release (table, index);
}

void
out_expire (struct out_table *table, clk_time now)
{
  for (int i = 0; i < DOC_CLASS_COUNT; i++)
    while (table->lists[i].first != OUT_NONE
           && table->entries[table->lists[i].first].end <= now)
      remove_first (table, &table->lists[i], now);
}

/* Adds an entry.  Returns OUT_NONE when all places are taken by entries that
   must stay; finished repeatable calls make room.  */
static uint32_t
add (struct out_table *table, struct out_id id, clk_time now)
{
  struct list *repeatable = &table->lists[DOC_IDEMPOTENT];
  uint32_t *bucket = get_bucket (table, id);
  struct entry *entry;
  uint32_t index;

  if (!out_origins_reserve (table->origins, id.origin, now))
    return OUT_NONE;
  if (table->free == OUT_NONE && table->fresh < table->limits.entries)
    {
      table->entries[table->fresh].chain = OUT_NONE;
      table->free = table->fresh++;
    }
  if (table->free == OUT_NONE && repeatable->first != OUT_NONE)
    remove_first (table, repeatable, now);
  if (table->free == OUT_NONE)
    return OUT_NONE;
  index = table->free;
  entry = &table->entries[index];
  table->free = entry->chain;
  memset (entry, 0, sizeof *entry);
  entry->id = id;
  entry->next = OUT_NONE;
  entry->chain = *bucket;
  *bucket = index;
  table->count++;
  return index;
}

/* Puts an ended entry at the end of its class's list.  */
static void
append (struct out_table *table, uint32_t index, clk_time now)
{
  struct entry *entry = &table->entries[index];
  struct list *list = &table->lists[entry->call_class];

  entry->end = now + OUT_KEEP_TIME;
  entry->next = OUT_NONE;
  if (list->last != OUT_NONE)
    table->entries[list->last].next = index;
  else
    list->first = index;
  list->last = index;
  if (list->kept == OUT_NONE)
    list->kept = index;
}

enum out_status
out_begin (struct out_table *table, struct out_id id,
           enum doc_class call_class, uint64_t fingerprint, clk_time now,
           uint32_t *handle)
{
  uint32_t index;

  *handle = OUT_NONE;
  out_expire (table, now);
  index = find (table, id);
  if (index != OUT_NONE)
    return table->entries[index].kind == KIND_FORBIDDEN ? OUT_FORBIDDEN
                                                        : OUT_REPEATED;
  if (id.number <= out_origins_get (table->origins, id.origin))
    return OUT_FORGOTTEN;
  index = add (table, id, now);
  if (index == OUT_NONE)
    return OUT_FULL;
  table->entries[index].kind = KIND_ACTIVE;
  table->entries[index].call_class = (uint8_t)call_class;
  table->entries[index].fingerprint = fingerprint;
  *handle = index;
  return OUT_OK;
}

void
out_discard (struct out_table *table, uint32_t handle)
{
  release (table, handle);
}

void
out_forbid (struct out_table *table, uint32_t handle, clk_time now)
{
  table->entries[handle].kind = KIND_FORBIDDEN;
  append (table, handle, now);
}

/* Drops kept answers, oldest first and those of repeatable calls before
   others, until LENGTH more bytes fit.  */
static void
make_room (struct out_table *table, size_t length)
{
  for (int i = 0; i < DOC_CLASS_COUNT; i++)
    {
      struct list *list = &table->lists[i];

      while (table->kept + length > table->limits.answers
             && list->kept != OUT_NONE)
        {
          drop_answer (table, &table->entries[list->kept]);
          list->kept = table->entries[list->kept].next;
        }
    }
}

void
out_finish (struct out_table *table, uint32_t handle, const uint8_t *answer,
            size_t length, clk_time now)
{
  struct entry *entry = &table->entries[handle];

  entry->kind = KIND_FINISHED;
  if (length > 0 && length <= OUT_MAX_ANSWER
      && length <= table->limits.answers)
    {
      make_room (table, length);
      entry->answer = malloc (length);
      if (entry->answer == NULL)
        abort ();
      memcpy (entry->answer, answer, length);
      entry->answer_length = (uint32_t)length;
      table->kept += length;
    }
  append (table, handle, now);
}

enum out_state
out_query (struct out_table *table, struct out_id id, clk_time now,
           struct buf *answer)
{
  uint32_t index;

  out_expire (table, now);
  index = find (table, id);
  if (index == OUT_NONE)
    {
      if (id.number <= out_origins_get (table->origins, id.origin))
        return OUT_STATE_UNKNOWN;
      index = add (table, id, now);
      if (index == OUT_NONE)
        return OUT_STATE_UNKNOWN;
      table->entries[index].kind = KIND_FORBIDDEN;
      table->entries[index].call_class = DOC_AT_MOST_ONCE;
      append (table, index, now);
    }
  switch (table->entries[index].kind)
    {
    case KIND_ACTIVE:
      return OUT_STATE_RUNNING;
    case KIND_FORBIDDEN:
      return OUT_STATE_NOT_RUN;
    default:
      buf_append (answer, table->entries[index].answer,
                  table->entries[index].answer_length);
      return OUT_STATE_FINISHED;
    }
}

bool
out_replay (const struct out_table *table, struct out_id id,
            uint64_t fingerprint, struct buf *answer)
{
  uint32_t index = find (table, id);
  const struct entry *entry = &table->entries[index];

  if (index == OUT_NONE || entry->kind != KIND_FINISHED
      || entry->fingerprint != fingerprint || entry->answer == NULL)
    return false;
  buf_append (answer, entry->answer, entry->answer_length);
  return true;
}

uint32_t
out_count (const struct out_table *table)
{
  return table->count;
}

size_t
out_kept (const struct out_table *table)
{
  return table->kept;
}
