/* The table of settings.  */

#include "cfg/cfg_table.h"

#define PLACE(member) offsetof (struct cfg_settings, member)

static const struct cfg_setting table[] = {
  { .table = "node",
    .key = "name",
    .kind = CFG_NAME,
    .offset = PLACE (name),
    .help = "name of this node, unique in its environment" },
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
    .key = "environment",
    .kind = CFG_NAME,
    .offset = PLACE (environment),
    .help = "environment whose document this node follows" },
  { .table = "node",
    .key = "drain_ms",
    .kind = CFG_INTEGER,
    .offset = PLACE (drain_ms),
    .fallback = "30000",
    .minimum = 0,
    .maximum = 600000,
    .unit = "ms",
    .help = "longest wait for running calls at a graceful shutdown" },
  { .table = "node",
    .key = "gate_queue",
    .kind = CFG_INTEGER,
    .offset = PLACE (gate_queue_capacity),
    .fallback = "48",
    .minimum = 0,
    .maximum = 10000,
    .unit = "calls",
    .help = "calls that may wait at the gate for a free slot" },
  { .table = "listen",
    .key = "http",
    .kind = CFG_ADDRESS,
    .offset = PLACE (http_address),
    .fallback = "\"127.0.0.1:8080\"",
    .help = "address for callers" },
  { .table = "listen",
    .key = "mesh",
    .kind = CFG_ADDRESS,
    .offset = PLACE (mesh_address),
    .help = "address for other nodes, TCP and UDP" },
  { .table = "listen",
    .key = "admin",
    .kind = CFG_ADDRESS,
    .offset = PLACE (admin_address),
    .fallback = "\"127.0.0.1:9090\"",
    .help = "address for the upstream beside this node and for operators" },
  { .table = "listen",
    .key = "http_threads",
    .kind = CFG_INTEGER,
    .offset = PLACE (http_threads),
    .fallback = "32",
    .minimum = 1,
    .maximum = 1024,
    .unit = "threads",
    .help = "callers' connections served at the same time" },
  { .table = "listen",
    .key = "http_max_body",
    .kind = CFG_INTEGER,
    .offset = PLACE (http_max_body_bytes),
    .fallback = "1048576",
    .minimum = 0,
    .maximum = 16777216,
    .unit = "bytes",
    .help = "longest body of a caller's request" },
  { .table = "listen",
    .key = "gate_threads",
    .kind = CFG_INTEGER,
    .offset = PLACE (gate_threads),
    .fallback = "16",
    .minimum = 1,
    .maximum = 1024,
    .unit = "threads",
    .help = "calls to the upstream handled at the same time" },
  { .table = "listen",
    .key = "max_links",
    .kind = CFG_INTEGER,
    .offset = PLACE (max_links),
    .fallback = "1024",
    .minimum = 1,
    .maximum = 10000,
    .unit = "links",
    .help = "links from other nodes open at the same time" },
  { .table = "mesh",
    .key = "seeds",
    .kind = CFG_SEEDS,
    .offset = PLACE (seeds),
    .count_offset = PLACE (seed_count),
    .fallback = "[]",
    .help = "mesh addresses of a few other nodes" },
  { .table = "mesh",
    .key = "control",
    .kind = CFG_CHOICE,
    .offset = PLACE (distribution),
    .fallback = "\"tree\"",
    .help
    = "how versions arrive: from other nodes, or by polling the platform "
      "from each node, which is kept for measurements",
    .choices = { "tree", "poll" } },
  { .table = "platform",
    .key = "url",
    .kind = CFG_URL,
    .offset = PLACE (platform_url),
    .help = "base URL of the platform's object API" },
  { .table = "platform",
    .key = "region",
    .kind = CFG_NAME,
    .offset = PLACE (platform_region),
    .help = "region that holds the platform's store" },
  { .table = "log",
    .key = "level",
    .kind = CFG_CHOICE,
    .offset = PLACE (log_level),
    .fallback = "\"info\"",
    .help = "least important messages that are logged",
    .choices = { "debug", "info", "warning", "error" } },
};

/* Reports addresses that are used twice, and a mesh address that other nodes
   cannot reach.  */
static void
check_addresses (struct toml_report *report, const struct toml_node *root,
                 const void *context)
{
  const struct cfg_settings *settings = context;
  const struct toml_node *listen = toml_get (root, "listen");
  const struct toml_node *mesh
      = listen != NULL ? toml_get (listen, "mesh") : NULL;

  /* The port is 0 while an address is missing or faulty.  */
  if (mesh == NULL || settings->mesh_address.port == 0)
    return;
  if (settings->mesh_address.ip == 0)
    toml_add_error (report, mesh->line, mesh->column,
                    "[listen] mesh is 0.0.0.0, to which other nodes cannot "
                    "connect; write this VM's own address");
  if (net_equal (settings->mesh_address, settings->http_address)
      || net_equal (settings->mesh_address, settings->admin_address)
      || (settings->http_address.port != 0
          && net_equal (settings->http_address, settings->admin_address)))
    toml_add_error (report, listen->line, listen->column,
                    "[listen] has the same address twice among http, mesh and "
                    "admin; give each its own port");
}

const struct cfg_schema cfg_node_schema
    = { table, sizeof table / sizeof *table, sizeof (struct cfg_settings),
        check_addresses };
