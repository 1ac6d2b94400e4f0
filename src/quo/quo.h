/* Quotas: a tenant may run its rate of requests a second and its burst, summed
   over all nodes.  The credit of a tenant follows from its rate and from what
   the node that owns it (own_find_owner) granted in the last 5 s.  A node asks
   the owner for credit with a frame, as much as it needs for the next 100 ms,
   and answers its callers from what it was granted.

   Load that it answers: 80 to 750 nodes with 1,100 requests a second in all;
   tenants with hundreds of requests a second and with a few; clumps at single
   nodes; a tenant that sends eight times its rate and whose refused callers
   come back; nodes that are killed together, and data centres that cannot see
   each other.

   Bounds.  Requests with credit in any window of W seconds, W at most 5, for a
   tenant with rate R and burst B:
   - with one owner: R x (W + 0.32) + B;
   - each new owner: R x 0.05 + 1 more, and R for as long as two nodes take
     themselves for the owner, which is until a restarted owner is connected
     again (one round trip after its record arrives; a second at most);
   - a partition: until the first owner notices it (0.6 s while a tenant needs
     its credit), R x the part of the nodes on the other sides; afterwards the
     owners add up to R;
   - without any owner: R / 2 over all nodes, in equal parts.

   A node has at most one request for a tenant under way, QUO_MAX_WAITING
   requests that wait and QUO_MAX_TENANTS tenants.  No call goes to the
   store.  */

#ifndef MULBERRYSHIFT_QUO_QUO_H
#define MULBERRYSHIFT_QUO_QUO_H

#include "dir/dir.h"
#include "evl/evl.h"
#include "hub/hub.h"
#include "snp/snp.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Kind of the subjects for own_find_owner.  */
#define QUO_OWNER_KIND "quota"

/* Requests that wait for credit at most, of all tenants.  */
#define QUO_MAX_WAITING 1024

/* Tenants of which a node keeps credit at most; those that are no longer
   configured are forgotten after a minute.  */
#define QUO_MAX_TENANTS 2048

  struct quo;

  /* A request that waits for credit.  */
  struct quo_request;

  enum quo_status
  {
    QUO_GRANTED,
    QUO_REFUSED, /* the tenant has no credit in time */
    QUO_WAITING  /* the callback follows */
  };

  /* Ends the wait of a request, which is invalid afterwards.  STATUS is
     QUO_GRANTED or QUO_REFUSED; RETRY_AFTER is the time in ns after which the
     caller may come back, 0 when granted.  */
  typedef void (*quo_callback) (void *context, enum quo_status status,
                                clk_time retry_after);

  struct quo_options
  {
    struct evl *loop;
    struct hub *hub;
    const struct dir *directory;
    dir_handle self;
    uint64_t seed; /* of the random parts of floors and Retry-After */
  };

  /* Creates a quota without a configuration; the node owns nothing yet.  */
  struct quo *quo_create (const struct quo_options *options);

  /* Drops the waiting requests without calling them back.  Null is
     allowed.  */
  void quo_destroy (struct quo *quota);

  /* Grants by the rates and bursts of SNAPSHOT; takes a reference.  */
  void quo_set_snapshot (struct quo *quota, struct snp_snapshot *snapshot);

  /* From READY_AT on the directory is complete: the node may own quotas and
     knows its floor.  */
  void quo_set_ready (struct quo *quota, clk_time ready_at);

  /* Takes credit for one request of TENANT, which may be null.  A tenant
     without a rate always has credit.  On QUO_WAITING, CALLBACK is called by
     DEADLINE at the latest, not before this function returns, unless the
     *REQUEST is cancelled; otherwise *REQUEST is null.  On QUO_REFUSED,
     *RETRY_AFTER is set as for the callback.  */
  enum quo_status quo_take (struct quo *quota, const struct doc_tenant *tenant,
                            clk_time deadline, quo_callback callback,
                            void *context, struct quo_request **request,
                            clk_time *retry_after);

  /* Returns whether a request of TENANT that cannot be on time is to be
     refused without credit, since the owner had less credit lately than was
     wanted: what there is then goes to requests that can be on time.  Sets
     *RETRY_AFTER if so.  */
  bool quo_refuses_late (struct quo *quota, const struct doc_tenant *tenant,
                         clk_time *retry_after);

  /* Ends the wait of a request without its callback.  Null is allowed.  */
  void quo_cancel (struct quo_request *request);

  /* Gives back the credit of a request of TENANT that has not run.  */
  void quo_return (struct quo *quota, const struct doc_tenant *tenant);

  /* Handles a request for credit from another node.  Returns whether FRAME is
     one; the caller keeps it.  */
  bool quo_handle_request (struct quo *quota, struct hub_inbound_link *inbound,
                           const Mesh__Frame *frame);

  /* Handles an owner's reply.  Returns whether FRAME is one; the caller keeps
     it.  */
  bool quo_handle_reply (struct quo *quota, const Mesh__Frame *frame);

  /* No more replies come on LINK.  */
  void quo_handle_link_closed (struct quo *quota, uint64_t link);

  /* The health of PEER has changed.  */
  void quo_note_health (struct quo *quota, dir_handle peer,
                        enum hub_health health);

  /* The handle PEER is given to another node, or its node has started
     again.  */
  void quo_reset_peer (struct quo *quota, dir_handle peer);

#ifdef __cplusplus
}
#endif

#endif
