/* Builds datagrams: version stamp, message and piggybacked records.  */

#include "dst/dst_state.h"
#include "wire/frm.h"

#include <string.h>

/* IPv4 and UDP headers of a datagram.  */
#define HEADERS 28
/* Keeps probes small; some changes at once spread over several probes.  */
#define USUAL_UPDATES 8
#define USUAL_UPDATE_BYTES 400
/* When hundreds of nodes start at once, completeness matters more.  */
#define MAX_UPDATES 24
#define MAX_UPDATE_BYTES 1100

Mesh__Stamp
dst_to_wire (struct snp_stamp stamp)
{
  Mesh__Stamp message = MESH__STAMP__INIT;

  message.version = stamp.version;
  message.hash = stamp.hash;
  return message;
}

struct snp_stamp
dst_from_wire (const Mesh__Stamp *stamp)
{
  struct snp_stamp result = { 0 };

  if (stamp != NULL)
    {
      result.version = stamp->version;
      result.hash = stamp->hash;
    }
  return result;
}

void
dst_count (struct dst *dst, enum dst_traffic kind, bool far, uint64_t bytes)
{
  dst->counters.bytes[kind][far] += bytes;
}

void
dst_send (struct dst *dst, struct net_address to, const char *to_name,
          Mesh__Datagram *datagram, enum dst_traffic kind,
          struct dst_actions *actions)
{
  const struct mbr_member *self = mbr_self (dst->mbr);
  const struct mbr_entry *receiver = mbr_find (dst->mbr, to_name);
  Mesh__Stamp held = dst_to_wire (dst->held);
  Mesh__Member updates[MAX_UPDATES];
  Mesh__Member *pointers[MAX_UPDATES];
  struct dst_action *action;
  size_t length, used = 0;
  bool many = mbr_pending (dst->mbr) > MBR_MANY_PENDING;
  bool far = receiver != NULL
             && strcmp (receiver->member.region, self->region) != 0;

  datagram->protocol = FRM_PROTOCOL;
  datagram->mesh = dst->settings.mesh;
  datagram->from = (char *)self->name;
  datagram->incarnation = self->incarnation;
  if (dst->held.version != 0)
    datagram->held = &held;
  if (dst->settings.options.staging)
    datagram->effective = dst->effective.version;
  /* A node that has not joined does not announce itself.  */
  if (kind == DST_PROBES && dst->joined)
    datagram->n_updates = mbr_take_updates (
        dst->mbr, to_name, updates, many ? MAX_UPDATES : USUAL_UPDATES,
        many ? MAX_UPDATE_BYTES : USUAL_UPDATE_BYTES, &used);
  for (size_t i = 0; i < datagram->n_updates; i++)
    pointers[i] = &updates[i];
  datagram->updates = pointers;
  length = mesh__datagram__get_packed_size (datagram);
  if (length <= DST_MAX_DATAGRAM)
    {
      action = dst_actions_add (actions, DST_SEND);
      action->address = to;
      buf_reserve (&action->data, length);
      action->data.length = mesh__datagram__pack (datagram, action->data.data);
      dst->counters.datagrams++;
      dst_count (dst, kind, far, length - used + HEADERS);
      dst_count (dst, DST_UPDATES, far, used);
    }
  datagram->held = NULL;
  datagram->updates = NULL;
  datagram->n_updates = 0;
}

void
dst_send_probe (struct dst *dst, struct net_address to, const char *to_name,
                struct dst_actions *actions)
{
  Mesh__Datagram datagram = MESH__DATAGRAM__INIT;
  Mesh__Probe probe = MESH__PROBE__INIT;

  datagram.body_case = MESH__DATAGRAM__BODY_PROBE;
  datagram.probe = &probe;
  dst_send (dst, to, to_name, &datagram, DST_PROBES, actions);
}

void
dst_send_outbox (struct dst *dst, const struct mbr_outbox *outbox,
                 struct dst_actions *actions)
{
  for (size_t i = 0; i < outbox->count; i++)
    {
      const struct mbr_message *message = &outbox->messages[i];
      Mesh__Datagram datagram = MESH__DATAGRAM__INIT;
      Mesh__Probe probe = MESH__PROBE__INIT;
      Mesh__ProbeRequest request = MESH__PROBE_REQUEST__INIT;
      Mesh__ProbeAck ack = MESH__PROBE_ACK__INIT;

      switch (message->kind)
        {
        case MBR_PROBE:
          datagram.body_case = MESH__DATAGRAM__BODY_PROBE;
          datagram.probe = &probe;
          probe.nonce = message->nonce;
          break;
        case MBR_PROBE_REQUEST:
          datagram.body_case = MESH__DATAGRAM__BODY_PROBE_REQUEST;
          datagram.probe_request = &request;
          request.nonce = message->nonce;
          request.target = (char *)message->name;
          break;
        case MBR_ACK:
          datagram.body_case = MESH__DATAGRAM__BODY_PROBE_ACK;
          datagram.probe_ack = &ack;
          ack.nonce = message->nonce;
          ack.subject = (char *)message->name;
          ack.digest = mbr_digest (dst->mbr);
          break;
        }
      dst_send (dst, message->to, message->to_name, &datagram, DST_PROBES,
                actions);
    }
}

void
dst_send_applied (struct dst *dst, struct net_address to, const char *to_name,
                  struct dst_actions *actions)
{
  Mesh__Datagram datagram = MESH__DATAGRAM__INIT;
  Mesh__Applied applied = MESH__APPLIED__INIT;
  Mesh__Stamp rejected = dst_to_wire (dst->rejected);

  /* The envelope carries the held stamp.  */
  datagram.body_case = MESH__DATAGRAM__BODY_APPLIED;
  datagram.applied = &applied;
  if (dst->rejected.version > dst->held.version)
    {
      applied.rejected = &rejected;
      applied.reason = dst->reason;
    }
  dst_send (dst, to, to_name, &datagram, DST_ANNOUNCEMENTS, actions);
}
