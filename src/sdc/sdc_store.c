/* What the store tells: configuration and nodes.  */

#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"
#include "dlt/dlt.h"
#include "sdc/sdc_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Limits of callers as long as the configuration does not say.  */
static const struct srv_limits default_limits
    = { { 16384, 16u * 1024u * 1024u }, 5 * CLK_SECOND, 60 * CLK_SECOND, 0 };

/* Part of the memory that one body may take.  */
#define BODY_SHARE 8

static void
apply_limits (struct sdc *sidecar)
{
  const struct doc_caller_limits *given
      = &sidecar->snapshot->document->caller_limits;
  struct srv_limits limits = default_limits;
  uint64_t largest
      = (uint64_t)sidecar->settings.memory_mb * 1024 * 1024 / BODY_SHARE;

  if (given->max_header_bytes > 0)
    limits.sizes.max_header_bytes = given->max_header_bytes;
  if (given->max_body_bytes > 0)
    limits.sizes.max_body_bytes = given->max_body_bytes;
  if (limits.sizes.max_body_bytes > largest)
    limits.sizes.max_body_bytes = largest;
  if (given->header_timeout_ms > 0)
    limits.header_timeout = given->header_timeout_ms * CLK_MILLISECOND;
  if (given->idle_timeout_ms > 0)
    limits.idle_timeout = given->idle_timeout_ms * CLK_MILLISECOND;
  srv_set_limits (sidecar->calls, &limits);
}

void
sdc_use_snapshot (struct sdc *sidecar, struct snp_snapshot *snapshot)
{
  if (snapshot->stamp.version <= sdc_config_version (sidecar))
    {
      snp_release (snapshot);
      return;
    }
  snp_release (sidecar->snapshot);
  sidecar->snapshot = snapshot;
  fwd_set_snapshot (sidecar->forwarder, snapshot);
  syn_set_snapshot (sidecar->sync, snapshot);
  apply_limits (sidecar);
  log_set_config_version (snapshot->stamp.version);
  log_write (LOG_INFO, "sdc", "version %" PRIu64 " is in effect",
             snapshot->stamp.version);
}

void
sdc_use_config (struct sdc *sidecar, const json_t *content)
{
  struct doc_document *document;
  uint64_t version;

  if (sidecar->platform->read_config (content, &version, &document) != PTF_OK)
    log_write (LOG_ERROR, "sdc", "the configuration is not valid: %s",
               err_last ());
  else
    sdc_use_snapshot (sidecar,
                      snp_compile (version, dlt_digest (document), document));
}

static void
on_config (void *context, const struct sto_object *object)
{
  struct sdc *sidecar = context;

  if (strcmp (object->name, sidecar->platform->config_name) == 0)
    sdc_use_config (sidecar, object->content);
}

static void
on_config_removed (void *context, const char *name)
{
  (void)context;
  log_write (LOG_WARNING, "sdc",
             "the document %s was removed; the held version stays", name);
}

static void
ignore (void *context)
{
  (void)context;
}

/* Tells the other nodes how this one sees the platform: it hears of changes
   when both watches do.  */
static void
on_health (void *context, enum wch_health health)
{
  struct sdc *sidecar = context;
  enum wch_health config = wch_health (sidecar->config_watch);
  enum wch_health nodes = wch_health (sidecar->node_watch);
  enum rel_platform_status before = syn_platform_status (sidecar->sync);
  enum rel_platform_status sight = before;

  (void)health;
  if (config == WCH_UNREACHABLE || nodes == WCH_UNREACHABLE)
    sight = REL_PLATFORM_UNREACHABLE;
  else if (config == WCH_CURRENT && nodes == WCH_CURRENT)
    sight = REL_PLATFORM_REACHABLE;
  if (sight == before)
    return;
  if (sight == REL_PLATFORM_REACHABLE)
    log_write (LOG_INFO, "sdc", "the store answers");
  else
    log_write (LOG_WARNING, "sdc", "the store does not answer");
  syn_set_platform_status (sidecar->sync, sight);
}

void
sdc_take_probe (void *context, bool answers)
{
  struct sdc *sidecar = context;

  if (answers)
    {
      wch_resume (sidecar->config_watch);
      wch_resume (sidecar->node_watch);
      return;
    }
  wch_suspend (sidecar->config_watch);
  wch_suspend (sidecar->node_watch);
}

const struct wch_handlers sdc_config_handlers
    = { on_config, on_config_removed, ignore, ignore, on_health };

