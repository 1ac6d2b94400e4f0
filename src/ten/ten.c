/* Index of keys, and the key of a request.  */

#include "ten/ten.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Places of the hash table for each key; at least half of them stay free.  */
#define PLACES_PER_KEY 2

struct place
{
  struct doc_key key;
  const struct doc_tenant *tenant; /* null: the place is free */
};

struct ten_index
{
  struct place *places;
  size_t place_count;
  bool has_shared_key;
};

/* The digest of a key is evenly distributed, so its first bytes serve as its
   hash.  */
static size_t
hash_of (const struct doc_key *key)
{
  size_t hash;

  memcpy (&hash, key->digest, sizeof hash);
  return hash;
}

/* Returns the place of KEY, or the free one where it belongs.  */
static struct place *
find_place (const struct ten_index *index, const struct doc_key *key)
{
  size_t at = hash_of (key) % index->place_count;

  while (index->places[at].tenant != NULL
         && memcmp (&index->places[at].key, key, sizeof *key) != 0)
    at = (at + 1) % index->place_count;
  return &index->places[at];
}

static void
add_keys (struct ten_index *index, const struct doc_tenant *tenant)
{
  for (size_t i = 0; i < tenant->key_count; i++)
    {
      struct place *place = find_place (index, &tenant->keys[i]);

      if (place->tenant != NULL && place->tenant != tenant)
        index->has_shared_key = true;
      place->key = tenant->keys[i];
      place->tenant = tenant;
    }
}

struct ten_index *
ten_index_create (const struct doc_document *document)
{
  struct ten_index *index = mem_alloc (1, sizeof *index);

  index->place_count = 1;
  for (size_t i = 0; i < document->tenant_count; i++)
    index->place_count += PLACES_PER_KEY * document->tenants[i].key_count;
  index->places = mem_alloc (index->place_count, sizeof *index->places);
  for (size_t i = 0; i < document->tenant_count; i++)
    add_keys (index, &document->tenants[i]);
  return index;
}

void
ten_index_destroy (struct ten_index *index)
{
  if (index == NULL)
    return;
  free (index->places);
  free (index);
}

const struct doc_tenant *
ten_find (const struct ten_index *index, const struct doc_key *key)
{
  return find_place (index, key)->tenant;
}

/* Returns the key in the credentials VALUE, null when they are of another
   scheme.  Sets *LENGTH to the length of the key.  */
static const char *
read_key (const char *value, const char *scheme, size_t *length)
{
  size_t scheme_length = strlen (scheme);
  const char *key;

  if (strncasecmp (value, scheme, scheme_length) != 0
      || value[scheme_length] != ' ')
    return NULL;
  key = value + scheme_length;
  key += strspn (key, " ");
  *length = strlen (key);
  while (*length > 0 && (key[*length - 1] == ' ' || key[*length - 1] == '\t'))
    --*length;
  return key;
}

enum ten_status
ten_authenticate (const struct ten_index *index,
                  const struct ptf_platform *platform,
                  const struct htp_message *request,
                  const struct doc_tenant **tenant)
{
  const char *credentials = NULL;
  struct doc_key key;
  const char *text;
  size_t length;

  *tenant = NULL;
  for (unsigned i = 0; i < request->header_count; i++)
    if (strcasecmp (htp_header_name (request, i),
                    platform->headers[PTF_CREDENTIALS])
        == 0)
      {
        if (credentials != NULL)
          return TEN_UNKNOWN;
        credentials = htp_header_value (request, i);
      }
  if (credentials == NULL)
    return TEN_MISSING;
  text = read_key (credentials, platform->key_scheme, &length);
  if (text == NULL || length == 0)
    return TEN_UNKNOWN;
  doc_hash_key (text, length, &key);
  *tenant = ten_find (index, &key);
  return *tenant != NULL ? TEN_OK : TEN_UNKNOWN;
}

bool
ten_has_shared_key (const struct doc_document *document)
{
  struct ten_index *index = ten_index_create (document);
  bool shared = index->has_shared_key;

  ten_index_destroy (index);
  return shared;
}
