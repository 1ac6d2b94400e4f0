/* Forwarding: takes a caller's request at its own node, finds its route,
   places it on a node with an upstream of the service, tries again where that
   is allowed, and answers.  Every request gets exactly one answer, at the
   latest when its route's time is over.  */

#ifndef MULBERRYSHIFT_FWD_FWD_H
#define MULBERRYSHIFT_FWD_FWD_H

#include "acc/acc.h"
#include "bud/bud.h"
#include "dir/dir.h"
#include "evl/evl.h"
#include "hub/hub.h"
#include "ptf/ptf.h"
#include "quo/quo.h"
#include "rol/rol.h"
#include "snp/snp.h"
#include "srv/srv.h"

#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct fwd;

  struct fwd_options
  {
    struct evl *loop;
    const struct ptf_platform *platform;
    const struct dir *directory;
    dir_handle self;
    struct hub *hub;
    struct quo *quota;        /* of the tenants; see quo_take */
    const char *service;      /* of the VM; requests begin on behalf of it */
    struct acc *account;      /* of the parts of answers */
    struct rol *rollouts;     /* null: roll-outs are off */
    struct bud_limits budget; /* NODES is kept up to date by fwd */
  };

  /* Creates a forwarder without a configuration: it refuses everything.  */
  struct fwd *fwd_create (const struct fwd_options *parts);

  /* Drops all calls without answers.  Null is allowed.  */
  void fwd_destroy (struct fwd *forwarder);

  /* Handlers for the server that callers connect to; CONTEXT is the
     forwarder.  */
  extern const struct srv_handlers fwd_handlers;

  /* Uses SNAPSHOT for the requests that follow; takes a reference.  */
  void fwd_set_snapshot (struct fwd *forwarder, struct snp_snapshot *snapshot);

  /* Takes an answer, or a part of its body, from PEER.  Returns true when it
     keeps FRAME.  */
  bool fwd_handle_reply (struct fwd *forwarder, dir_handle peer,
                         Mesh__Frame *frame);

  /* The handle PEER is given to another node.  */
  void fwd_reset_peer (struct fwd *forwarder, dir_handle peer);

  /* No more answers come on LINK; calls that were sent on it have not run
     unless it was OPENED.  */
  void fwd_handle_link_closed (struct fwd *forwarder, dir_handle peer,
                               uint64_t link, bool opened);

  /* PEER does not answer on LINK for longer than a call may make it.  */
  void fwd_handle_ping_overdue (struct fwd *forwarder, dir_handle peer,
                                uint64_t link);

  /* Makes every request that comes from now on end by DEADLINE, shortly before
     the process stops.  From SCREEN_AT on, requests that may take longer are
     refused, so that none is broken off.  */
  void fwd_set_drain_deadline (struct fwd *forwarder, clk_time deadline,
                               clk_time screen_at);

  /* Answers all requests that have none yet: as not run, or as unknown when
     they may have run.  */
  void fwd_fail_all (struct fwd *forwarder);

  /* Returns the calls under way to upstreams of SERVICE whose version is not
     VERSION.  */
  size_t fwd_count_other_calls (const struct fwd *forwarder,
                                const char *service, const char *version);

  /* Returns the requests without an answer.  */
  size_t fwd_in_progress (const struct fwd *forwarder);

#ifdef __cplusplus
}
#endif

#endif
