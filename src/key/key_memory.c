/* Order keys kept by this gate.  */

#include "base/mem.h"
#include "key/key.h"

#include "key/key_table.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

struct memory
{
  pthread_mutex_t lock;
  struct key_table *table;
};

static enum key_status
memory_claim (void *state, const char *key, struct out_id id, clk_time now,
              clk_time deadline, struct out_id *first)
{
  struct memory *memory = state;
  enum key_status status;

  (void)deadline;
  pthread_mutex_lock (&memory->lock);
  status = key_table_claim (memory->table, XXH3_128bits (key, strlen (key)),
                            id, now, first);
  pthread_mutex_unlock (&memory->lock);
  return status;
}

static void
memory_release (void *state, const char *key, struct out_id id,
                clk_time deadline)
{
  struct memory *memory = state;

  (void)deadline;
  pthread_mutex_lock (&memory->lock);
  key_table_release (memory->table, XXH3_128bits (key, strlen (key)), id);
  pthread_mutex_unlock (&memory->lock);
}

static void
memory_destroy (void *state)
{
  struct memory *memory = state;

  key_table_destroy (memory->table);
  pthread_mutex_destroy (&memory->lock);
  free (memory);
}

struct key_store
key_open_memory (uint32_t entries)
{
  static const struct key_operations operations
      = { memory_claim, memory_release, memory_destroy };
  struct memory *memory = mem_alloc (1, sizeof *memory);

  pthread_mutex_init (&memory->lock, NULL);
  memory->table = key_table_create (entries);
  return (struct key_store){ &operations, memory };
}

void
key_close (struct key_store *store)
{
  if (store->state != NULL)
    store->operations->destroy (store->state);
  store->state = NULL;
}
