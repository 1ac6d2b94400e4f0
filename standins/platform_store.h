/* Objects of the platform stand-in: a hash table under one lock, with one
   condition variable for each group of buckets so that a write wakes only the
   watches of its group.  Included by platform.c alone.  */

#ifndef STANDINS_PLATFORM_STORE_H
#define STANDINS_PLATFORM_STORE_H

#include "base/buf.h"
#include "plt/plt.h"

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* 2^16 buckets keep chains short at tens of thousands of objects.  */
#define BUCKET_COUNT 65536u
#define GROUP_COUNT 1024u
#define MAX_OBJECTS 1000000u
#define MAX_KEY (PLT_KEY_SIZE - 1)
#define MAX_VALUE (1024u * 1024u)

struct object
{
  struct object *next;
  char *key;
  struct buf value;
  unsigned long etag;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed[GROUP_COUNT];
static struct object *buckets[BUCKET_COUNT];
static size_t object_count;
static unsigned long last_etag;

static void
store_init (void)
{
  for (size_t i = 0; i < GROUP_COUNT; i++)
    clk_init_condition (&changed[i]);
}

static size_t
store_bucket (const char *key)
{
  return XXH3_64bits (key, strlen (key)) % BUCKET_COUNT;
}

static pthread_cond_t *
store_changed (const char *key)
{
  return &changed[store_bucket (key) % GROUP_COUNT];
}

/* Wakes every watch; with the lock held.  */
static void
store_wake_all (void)
{
  for (size_t i = 0; i < GROUP_COUNT; i++)
    pthread_cond_broadcast (&changed[i]);
}

/* Returns the link to the object with KEY, or to the end of its chain; with
   the lock held.  */
static struct object **
store_link (const char *key)
{
  struct object **link = &buckets[store_bucket (key)];

  while (*link != NULL && strcmp ((*link)->key, key) != 0)
    link = &(*link)->next;
  return link;
}

/* Returns the object or null; with the lock held.  */
static struct object *
store_find (const char *key)
{
  return *store_link (key);
}

/* Sets KEY to VALUE, which is taken over, under a new ETag; with the lock
   held.  Returns the ETag, 0 when there are too many objects.  */
static unsigned long
store_set (const char *key, struct buf *value)
{
  struct object **link = store_link (key);

  if (*link == NULL)
    {
      if (object_count == MAX_OBJECTS)
        return 0;
      *link = calloc (1, sizeof **link);
      if (*link == NULL || ((*link)->key = strdup (key)) == NULL)
        abort ();
      object_count++;
    }
  buf_close (&(*link)->value);
  (*link)->value = *value;
  buf_init (value);
  (*link)->etag = ++last_etag;
  pthread_cond_broadcast (store_changed (key));
  return last_etag;
}

/* Removes the object; with the lock held.  */
static void
store_remove (const char *key)
{
  struct object **link = store_link (key);
  struct object *object = *link;

  if (object == NULL)
    return;
  *link = object->next;
  buf_close (&object->value);
  free (object->key);
  free (object);
  object_count--;
  last_etag++;
  pthread_cond_broadcast (store_changed (key));
}

static int
store_compare (const void *left, const void *right)
{
  const struct object *const *a = left;
  const struct object *const *b = right;

  return strcmp ((*a)->key, (*b)->key);
}

/* Returns a JSON array of the objects whose key begins with PREFIX, by key;
   with the lock held.  */
static json_t *
store_list (const char *prefix)
{
  size_t length = strlen (prefix);
  struct object **found = calloc (object_count + 1, sizeof *found);
  json_t *list = json_array ();
  size_t count = 0;

  if (found == NULL)
    abort ();
  for (size_t i = 0; i < BUCKET_COUNT; i++)
    for (struct object *object = buckets[i]; object != NULL;
         object = object->next)
      if (strncmp (object->key, prefix, length) == 0)
        found[count++] = object;
  qsort (found, count, sizeof (struct object *), store_compare);
  for (size_t i = 0; i < count; i++)
    {
      char etag[32];

      snprintf (etag, sizeof etag, "\"%lu\"", found[i]->etag);
      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:s%}", "key", found[i]->key, "etag",
                           etag, "value", buf_text (&found[i]->value),
                           found[i]->value.length));
    }
  free (found);
  return list;
}

#endif
