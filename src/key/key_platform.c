/* Order keys as objects of the platform, created if absent.  */

#include "base/mem.h"
#include "key/key.h"

#include "base/err.h"

#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Idle clients kept; a client belongs to one thread at a time.  */
#define MAX_IDLE 16

/* Writes of one claim.  A second is needed when the first was lost without
   taking effect.  */
#define MAX_WRITES 3

#define ENVIRONMENT_SIZE 128

/* Claims that may have taken effect although their call was answered "not
   run". Beyond this number the oldest is given up: its key stays, and repeats
   are answered "already received".  */
#define MAX_UNSETTLED 1024

struct unsettled
{
  char object[PLT_KEY_SIZE];
  struct out_id id;
};

struct platform
{
  char environment[ENVIRONMENT_SIZE];
  struct key_factory factory;
  pthread_mutex_t lock;
  struct plt_client idle[MAX_IDLE];
  size_t idle_count;
  struct unsettled *unsettled; /* ring */
  size_t unsettled_first;
  size_t unsettled_count;
};

static struct plt_client
take_client (struct platform *platform)
{
  struct plt_client client = { 0 };

  pthread_mutex_lock (&platform->lock);
  if (platform->idle_count > 0)
    client = platform->idle[--platform->idle_count];
  pthread_mutex_unlock (&platform->lock);
  if (client.operations == NULL)
    client = platform->factory.open (platform->factory.context);
  return client;
}

static void
return_client (struct platform *platform, struct plt_client client)
{
  bool kept;

  pthread_mutex_lock (&platform->lock);
  kept = platform->idle_count < MAX_IDLE;
  if (kept)
    platform->idle[platform->idle_count++] = client;
  pthread_mutex_unlock (&platform->lock);
  if (!kept)
    plt_close (&client);
}

static void
format_object (const struct platform *platform, const char *key,
               char object[PLT_KEY_SIZE])
{
  XXH128_hash_t hash = XXH3_128bits (key, strlen (key));

  snprintf (object, PLT_KEY_SIZE, "orders/%s/%016" PRIx64 "%016" PRIx64,
            platform->environment, (uint64_t)hash.high64,
            (uint64_t)hash.low64);
}

/* Reads {"origin":"<hex>","number":"<hex>"}.  */
static bool
decode_owner (const struct buf *value, struct out_id *id)
{
  json_t *root = json_loadb (buf_text (value), value->length, 0, NULL);
  const char *origin;
  const char *number;
  bool valid = root != NULL
               && json_unpack (root, "{s:s, s:s}", "origin", &origin, "number",
                               &number)
                      == 0;

  if (valid)
    {
      id->origin = strtoull (origin, NULL, 16);
      id->number = strtoull (number, NULL, 16);
    }
  json_decref (root);
  return valid;
}

/* Reads who holds the object.  */
static enum plt_status
read_owner (struct plt_client *client, const char *object, clk_time deadline,
            struct out_id *owner, char etag[PLT_ETAG_SIZE])
{
  struct plt_object held = { 0 };
  enum plt_status status
      = client->operations->get (client->state, object, deadline, &held);

  if (status != PLT_OK)
    return status;
  if (!decode_owner (&held.value, owner))
    status = PLT_INVALID;
  memcpy (etag, held.etag, PLT_ETAG_SIZE);
  plt_object_close (&held);
  return status;
}

/* Creates the object.  When it exists, or the response was lost, the stored
   call ID decides; an unconditional second write would not.  */
static enum key_status
create (struct plt_client *client, const char *object, struct out_id id,
        clk_time deadline, struct out_id *first)
{
  char etag[PLT_ETAG_SIZE];
  struct buf value = { 0 };
  enum key_status status = KEY_UNAVAILABLE;

  buf_printf (&value,
              "{\"origin\":\"%" PRIx64 "\",\"number\":\"%" PRIx64 "\"}",
              id.origin, id.number);
  for (int i = 0; i < MAX_WRITES; i++)
    {
      enum plt_status written = client->operations->put (
          client->state, object, PLT_IF_ABSENT, "", &value, deadline, etag);
      enum plt_status read;

      if (written == PLT_OK)
        status = KEY_NEW;
      if (written != PLT_CONFLICT && written != PLT_UNKNOWN)
        break;
      read = read_owner (client, object, deadline, first, etag);
      if (read == PLT_OK)
        status = first->origin == id.origin && first->number == id.number
                     ? KEY_NEW
                     : KEY_DUPLICATE;
      if (read != PLT_NOT_FOUND)
        break;
    }
  buf_close (&value);
  return status;
}

