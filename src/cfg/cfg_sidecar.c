/* The table of a sidecar's settings.  */

#include "cfg/cfg_sidecar.h"

#include "cfg/cfg_table.h"

#define PLACE(member) offsetof (struct cfg_sidecar, member)

static const struct cfg_setting table[] = {
  { .table = "node",
    .key = "name",
    .kind = CFG_NAME,
    .offset = PLACE (name),
    .help = "name of this node, unique in the mesh" },
  { .table = "node",
    .key = "data_centre",
    .kind = CFG_NAME,
    .offset = PLACE (data_centre),
    .help = "data centre of this VM" },
  { .table = "node",
    .key = "region",
    .kind = CFG_NAME,
    .offset = PLACE (region),
    .help = "region of the data centre" },
  { .table = "node",
    .key = "service",
    .kind = CFG_NAME,
    .offset = PLACE (service),
    .help = "service of the upstream on this VM" },
  { .table = "node",
    .key = "first_start",
    .kind = CFG_BOOLEAN,
    .offset = PLACE (first_start),
    .fallback = "false",
    .help = "the whole mesh starts for the first time" },
  { .table = "node",
    .key = "memory_mb",
    .kind = CFG_INTEGER,
    .offset = PLACE (memory_mb),
    .fallback = "256",
    .minimum = 16,
    .maximum = 1048576,
    .unit = "MB",
    .help = "memory that the process may use" },
  { .table = "node",
    .key = "cores",
    .kind = CFG_DECIMAL,
    .offset = PLACE (cores),
    .fallback = "1",
    .minimum = 0,
    .maximum = 1024,
    .unit = "cores",
    .help = "processor of this VM; the largest ones relay changes" },
  { .table = "node",
    .key = "link_mbps",
    .kind = CFG_DECIMAL,
    .offset = PLACE (link_mbps),
    .fallback = "0",
    .minimum = 0,
    .maximum = 1000000,
    .unit = "Mbit/s",
    .help = "bandwidth of this VM's link, to which long bodies are limited; "
            "0: no limit" },
  { .table = "listen",
    .key = "calls",
    .kind = CFG_ADDRESS,
    .offset = PLACE (caller_address),
    .help = "address for requests that begin on this VM" },
  { .table = "listen",
    .key = "links",
    .kind = CFG_ADDRESS,
    .offset = PLACE (mesh_address),
    .help = "address for other nodes" },
  { .table = "listen",
    .key = "ready",
    .kind = CFG_ADDRESS,
    .offset = PLACE (readiness_address),
    .help = "address for readiness probes" },
  { .table = "listen",
    .key = "control",
    .kind = CFG_ADDRESS,
    .offset = PLACE (heartbeat_address),
    .help = "address for the upstream's heartbeats" },
  { .table = "listen",
    .key = "metrics",
    .kind = CFG_ADDRESS,
    .offset = PLACE (metrics_address),
    .fallback = "\"127.0.0.1:9090\"",
    .help = "address for metrics" },
  { .table = "upstream",
    .key = "address",
    .kind = CFG_ADDRESS,
    .offset = PLACE (upstream_address),
    .help = "address of the upstream on this VM" },
  { .table = "upstream",
    .key = "heartbeat_s",
    .kind = CFG_SECONDS,
    .offset = PLACE (heartbeat_interval),
    .fallback = "1",
    .minimum = 10,
    .maximum = 3600000,
    .help = "interval of the upstream's heartbeats" },
  { .table = "platform",
    .key = "address",
    .kind = CFG_ADDRESS,
    .offset = PLACE (platform_address),
    .help = "address of the platform's store" },
  { .table = "limits",
    .key = "grace_s",
    .kind = CFG_SECONDS,
    .offset = PLACE (grace_period),
    .fallback = "6",
    .minimum = 0,
    .maximum = 3600000,
    .help = "time between SIGTERM and SIGKILL" },
  { .table = "limits",
    .key = "retry_ratio",
    .kind = CFG_DECIMAL,
    .offset = PLACE (retry_ratio),
    .fallback = "0.1",
    .minimum = 0,
    .maximum = 10,
    .unit = "repeats a request",
    .help = "repeats that all nodes together may send to a service" },
  { .table = "limits",
    .key = "retry_slack",
    .kind = CFG_INTEGER,
    .offset = PLACE (retry_slack),
    .fallback = "0",
    .minimum = 0,
    .maximum = 1000000,
    .unit = "repeats",
    .help = "repeats besides, in any window" },
  { .table = "limits",
    .key = "retry_window_s",
    .kind = CFG_SECONDS,
    .offset = PLACE (retry_window),
    .fallback = "10",
    .minimum = 100,
    .maximum = 3600000,
    .help = "window over which repeats are counted" },
  { .table = "limits",
    .key = "pipelined_requests",
    .kind = CFG_INTEGER,
    .offset = PLACE (pipelined_requests),
    .fallback = "64",
    .minimum = 1,
    .maximum = 10000,
    .unit = "requests",
    .help = "requests of one caller's connection that are held at the same "
            "time; further ones stay in the socket" },
  { .table = "limits",
    .key = "read_ahead_kb",
    .kind = CFG_INTEGER,
    .offset = PLACE (read_ahead_kb),
    .fallback = "256",
    .minimum = 1,
    .maximum = 1048576,
    .unit = "KiB",
    .help = "requests behind an unanswered one that are held of one caller's "
            "connection; further bytes stay in the socket" },
  { .table = "log",
    .key = "level",
    .kind = CFG_CHOICE,
    .offset = PLACE (log_level),
    .fallback = "\"info\"",
    .help = "least important messages that are logged",
    .choices = { "debug", "info", "warning", "error" } },
};

static const struct cfg_schema schema = { table, sizeof table / sizeof *table,
                                          sizeof (struct cfg_sidecar), NULL };

enum cfg_status
cfg_load_sidecar (const char *file, struct cfg_sidecar *settings,
                  struct buf *report)
{
  return cfg_read_file (&schema, file, settings, report);
}

enum cfg_status
cfg_parse_sidecar (const char *name, const char *text, size_t length,
                   struct cfg_sidecar *settings, struct buf *report)
{
  return cfg_read (&schema, name, text, length, settings, report);
}

void
cfg_print_sidecar_reference (struct buf *output)
{
  cfg_reference_schema (&schema, output);
}

void
cfg_print_sidecar (const struct cfg_sidecar *settings, struct buf *output)
{
  cfg_print_schema (&schema, settings, output);
}
