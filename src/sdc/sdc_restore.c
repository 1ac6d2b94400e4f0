/* Restores of the store, which then comes back from a copy without what was
   written since.

   A node learns of it from the era in any reply.  It writes its own record
   again, and its watches list again.  Most nodes do not call the store, so a
   node that watches it compares the first list with the records it knows: it
   writes lost ones for the nodes that they describe, and removes those of dead
   nodes.  Records that are lost are no sign that their nodes are.

   Records may reach it after that list, or it may itself have started after
   the restore.  So for some time after the list, and after a start, a newer
   record that a node sends is compared with the store as well.  */

#include "base/log.h"
#include "base/mem.h"
#include "dir/dir.h"
#include "met/met.h"
#include "sdc/sdc_internal.h"

#include <inttypes.h>
#include <string.h>

/* Delay before records are compared after a list, in which nodes write their
   own ones, and delay after a failed write.  */
#define WRITE_DELAY (300 * CLK_MILLISECOND)
#define RETRY_DELAY CLK_SECOND

/* Delay before a record that a node sends is compared: watches report changes
   in batches, up to a second later.  */
#define RECEIVED_DELAY (1500 * CLK_MILLISECOND)

/* Time for which records that nodes send are compared.  Nodes that were cut
   off have usually connected again by then.  */
#define COMPARE_TIME (30 * CLK_SECOND)

/* Timeout of a write, which the store usually answers in milliseconds.  */
#define WRITE_TIMEOUT CLK_SECOND

void
sdc_check_restore (struct sdc *sidecar)
{
  struct sdc_restore *restore = &sidecar->restore;

  if (restore->handled_count == sto_restore_count (sidecar->store))
    return;
  restore->handled_count = sto_restore_count (sidecar->store);
  restore->list_is_first = true;
  restore->stored_count = 0;
  wch_handle_restore (sidecar->config_watch);
  wch_handle_restore (sidecar->node_watch);
  if (sidecar->rollout_watch != NULL)
    wch_handle_restore (sidecar->rollout_watch);
  pub_handle_restore (sidecar->publisher);
}

void
sdc_handle_restored (void *context, uint64_t before, uint64_t era)
{
  met_add (met_counter ("store_restores_total", ""), 1);
  log_write (LOG_WARNING, "sdc",
             "the store came back from a copy: era %" PRIu64
             " follows era %" PRIu64
             "; what was written since the copy is written again",
             era, before);
  sdc_check_restore (context);
}

/* Returns whether the list being read shows what the store has lost.  */
static bool
is_first_list (const struct sdc *sidecar)
{
  return sidecar->restore.list_is_first && !sidecar->list_is_stale;
}

void
sdc_start_comparing (struct sdc *sidecar)
{
  sidecar->restore.compare_until = evl_now (sidecar->loop) + COMPARE_TIME;
}

/* Returns the entry of a node, which is added if there is none.  */
static struct sdc_stored_record *
entry_of (struct sdc_restore *restore, dir_handle node)
{
  size_t count = restore->stored_count;

  if (node < count)
    return &restore->stored[node];
  restore->stored_count = (size_t)node + 1;
  restore->stored = mem_resize (restore->stored, restore->stored_count,
                                sizeof *restore->stored);
  for (size_t i = count; i < restore->stored_count; i++)
    restore->stored[i] = (struct sdc_stored_record){ .compare_at = CLK_NEVER };
  return &restore->stored[node];
}

/* Returns whether the store holds a record of the node KNOWN, whose handle may
   have meant another node when the entry was set.  */
static bool
is_stored (const struct sdc_stored_record *entry,
           const struct mbr_member *known)
{
  return entry->is_stored && strcmp (entry->record.name, known->name) == 0;
}

static void
set_absent (struct sdc_stored_record *stored)
{
  stored->is_stored = false;
  stored->revision = 0;
}

void
sdc_forget_stored_records (struct sdc *sidecar)
{
  sidecar->restore.is_listing = true;
  for (size_t i = 0; i < sidecar->restore.stored_count; i++)
    set_absent (&sidecar->restore.stored[i]);
}

void
sdc_note_stored_record (struct sdc *sidecar, const struct mbr_member *stored,
                        uint64_t revision)
{
  dir_handle node = dir_find (sidecar->directory, stored->name);
  struct sdc_stored_record *entry;

  if (node == DIR_NONE || node == sidecar->self)
    return;
  entry = entry_of (&sidecar->restore, node);
  entry->is_stored = true;
  entry->revision = revision;
  entry->record = *stored;
}

void
sdc_note_received_record (struct sdc *sidecar, const struct mbr_member *record)
{
  clk_time now = evl_now (sidecar->loop);
  dir_handle node = dir_find (sidecar->directory, record->name);
  struct sdc_stored_record *entry;

  /* A node without an upstream waits for its first heartbeat before it writes
     its record.  */
  if (now >= sidecar->restore.compare_until || node == DIR_NONE
      || record->upstream[0] == '\0')
    return;
  entry = entry_of (&sidecar->restore, node);
  if (entry->compare_at == CLK_NEVER)
    entry->compare_at = now + RECEIVED_DELAY;
}

