/* Handlers of the watches of the store: configuration and node records.  */

#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"
#include "met/met.h"
#include "sdc/sdc_internal.h"

#include <stdlib.h>
#include <string.h>

static void
on_config_updated (void *context, const struct sto_object *object)
{
  struct sdc *sidecar = context;

  if (strcmp (object->name, sidecar->platform->config_name) == 0)
    sdc_apply_config (sidecar, object->content);
}

static void
on_config_removed (void *context, const char *name)
{
  (void)context;
  log_write (LOG_WARNING, "sdc",
             "the configuration %s was removed from the store; the held "
             "version stays in effect",
             name);
}

static void
ignore_event (void *context)
{
  (void)context;
}

/* Sets this node's platform status: unreachable when one of the watches does
   not get answers, reachable when both are current.  */
static void
on_watch_health_changed (void *context, enum wch_health health)
{
  struct sdc *sidecar = context;
  enum wch_health config = wch_health (sidecar->config_watch);
  enum wch_health nodes = wch_health (sidecar->node_watch);
  enum rel_platform_status before = syn_platform_status (sidecar->sync);
  enum rel_platform_status status = before;

  (void)health;
  if (config == WCH_UNREACHABLE || nodes == WCH_UNREACHABLE)
    status = REL_PLATFORM_UNREACHABLE;
  else if (config == WCH_CURRENT && nodes == WCH_CURRENT)
    status = REL_PLATFORM_REACHABLE;
  if (status == before)
    return;
  if (status == REL_PLATFORM_REACHABLE)
    log_write (LOG_INFO, "sdc", "the platform's store is reachable");
  else
    log_write (LOG_WARNING, "sdc",
               "the platform's store is unreachable from this node");
  syn_set_platform_status (sidecar->sync, status);
}

void
sdc_handle_probe_result (void *context, bool reachable)
{
  struct sdc *sidecar = context;

  if (reachable)
    {
      wch_resume (sidecar->config_watch);
      wch_resume (sidecar->node_watch);
      if (sidecar->rollout_watch != NULL)
        wch_resume (sidecar->rollout_watch);
      return;
    }
  wch_suspend (sidecar->config_watch);
  wch_suspend (sidecar->node_watch);
  if (sidecar->rollout_watch != NULL)
    wch_suspend (sidecar->rollout_watch);
}

const struct wch_handlers sdc_config_handlers
    = { on_config_updated, on_config_removed, ignore_event, ignore_event,
        on_watch_health_changed };

/* Makes this node's record newer than RECORD, which another process wrote.
   The incarnation is the start time of the process.  When the clock was set
   back, it must still be higher than that of the earlier process.  */
static void
follow_own_record (struct sdc *sidecar, const struct mbr_member *record)
{
  if (record->incarnation > sidecar->record.incarnation
      || (record->incarnation == sidecar->record.incarnation
          && (record->state == MBR_DEAD
              || record->sequence > sidecar->record.sequence)))
    sidecar->record.incarnation = record->incarnation + 1;
  if (record->state == MBR_DEAD)
    {
      log_write (LOG_INFO, "sdc",
                 "other nodes declared this node dead; publishing its record "
                 "again");
      pub_note_removed (sidecar->publisher);
      sdc_publish_record (sidecar);
    }
}

/* Takes over what another process knew of the upstream beside this node.  */
static void
adopt_upstream (struct sdc *sidecar, const struct mbr_member *record)
{
  if (reg_restore (&sidecar->registration, record,
                   sidecar->settings.upstream_address,
                   evl_now (sidecar->loop)))
    {
      log_write (LOG_INFO, "sdc",
                 "restored the registration of upstream %s from an earlier "
                 "record of this node",
                 record->upstream);
      sdc_handle_registration_change (sidecar);
      sdc_confirm_upstream (sidecar);
    }
  else if (record->upstream_leaving
           && reg_deregister (&sidecar->registration, record->upstream,
                              record->upstream_born, evl_now (sidecar->loop))
                  == REG_CHANGED)
    {
      log_write (LOG_INFO, "sdc",
                 "upstream %s is draining according to an earlier record of "
                 "this node",
                 record->upstream);
      sdc_handle_registration_change (sidecar);
    }
}

/* Handles a record of this node that another process wrote: an earlier process
   of this node, or a node that declared it dead.  */
