/* The versions in an environment's history.  */

#include "cli/cli_versions.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_LISTS 100

static int
compare_configs (const void *left, const void *right)
{
  const struct plt_config *a = left;
  const struct plt_config *b = right;

  return (a->version < b->version) - (a->version > b->version);
}

/* Adds the entries of one list that are at most HIGHEST.  An entry that
   cannot be read is passed over.  */
static void
add_entries (struct cli_versions *versions, const struct plt_list *list,
             uint64_t highest)
{
  size_t first = versions->count;

  versions->configs
      = realloc (versions->configs,
                 (first + list->count + 1) * sizeof (struct plt_config));
  if (versions->configs == NULL)
    abort ();
  for (size_t i = 0; i < list->count; i++)
    {
      struct plt_config *config = &versions->configs[versions->count];

      if (plt_config_decode (buf_text (&list->objects[i].value),
                             list->objects[i].value.length, config)
          != PLT_OK)
        continue;
      if (config->version <= highest)
        versions->count++;
      else
        plt_config_close (config);
    }
  qsort (versions->configs + first, versions->count - first,
         sizeof (struct plt_config), compare_configs);
}

enum plt_status
cli_versions_load (struct cli_session *session, uint64_t highest, size_t limit,
                   struct cli_versions *versions)
{
  uint64_t tens = highest / 10;
  char prefix[PLT_KEY_SIZE];

  memset (versions, 0, sizeof *versions);
  for (int i = 0; i < MAX_LISTS && versions->count < limit; i++)
    {
      struct plt_list list;
      enum plt_status status;

      /* The key's last digit is left out.  */
      snprintf (prefix, sizeof prefix, "history/%s/%019" PRIu64,
                session->environment, tens);
      status = session->client.operations->list (
          session->client.state, prefix, clk_now () + CLI_READ_LIMIT, &list);
      if (status != PLT_OK)
        {
          cli_versions_close (versions);
          return status;
        }
      add_entries (versions, &list, highest);
      plt_list_close (&list);
      if (tens-- == 0)
        break;
    }
  while (versions->count > limit)
    plt_config_close (&versions->configs[--versions->count]);
  return PLT_OK;
}

void
cli_versions_close (struct cli_versions *versions)
{
  for (size_t i = 0; i < versions->count; i++)
    plt_config_close (&versions->configs[i]);
  free (versions->configs);
  memset (versions, 0, sizeof *versions);
}
