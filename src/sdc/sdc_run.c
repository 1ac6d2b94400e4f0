/* Creation of a sidecar and its components, and its run.  */

#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/rnd.h"
#include "sdc/sdc_internal.h"

#include <malloc.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

/* Interval of the checks of the sidecar's deadlines.  */
#define TICK_INTERVAL (100 * CLK_MILLISECOND)

/* Longest wait of a call for a change of the configuration, in ms; a
   connection that no longer receives anything is noticed after that.  */
static const struct wch_timing config_timing = { 3000, 0 };

/* Node records also arrive over links, and many change together when many
   nodes start, so calls wait longer and changes are read in batches.  */
static const struct wch_timing nodes_timing = { 10000, CLK_SECOND };

/* Missed heartbeats after which an upstream counts as unreachable; a heartbeat
   may be seconds late.  */
#define MAX_MISSED_HEARTBEATS 4

/* Time for which records of dead nodes are kept.  Older records of them that
   are still in transit arrive within seconds.  */
#define DEAD_RECORD_LIFETIME (120 * CLK_SECOND)

/* Bytes of long bodies a second that a node sends or receives on its links,
   for each Mbit/s of the link of its VM: four fifths.  The rest is left to
   other frames and to callers.  */
#define BULK_BYTES_PER_MBIT (0.8 * 1e6 / 8)

/* Number of malloc arenas; only one thread allocates much memory.  */
#define MAX_ARENAS 1

/* Blocks of at least this many bytes are returned to the system when they are
   freed.  By default malloc raises this size with the largest block that was
   freed, and then keeps the memory of long answers.  */
#define MMAP_THRESHOLD (128 * 1024)

/* Limits of the servers for heartbeats, readiness probes and metrics, and of
   the server for callers until a configuration is in effect.  */
static const struct srv_limits internal_limits
    = { { 16384, 256u * 1024u }, 5 * CLK_SECOND, 120 * CLK_SECOND, 256, 0, 0 };

static void
fill_record (struct sdc *sidecar)
{
  const struct cfg_sidecar *settings = &sidecar->settings;
  struct mbr_member *record = &sidecar->record;

  memcpy (record->name, settings->name, sizeof record->name);
  memcpy (record->data_centre, settings->data_centre,
          sizeof record->data_centre);
  memcpy (record->region, settings->region, sizeof record->region);
  record->address = settings->mesh_address;
  record->capacity = (uint32_t)(settings->cores * 1000);
  record->incarnation = clk_wall_ms ();
  record->sequence = 1;
  record->state = MBR_ALIVE;
  dir_merge (sidecar->directory, record, evl_now (sidecar->loop),
             &sidecar->self);
}

static bool
start_servers (struct sdc *sidecar)
{
  const struct cfg_sidecar *settings = &sidecar->settings;
  struct evl *loop = sidecar->loop;

  return srv_create (loop, settings->caller_address, &fwd_handlers,
                     sidecar->forwarder, &internal_limits,
                     &sidecar->caller_server)
             == SRV_OK
         && srv_create (loop, settings->readiness_address, &sdc_ready_handlers,
                        sidecar, &internal_limits, &sidecar->readiness_server)
                == SRV_OK
         && srv_create (loop, settings->heartbeat_address,
                        &sdc_control_handlers, sidecar, &internal_limits,
                        &sidecar->control_server)
                == SRV_OK
         && srv_create (loop, settings->metrics_address, &sdc_metrics_handlers,
                        sidecar, &internal_limits, &sidecar->metrics_server)
                == SRV_OK;
}

