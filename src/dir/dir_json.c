/* Node records as JSON, the content of their objects in the platform's
   store.  */

#include "base/err.h"
#include "dir/dir.h"

#include <string.h>

json_t *
dir_to_json (const struct mbr_member *member)
{
  char address[NET_TEXT_SIZE];

  net_format (member->address, address);
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:i, s:I, s:b, s:i, s:i, "
      "s:s, s:I}",
      "node", member->name, "data_centre", member->data_centre, "region",
      member->region, "address", address, "service", member->service,
      "upstream", member->upstream, "incarnation",
      (json_int_t)member->incarnation, "sequence",
      (json_int_t)member->sequence, "slots", (int)member->slots,
      "upstream_born", (json_int_t)member->upstream_born, "upstream_leaving",
      (int)member->upstream_leaving, "platform_distance_ms",
      (int)member->platform_distance, "capacity", (int)member->capacity,
      "upstream_version", member->version, "mesh_size",
      (json_int_t)member->mesh_size);
}

static bool
copy_name (const char *from, bool optional, char to[MBR_NAME_SIZE])
{
  size_t length = strlen (from);

  if (length >= MBR_NAME_SIZE || (length == 0 && !optional))
    return false;
  memcpy (to, from, length + 1);
  return true;
}

/* Largest values that are accepted.  A record beyond them was not written by a
   node, and no later record of that node would count as newer.  The
   incarnation is a time in ms since the epoch; this one is in the year 2100.
   The sequence counts the changes of one process.  */
#define MAX_INCARNATION ((json_int_t)4102444800000)
#define MAX_SEQUENCE ((json_int_t)1 << 53)
#define MAX_SLOTS 100000

bool
dir_from_json (const json_t *content, struct mbr_member *member)
{
  const char *name;
  const char *data_centre;
  const char *region;
  const char *address;
  const char *service;
  const char *upstream;
  const char *version = "";
  json_int_t incarnation;
  json_int_t sequence;
  json_int_t start_ms;
  int slots;
  int leaving;
  int rtt_ms;
  int capacity;
  int mesh_size = 0;

  memset (member, 0, sizeof *member);
  if (json_unpack ((json_t *)content,
                   "{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:i, s:I, s:b, "
                   "s:i, s:i, s?s, s?i}",
                   "node", &name, "data_centre", &data_centre, "region",
                   &region, "address", &address, "service", &service,
                   "upstream", &upstream, "incarnation", &incarnation,
                   "sequence", &sequence, "slots", &slots, "upstream_born",
                   &start_ms, "upstream_leaving", &leaving,
                   "platform_distance_ms", &rtt_ms, "capacity", &capacity,
                   "upstream_version", &version, "mesh_size", &mesh_size)
          != 0
      || !copy_name (name, false, member->name)
      || !copy_name (data_centre, false, member->data_centre)
      || !copy_name (region, false, member->region)
      || !copy_name (service, true, member->service)
      || !copy_name (upstream, true, member->upstream)
      || !copy_name (version, true, member->version)
      || !net_parse (address, &member->address) || member->address.port == 0
      || incarnation < 0 || incarnation > MAX_INCARNATION || sequence < 0
      || sequence > MAX_SEQUENCE || start_ms < 0 || slots < 0
      || slots > MAX_SLOTS || rtt_ms < 0 || capacity < 0 || mesh_size < 0)
    {
      err_set ("a field of the node record is missing or invalid");
      return false;
    }
  member->incarnation = (uint64_t)incarnation;
  member->sequence = (uint64_t)sequence;
  member->upstream_born = (uint64_t)start_ms;
  member->slots = (uint32_t)slots;
  member->upstream_leaving = leaving != 0;
  member->platform_distance = (uint32_t)rtt_ms;
  member->capacity = (uint32_t)capacity;
  member->mesh_size = (uint32_t)mesh_size;
  member->state = MBR_ALIVE;
  return true;
}
