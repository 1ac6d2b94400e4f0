/* Assembly of a node: starts its parts, waits for a signal, drains.  */

#ifndef MULBERRYSHIFT_NODE_NODE_H
#define MULBERRYSHIFT_NODE_NODE_H

#include "cfg/cfg.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* Runs a node until SIGTERM or SIGINT, then drains it.  SIGHUP reads FILE,
   the settings' file, again.  Returns the process's exit code: 0 after a
   graceful shutdown, 1 when a part could not start.  */
  int node_run (const struct cfg_settings *settings, const char *file);

#ifdef __cplusplus
}
#endif

#endif
