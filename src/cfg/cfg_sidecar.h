/* Settings of a sidecar, from a TOML file.  Every setting stands in the table
   of cfg_sidecar.c with its unit, default and range.  */

#ifndef MULBERRYSHIFT_CFG_CFG_SIDECAR_H
#define MULBERRYSHIFT_CFG_CFG_SIDECAR_H

#include "base/clk.h"
#include "cfg/cfg.h"

#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Times here are settings; the program turns them into deadlines.  */
  struct cfg_sidecar
  {
    char name[CFG_NAME_SIZE];
    char data_centre[CFG_NAME_SIZE];
    char region[CFG_NAME_SIZE];
    char service[CFG_NAME_SIZE];
    bool first_start;
    int64_t memory_mb;
    double cores;
    double link_mbps;
    struct net_address caller_address;
    struct net_address mesh_address;
    struct net_address readiness_address;
    struct net_address heartbeat_address;
    struct net_address metrics_address;
    struct net_address upstream_address;
    clk_time heartbeat_interval;
    struct net_address platform_address;
    clk_time grace_period;
    double retry_ratio;
    int64_t retry_slack;
    clk_time retry_window;
    int64_t pipelined_requests; /* of a connection; 0: the default of srv */
    int64_t read_ahead_kb;      /* of a connection; 0: the default of srv */
    double max_rollout_share;
    clk_time rollback_time;
    int64_t log_level; /* enum log_level */
  };

  /* Loads FILE; see cfg_load.  */
  enum cfg_status cfg_load_sidecar (const char *file,
                                    struct cfg_sidecar *settings,
                                    struct buf *report);

  /* Does the same with LENGTH bytes; NAME stands for the file.  */
  enum cfg_status cfg_parse_sidecar (const char *name, const char *text,
                                     size_t length,
                                     struct cfg_sidecar *settings,
                                     struct buf *report);

  /* Appends the reference of all settings, a table in Markdown.  */
  void cfg_print_sidecar_reference (struct buf *output);

  /* Appends the settings in effect as TOML with units, defaults and ranges. */
  void cfg_print_sidecar (const struct cfg_sidecar *settings,
                          struct buf *output);

#ifdef __cplusplus
}
#endif

#endif
