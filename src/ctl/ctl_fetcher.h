/* Threads that fetch documents and records from peers by TCP, so that the
   control thread never waits for a peer.  */

#ifndef MULBERRYSHIFT_CTL_CTL_FETCHER_H
#define MULBERRYSHIFT_CTL_CTL_FETCHER_H

#include "ctl/ctl_event.h"
#include "lnk/lnk.h"

struct ctl_fetcher;

/* Starts the threads.  POOL and INBOX must outlive the fetcher.  */
struct ctl_fetcher *ctl_fetcher_create (struct lnk_pool *pool,
                                        struct ctl_inbox *inbox);

/* Starts the fetch that ACTION (DST_FETCH) asks for; SELF is pushed with it if
   the action says so.  A fetch that cannot be queued is reported as failed. */
void ctl_fetcher_start (struct ctl_fetcher *fetcher,
                        const struct dst_action *action,
                        const struct mbr_member *self);

/* Waits for the threads and frees the fetcher.  */
void ctl_fetcher_destroy (struct ctl_fetcher *fetcher);

#endif
