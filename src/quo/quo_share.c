/* Part of the rate of an owner that cannot see all nodes.  */

#include "quo/quo_share.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

void
quo_share_init (struct quo_share *share)
{
  *share = (struct quo_share){ .part = 1, .seen = 1 };
}

void
quo_share_close (struct quo_share *share)
{
  free (share->silent);
  share->silent = NULL;
  share->count = 0;
}

static void
reserve (struct quo_share *share, dir_handle count)
{
  if (count <= share->count)
    return;
  share->silent = mem_resize (share->silent, count, sizeof *share->silent);
  memset (share->silent + share->count, 0,
          (count - share->count) * sizeof *share->silent);
  share->count = count;
}

void
quo_share_note_silent (struct quo_share *share, dir_handle node)
{
  reserve (share, node + 1);
  share->silent[node] = true;
}

void
quo_share_forget (struct quo_share *share, dir_handle node)
{
  if (node < share->count)
    share->silent[node] = false;
}

/* What is seen of the nodes of one data centre.  */
struct centre
{
  const char *name;
  unsigned connected;
  unsigned silent;
};

/* Data centres that are distinguished.  */
#define MAX_CENTRES 32

static struct centre *
find_centre (struct centre *centres, const char *name)
{
  for (size_t i = 0; i < MAX_CENTRES; i++)
    {
      if (centres[i].name == NULL)
        centres[i].name = name;
      if (strcmp (centres[i].name, name) == 0)
        return &centres[i];
    }
  return NULL;
}

/* Takes in how each node is seen.  A dead one stays as it was last.  */
static void
look_at_nodes (struct quo_share *share, const struct dir *directory,
               enum quo_link_state (*look) (void *context, dir_handle node),
               void *context, enum quo_link_state *states,
               struct centre *centres)
{
  for (dir_handle node = 0; node < dir_handle_limit (directory); node++)
    {
      const struct mbr_member *member = dir_get (directory, node);
      struct centre *centre;

      states[node] = QUO_UNKNOWN;
      if (member == NULL || member->state == MBR_DEAD)
        continue;
      states[node] = look (context, node);
      if (states[node] == QUO_SILENT)
        share->silent[node] = true;
      else if (states[node] == QUO_CONNECTED)
        share->silent[node] = false;
      centre = find_centre (centres, member->data_centre);
      if (centre == NULL)
        continue;
      if (states[node] == QUO_CONNECTED)
        centre->connected++;
      else if (share->silent[node] && states[node] != QUO_UNKNOWN)
        centre->silent++;
    }
}

/* Returns the part of the known nodes that are not silent.  */
static double
count_part (struct quo_share *share, const struct dir *directory,
            const enum quo_link_state *states, struct centre *centres)
{
  size_t known = 0;
  size_t silent = 0;

  for (dir_handle node = 0; node < dir_handle_limit (directory); node++)
    {
      const struct mbr_member *member = dir_get (directory, node);
      const struct centre *centre;

      if (member == NULL)
        continue;
      centre = find_centre (centres, member->data_centre);
      if (member->state != MBR_DEAD && centre != NULL
          && (states[node] == QUO_UNKNOWN
              || (states[node] == QUO_DISCONNECTED && !share->silent[node])))
        share->silent[node] = centre->silent > centre->connected;
      if (member->state != MBR_DEAD || share->silent[node])
        known++;
      if (share->silent[node])
        silent++;
    }
  return known > 0 ? (double)(known - silent) / (double)known : 1;
}

double
quo_share_check (struct quo_share *share, const struct dir *directory,
                 enum quo_link_state (*look) (void *context, dir_handle node),
                 void *context, clk_time now)
{
  dir_handle limit = dir_handle_limit (directory);
  struct centre centres[MAX_CENTRES] = { 0 };
  enum quo_link_state *states = mem_alloc (limit, sizeof *states);

  reserve (share, limit);
  look_at_nodes (share, directory, look, context, states, centres);
  share->seen = count_part (share, directory, states, centres);
  free (states);
  if (share->seen <= share->part)
    {
      share->part = share->seen;
      share->rise_at = now + QUO_SHARE_HOLD;
    }
  else if (now >= share->rise_at)
    share->part = share->seen;
  return share->part;
}

bool
quo_share_is_silent (const struct quo_share *share, dir_handle node)
{
  return node < share->count && share->silent[node];
}

double
quo_share_of_centre (const struct quo_share *share,
                     const struct dir *directory, dir_handle self)
{
  const char *own = dir_get (directory, self)->data_centre;
  size_t known = 0;
  size_t near = 0;

  for (dir_handle node = 0; node < dir_handle_limit (directory); node++)
    {
      const struct mbr_member *member = dir_get (directory, node);
      bool silent = quo_share_is_silent (share, node);

      if (member == NULL || (member->state == MBR_DEAD && !silent))
        continue;
      known++;
      if (!silent && strcmp (member->data_centre, own) == 0)
        near++;
    }
  return (double)near / (double)known;
}