/* Takes over what an earlier process of this node had stored.  */
static void
take_own_record (struct sdc *sidecar, const struct mbr_member *record)
{
  /* A time of day that was set back must not make this process seem older
     than the one before it.  */
  if (sidecar->stop_at != 0)
    return;
  if (record->state == MBR_DEAD)
    {
      sidecar->record.incarnation = record->incarnation + 1;
      log_write (LOG_INFO, "sdc", "others took this node for dead");
      pub_note_removed (sidecar->publisher);
      sdc_publish_record (sidecar);
    }
  else if (record->incarnation > sidecar->record.incarnation
           || (record->incarnation == sidecar->record.incarnation
               && record->sequence > sidecar->record.sequence))
    sidecar->record.incarnation = record->incarnation + 1;
  if (reg_restore (&sidecar->registration, record,
                   sidecar->settings.upstream_address,
                   evl_now (sidecar->loop)))
    {
      log_write (LOG_INFO, "sdc", "the upstream %s was known before",
                 record->upstream);
      sdc_registration_changed (sidecar);
    }
  else if (record->upstream_leaving
           && reg_deregister (&sidecar->registration, record->upstream,
                              record->upstream_born, evl_now (sidecar->loop))
                  == REG_CHANGED)
    {
      log_write (LOG_INFO, "sdc", "the upstream %s has left before",
                 record->upstream);
      sdc_registration_changed (sidecar);
    }
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

/* Takes nodes for dead whose address another node, which started later, has
   now.  */
static void
bury_predecessors (struct sdc *sidecar, dir_handle node)
{
  struct mbr_member record = *dir_get (sidecar->directory, node);

  for (dir_handle i = 0; i < dir_handle_limit (sidecar->directory); i++)
    {
      const struct mbr_member *other = dir_get (sidecar->directory, i);

      if (other != NULL && i != node
          && net_equal (other->address, record.address)
          && other->incarnation < record.incarnation)
        sdc_bury_node (sidecar, i);
    }
}

/* Adds or replaces a record.  Returns whether it was news.  */
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
      log_write (LOG_ERROR, "sdc", "the directory has no room for %s",
                 record->name);
      return false;
    }
  mark_listed (sidecar, node);
  if (change != DIR_NEW && change != DIR_CHANGED)
    return false;
  if (record->state != MBR_DEAD)
    bury_predecessors (sidecar, node);
  if (moved || change == DIR_NEW || record->state == MBR_DEAD)
    {
      hub_reset_peer (sidecar->hub, node);
      syn_reset_peer (sidecar->sync, node);
      fwd_reset_peer (sidecar->forwarder, node);
    }
  else if (restarted)
    {
      hub_reset_backoff (sidecar->hub, node);
      fwd_reset_peer (sidecar->forwarder, node);
    }
  syn_refresh_roles (sidecar->sync);
  return true;
}

bool
sdc_take_member (struct sdc *sidecar, const struct mbr_member *record)
{
  if (strcmp (record->name, sidecar->record.name) != 0)
    return merge_node (sidecar, record);
  if (record->incarnation != sidecar->record.incarnation
      || record->sequence > sidecar->record.sequence)
    take_own_record (sidecar, record);
  return false;
}

static void
on_node (void *context, const struct sto_object *object)
{
  struct sdc *sidecar = context;
  struct mbr_member record;

  if (!dir_from_json (object->content, &record)
      || strcmp (record.name, object->name) != 0)
    {
      log_write (LOG_WARNING, "sdc", "the record of node %s is not valid",
                 object->name);
      return;
    }
  if (strcmp (record.name, sidecar->record.name) != 0
      && net_equal (record.address, sidecar->record.address))
    {
      log_write (LOG_INFO, "sdc", "node %s had this address before",
                 record.name);
      sdc_remove_record (sidecar, record.name, object->revision);
    }
  else if (strcmp (record.name, sidecar->record.name) != 0)
    {
      if (merge_node (sidecar, &record))
        syn_publish (sidecar->sync, &record);
      return;
    }
  pub_note_stored (sidecar->publisher, object, &record);
  take_own_record (sidecar, &record);
}

void
sdc_bury_node (struct sdc *sidecar, dir_handle node)
{
  const struct mbr_member *known = dir_get (sidecar->directory, node);
  struct mbr_member record;

  if (known == NULL || node == sidecar->self || known->state == MBR_DEAD)
    return;
  record = *known;
  record.state = MBR_DEAD;
  record.sequence++;
  log_write (LOG_INFO, "sdc", "node %s is gone", record.name);
  if (merge_node (sidecar, &record))
    syn_publish (sidecar->sync, &record);
}

static void
on_node_removed (void *context, const char *name)
{
  struct sdc *sidecar = context;

  if (strcmp (name, sidecar->record.name) != 0)
    sdc_bury_node (sidecar, dir_find (sidecar->directory, name));
  else if (sidecar->stop_at == 0)
    pub_note_removed (sidecar->publisher);
}

static void
on_listing (void *context)
{
  struct sdc *sidecar = context;

  if (sidecar->listed_count > 0)
    memset (sidecar->listed, 0, sidecar->listed_count);
}

static void
on_listed (void *context)
{
  struct sdc *sidecar = context;

  /* A node that is connected lives, and will write its record.  */
  for (dir_handle i = 0; i < dir_handle_limit (sidecar->directory); i++)
    if ((i >= sidecar->listed_count || !sidecar->listed[i])
        && !hub_is_connected (sidecar->hub, i))
      sdc_bury_node (sidecar, i);
  sidecar->nodes_known = true;
  sdc_nodes_listed (sidecar);
}

const struct wch_handlers sdc_node_handlers
    = { on_node, on_node_removed, on_listing, on_listed, on_health };

static void
on_stored (void *context, uint64_t sequence)
{
  struct sdc *sidecar = context;

  (void)sequence;
  sdc_check_acks (sidecar);
}

static void
on_found (void *context, const struct mbr_member *record)
{
  take_own_record (context, record);
}

const struct pub_handlers sdc_publish_handlers = { on_stored, on_found };

void
sdc_publish_record (struct sdc *sidecar)
{
  sidecar->record.sequence++;
  dir_merge (sidecar->directory, &sidecar->record, evl_now (sidecar->loop),
             &sidecar->self);
  if (sidecar->nodes_known)
    pub_set_record (sidecar->publisher, &sidecar->record);
  syn_publish (sidecar->sync, &sidecar->record);
}

void
sdc_registration_changed (struct sdc *sidecar)
{
  reg_fill_record (&sidecar->registration, &sidecar->record);
  sdc_publish_record (sidecar);
  gat_apply_registration (sidecar->gate);
}
