/* Log lines of links between nodes.  Used inside this module.  */

#ifndef MULBERRYSHIFT_HUB_HUB_LOG_H
#define MULBERRYSHIFT_HUB_HUB_LOG_H

#include "hub/hub_internal.h"

/* A ping on LINK is overdue.  A check that runs late shows that this node
   itself has paused.  */
void hub_log_overdue (const struct hub_outbound_link *link);

/* LINK is closed because of a record of its node, or retired if it IS_KEPT for
   the replies that are awaited on it.  */
void hub_log_reset (const struct hub_outbound_link *link, bool is_kept);

#endif