void
sdc_note_removed_record (struct sdc *sidecar, const char *name)
{
  dir_handle node = dir_find (sidecar->directory, name);

  if (node >= sidecar->restore.stored_count)
    return;
  set_absent (&sidecar->restore.stored[node]);
  sidecar->restore.stored[node].compare_at = CLK_NEVER;
}

bool
sdc_finish_first_list (struct sdc *sidecar)
{
  struct sdc_restore *restore = &sidecar->restore;

  restore->is_listing = false;
  if (!is_first_list (sidecar))
    return false;
  restore->list_is_first = false;
  sdc_start_comparing (sidecar);
  for (dir_handle i = 0; i < dir_handle_limit (sidecar->directory); i++)
    if (dir_get (sidecar->directory, i) != NULL && i != sidecar->self)
      entry_of (restore, i)->compare_at
          = evl_now (sidecar->loop) + WRITE_DELAY;
  return true;
}

static void
on_replied (void *context, const struct sto_request *request,
            const struct sto_reply *reply)
{
  struct sdc *sidecar = context;
  struct sdc_restore *restore = &sidecar->restore;
  bool is_done = reply->status == STO_OK || reply->status == STO_CONFLICT
                 || reply->status == STO_ABSENT;

  (void)request;
  restore->call = NULL;
  log_write (LOG_INFO, "sdc",
             "restoring the record of node %s in the store ended: %s",
             restore->written_name, sto_status_name (reply->status));
  if (is_done)
    return;
  restore->next_write_at = evl_now (sidecar->loop) + RETRY_DELAY;
  if (restore->written_node < restore->stored_count)
    restore->stored[restore->written_node].compare_at = restore->next_write_at;
}

/* Compares the known record of a node with the stored one when that is due.
   Returns what is to be done.  */
static enum rst_action
compare (struct sdc *sidecar, dir_handle node, clk_time now)
{
  struct sdc_stored_record *entry = &sidecar->restore.stored[node];
  const struct mbr_member *known = dir_get (sidecar->directory, node);
  enum rst_action action = RST_KEEP;

  if (now < entry->compare_at)
    return RST_KEEP;
  if (known != NULL)
    action
        = rst_decide (known, is_stored (entry, known) ? &entry->record : NULL);
  if (action == RST_KEEP)
    entry->compare_at = CLK_NEVER;
  return action;
}

/* Returns the node whose record is restored next, DIR_NONE when there is none.
   Departures come first.  Each node starts at another place, so that several
   share the work.  */
static dir_handle
choose_node (struct sdc *sidecar, clk_time now)
{
  size_t count = sidecar->restore.stored_count;
  size_t start = count > 0 ? rel_hash_name (sidecar->record.name) % count : 0;
  dir_handle chosen = DIR_NONE;

  for (size_t i = 0; i < count; i++)
    {
      dir_handle node = (dir_handle)((start + i) % count);

      if (compare (sidecar, node, now) == RST_KEEP)
        continue;
      if (dir_get (sidecar->directory, node)->upstream_leaving)
        return node;
      if (chosen == DIR_NONE)
        chosen = node;
    }
  return chosen;
}

static void
start_call (struct sdc *sidecar, const struct mbr_member *known,
            uint64_t revision)
{
  struct mbr_member record = *known;
  struct sto_request request = { .operation = STO_REMOVE,
                                 .kind = PUB_KIND,
                                 .name = record.name,
                                 .revision = revision };
  json_t *content = NULL;

  if (known->state != MBR_DEAD)
    {
      record.mesh_size = (uint32_t)dir_alive_count (sidecar->directory);
      content = dir_to_json (&record);
      request.operation = revision == 0 ? STO_CREATE : STO_REPLACE;
      request.content = content;
    }
  sidecar->restore.call = sto_start (sidecar->store, &request,
                                     evl_now (sidecar->loop) + WRITE_TIMEOUT,
                                     on_replied, sidecar);
  json_decref (content);
}

void
sdc_restore_records (struct sdc *sidecar, clk_time now)
{
  struct sdc_restore *restore = &sidecar->restore;
  const struct mbr_member *known;
  dir_handle node;

  if (restore->is_listing || restore->call != NULL
      || now < restore->next_write_at
      || wch_health (sidecar->node_watch) != WCH_CURRENT)
    return;
  node = choose_node (sidecar, now);
  if (node == DIR_NONE)
    return;
  known = dir_get (sidecar->directory, node);
  restore->stored[node].compare_at = CLK_NEVER;
  restore->written_node = node;
  memcpy (restore->written_name, known->name, MBR_NAME_SIZE);
  start_call (sidecar, known,
              is_stored (&restore->stored[node], known)
                  ? restore->stored[node].revision
                  : 0);
}
