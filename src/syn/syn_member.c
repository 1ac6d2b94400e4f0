/* Records of nodes, the subscribers that receive them, and suspect reports. */

#include "base/log.h"
#include "base/mem.h"
#include "syn/syn_internal.h"

#include <stdlib.h>
#include <string.h>

/* Maximum number of records in one frame.  */
#define MEMBERS_PER_FRAME 128

/* Sends records on the link INBOUND, or to the parent PEER when INBOUND is
   null.  A nonzero ACKNOWLEDGE is the sequence that the receiver
   acknowledges.  */
static void
send_members (struct syn *sync, struct hub_inbound_link *inbound,
              dir_handle peer, Mesh__Member **members, size_t count,
              uint32_t acknowledge)
{
  Mesh__Members message = MESH__MEMBERS__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;
  uint64_t link;

  message.members = members;
  message.n_members = count;
  message.acknowledge = acknowledge;
  frame.body_case = MESH__FRAME__BODY_MEMBERS;
  frame.members = &message;
  if (inbound != NULL)
    hub_reply (sync->hub, inbound, &frame);
  else
    hub_send (sync->hub, peer, &frame, 0, &link);
}

/* Sends a record to all parents and subscribers except its source, which is an
   inbound link or a peer.  */
static void
propagate_member (struct syn *sync, const struct mbr_member *member,
                  const struct hub_inbound_link *source,
                  dir_handle source_peer, uint32_t acknowledge)
{
  Mesh__Member message;
  Mesh__Member *pointer = &message;

  mbr_member_to_wire (member, &message);
  for (struct syn_subscriber *subscriber = sync->subscribers;
       subscriber != NULL; subscriber = subscriber->next)
    if (subscriber->inbound != source)
      send_members (sync, subscriber->inbound, DIR_NONE, &pointer, 1, 0);
  for (size_t i = 0; i < REL_MAX_PARENTS; i++)
    if (sync->parents[i] != DIR_NONE && sync->parents[i] != source_peer)
      send_members (sync, NULL, sync->parents[i], &pointer, 1, acknowledge);
}

void
syn_publish (struct syn *sync, const struct mbr_member *member)
{
  const struct mbr_member *self = dir_get (sync->directory, sync->self);
  bool own = strcmp (member->name, self->name) == 0;

  propagate_member (sync, member, NULL, DIR_NONE,
                    own ? (uint32_t)member->sequence : 0);
}

void
syn_return_record (struct syn *sync, struct hub_inbound_link *inbound,
                   dir_handle peer, const struct mbr_member *record)
{
  Mesh__Member message;
  Mesh__Member *pointer = &message;

  mbr_member_to_wire (record, &message);
  send_members (sync, inbound, peer, &pointer, 1, 0);
}

/* Sends all records of the directory to a subscriber.  */
static void
send_directory (struct syn *sync, struct hub_inbound_link *inbound)
{
  Mesh__Member messages[MEMBERS_PER_FRAME];
  Mesh__Member *pointers[MEMBERS_PER_FRAME];
  size_t count = 0;

  for (dir_handle i = 0; i < dir_handle_limit (sync->directory); i++)
    {
      const struct mbr_member *member = dir_get (sync->directory, i);

      if (member == NULL)
        continue;
      mbr_member_to_wire (member, &messages[count]);
      pointers[count] = &messages[count];
      if (++count == MEMBERS_PER_FRAME)
        {
          send_members (sync, inbound, DIR_NONE, pointers, count, 0);
          count = 0;
        }
    }
  if (count > 0)
    send_members (sync, inbound, DIR_NONE, pointers, count, 0);
}

struct syn_subscriber **
syn_find_subscriber (struct syn *sync, const struct hub_inbound_link *inbound)
{
  struct syn_subscriber **position = &sync->subscribers;

  while (*position != NULL && (*position)->inbound != inbound)
    position = &(*position)->next;
  return position;
}

static void
remove_subscriber (struct syn *sync, const struct hub_inbound_link *inbound)
{
  struct syn_subscriber **position = syn_find_subscriber (sync, inbound);
  struct syn_subscriber *subscriber = *position;

  if (subscriber == NULL)
    return;
  *position = subscriber->next;
  free (subscriber);
}

