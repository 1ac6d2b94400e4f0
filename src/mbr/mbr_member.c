/* Conversion of member records from and to the wire.  */

#include "mbr/mbr_member.h"

#include <string.h>

void
mbr_member_to_wire (const struct mbr_member *member, Mesh__Member *message)
{
  mesh__member__init (message);
  message->name = (char *)member->name;
  message->data_centre = (char *)member->data_centre;
  message->region = (char *)member->region;
  message->service = (char *)member->service;
  message->upstream = (char *)member->upstream;
  message->incarnation = member->incarnation;
  message->sequence = member->sequence;
  message->state = member->state;
  message->ip = member->address.ip;
  message->port = member->address.port;
  message->slots = member->slots;
  message->upstream_born = member->upstream_born;
  message->upstream_leaving = member->upstream_leaving;
  message->platform_distance = member->platform_distance;
  message->capacity = member->capacity;
  message->upstream_version = (char *)member->version;
}

static bool
copy_name (char *to, const char *from)
{
  size_t length = strlen (from);

  if (length >= MBR_NAME_SIZE)
    return false;
  memcpy (to, from, length + 1);
  return true;
}

bool
mbr_member_from_wire (const Mesh__Member *message, struct mbr_member *member)
{
  memset (member, 0, sizeof *member);
  member->incarnation = message->incarnation;
  member->sequence = message->sequence;
  member->state = (enum mbr_state)message->state;
  member->address.ip = message->ip;
  member->address.port = (uint16_t)message->port;
  member->slots = message->slots;
  member->upstream_born = message->upstream_born;
  member->upstream_leaving = message->upstream_leaving != 0;
  member->platform_distance = message->platform_distance;
  member->capacity = message->capacity;
  return message->name[0] != '\0' && message->state <= MBR_DEAD
         && message->port <= UINT16_MAX
         && copy_name (member->name, message->name)
         && copy_name (member->data_centre, message->data_centre)
         && copy_name (member->region, message->region)
         && copy_name (member->service, message->service)
         && copy_name (member->upstream, message->upstream)
         && copy_name (member->version, message->upstream_version);
}

bool
mbr_member_equal (const struct mbr_member *left,
                  const struct mbr_member *right)
{
  return strcmp (left->name, right->name) == 0
         && strcmp (left->data_centre, right->data_centre) == 0
         && strcmp (left->region, right->region) == 0
         && strcmp (left->service, right->service) == 0
         && strcmp (left->upstream, right->upstream) == 0
         && strcmp (left->version, right->version) == 0
         && left->incarnation == right->incarnation
         && left->sequence == right->sequence
         && net_equal (left->address, right->address)
         && left->slots == right->slots && left->state == right->state
         && left->upstream_born == right->upstream_born
         && left->upstream_leaving == right->upstream_leaving
         && left->platform_distance == right->platform_distance
         && left->capacity == right->capacity;
}

bool
mbr_member_equivalent (const struct mbr_member *left,
                       const struct mbr_member *right)
{
  struct mbr_member copy = *left;

  copy.incarnation = right->incarnation;
  copy.sequence = right->sequence;
  copy.platform_distance = right->platform_distance;
  copy.state = right->state;
  return mbr_member_equal (&copy, right);
}

const char *
mbr_state_name (enum mbr_state state)
{
  static const char *const names[] = { "alive", "suspect", "leaving", "dead" };

  return names[state];
}
