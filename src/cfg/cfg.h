/* Settings of a process, from a TOML file.  Every setting stands in the table
   of cfg_table.c with its unit, default and range.  */

#ifndef MULBERRYSHIFT_CFG_CFG_H
#define MULBERRYSHIFT_CFG_CFG_H

#include "base/buf.h"
#include "base/net.h"

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define CFG_NAME_SIZE 64
#define CFG_URL_SIZE 256
#define CFG_MAX_SEEDS 16

  enum cfg_status
  {
    CFG_OK,
    CFG_UNREADABLE, /* the file cannot be read */
    CFG_INVALID     /* one or more faults; all are in the report */
  };

  /* How a node learns of configuration versions.  */
  enum cfg_distribution
  {
    CFG_DISTRIBUTION_TREE, /* from other nodes, through relays */
    CFG_DISTRIBUTION_POLL  /* each node polls the platform; for measurements */
  };

  /* Durations here are settings; the program turns them into deadlines.  */
  struct cfg_settings
  {
    char name[CFG_NAME_SIZE];
    char data_centre[CFG_NAME_SIZE];
    char region[CFG_NAME_SIZE];
    char environment[CFG_NAME_SIZE];
    struct net_address http_address;
    struct net_address mesh_address;
    struct net_address admin_address;
    struct net_address seeds[CFG_MAX_SEEDS];
    size_t seed_count;
    char platform_url[CFG_URL_SIZE];
    char platform_region[CFG_NAME_SIZE];
    int64_t distribution; /* enum cfg_distribution */
    int64_t log_level;    /* enum log_level */
    int64_t http_threads;
    int64_t http_max_body_bytes; /* bytes */
    int64_t gate_threads;
    int64_t gate_queue_capacity; /* calls */
    int64_t max_links;
    int64_t drain_ms;
  };

  /* Loads FILE.  On CFG_INVALID, REPORT holds one line a fault in source
     order, as "FILE:LINE:COLUMN: what is wrong; how to correct it".  Unless
     the result is CFG_OK, SETTINGS is unchanged.  */
  enum cfg_status cfg_load (const char *file, struct cfg_settings *settings,
                            struct buf *report);

  /* Does the same with LENGTH bytes; NAME stands for the file.  */
  enum cfg_status cfg_parse (const char *name, const char *text, size_t length,
                             struct cfg_settings *settings,
                             struct buf *report);

  /* Appends the settings in effect as TOML with units, defaults and ranges. */
  void cfg_print (const struct cfg_settings *settings, struct buf *output);

  /* Appends the reference of all settings, a page in Markdown.  */
  void cfg_print_reference (struct buf *output);

#ifdef __cplusplus
}
#endif

#endif