static void
handle_own_record (struct sdc *sidecar, const struct mbr_member *record)
{
  if (record->mesh_size > 0)
    sidecar->stored_mesh_size = record->mesh_size;
  /* An earlier record of this process, as a restored store holds it, may name
     an upstream that has been replaced.  */
  if (record->incarnation == sidecar->record.incarnation
      && record->sequence < sidecar->record.sequence)
    return;
  if (!sidecar->stopping)
    follow_own_record (sidecar, record);
  adopt_upstream (sidecar, record);
}

static void
mark_listed (struct sdc *sidecar, dir_handle node)
{
  if (node >= sidecar->listed_count)
    {
      sidecar->listed = mem_resize (sidecar->listed, node + 1, sizeof (bool));
      memset (sidecar->listed + sidecar->listed_count, 0,
              node + 1 - sidecar->listed_count);
      sidecar->listed_count = node + 1;
    }
  sidecar->listed[node] = true;
}

/* Declares nodes dead whose address now belongs to NODE, which started
   later.  */
static void
declare_predecessors_dead (struct sdc *sidecar, dir_handle node)
{
  struct mbr_member record = *dir_get (sidecar->directory, node);

  for (dir_handle i = 0; i < dir_handle_limit (sidecar->directory); i++)
    {
      const struct mbr_member *other = dir_get (sidecar->directory, i);

      if (other != NULL && i != node
          && net_equal (other->address, record.address)
          && other->incarnation < record.incarnation)
        sdc_declare_dead (sidecar, i);
    }
}

/* Adds a record or replaces an older one, and resets what other modules keep
   for a node that is new, dead, restarted or has a new address.  Returns
   whether the directory has changed.  */
static bool
merge_node (struct sdc *sidecar, const struct mbr_member *record)
{
  enum dir_change change;
  dir_handle known = dir_find (sidecar->directory, record->name);
  const struct mbr_member *before = dir_get (sidecar->directory, known);
  bool moved = before != NULL && !net_equal (before->address, record->address);
  bool restarted
      = before != NULL && before->incarnation != record->incarnation;
  dir_handle node;

  change
      = dir_merge (sidecar->directory, record, evl_now (sidecar->loop), &node);
  if (change == DIR_FULL)
    {
      log_write (LOG_ERROR, "sdc", "the directory is full; ignored node %s",
                 record->name);
      return false;
    }
  mark_listed (sidecar, node);
  if (change == DIR_OLDER && record->upstream_leaving
      && hub_is_connected (sidecar->hub, node))
    sdc_return_departure (sidecar, node);
  if (change != DIR_NEW && change != DIR_CHANGED)
    return false;
  if (record->state != MBR_DEAD)
    declare_predecessors_dead (sidecar, node);
  if (moved || change == DIR_NEW || record->state == MBR_DEAD)
    {
      hub_reset_peer (sidecar->hub, node);
      syn_reset_peer (sidecar->sync, node);
      fwd_reset_peer (sidecar->forwarder, node);
      quo_reset_peer (sidecar->quota, node);
    }
  else if (restarted)
    {
      hub_reset_backoff (sidecar->hub, node);
      fwd_reset_peer (sidecar->forwarder, node);
      quo_reset_peer (sidecar->quota, node);
    }
  syn_refresh_roles (sidecar->sync);
  return true;
}

bool
sdc_handle_member (struct sdc *sidecar, const struct mbr_member *record)
{
  if (strcmp (record->name, sidecar->record.name) != 0)
    {
      bool is_newer = merge_node (sidecar, record);

      if (is_newer)
        sdc_note_received_record (sidecar, record);
      return is_newer;
    }
  if (record->incarnation != sidecar->record.incarnation
      || record->sequence > sidecar->record.sequence)
    handle_own_record (sidecar, record);
  return false;
}

/* Reads the record of the node that OBJECT is named after.  */
static bool
read_record (const struct sto_object *object, struct mbr_member *record)
{
  if (!dir_from_json (object->content, record))
    return false;
  if (strcmp (record->name, object->name) == 0)
    return true;
  err_set ("it is the record of another node");
  return false;
}

/* Handles an object that is not a valid record.  It says nothing of the node
   of that name, so a node that is known stays known.  */
static void
handle_invalid_record (struct sdc *sidecar, const struct sto_object *object)
{
  dir_handle known = dir_find (sidecar->directory, object->name);

  met_add (met_counter ("store_records_invalid_total", ""), 1);
  log_write (LOG_WARNING, "sdc",
             "ignored the invalid record of node %s in the store: %s",
             object->name, err_last ());
  if (known == sidecar->self)
    pub_note_invalid (sidecar->publisher, object->revision);
  else if (known != DIR_NONE)
    mark_listed (sidecar, known);
}

