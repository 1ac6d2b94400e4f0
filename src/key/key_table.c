/* Bounded table of order keys: a ring in the order of claims, indexed by
   chained buckets.  */

#include "key/key_table.h"
#include "base/mem.h"

#include <stdbool.h>
#include <stdlib.h>

#define NONE UINT32_MAX

struct entry
{
  XXH128_hash_t key;
  struct out_id id;
  clk_time end;
  uint32_t chain;
  bool released;
};

struct key_table
{
  uint32_t capacity;
  uint32_t first; /* the oldest entry of the ring */
  uint32_t count;
  struct entry *entries;
  uint32_t *buckets;
};

struct key_table *
key_table_create (uint32_t entries)
{
  struct key_table *table = mem_alloc (1, sizeof *table);

  table->capacity = entries;
  table->entries = calloc (entries, sizeof *table->entries);
  table->buckets = malloc (entries * sizeof *table->buckets);
  if (table->entries == NULL || table->buckets == NULL)
    abort ();
  for (uint32_t i = 0; i < entries; i++)
    table->buckets[i] = NONE;
  return table;
}

void
key_table_destroy (struct key_table *table)
{
  if (table == NULL)
    return;
  free (table->entries);
  free (table->buckets);
  free (table);
}

static uint32_t *
get_bucket (struct key_table *table, XXH128_hash_t key)
{
  return &table->buckets[key.low64 % table->capacity];
}

static struct entry *
find (struct key_table *table, XXH128_hash_t key)
{
  for (uint32_t i = *get_bucket (table, key); i != NONE;
       i = table->entries[i].chain)
    if (!table->entries[i].released
        && XXH128_isEqual (table->entries[i].key, key))
      return &table->entries[i];
  return NULL;
}

static void
remove_first (struct key_table *table)
{
  uint32_t index = table->first;
  uint32_t *place = get_bucket (table, table->entries[index].key);

  while (*place != index)
    place = &table->entries[*place].chain;
  *place = table->entries[index].chain;
  table->first = (table->first + 1) % table->capacity;
  table->count--;
}

enum key_status
key_table_claim (struct key_table *table, XXH128_hash_t key, struct out_id id,
                 clk_time now, struct out_id *first)
{
  struct entry *entry;
  uint32_t *bucket = get_bucket (table, key);
  uint32_t index;

  while (table->count > 0
         && (table->entries[table->first].end <= now
             || table->entries[table->first].released))
    remove_first (table);
  entry = find (table, key);
  if (entry != NULL)
    {
      *first = entry->id;
      return KEY_DUPLICATE;
    }
  if (table->count == table->capacity)
    return KEY_FULL;
  index = (table->first + table->count) % table->capacity;
  table->entries[index] = (struct entry){
    .key = key, .id = id, .end = now + KEY_MEMORY_TIME, .chain = *bucket
  };
  *bucket = index;
  table->count++;
  return KEY_NEW;
}

void
key_table_release (struct key_table *table, XXH128_hash_t key,
                   struct out_id id)
{
  struct entry *entry = find (table, key);

  if (entry != NULL && entry->id.origin == id.origin
      && entry->id.number == id.number)
    entry->released = true;
}
