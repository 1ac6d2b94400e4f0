/* Observations of members, by key.  */

#include "bal/bal_table.h"

#include "base/mem.h"

#include <stdlib.h>

#define SLOTS (2u * BAL_MAX_MEMBERS)

struct bal_table
{
  uint32_t slots[SLOTS]; /* entry index + 1; 0: free; linear probing */
  struct bal_member entries[BAL_MAX_MEMBERS];
  uint32_t count;
};

struct bal_table *
bal_table_create (void)
{
  return mem_alloc (1, sizeof (struct bal_table));
}

void
bal_table_destroy (struct bal_table *table)
{
  free (table);
}

/* Returns the slot of KEY, or the free slot where it belongs.  */
static uint32_t
find_slot (const struct bal_table *table, uint64_t key)
{
  uint32_t slot = (uint32_t)key % SLOTS;

  while (table->slots[slot] != 0
         && table->entries[table->slots[slot] - 1].key != key)
    slot = (slot + 1) % SLOTS;
  return slot;
}

static void
rebuild_slots (struct bal_table *table)
{
  for (uint32_t i = 0; i < SLOTS; i++)
    table->slots[i] = 0;
  for (uint32_t i = 0; i < table->count; i++)
    table->slots[find_slot (table, table->entries[i].key)] = i + 1;
}

/* Returns the entry unused for longest without an outstanding call.  */
static uint32_t
find_victim (const struct bal_table *table)
{
  uint32_t victim = 0;

  for (uint32_t i = 1; i < table->count; i++)
    {
      const struct bal_member *entry = &table->entries[i];
      const struct bal_member *best = &table->entries[victim];

      if ((entry->outstanding == 0 && best->outstanding > 0)
          || ((entry->outstanding == 0) == (best->outstanding == 0)
              && entry->used < best->used))
        victim = i;
    }
  return victim;
}

struct bal_member *
bal_table_find (struct bal_table *table, uint64_t key)
{
  uint32_t index = table->slots[find_slot (table, key)];

  return index == 0 ? NULL : &table->entries[index - 1];
}

struct bal_member *
bal_table_get (struct bal_table *table, uint64_t key, clk_time now)
{
  struct bal_member *member = bal_table_find (table, key);
  uint32_t index;

  if (member == NULL)
    {
      bool full = table->count == BAL_MAX_MEMBERS;

      index = full ? find_victim (table) : table->count++;
      member = &table->entries[index];
      *member = (struct bal_member){ .key = key, .since = now };
      if (full)
        rebuild_slots (table);
      else
        table->slots[find_slot (table, key)] = index + 1;
    }
  member->used = now;
  return member;
}