static void
on_node_updated (void *context, const struct sto_object *object)
{
  struct sdc *sidecar = context;
  struct mbr_member record;

  sdc_check_restore (sidecar);
  if (!read_record (object, &record))
    {
      handle_invalid_record (sidecar, object);
      return;
    }
  if (strcmp (record.name, sidecar->record.name) != 0
      && net_equal (record.address, sidecar->record.address))
    {
      log_write (LOG_INFO, "sdc",
                 "node %s had the address of this node before; removing its "
                 "record from the store",
                 record.name);
      sdc_remove_record (sidecar, record.name, object->revision);
    }
  else if (strcmp (record.name, sidecar->record.name) != 0)
    {
      if (merge_node (sidecar, &record))
        syn_publish (sidecar->sync, &record);
      sdc_note_stored_record (sidecar, &record, object->revision);
      return;
    }
  pub_note_stored (sidecar->publisher, object, &record);
  handle_own_record (sidecar, &record);
}

void
sdc_declare_dead (struct sdc *sidecar, dir_handle node)
{
  const struct mbr_member *known = dir_get (sidecar->directory, node);
  struct mbr_member record;

  if (known == NULL || node == sidecar->self || known->state == MBR_DEAD)
    return;
  record = *known;
  record.state = MBR_DEAD;
  record.sequence++;
  log_write (LOG_INFO, "sdc", "node %s is considered dead", record.name);
  if (merge_node (sidecar, &record))
    syn_publish (sidecar->sync, &record);
}

static void
on_node_removed (void *context, const char *name)
{
  struct sdc *sidecar = context;

  sdc_note_removed_record (sidecar, name);
  if (strcmp (name, sidecar->record.name) != 0)
    sdc_declare_dead (sidecar, dir_find (sidecar->directory, name));
  else if (!sidecar->stopping)
    pub_note_removed (sidecar->publisher);
}

static void
on_list_started (void *context)
{
  struct sdc *sidecar = context;

  sdc_forget_stored_records (sidecar);
  if (sidecar->listed_count > 0)
    memset (sidecar->listed, 0, sidecar->listed_count);
}

/* Declares the nodes dead that the list lacks.  */
static void
declare_unlisted_dead (struct sdc *sidecar)
{
  /* A connected node that is not in the list is alive and will publish its
     record.  A list that is out of date says nothing of missing nodes.  */
  for (dir_handle i = 0;
       !sidecar->list_is_stale && i < dir_handle_limit (sidecar->directory);
       i++)
    if ((i >= sidecar->listed_count || !sidecar->listed[i])
        && !hub_is_connected (sidecar->hub, i))
      sdc_declare_dead (sidecar, i);
}

static void
on_list_finished (void *context)
{
  struct sdc *sidecar = context;

  sdc_check_restore (sidecar);
  if (!sdc_finish_first_list (sidecar))
    declare_unlisted_dead (sidecar);
  sidecar->nodes_listed = true;
  sdc_handle_nodes_listed (sidecar);
}

const struct wch_handlers sdc_node_handlers
    = { on_node_updated, on_node_removed, on_list_started, on_list_finished,
        on_watch_health_changed };

static void
on_record_stored (void *context, uint64_t sequence)
{
  struct sdc *sidecar = context;

  (void)sequence;
  sdc_send_acks (sidecar);
}

static void
on_record_found (void *context, const struct mbr_member *record)
{
  handle_own_record (context, record);
}

const struct pub_handlers sdc_publish_handlers
    = { on_record_stored, on_record_found };

void
sdc_store_record (struct sdc *sidecar)
{
  sidecar->record.mesh_size = (uint32_t)dir_alive_count (sidecar->directory);
  pub_set_record (sidecar->publisher, &sidecar->record);
}

void
sdc_publish_record (struct sdc *sidecar)
{
  sidecar->record.sequence++;
  dir_merge (sidecar->directory, &sidecar->record, evl_now (sidecar->loop),
             &sidecar->self);
  if (sidecar->nodes_listed)
    sdc_store_record (sidecar);
  syn_publish (sidecar->sync, &sidecar->record);
}

void
sdc_handle_registration_change (struct sdc *sidecar)
{
  if (reg_fill_record (&sidecar->registration, &sidecar->record))
    sdc_publish_record (sidecar);
  gat_apply_registration (sidecar->gate);
}
