/* The object that lists a few nodes of a data centre for joining nodes.  */

#include "plt/plt_directory.h"

#include "plt/plt_json.h"

#include <stdio.h>
#include <string.h>

void
plt_directory_encode (const struct plt_directory *directory,
                      struct buf *output)
{
  char rows[PLT_DIRECTORY_MAX_ADDRESSES][NET_TEXT_SIZE];

  for (size_t i = 0; i < directory->address_count; i++)
    net_format (directory->addresses[i], rows[i]);
  plt_json_write (json_pack ("{s:o, s:I}", "addresses",
                             plt_json_rows (rows[0], NET_TEXT_SIZE,
                                            directory->address_count),
                             "written_at", (json_int_t)directory->written_at),
                  output);
}

enum plt_status
plt_directory_decode (const char *text, size_t length,
                      struct plt_directory *directory)
{
  char rows[PLT_DIRECTORY_MAX_ADDRESSES][NET_TEXT_SIZE];
  json_t *root = plt_json_parse ("directory object", text, length);
  bool valid;

  memset (directory, 0, sizeof *directory);
  if (root == NULL)
    return PLT_INVALID;
  valid
      = plt_json_texts (root, "addresses", rows[0], NET_TEXT_SIZE,
                        PLT_DIRECTORY_MAX_ADDRESSES, &directory->address_count)
        && plt_json_number (root, "written_at", 0, PLT_JSON_MAX,
                            &directory->written_at);
  for (size_t i = 0; valid && i < directory->address_count; i++)
    valid = net_parse (rows[i], &directory->addresses[i]);
  if (!valid)
    memset (directory, 0, sizeof *directory);
  return plt_json_finish (root, valid, "directory object");
}

void
plt_directory_key (const char *environment, const char *data_centre,
                   char key[PLT_KEY_SIZE])
{
  snprintf (key, PLT_KEY_SIZE, "directory/%s/%s", environment, data_centre);
}