static bool
start_components (struct sdc *sidecar)
{
  const struct cfg_sidecar *settings = &sidecar->settings;
  struct evl *loop = sidecar->loop;
  struct gat_hooks gate_hooks = sdc_gate_hooks (sidecar);
  struct syn_hooks sync_hooks = sdc_sync_hooks (sidecar);
  size_t memory = (size_t)settings->memory_mb * 1024 * 1024;
  struct acc_limits limits = acc_limits_of (memory);
  struct gat_memory gate_memory
      = { limits.gate_bodies, limits.gate_responses };
  struct fwd_options options
      = { .loop = loop,
          .platform = sidecar->platform,
          .directory = sidecar->directory,
          .self = sidecar->self,
          .service = sidecar->settings.service,
          .account = &sidecar->account,
          .budget = { settings->retry_ratio, (double)settings->retry_slack,
                      settings->retry_window, 0 } };

  acc_init (&sidecar->account, memory);
  if (hub_create (loop, settings->mesh_address, sidecar->directory,
                  sidecar->self, &sdc_hub_handlers, sidecar, &sidecar->hub)
      != HUB_OK)
    return false;
  hub_set_bulk_rate (sidecar->hub, settings->link_mbps * BULK_BYTES_PER_MBIT);
  sidecar->sync = syn_create (loop, sidecar->hub, sidecar->directory,
                              sidecar->self, &sync_hooks);
  sidecar->store
      = sto_create (loop, settings->platform_address, sidecar->platform);
  sidecar->gate = gat_create (loop, sidecar->platform, &sidecar->registration,
                              &gate_hooks, &gate_memory);
  gat_set_receive_rate (sidecar->gate,
                        settings->link_mbps * BULK_BYTES_PER_MBIT);
  sidecar->quota = quo_create (
      &(struct quo_options){ loop, sidecar->hub, sidecar->directory,
                             sidecar->self, rnd_system_seed () });
  options.hub = sidecar->hub;
  options.quota = sidecar->quota;
  sdc_create_rollouts (sidecar);
  options.rollouts = sidecar->rollouts;
  sidecar->forwarder = fwd_create (&options);
  sidecar->publisher
      = pub_create (loop, sidecar->store, &sdc_publish_handlers, sidecar);
  sidecar->config_watch
      = wch_create (loop, sidecar->store, sidecar->platform->config_kind,
                    config_timing, &sdc_config_handlers, sidecar);
  sidecar->node_watch = wch_create (loop, sidecar->store, PUB_KIND,
                                    nodes_timing, &sdc_node_handlers, sidecar);
  sto_set_restored (sidecar->store, sdc_handle_restored, sidecar);
  sidecar->probe
      = prb_create (loop, sidecar->store, PUB_KIND, sidecar->record.name,
                    sdc_handle_probe_result, sidecar);
  if (!start_servers (sidecar))
    return false;
  srv_set_provisional (sidecar->caller_server, true);
  srv_set_budget (sidecar->caller_server, &sidecar->account.caller_bodies);
  srv_set_account (sidecar->caller_server, &sidecar->account);
  sdc_start_join (sidecar);
  return true;
}

void
sdc_destroy (struct sdc *sidecar)
{
  if (sidecar == NULL)
    return;
  sto_cancel (sidecar->config_call);
  sto_cancel (sidecar->restore.call);
  hck_cancel (sidecar->health_check);
  hck_cancel (sidecar->end_check);
  prb_destroy (sidecar->probe);
  wch_destroy (sidecar->config_watch);
  wch_destroy (sidecar->node_watch);
  pub_destroy (sidecar->publisher);
  srv_destroy (sidecar->caller_server);
  srv_destroy (sidecar->readiness_server);
  srv_destroy (sidecar->control_server);
  srv_destroy (sidecar->metrics_server);
  fwd_destroy (sidecar->forwarder);
  quo_destroy (sidecar->quota);
  gat_destroy (sidecar->gate);
  wch_destroy (sidecar->rollout_watch);
  rol_destroy (sidecar->rollouts);
  sto_destroy (sidecar->store);
  syn_destroy (sidecar->sync);
  hub_destroy (sidecar->hub);
  while (sidecar->pending_acks != NULL)
    {
      struct sdc_pending_ack *ack = sidecar->pending_acks;

      sidecar->pending_acks = ack->next;
      free (ack);
    }
  evl_timer_stop (&sidecar->tick);
  snp_release (sidecar->snapshot);
  free (sidecar->listed);
  free (sidecar->restore.stored);
  dir_destroy (sidecar->directory);
  free (sidecar);
}

static void
on_terminate (void *context)
{
  sdc_terminate (context);
}

static int64_t
read_settings_mtime (const char *file)
{
  struct stat status;

  if (file == NULL || stat (file, &status) != 0)
    return 0;
  return status.st_mtim.tv_sec * 1000000000 + status.st_mtim.tv_nsec;
}

/* Reads the settings file again and applies the settings that may change at
   runtime.  Invalid settings change nothing.  */
static void
reload_settings (void *context)
{
  struct sdc *sidecar = context;
  struct cfg_sidecar settings;
  struct buf diagnostics = { 0 };

  sidecar->settings_mtime_ns = read_settings_mtime (sidecar->file);
  if (cfg_load_sidecar (sidecar->file, &settings, &diagnostics) == CFG_OK)
    {
      log_set_level ((enum log_level)settings.log_level);
      sidecar->settings.log_level = settings.log_level;
      memcpy (sidecar->settings.service, settings.service,
              sizeof sidecar->settings.service);
      sidecar->settings.heartbeat_interval = settings.heartbeat_interval;
      log_write (LOG_INFO, "sdc", "settings read again");
    }
  else
    log_write (LOG_ERROR, "sdc", "settings not read again: %s%s",
               buf_text (&diagnostics), err_last ());
  buf_close (&diagnostics);
}

