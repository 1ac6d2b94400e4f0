/* The platform's list of objects.  */

#include "plt/plt_list.h"

#include "base/mem.h"
#include "plt/plt_json.h"

#include <stdlib.h>
#include <string.h>

static bool
decode_object (const json_t *item, struct plt_object *object)
{
  const json_t *value = json_object_get (item, "value");

  if (!plt_json_text (item, "key", object->key, sizeof object->key)
      || !plt_json_text (item, "etag", object->etag, sizeof object->etag)
      || object->key[0] == '\0' || object->etag[0] == '\0'
      || !json_is_string (value))
    return false;
  buf_append (&object->value, json_string_value (value),
              json_string_length (value));
  return true;
}

enum plt_status
plt_list_decode (const char *text, size_t length, struct plt_list *list)
{
  json_t *root = plt_json_parse ("list of objects", text, length);
  const json_t *objects = json_object_get (root, "objects");
  bool valid = json_is_array (objects);

  memset (list, 0, sizeof *list);
  if (root == NULL)
    return PLT_INVALID;
  list->objects
      = mem_alloc (json_array_size (objects) + 1, sizeof *list->objects);
  for (size_t i = 0; valid && i < json_array_size (objects); i++)
    {
      valid = decode_object (json_array_get (objects, i), &list->objects[i]);
      if (valid)
        list->count++;
    }
  if (!valid)
    plt_list_close (list);
  return plt_json_finish (root, valid, "list of objects");
}

void
plt_list_close (struct plt_list *list)
{
  for (size_t i = 0; i < list->count; i++)
    plt_object_close (&list->objects[i]);
  free (list->objects);
  memset (list, 0, sizeof *list);
}
