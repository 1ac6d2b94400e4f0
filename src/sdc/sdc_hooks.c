/* Connects the links between nodes and the gate with the other components.  */

#include "base/log.h"
#include "sdc/sdc_internal.h"

static bool
on_request (void *context, struct hub_inbound_link *inbound,
            Mesh__Frame *frame)
{
  struct sdc *sidecar = context;

  if (frame->body_case == MESH__FRAME__BODY_HELLO)
    {
      sdc_handle_hello (sidecar, inbound, frame->hello);
      return false;
    }
  if (syn_handle_request (sidecar->sync, inbound, frame)
      || quo_handle_request (sidecar->quota, inbound, frame)
      || (sidecar->rollouts != NULL
          && rol_handle_request (sidecar->rollouts, inbound, frame)))
    return false;
  gat_handle_frame (sidecar->gate, inbound, frame);
  return true;
}

static bool
on_reply (void *context, dir_handle peer, Mesh__Frame *frame)
{
  struct sdc *sidecar = context;

  if (frame->body_case == MESH__FRAME__BODY_ANSWER)
    syn_note_peer_version (sidecar->sync, peer, frame->answer->config_version);
  if (syn_handle_reply (sidecar->sync, peer, frame)
      || quo_handle_reply (sidecar->quota, frame)
      || (sidecar->rollouts != NULL
          && rol_handle_reply (sidecar->rollouts, frame)))
    return false;
  return fwd_handle_reply (sidecar->forwarder, peer, frame);
}

static void
on_inbound_closed (void *context, struct hub_inbound_link *inbound)
{
  struct sdc *sidecar = context;

  gat_handle_inbound_closed (sidecar->gate, inbound);
  syn_remove_subscriber (sidecar->sync, inbound);
  if (sidecar->rollouts != NULL)
    rol_handle_inbound_closed (sidecar->rollouts, inbound);
}

static void
on_connected (void *context, dir_handle peer)
{
  struct sdc *sidecar = context;

  sdc_return_departure (sidecar, peer);
  syn_peer_connected (sidecar->sync, peer);
}

static void
on_link_closed (void *context, dir_handle peer, uint64_t link, bool opened)
{
  struct sdc *sidecar = context;

  fwd_handle_link_closed (sidecar->forwarder, peer, link, opened);
  quo_handle_link_closed (sidecar->quota, link);
}

static void
on_ping_overdue (void *context, dir_handle peer, uint64_t link)
{
  struct sdc *sidecar = context;

  fwd_handle_ping_overdue (sidecar->forwarder, peer, link);
}

static void
on_health_changed (void *context, dir_handle peer, enum hub_health health)
{
  static const char *const names[] = { "healthy", "silent", "lost" };
  struct sdc *sidecar = context;
  const struct mbr_member *member = dir_get (sidecar->directory, peer);

  log_write (LOG_INFO, "sdc", "node %s is %s",
             member != NULL ? member->name : "?", names[health]);
  syn_refresh_roles (sidecar->sync);
  quo_note_health (sidecar->quota, peer, health);
}

const struct hub_handlers sdc_hub_handlers
    = { on_request,      on_reply,     on_inbound_closed, on_link_closed,
        on_ping_overdue, on_connected, on_health_changed };

static void
send_reply (void *context, struct hub_inbound_link *inbound,
            const Mesh__Frame *frame)
{
  struct sdc *sidecar = context;

  hub_reply (sidecar->hub, inbound, frame);
}

static void
send_bulk_reply (void *context, struct hub_inbound_link *inbound,
                 const Mesh__Frame *frame)
{
  struct sdc *sidecar = context;

  hub_reply_bulk (sidecar->hub, inbound, frame);
}

static void
cancel_bulk_reply (void *context, struct hub_inbound_link *inbound,
                   uint64_t number)
{
  struct sdc *sidecar = context;

  hub_cancel_bulk (sidecar->hub, inbound, number);
}

static clk_time
get_bulk_time (void *context, size_t bytes)
{
  struct sdc *sidecar = context;

  return hub_bulk_time (sidecar->hub, bytes);
}

static void
on_upstream_unreachable (void *context)
{
  struct sdc *sidecar = context;

  if (!reg_mark_unreachable (&sidecar->registration))
    return;
  log_write (LOG_WARNING, "sdc",
             "upstream %s refused a connection; it gets no calls until its "
             "next heartbeat",
             sidecar->registration.upstream.name);
  gat_apply_registration (sidecar->gate);
}

static uint64_t
get_config_version (void *context)
{
  return sdc_config_version (context);
}

static void
on_answered (void *context, uint32_t route, bool bad, clk_time elapsed)
{
  struct sdc *sidecar = context;

  if (sidecar->rollouts != NULL)
    rol_count_run (sidecar->rollouts, route, bad, elapsed);
}

static bool
is_withdrawn (void *context)
{
  struct sdc *sidecar = context;

  return sidecar->rollouts != NULL && rol_is_withdrawn (sidecar->rollouts);
}

struct gat_hooks
sdc_gate_hooks (struct sdc *sidecar)
{
  return (struct gat_hooks){ .context = sidecar,
                             .send_reply = send_reply,
                             .has_room = sdc_has_reply_room,
                             .on_unreachable = on_upstream_unreachable,
                             .config_version = get_config_version,
                             .send_bulk_reply = send_bulk_reply,
                             .bulk_time = get_bulk_time,
                             .answered = on_answered,
                             .is_withdrawn = is_withdrawn,
                             .cancel_bulk_reply = cancel_bulk_reply };
}
