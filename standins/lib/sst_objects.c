/* Objects of the store and the history of their changes.  */

#include "sst_internal.h"

#include "base/mem.h"
#include "pfm_names.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

json_t *
sst_object_json (const struct sst_object *object)
{
  return json_pack ("{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:O?}", PFM_METADATA,
                    PFM_NAME, object->name, PFM_REVISION,
                    (json_int_t)object->revision, "CreatedRev",
                    (json_int_t)object->created, "Finalizers", PFM_DELETING, 0,
                    PFM_SPEC, object->spec, PFM_STATUS, object->status);
}

/* Returns the place among the first COUNT objects in order of the first one
   that is not before KIND and NAME.  */
static size_t
find_place (const struct sst *store, size_t count, const char *kind,
            const char *name)
{
  size_t first = 0;
  size_t end = count;

  while (first < end)
    {
      size_t middle = (first + end) / 2;
      const struct sst_object *object = &store->objects[store->order[middle]];
      int comparison = strcmp (object->kind, kind);

      if (comparison == 0)
        comparison = strcmp (object->name, name);
      if (comparison < 0)
        first = middle + 1;
      else
        end = middle;
    }
  return first;
}

/* Returns the object at PLACE in the order, null when it is of another kind.
 */
static const struct sst_object *
object_at (const struct sst *store, size_t place, const char *kind)
{
  const struct sst_object *object;

  if (place >= store->object_count)
    return NULL;
  object = &store->objects[store->order[place]];
  return strcmp (object->kind, kind) == 0 ? object : NULL;
}

/* Adds the object with this index, behind COUNT others, to the order.  */
static void
add_to_order (struct sst *store, size_t index, size_t count)
{
  const struct sst_object *object = &store->objects[index];
  size_t place = find_place (store, count, object->kind, object->name);

  memmove (store->order + place + 1, store->order + place,
           (count - place) * sizeof *store->order);
  store->order[place] = (uint32_t)index;
}

void
sst_sort_objects (struct sst *store)
{
  for (size_t i = 0; i < store->object_count; i++)
    add_to_order (store, i, i);
}

/* Removes the object with this index from the order of COUNT; those behind it
   move up by one.  */
static void
remove_from_order (struct sst *store, size_t index, size_t count)
{
  size_t kept = 0;

  for (size_t i = 0; i < count; i++)
    if (store->order[i] != index)
      {
        uint32_t other = store->order[i];

        store->order[kept++] = other > index ? other - 1 : other;
      }
}

struct sst_object *
sst_find_object (const struct sst *store, const char *kind, const char *name)
{
  size_t place = find_place (store, store->object_count, kind, name);
  const struct sst_object *object = object_at (store, place, kind);

  if (object == NULL || strcmp (object->name, name) != 0)
    return NULL;
  return (struct sst_object *)object;
}

const struct sst_object *
sst_next_object (const struct sst *store, const char *kind, const char *after)
{
  size_t place = find_place (store, store->object_count, kind, after);
  const struct sst_object *object = object_at (store, place, kind);

  if (object != NULL && strcmp (object->name, after) == 0)
    object = object_at (store, place + 1, kind);
  return object;
}

static void
add_change (struct sst *store, const struct sst_object *object, bool deleted)
{
  struct sst_change *change;

  if (store->change_count == SST_MAX_EVENTS)
    {
      json_decref (store->changes[0].event);
      store->oldest = store->changes[0].revision;
      memmove (store->changes, store->changes + 1,
               (SST_MAX_EVENTS - 1) * sizeof *store->changes);
      store->change_count--;
    }
  change = &store->changes[store->change_count++];
  memcpy (change->kind, object->kind, sizeof change->kind);
  change->revision = store->revision;
  change->event
      = json_pack ("{s:o, s:b}", PFM_OBJECT, sst_object_json (object),
                   PFM_DELETED, deleted ? 1 : 0);
}

struct sst_object *
sst_put_object (struct sst *store, const char *kind, const char *name,
                json_t *spec)
{
  struct sst_object *object = sst_find_object (store, kind, name);

  if (object != NULL && json_equal (object->spec, spec))
    {
      json_decref (spec);
      return object;
    }
  store->revision++;
  if (object == NULL)
    {
      if (store->object_count == SST_MAX_OBJECTS)
        abort ();
      object = &store->objects[store->object_count];
      memset (object, 0, sizeof *object);
      snprintf (object->kind, sizeof object->kind, "%s", kind);
      snprintf (object->name, sizeof object->name, "%s", name);
      object->created = store->revision;
      add_to_order (store, store->object_count, store->object_count);
      store->object_count++;
    }
  json_decref (object->spec);
  object->spec = spec;
  object->revision = store->revision;
  add_change (store, object, false);
  sst_wake_watches (store, kind);
  return object;
}

void
sst_remove_object (struct sst *store, struct sst_object *object)
{
  struct sst_object copy = *object;

  store->revision++;
  add_change (store, object, true);
  remove_from_order (store, (size_t)(object - store->objects),
                     store->object_count);
  store->object_count--;
  memmove (object, object + 1,
           (size_t)(store->objects + store->object_count - object)
               * sizeof *object);
  sst_wake_watches (store, copy.kind);
  json_decref (copy.spec);
  json_decref (copy.status);
}

void
sst_replace_status (struct sst *store, struct sst_object *object,
                    json_t *status)
{
  store->revision++;
  json_decref (object->status);
  object->status = status;
  object->revision = store->revision;
  add_change (store, object, false);
  sst_wake_watches (store, object->kind);
}

json_t *
sst_text_mark (size_t number)
{
  return json_sprintf ("@text %zu@", number);
}

/* Keeps a copy of TEXT and returns its number.  */
static size_t
add_text (struct sst *store, const char *text)
{
  if (store->text_count == SST_MAX_TEXTS)
    abort ();
  store->texts[store->text_count] = mem_copy_string (text);
  return store->text_count++;
}

void
sst_put (struct sst *store, const char *kind, const char *name, json_t *spec)
{
  sst_put_object (store, kind, name, spec);
}

void
sst_put_text (struct sst *store, const char *kind, const char *name,
              const char *text)
{
  sst_put_object (store, kind, name, sst_text_mark (add_text (store, text)));
}

void
sst_add_entry (struct sst *store, const char *kind, const char *text)
{
  snprintf (store->entry_kind, sizeof store->entry_kind, "%s", kind);
  store->entry_text = add_text (store, text);
}

void
sst_remove (struct sst *store, const char *kind, const char *name)
{
  struct sst_object *object = sst_find_object (store, kind, name);

  if (object != NULL)
    sst_remove_object (store, object);
}

const json_t *
sst_get (const struct sst *store, const char *kind, const char *name)
{
  const struct sst_object *object = sst_find_object (store, kind, name);

  return object != NULL ? object->spec : NULL;
}

const json_t *
sst_get_status (const struct sst *store, const char *kind, const char *name)
{
  const struct sst_object *object = sst_find_object (store, kind, name);

  return object != NULL ? object->status : NULL;
}

void
sst_put_status (struct sst *store, const char *kind, const char *name,
                json_t *status)
{
  struct sst_object *object = sst_find_object (store, kind, name);

  if (object == NULL)
    {
      json_decref (status);
      return;
    }
  sst_replace_status (store, object, status);
}

size_t
sst_count (const struct sst *store, const char *kind)
{
  size_t count = 0;

  for (size_t i = 0; i < store->object_count; i++)
    if (strcmp (store->objects[i].kind, kind) == 0)
      count++;
  return count;
}