static void
check_upstream (struct sdc *sidecar, clk_time now)
{
  struct reg *registration = &sidecar->registration;

  if (registration->state != REG_READY
      || now - registration->updated_at
             < MAX_MISSED_HEARTBEATS * sidecar->settings.heartbeat_interval)
    return;
  log_write (LOG_WARNING, "sdc",
             "upstream %s has stopped sending heartbeats; it gets no calls "
             "until its next heartbeat",
             registration->upstream.name);
  reg_mark_unreachable (registration);
  gat_apply_registration (sidecar->gate);
}

/* Returns the time of the next check.  A check that came after the time to
   stop would leave too little of the grace period for the end of the process:
   log_close alone may wait for a third of a second.  */
static clk_time
next_tick (const struct sdc *sidecar, clk_time now)
{
  clk_time stop_at = sidecar->shutdown.stop_at;
  clk_time next = now + TICK_INTERVAL;

  if (sidecar->stopping && stop_at > now && stop_at < next)
    return stop_at;
  return next;
}

static void
on_tick (void *context)
{
  struct sdc *sidecar = context;
  clk_time now = evl_now (sidecar->loop);

  sdc_send_acks (sidecar);
  check_upstream (sidecar, now);
  sdc_check_confirmation (sidecar, now);
  dir_purge_dead (sidecar->directory, now - DEAD_RECORD_LIFETIME);
  sdc_advance_join (sidecar, now);
  sdc_report_unreachable_nodes (sidecar, now);
  sdc_restore_records (sidecar, now);
  sdc_check_memory (sidecar, now);
  if (read_settings_mtime (sidecar->file) != sidecar->settings_mtime_ns)
    reload_settings (sidecar);
  sdc_check_shutdown (sidecar, now);
  evl_timer_set (&sidecar->tick, next_tick (sidecar, now));
}

struct sdc *
sdc_create (struct evl *loop, const struct cfg_sidecar *settings,
            const char *file, const struct ptf_platform *platform)
{
  struct sdc *sidecar = mem_alloc (1, sizeof *sidecar);

  sidecar->settings = *settings;
  sidecar->file = file;
  sidecar->platform = platform;
  sidecar->loop = loop;
  sidecar->upstream_ended_at = -1;
  sidecar->directory = dir_create ();
  sidecar->settings_mtime_ns = read_settings_mtime (file);
  evl_timer_init (&sidecar->tick, loop, on_tick, sidecar);
  fill_record (sidecar);
  if (!start_components (sidecar))
    {
      sdc_destroy (sidecar);
      return NULL;
    }
  evl_timer_set (&sidecar->tick, evl_now (loop) + TICK_INTERVAL);
  return sidecar;
}

bool
sdc_has_stopped (const struct sdc *sidecar)
{
  return sidecar->stopped;
}

uint64_t
sdc_config_version (const struct sdc *sidecar)
{
  return sidecar->snapshot != NULL ? sidecar->snapshot->stamp.version : 0;
}

size_t
sdc_node_count (const struct sdc *sidecar)
{
  return dir_alive_count (sidecar->directory);
}

static void
run_loop (struct sdc *sidecar)
{
  struct evl *loop = sidecar->loop;

  sidecar->owns_loop = true;
  evl_on_signal (loop, SIGTERM, on_terminate, sidecar);
  evl_on_signal (loop, SIGINT, on_terminate, sidecar);
  evl_on_signal (loop, SIGHUP, reload_settings, sidecar);
  log_write (LOG_INFO, "sdc", "started");
  evl_run (loop);
}

int
sdc_run (const struct cfg_sidecar *settings, const char *file,
         const struct ptf_platform *platform)
{
  struct evl *loop = evl_create ();
  struct sdc *sidecar;
  bool started;

  mallopt (M_ARENA_MAX, MAX_ARENAS);
  mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD);
  signal (SIGPIPE, SIG_IGN);
  sidecar = sdc_create (loop, settings, file, platform);
  started = sidecar != NULL;
  if (started)
    run_loop (sidecar);
  else
    log_write (LOG_ERROR, "sdc", "the sidecar cannot start: %s", err_last ());
  sdc_destroy (sidecar);
  /* Tasks of the loop free the connections that were closed.  */
  evl_run_once (loop, evl_now (loop));
  evl_destroy (loop);
  log_write (LOG_INFO, "sdc", "stopped");
  return started ? 0 : 1;
}
