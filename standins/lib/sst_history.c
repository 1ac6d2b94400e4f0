/* Loss of the store's history, and of changes that it has acknowledged.  */

#include "sst_internal.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

static void
drop_history (struct sst *store)
{
  for (size_t i = 0; i < store->change_count; i++)
    json_decref (store->changes[i].event);
  store->change_count = 0;
  store->oldest = store->revision;
}

void
sst_compact (struct sst *store)
{
  store->revision++;
  drop_history (store);
  sst_cut_watches (store);
}

static void
copy_objects (struct sst_object *to, const struct sst_object *from,
              size_t count)
{
  memcpy (to, from, count * sizeof *to);
  for (size_t i = 0; i < count; i++)
    {
      json_incref (to[i].spec);
      json_incref (to[i].status);
    }
}

static void
free_objects (struct sst_object *objects, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      json_decref (objects[i].spec);
      json_decref (objects[i].status);
    }
}

void
sst_close_copy (struct sst *store)
{
  free_objects (store->copy.objects, store->copy.object_count);
  free (store->copy.objects);
  store->copy = (struct sst_copy){ 0 };
}

void
sst_take_copy (struct sst *store)
{
  size_t count = store->object_count;

  sst_close_copy (store);
  store->copy.objects = mem_alloc (count + 1, sizeof *store->copy.objects);
  store->copy.object_count = count;
  store->copy.revision = store->revision;
  copy_objects (store->copy.objects, store->objects, count);
}

void
sst_restore (struct sst *store)
{
  free_objects (store->objects, store->object_count);
  store->object_count = store->copy.object_count;
  copy_objects (store->objects, store->copy.objects, store->object_count);
  sst_sort_objects (store);
  store->revision = store->copy.revision;
  store->era++;
  drop_history (store);
  sst_cut_watches (store);
}

void
sst_set_era (struct sst *store, uint64_t era)
{
  store->era = era;
}

uint64_t
sst_revision (const struct sst *store)
{
  return store->revision;
}
