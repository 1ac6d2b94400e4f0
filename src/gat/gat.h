/* Gate: admits calls to the upstream beside this node and runs them there.  It
   alone reaches the upstream, so it knows exactly how many calls run; it never
   sends the upstream more than it has slots for, and never sends a call
   twice.  */

#ifndef MULBERRYSHIFT_GAT_GAT_H
#define MULBERRYSHIFT_GAT_GAT_H

#include "evl/evl.h"
#include "hub/hub.h"
#include "ptf/ptf.h"
#include "reg/reg.h"

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct gat;

  /* Why a call was not run; 0 when it was.  */
  enum gat_refusal
  {
    GAT_NOT_REFUSED,
    GAT_BUSY,        /* it would wait longer than its sender allows */
    GAT_LEAVING,     /* the upstream takes no new calls */
    GAT_NO_UPSTREAM, /* no upstream of this service, or another one */
    GAT_SHED,        /* the upstream refused to run it */
    GAT_UNREACHABLE, /* the upstream accepts no connection */
    GAT_EXPIRED,     /* its deadline passed while it waited */
    GAT_DRAINING,    /* this node shuts down */
    GAT_REFUSAL_COUNT
  };

  struct gat_hooks
  {
    void *context;
    /* Sends an answer back.  */
    void (*send_reply) (void *context, struct hub_inbound_link *origin,
                        const Mesh__Frame *frame);
    /* Returns whether LENGTH bytes of replies fit beside those that wait to be
       sent.  */
    bool (*has_room) (void *context, const struct hub_inbound_link *origin,
                      size_t length);
    /* The upstream refused a connection.  */
    void (*on_unreachable) (void *context);
    /* Returns the configuration version that this node holds.  */
    uint64_t (*config_version) (void *context);
    /* Sends a part of a long answer back; other frames may overtake it.  */
    void (*send_bulk_reply) (void *context, struct hub_inbound_link *origin,
                             const Mesh__Frame *frame);
    /* Returns the time after which BYTES more of long answers would have been
       sent, in ns.  */
    clk_time (*bulk_time) (void *context, size_t bytes);
    /* The upstream has answered a call of this route (a hash), or failed to:
       BAD is true for a failure of its own, a lost or a damaged response.
       ELAPSED is the time in a slot, ns.  May be null.  */
    void (*answered) (void *context, uint32_t route, bool bad,
                      clk_time elapsed);
    /* Returns whether the upstream must get no calls although it takes them.
       May be null.  */
    bool (*is_withdrawn) (void *context);
    /* Drops what send_bulk_reply has queued for ORIGIN of the answer to the
       call with this number.  May be null.  */
    void (*cancel_bulk_reply) (void *context, struct hub_inbound_link *origin,
                               uint64_t number);
  };

  /* Memory for the bodies that are held at the same time, in bytes.  */
  struct gat_memory
  {
    size_t requests;  /* of calls */
    size_t responses; /* of responses that are being read */
  };

  /* Creates a gate to the upstream of REGISTRATION, which must outlive it.  */
  struct gat *gat_create (struct evl *loop,
                          const struct ptf_platform *platform,
                          const struct reg *registration,
                          const struct gat_hooks *hooks,
                          const struct gat_memory *memory);

  /* Drops all calls without answers.  Null is allowed.  */
  void gat_destroy (struct gat *gate);

  /* Takes a frame with a call, a part of its body, or its cancellation.  The
     gate owns FRAME afterwards.  */
  void gat_handle_frame (struct gat *gate, struct hub_inbound_link *origin,
                         Mesh__Frame *frame);

  /* Cancels the calls of an origin that is gone.  */
  void gat_handle_inbound_closed (struct gat *gate,
                                  const struct hub_inbound_link *origin);

  /* Looks at the registration again after it has changed.  */
  void gat_apply_registration (struct gat *gate);

  /* The process ends at LATEST: calls that start from now on end by then, and
     those that are not expected to are refused as not run.  */
  void gat_set_end (struct gat *gate, clk_time latest);

  /* Sets the rate, in bytes per second, at which the link of the VM receives
     long bodies; 0: no limit, as at first.  */
  void gat_set_receive_rate (struct gat *gate, double bytes_per_second);

  /* Refuses new calls from now on, and those whose bodies are not complete;
     waiting and running ones go on.  */
  void gat_drain (struct gat *gate);

  /* Returns the calls that wait or run.  */
  size_t gat_in_progress (const struct gat *gate);

  /* Returns a short name, for logs and metrics.  */
  const char *gat_refusal_name (enum gat_refusal refusal);

#ifdef __cplusplus
}
#endif

#endif