static void
add_unsettled (struct platform *platform, const char *object, struct out_id id)
{
  size_t place;

  pthread_mutex_lock (&platform->lock);
  if (platform->unsettled_count == MAX_UNSETTLED)
    {
      platform->unsettled_first
          = (platform->unsettled_first + 1) % MAX_UNSETTLED;
      platform->unsettled_count--;
    }
  place = (platform->unsettled_first + platform->unsettled_count++)
          % MAX_UNSETTLED;
  snprintf (platform->unsettled[place].object, PLT_KEY_SIZE, "%s", object);
  platform->unsettled[place].id = id;
  pthread_mutex_unlock (&platform->lock);
}

static bool
take_unsettled (struct platform *platform, struct unsettled *item)
{
  bool found;

  pthread_mutex_lock (&platform->lock);
  found = platform->unsettled_count > 0;
  if (found)
    {
      *item = platform->unsettled[platform->unsettled_first];
      platform->unsettled_first
          = (platform->unsettled_first + 1) % MAX_UNSETTLED;
      platform->unsettled_count--;
    }
  pthread_mutex_unlock (&platform->lock);
  return found;
}

/* Removes the object if ID still holds it; tried again later on failure.  */
static void
remove_claim (struct platform *platform, struct plt_client *client,
              const char *object, struct out_id id, clk_time deadline)
{
  char etag[PLT_ETAG_SIZE];
  struct out_id owner;
  enum plt_status status = read_owner (client, object, deadline, &owner, etag);

  if (status == PLT_OK && owner.origin == id.origin
      && owner.number == id.number)
    status
        = client->operations->remove (client->state, object, etag, deadline);
  if (status == PLT_BUSY || status == PLT_UNREACHABLE || status == PLT_UNKNOWN)
    add_unsettled (platform, object, id);
}

static enum key_status
platform_claim (void *state, const char *key, struct out_id id, clk_time now,
                clk_time deadline, struct out_id *first)
{
  struct platform *platform = state;
  struct plt_client client = take_client (platform);
  char object[PLT_KEY_SIZE];
  struct unsettled item;
  enum key_status status;

  (void)now;
  format_object (platform, key, object);
  status = create (&client, object, id, deadline, first);
  if (status == KEY_UNAVAILABLE)
    add_unsettled (platform, object, id);
  else if (take_unsettled (platform, &item))
    remove_claim (platform, &client, item.object, item.id, deadline);
  return_client (platform, client);
  return status;
}

static void
platform_release (void *state, const char *key, struct out_id id,
                  clk_time deadline)
{
  struct platform *platform = state;
  struct plt_client client = take_client (platform);
  char object[PLT_KEY_SIZE];

  format_object (platform, key, object);
  remove_claim (platform, &client, object, id, deadline);
  return_client (platform, client);
}

static void
platform_destroy (void *state)
{
  struct platform *platform = state;

  for (size_t i = 0; i < platform->idle_count; i++)
    plt_close (&platform->idle[i]);
  pthread_mutex_destroy (&platform->lock);
  free (platform->unsettled);
  free (platform);
}

struct key_store
key_open_platform (const char *environment, const struct key_factory *factory)
{
  static const struct key_operations operations
      = { platform_claim, platform_release, platform_destroy };
  struct platform *platform = mem_alloc (1, sizeof *platform);

  platform->unsettled = mem_alloc (MAX_UNSETTLED, sizeof *platform->unsettled);
  snprintf (platform->environment, sizeof platform->environment, "%s",
            environment);
  platform->factory = *factory;
  pthread_mutex_init (&platform->lock, NULL);
  return (struct key_store){ &operations, platform };
}