void
syn_remove_subscriber (struct syn *sync,
                       const struct hub_inbound_link *inbound)
{
  remove_subscriber (sync, inbound);
  syn_transfer_cancel (sync, inbound);
}

/* Handles a record from another node.  */
static void
handle_member (struct syn *sync, const Mesh__Member *message,
               const struct hub_inbound_link *source, dir_handle source_peer)
{
  struct mbr_member member;

  if (!mbr_member_from_wire (message, &member))
    {
      log_write (LOG_WARNING, "syn",
                 "ignored an invalid node record from another node");
      return;
    }
  if (sync->hooks.member_received (sync->hooks.context, &member))
    propagate_member (sync, &member, source, source_peer, 0);
}

void
syn_handle_subscribe (struct syn *sync, struct hub_inbound_link *inbound,
                      const Mesh__Subscribe *message)
{
  struct syn_subscriber **position = syn_find_subscriber (sync, inbound);
  struct syn_subscriber *subscriber = *position;

  if (message->end)
    {
      remove_subscriber (sync, inbound);
      return;
    }
  if (message->member != NULL)
    handle_member (sync, message->member, inbound, DIR_NONE);
  if (subscriber == NULL)
    {
      subscriber = mem_alloc (1, sizeof *subscriber);
      subscriber->inbound = inbound;
      *position = subscriber;
    }
  if (message->held != NULL)
    subscriber->held
        = (struct snp_stamp){ message->held->version, message->held->hash };
  syn_transfer_cancel_held (sync, inbound, subscriber->held);
  if (message->directory != dir_digest (sync->directory))
    send_directory (sync, inbound);
  /* What the other modules send must be known before the first
     configuration, with which the subscriber begins to place calls.  */
  sync->hooks.subscribed (sync->hooks.context, inbound);
  syn_push_version (sync, subscriber);
}

/* Returns whether the directory has exactly this record.  It has not when a
   record with a higher incarnation was known, which a node whose clock was set
   back may send before it learns of that.  */
static bool
holds_record (const struct syn *sync, const Mesh__Member *message)
{
  struct mbr_member member;
  const struct mbr_member *known;

  if (!mbr_member_from_wire (message, &member))
    return false;
  known = dir_get (sync->directory, dir_find (sync->directory, member.name));
  return known != NULL && mbr_member_equal (known, &member);
}

static bool
holds_records (const struct syn *sync, const Mesh__Members *message)
{
  for (size_t i = 0; i < message->n_members; i++)
    if (!holds_record (sync, message->members[i]))
      return false;
  return true;
}

void
syn_handle_members (struct syn *sync, const Mesh__Members *message,
                    struct hub_inbound_link *source, dir_handle source_peer)
{
  Mesh__MembersAck ack = MESH__MEMBERS_ACK__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  for (size_t i = 0; i < message->n_members; i++)
    handle_member (sync, message->members[i], source, source_peer);
  if (message->acknowledge == 0 || source == NULL
      || !holds_records (sync, message))
    return;
  ack.acknowledge = message->acknowledge;
  frame.body_case = MESH__FRAME__BODY_MEMBERS_ACK;
  frame.members_ack = &ack;
  hub_reply (sync->hub, source, &frame);
}

void
syn_report_suspect (struct syn *sync, dir_handle peer)
{
  const struct mbr_member *member = dir_get (sync->directory, peer);
  Mesh__Suspect message = MESH__SUSPECT__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;
  uint64_t link;

  if (sync->is_watcher)
    {
      sync->hooks.peer_suspected (sync->hooks.context, peer);
      return;
    }
  message.name = (char *)member->name;
  message.incarnation = member->incarnation;
  frame.body_case = MESH__FRAME__BODY_SUSPECT;
  frame.suspect = &message;
  for (size_t i = 0; i < REL_MAX_PARENTS; i++)
    if (sync->parents[i] != DIR_NONE && sync->parents[i] != peer)
      hub_send (sync->hub, sync->parents[i], &frame, 0, &link);
}

void
syn_handle_suspect (struct syn *sync, const Mesh__Suspect *message)
{
  dir_handle peer = dir_find (sync->directory, message->name);
  const struct mbr_member *member = dir_get (sync->directory, peer);

  if (member != NULL && peer != sync->self
      && member->incarnation <= message->incarnation
      && member->state != MBR_DEAD)
    syn_report_suspect (sync, peer);
}
