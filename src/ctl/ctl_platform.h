/* The control's threads that talk to the platform: one keeps the watch, one
   carries out reads and writes.  Both share one call budget.  */

#ifndef MULBERRYSHIFT_CTL_CTL_PLATFORM_H
#define MULBERRYSHIFT_CTL_CTL_PLATFORM_H

#include "cfg/cfg.h"
#include "ctl/ctl_event.h"

#include <stdbool.h>

struct ctl_platform;

/* Starts the threads.  SETTINGS and INBOX must outlive them.  */
struct ctl_platform *ctl_platform_create (const struct cfg_settings *settings,
                                          struct ctl_inbox *inbox);

/* Carries out a platform action: DST_WATCH, DST_READ, DST_READ_DIRECTORY,
   DST_WRITE_DIRECTORY or DST_WRITE_STATUS.  */
void ctl_platform_start (struct ctl_platform *platform,
                         const struct dst_action *action);

/* Sets the call budget for a relay or standby, or for a plain node.  */
void ctl_platform_set_relay (struct ctl_platform *platform, bool relay);

/* Stops the threads, which takes about a second while a watch waits, and frees
   the rest.  */
void ctl_platform_destroy (struct ctl_platform *platform);

#endif
