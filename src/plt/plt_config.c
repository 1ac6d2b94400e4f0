/* The object that holds an environment's document.  */

#include "plt/plt_config.h"

#include "plt/plt_json.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

void
plt_config_encode (const struct plt_config *config, struct buf *output)
{
  plt_json_write (
      json_pack ("{s:I, s:s, s:s, s:s, s:I, s:s%}", "version",
                 (json_int_t)config->version, "change_id", config->change_id,
                 "author", config->author, "note", config->note, "written_at",
                 (json_int_t)config->written_at, "document",
                 buf_text (&config->document), config->document.length),
      output);
}

static bool
decode_document (const json_t *root, struct buf *document)
{
  const json_t *value = json_object_get (root, "document");
  const char *text = json_string_value (value);
  size_t length = json_string_length (value);

  /* A null byte is not valid in TOML, and would cut the text short for every
     reader that takes it as a C string.  */
  if (text == NULL || strlen (text) != length)
    return false;
  buf_append (document, text, length);
  return true;
}

enum plt_status
plt_config_decode (const char *text, size_t length, struct plt_config *config)
{
  json_t *root = plt_json_parse ("configuration object", text, length);
  bool valid;

  memset (config, 0, sizeof *config);
  if (root == NULL)
    return PLT_INVALID;
  valid = plt_json_number (root, "version", 1, PLT_JSON_MAX, &config->version)
          && plt_json_text (root, "change_id", config->change_id,
                            sizeof config->change_id)
          && plt_json_text (root, "author", config->author,
                            sizeof config->author)
          && plt_json_text (root, "note", config->note, sizeof config->note)
          && plt_json_number (root, "written_at", 0, PLT_JSON_MAX,
                              &config->written_at)
          && decode_document (root, &config->document);
  if (!valid)
    memset (config, 0, sizeof *config);
  return plt_json_finish (root, valid, "configuration object");
}

void
plt_config_close (struct plt_config *config)
{
  buf_close (&config->document);
}

void
plt_config_key (const char *environment, char key[PLT_KEY_SIZE])
{
  snprintf (key, PLT_KEY_SIZE, "config/%s", environment);
}

void
plt_config_history_key (const char *environment, uint64_t version,
                        char key[PLT_KEY_SIZE])
{
  snprintf (key, PLT_KEY_SIZE, "history/%s/%020" PRIu64, environment, version);
}
