/* Calls of the store that are answered at once: lists, reads and writes.  */

#include "sst_internal.h"

#include "pfm_names.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Appends TEXT to OUTPUT with each mark replaced by its text.  */
static void
replace_marks (const struct sst *store, const char *text, struct buf *output)
{
  while (*text != '\0')
    {
      const char *mark = strstr (text, "\"@text ");
      size_t number;

      if (mark == NULL || sscanf (mark, SST_TEXT_MARK, &number) != 1)
        break;
      buf_append (output, text, (size_t)(mark - text));
      buf_append (output, store->texts[number], strlen (store->texts[number]));
      text = strchr (mark + 1, '"') + 1;
    }
  buf_append (output, text, strlen (text));
}

static void
put_era (const struct sst *store, struct buf *output)
{
  char text[32];

  if (store->era == 0)
    return;
  snprintf (text, sizeof text, "%llu", (unsigned long long)store->era);
  htp_put_header (output, PFM_STORE_ERA, text);
}

void
sst_answer (const struct sst *store, struct srv_exchange *exchange,
            unsigned status, json_t *body)
{
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT) : NULL;
  struct buf content = { 0 };
  struct buf *output;

  if (exchange != NULL)
    {
      output = srv_start_response (exchange, status);
      htp_put_header (output, "Content-Type", "application/json");
      put_era (store, output);
      if (text != NULL)
        replace_marks (store, text, &content);
      srv_finish_response (exchange, content.data, content.length);
    }
  buf_close (&content);
  json_decref (body);
  free (text);
}

/* Copies the value of a query parameter.  Returns false when there is none. */
static bool
read_query (const char *target, const char *name, char *value, size_t size)
{
  const char *at = strchr (target, '?');
  size_t length = strlen (name);

  while (at != NULL)
    {
      at++;
      if (strncmp (at, name, length) == 0 && at[length] == '=')
        {
          snprintf (value, size, "%.*s", (int)strcspn (at + length + 1, "&"),
                    at + length + 1);
          return true;
        }
      at = strchr (at, '&');
    }
  return false;
}

uint64_t
sst_read_number (const char *target, const char *name)
{
  char text[32];

  return read_query (target, name, text, sizeof text)
             ? strtoull (text, NULL, 10)
             : 0;
}

/* Replaces the escapes of a query value by their characters.  */
static void
decode_escapes (char *value)
{
  char *to = value;
  unsigned byte;

  for (const char *from = value; *from != '\0'; from++)
    if (*from == '%' && sscanf (from + 1, "%2x", &byte) == 1)
      {
        *to++ = (char)byte;
        from += 2;
      }
    else
      *to++ = *from;
  *to = '\0';
}

static void
list (struct sst *store, struct srv_exchange *exchange, const char *kind,
      const char *target)
{
  json_t *items = json_array ();
  char after[3 * SST_NAME_SIZE] = "";
  bool is_stale = store->stale_lists_limited
                  && strstr (target, PFM_ALLOW_STALE "=1") != NULL;
  const struct sst_object *object;

  if (read_query (target, PFM_AFTER, after, sizeof after))
    decode_escapes (after);
  else if (strcmp (store->entry_kind, kind) == 0)
    json_array_append_new (items, sst_text_mark (store->entry_text));
  object = is_stale && store->stale_count == 0
               ? NULL
               : sst_next_object (store, kind, after);
  for (size_t i = 0;
       object != NULL && (store->page_size == 0 || i < store->page_size); i++)
    {
      json_array_append_new (items, sst_object_json (object));
      object = sst_next_object (store, kind, object->name);
      if (is_stale && i + 1 >= store->stale_count)
        object = NULL;
    }
  sst_answer (store, exchange, 200,
              json_pack ("{s:o, s:b, s:I}", PFM_ITEMS, items, PFM_MORE,
                         object != NULL ? 1 : 0, PFM_AS_OF,
                         (json_int_t)store->revision));
}

/* Answers a write whose condition does not hold.  Returns whether it did.  */
static bool
refuse_condition (const struct sst *store, struct srv_exchange *exchange,
                  const struct sst_object *object, uint64_t revision)
{
  if (revision == 0 || object->revision == revision)
    return false;
  sst_answer (store, exchange, 409, sst_object_json (object));
  return true;
}

