/* Handles received datagrams: piggybacked records, version stamps, and the
   message itself.  */

#include "dst/dst_state.h"
#include "wire/frm.h"

#include <stdio.h>
#include <string.h>

/* A probe that shows a newer version may only be faster than the announcement
   that is under way.  */
#define REPAIR_DELAY (400 * CLK_MILLISECOND)

static void
merge_updates (struct dst *dst, const Mesh__Datagram *datagram, clk_time now)
{
  for (size_t i = 0; i < datagram->n_updates; i++)
    {
      struct mbr_member member;

      if (mbr_member_from_wire (datagram->updates[i], &member))
        mbr_merge (dst->mbr, &member, MBR_GOSSIP, now);
      else
        dst->counters.invalid++;
    }
}

/* Notes what the sender holds and that it is reachable.  */
static void
note_sender (struct dst *dst, const Mesh__Datagram *datagram,
             struct dst_origin *origin, clk_time now)
{
  struct mbr_entry *entry = mbr_find (dst->mbr, datagram->from);
  const struct mbr_member *self = mbr_self (dst->mbr);
  struct snp_stamp held = dst_from_wire (datagram->held);
  bool other_region;

  snprintf (origin->name, MBR_NAME_SIZE, "%s", datagram->from);
  if (entry == NULL)
    return;
  memcpy (origin->region, entry->member.region, MBR_NAME_SIZE);
  memcpy (origin->data_centre, entry->member.data_centre, MBR_NAME_SIZE);
  if (entry->member.incarnation == datagram->incarnation)
    entry->held = held.version;
  other_region = strcmp (origin->region, self->region) != 0;
  /* The region relay listens to the platform's region, the other relays to
     the region relay.  */
  if (strcmp (origin->region, dst->settings.platform_region) == 0
      || (!dst->roles.region_relay && !other_region
          && strcmp (origin->data_centre, self->data_centre) != 0))
    dst->heard_platform_region = now;
  dst_acknowledge (dst, origin->data_centre, origin->region, held.version);
}

static void
note_version (struct dst *dst, struct net_address from,
              const Mesh__Datagram *datagram, const struct dst_origin *origin,
              clk_time now)
{
  struct snp_stamp held = dst_from_wire (datagram->held);

  if (dst->settings.options.no_repair || !dst->joined || held.version == 0
      || datagram->body_case == MESH__DATAGRAM__BODY_ANNOUNCEMENT)
    return;
  if (dst_wants (dst, held) && !ver_equal (held, dst->behind.stamp))
    dst_set_behind (dst, held, from, origin,
                    dst_jitter (dst, now, REPAIR_DELAY));
}

static void
note_rejection (struct dst *dst, const Mesh__Applied *applied,
                const struct dst_origin *origin)
{
  struct snp_stamp rejected = dst_from_wire (applied->rejected);

  if (rejected.version == 0)
    return;
  dst_acknowledge (dst, origin->data_centre, origin->region, rejected.version);
  if (rejected.version > dst->rejected.version)
    /* Only for the status: this node may hold the version itself.  The status
       is written at its usual pace, however many members reject.  */
    snprintf (dst->reason, sizeof dst->reason, "%s: %.90s", origin->name,
              applied->reason);
}

static void
handle_body (struct dst *dst, struct net_address from,
             const Mesh__Datagram *datagram, const struct dst_origin *origin,
             clk_time now, struct dst_actions *actions)
{
  struct mbr_outbox outbox = { 0 };
  const struct mbr_entry *entry = mbr_find (dst->mbr, datagram->from);
  const char *subject;

  switch (datagram->body_case)
    {
    case MESH__DATAGRAM__BODY_PROBE:
      mbr_on_probe (from, datagram->from, datagram->probe->nonce, &outbox);
      /* A sender that is not known brings its own data centre.  */
      if (entry == NULL && dst->joined)
        dst_sync_digest (dst, from, NULL, ~mbr_digest (dst->mbr), now,
                         actions);
      break;
    case MESH__DATAGRAM__BODY_PROBE_REQUEST:
      mbr_on_probe_request (dst->mbr, from, datagram->from,
                            datagram->probe_request->nonce,
                            datagram->probe_request->target, now, &outbox);
      break;
    case MESH__DATAGRAM__BODY_PROBE_ACK:
      subject = datagram->probe_ack->subject;
      mbr_on_ack (dst->mbr, datagram->probe_ack->nonce,
                  subject[0] != '\0' ? subject : datagram->from, now, &outbox);
      if (dst->joined)
        dst_sync_digest (dst, from, entry, datagram->probe_ack->digest, now,
                         actions);
      break;
    case MESH__DATAGRAM__BODY_ANNOUNCEMENT:
      dst_announcement_seen (dst, from, origin, datagram->announcement, now,
                             actions);
      break;
    case MESH__DATAGRAM__BODY_APPLIED:
      note_rejection (dst, datagram->applied, origin);
      break;
    default:
      dst->counters.invalid++;
      break;
    }
  dst_send_outbox (dst, &outbox, actions);
}

void
dst_datagram (struct dst *dst, struct net_address from,
              const Mesh__Datagram *datagram, clk_time now,
              struct dst_actions *actions)
{
  struct dst_origin origin = { 0 };
  size_t length = strlen (datagram->from);

  if (datagram->protocol != FRM_PROTOCOL
      || datagram->mesh != dst->settings.mesh || length == 0
      || length >= MBR_NAME_SIZE)
    {
      dst->counters.invalid++;
      return;
    }
  merge_updates (dst, datagram, now);
  dst_update_roles (dst, now);
  note_sender (dst, datagram, &origin, now);
  note_version (dst, from, datagram, &origin, now);
  handle_body (dst, from, datagram, &origin, now, actions);
  if (strcmp (origin.data_centre, mbr_self (dst->mbr)->data_centre) == 0)
    dst_stage_check (dst, datagram->effective,
                     datagram->body_case == MESH__DATAGRAM__BODY_ANNOUNCEMENT
                         ? datagram->announcement->root
                         : "",
                     actions);
  dst_fetch_tick (dst, now, actions);
  dst_finish (dst, now, actions);
}
