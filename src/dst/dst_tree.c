/* Announcements and the tree that they follow.  */

#include "dst/dst_tree.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

void
dst_announce (struct dst *dst, const struct mbr_member *to,
              const struct dst_announcement *how, struct dst_actions *actions)
{
  Mesh__Datagram datagram = MESH__DATAGRAM__INIT;
  Mesh__Announcement message = MESH__ANNOUNCEMENT__INIT;
  Mesh__Stamp base = dst_to_wire (dst->delta_base);
  Mesh__Stamp result = dst_to_wire (dst->held);

  datagram.body_case = MESH__DATAGRAM__BODY_ANNOUNCEMENT;
  datagram.announcement = &message;
  message.result = &result;
  message.root = (char *)how->root;
  message.acknowledge = how->acknowledge;
  if (how->with_delta && dst->delta.length > 0
      && dst->delta.length <= DST_MAX_ANNOUNCEMENT)
    {
      message.base_stamp = &base;
      message.delta.data = dst->delta.data;
      message.delta.len = dst->delta.length;
      /* 160 bytes leave room for the envelope's names and stamps.  */
      if (mesh__announcement__get_packed_size (&message) + 160
          > DST_MAX_ANNOUNCEMENT)
        {
          message.base_stamp = NULL;
          message.delta.len = 0;
        }
    }
  dst_send (dst, to->address, to->name, &datagram, DST_ANNOUNCEMENTS, actions);
}

struct place
{
  uint64_t order;
  const struct mbr_member *member;
};

static int
compare_places (const void *left, const void *right)
{
  const struct place *a = left;
  const struct place *b = right;

  if (a->order != b->order)
    return a->order < b->order ? -1 : 1;
  return strcmp (a->member->name, b->member->name);
}

/* Lists the live members of the own data centre but ROOT in tree order.  */
static size_t
list_places (const struct dst *dst, const char *root, struct place *places)
{
  const struct mbr_member *self = mbr_self (dst->mbr);
  size_t count = 0;

  for (size_t i = 0; i < mbr_count (dst->mbr); i++)
    {
      const struct mbr_entry *entry = mbr_at (dst->mbr, i);

      if (entry->member.state > MBR_SUSPECT
          || strcmp (entry->member.data_centre, self->data_centre) != 0
          || strcmp (entry->member.name, root) == 0)
        continue;
      places[count].order = XXH3_64bits_withSeed (
          &entry->name_hash, sizeof entry->name_hash, dst->held.version);
      places[count].member = &entry->member;
      count++;
    }
  qsort (places, count, sizeof *places, compare_places);
  return count;
}

/* Sends to the own children in the tree of ROOT.  */
static void
send_down (struct dst *dst, const char *root, bool with_delta,
           struct dst_actions *actions)
{
  const struct mbr_member *self = mbr_self (dst->mbr);
  struct dst_announcement how = { root, with_delta, false };
  struct place *places;
  size_t count, own = 0;

  places = mem_alloc (mbr_count (dst->mbr), sizeof *places);
  count = list_places (dst, root, places);
  /* The root has place 0, the others 1 to COUNT.  */
  if (strcmp (root, self->name) != 0)
    while (own < count && places[own++].member != self)
      ;
  for (size_t child = DST_FAN_OUT * own + 1;
       child <= DST_FAN_OUT * (own + 1) && child <= count; child++)
    dst_announce (dst, places[child - 1].member, &how, actions);
  free (places);
}

void
dst_forward (struct dst *dst, const char *root, struct dst_actions *actions)
{
  if (dst->forwarded == dst->held.version)
    return;
  dst->forwarded = dst->held.version;
  send_down (dst, root, true, actions);
}

void
dst_forward_commit (struct dst *dst, const char *root,
                    struct dst_actions *actions)
{
  if (dst->commit_forwarded == dst->held.version)
    return;
  dst->commit_forwarded = dst->held.version;
  send_down (dst, root, false, actions);
}