static void
write_object (struct sst *store, struct srv_exchange *exchange,
              const char *kind, const char *name,
              const struct htp_message *message)
{
  json_t *root
      = json_loadb (buf_text (&message->body), message->body.length, 0, NULL);
  const json_t *metadata = json_object_get (root, PFM_METADATA);
  uint64_t revision = (uint64_t)json_integer_value (
      json_object_get (metadata, PFM_REVISION));
  json_t *spec = json_object_get (root, PFM_SPEC);
  bool create = message->method == HTTP_POST;
  struct sst_object *object;

  if (create)
    name = json_string_value (json_object_get (metadata, PFM_NAME));
  object = name != NULL ? sst_find_object (store, kind, name) : NULL;
  if (name == NULL || spec == NULL)
    sst_answer (store, exchange, 400, NULL);
  else if (create && object != NULL)
    sst_answer (store, exchange, 409, sst_object_json (object));
  else if (!create && object == NULL)
    sst_answer (store, exchange, 404, NULL);
  else if (create || !refuse_condition (store, exchange, object, revision))
    sst_answer (store, exchange, 200,
                sst_object_json (
                    sst_put_object (store, kind, name, json_incref (spec))));
  json_decref (root);
}

/* Replaces the status of an object.  */
static void
write_status (struct sst *store, struct srv_exchange *exchange,
              const char *kind, const char *name,
              const struct htp_message *message)
{
  json_t *root
      = json_loadb (buf_text (&message->body), message->body.length, 0, NULL);
  const json_t *metadata = json_object_get (root, PFM_METADATA);
  uint64_t revision = (uint64_t)json_integer_value (
      json_object_get (metadata, PFM_REVISION));
  json_t *status = json_object_get (root, PFM_STATUS);
  struct sst_object *object = sst_find_object (store, kind, name);

  if (status == NULL)
    sst_answer (store, exchange, 400, NULL);
  else if (object == NULL)
    sst_answer (store, exchange, 404, NULL);
  else if (!refuse_condition (store, exchange, object, revision))
    {
      store->status_writes++;
      sst_replace_status (store, object, json_incref (status));
      sst_answer (store, exchange, 200, sst_object_json (object));
    }
  json_decref (root);
}

/* Cuts the path of a status off a name.  Returns whether it had one.  */
static bool
cut_status (char *name)
{
  size_t length = strlen (name);
  size_t end = strlen (PFM_STATUS_PATH);

  if (length <= end || strcmp (name + length - end, PFM_STATUS_PATH) != 0)
    return false;
  name[length - end] = '\0';
  return true;
}

static void
remove_call (struct sst *store, struct srv_exchange *exchange,
             struct sst_object *object, const char *target)
{
  if (object == NULL)
    sst_answer (store, exchange, 404, NULL);
  else if (!refuse_condition (store, exchange, object,
                              sst_read_number (target, PFM_REVISION)))
    {
      sst_remove_object (store, object);
      sst_answer (store, exchange, 200, json_object ());
    }
}

/* Does what a call asks for; EXCHANGE is null when its answer is lost.  */
void
sst_perform (struct sst *store, struct srv_exchange *exchange,
             struct htp_message *message)
{
  const char *target = htp_target (message);
  size_t prefix = strlen (PFM_OBJECTS_PATH);
  char path[SST_NAME_SIZE];
  char *name;

  if (strncmp (target, PFM_OBJECTS_PATH, prefix) != 0)
    {
      sst_answer (store, exchange, 404, NULL);
      return;
    }
  snprintf (path, sizeof path, "%.*s", (int)strcspn (target + prefix, "?"),
            target + prefix);
  name = strchr (path, '/');
  if (name != NULL)
    {
      *name++ = '\0';
      decode_escapes (name);
    }
  if (message->method == HTTP_PUT && name != NULL && cut_status (name))
    write_status (store, exchange, path, name, message);
  else if (message->method == HTTP_POST || message->method == HTTP_PUT)
    write_object (store, exchange, path, name, message);
  else if (message->method == HTTP_DELETE && name != NULL)
    remove_call (store, exchange, sst_find_object (store, path, name), target);
  else if (name != NULL)
    {
      struct sst_object *object = sst_find_object (store, path, name);

      sst_answer (store, exchange, object != NULL ? 200 : 404,
                  object != NULL ? sst_object_json (object) : NULL);
    }
  else if (strstr (target, PFM_WATCH "=") != NULL)
    sst_watch (store, exchange, path, target);
  else
    list (store, exchange, path, target);
}
