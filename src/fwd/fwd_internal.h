/* State of the forwarder.  Used inside this module.  */

#ifndef MULBERRYSHIFT_FWD_FWD_INTERNAL_H
#define MULBERRYSHIFT_FWD_FWD_INTERNAL_H

#include "age/age.h"
#include "base/lst.h"
#include "fwd/fwd.h"
#include "fwd/fwd_history.h"
#include "gat/gat.h"
#include "out/out.h"
#include "ovr/ovr.h"
#include "plc/plc.h"

/* Nodes that have refused a call at most.  */
#define FWD_MAX_TRIED 16

/* Attempts of a call that are under way at most.  */
#define FWD_MAX_TRIES 4

/* Place of the newest one among them.  */
#define FWD_CURRENT 0

/* Kinds of calls of which a node keeps the load reported by a peer.  */
#define FWD_MAX_KINDS 8

/* Load of one kind of call as reported by a peer.  */
struct fwd_kind
{
  uint32_t route;   /* hash; 0: the place is free */
  clk_time service; /* mean time in a slot, ns; 0: unknown */
  clk_time wait;    /* expected wait, ns */
  clk_time reported_at;
};

/* Load of a peer's upstream as reported in its answers.  */
struct fwd_peer
{
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  clk_time slot; /* mean time of any call in a slot, ns; 0: unknown */
  double failed;
  uint32_t sent;        /* calls sent there since the last answer */
  clk_time sent_at;     /* the last one of them */
  clk_time reported_at; /* of the last answer; 0: none */
  struct fwd_kind kinds[FWD_MAX_KINDS];
};

/* An attempt to run a call at one node, while it is under way.  */
struct fwd_try
{
  uint32_t number; /* 0: none is under way */
  dir_handle peer;
  uint64_t link;
  size_t sent_bytes;    /* of a body that is sent as the gate grants it */
  size_t partial_bytes; /* of ANSWER, as charged to the account */
  Mesh__Answer *answer; /* not complete, or kept; owned by FRAME */
  Mesh__Frame *frame;
};

/* One request of a caller.  */
struct fwd_call
{
  struct fwd *forwarder;
  struct lst_entry list;
  struct srv_exchange *exchange;
  struct htp_message message;
  struct snp_snapshot *snapshot;
  const struct doc_route *route;
  const char *service;
  const struct doc_tenant *tenant; /* of the caller's key; null: none */
  uint64_t tenant_hash;            /* of its name */
  struct quo_request *quota;       /* waits for credit; null: not */
  bool has_credit;                 /* of its tenant's quota */
  const char *id;                  /* the caller's; null: none */
  clk_time arrival;
  clk_time age;      /* time since the caller's first attempt; see age.h */
  clk_time target;   /* an answer by then is on time */
  clk_time deadline; /* the last moment for an answer */
  struct evl_timer timer;
  dir_handle tried[FWD_MAX_TRIED];
  unsigned tried_count;
  enum rol_side side; /* versions that may run it; see fwd_version.c */
  bool is_placed;     /* it was sent to a node before */
  unsigned runs;      /* upstreams that were sent the call */
  bool may_have_run;  /* one of them has not said that it did not */
  /* The newest attempt, and earlier ones whose nodes did not answer a ping in
     time.  These go on beside it, so that the call does not depend on room for
     another attempt; the first answer counts.  */
  struct fwd_try tries[FWD_MAX_TRIES];
  /* One that its upstream has answered with a failure, which is kept as long
     as another attempt may succeed; without an answer there is none.  */
  struct fwd_try failed;
  bool has_repeat;               /* taken from the budget and not used up */
  unsigned tried_before_repeat;  /* nodes in TRIED when it was taken */
  struct evl_timer repeat_timer; /* runs fwd_handle_repeat_timer */
  uint32_t kind;                 /* hash of the route */
  unsigned busy_refusals;        /* by gates */
  unsigned usable;      /* nodes that take calls, when it was placed last */
  bool ignores_reports; /* that its tenant is over its share; see fwd_over.c */
  bool is_over_share;   /* these reports alone keep it from being placed */
  struct fwd_history history; /* of its attempts */
};

/* The nodes that may run a call; the memory is used again.  */
struct fwd_field
{
  struct plc_candidate *candidates;
  dir_handle *peers; /* of the candidates */
  size_t count;
  size_t capacity;
};

struct fwd
{
  struct fwd_options parts;
  struct snp_snapshot *snapshot;
  struct lst calls;
  size_t call_count;
  uint32_t next_number;
  struct fwd_peer *peers;
  dir_handle peer_count;
  struct bud *budget;
  struct age *ages; /* of requests with a tenant */
  struct rnd random;
  clk_time started_by; /* until then a first configuration may be on its way */
  clk_time latest;     /* end of every request; CLK_NEVER: not limited */
  clk_time screen_at;  /* see fwd_set_drain_deadline; CLK_NEVER: never */
  struct fwd_field field; /* of the call that is being placed */
  struct ovr *reports;    /* of tenants that are over their share */
  double *share_points;   /* of each route with shares; see fwd_route.c */
};

/* Returns the call of a place in the list of calls, null after the last.  */
struct fwd_call *fwd_call_at (const struct lst_entry *link);

/* Returns what is known of PEER.  */
struct fwd_peer *fwd_peer (struct fwd *forwarder, dir_handle peer);

/* Takes the load that PEER reports, as calls of this kind meet it.
   OVER_SHARE: its wait is that of a tenant over its share and is not taken, as
   it does not hold for the others.  */
void fwd_take_load (struct fwd *forwarder, dir_handle peer, uint32_t route,
                    const Mesh__Load *load, bool over_share);

/* Returns what is known of a peer's load; SLOTS is what its record says.  */
struct plc_load fwd_peer_load (struct fwd *forwarder, dir_handle peer,
                               uint32_t route, uint32_t slots);

/* Takes what PEER's gate says of the share of the call's tenant.  */
void fwd_take_share (struct fwd_call *call, dir_handle peer,
                     const Mesh__Answer *answer);

/* Returns the report that the call's tenant is over its share at PEER, null
   when there is none or it is not used for this call.  */
const struct ovr_report *fwd_find_report (const struct fwd_call *call,
                                          dir_handle peer);

/* Returns what is known of a peer's load as the call meets it; SLOTS is what
   the peer's record says.  */
struct plc_load fwd_call_load (const struct fwd_call *call, dir_handle peer,
                               uint32_t slots);

/* Returns the node of FIELD with the shortest wait among those that are usable
   and have a report on the call's tenant, DIR_NONE when there is none.  */
dir_handle fwd_find_reporter (const struct fwd_call *call,
                              const struct fwd_field *field);

/* Returns whether a call that reports keep from being placed is sent all the
   same.  */
bool fwd_is_sample (const struct fwd_call *call);

/* Sends the call again unless an attempt may succeed: also beside attempts at
   silent nodes, if its kind, its route and the budget allow it.  Gives it up
   when that is not possible and none is under way.  */
void fwd_repeat_if_needed (struct fwd_call *call);

/* Does that for the call CONTEXT, which has found no room before.  */
void fwd_handle_repeat_timer (void *context);

/* PEER's gate did not run the call.  */
void fwd_take_refusal (struct fwd_call *call, dir_handle peer,
                       enum gat_refusal refusal);

/* Does not send the call to PEER again.  */
void fwd_exclude (struct fwd_call *call, dir_handle peer);

/* Sets the route and the service of a call.  Returns false when no route
   matches.  */
bool fwd_find_route (struct fwd_call *call);

/* Sets the tenant of a call.  Returns false when its route needs a key and the
   call has none that a tenant holds.  */
bool fwd_find_tenant (struct fwd_call *call);

/* Chooses the versions of the service that may run a call which is about to be
   placed.  */
void fwd_choose_side (struct fwd_call *call);

/* No upstream of the chosen version has room.  Returns whether another version
   may run the call; it is chosen.  */
bool fwd_change_side (struct fwd_call *call);

/* Returns the longest wait at the chosen upstream, given what its placement
   allows: a call on trial does not wait for a slot of the new version.  */
clk_time fwd_limit_wait (const struct fwd_call *call, clk_time max_wait);

/* Returns whether the upstream of PEER has a version that may run the call. */
bool fwd_allows (const struct fwd_call *call, dir_handle peer);

/* Counts the answer of an upstream, or the loss of it, by its version.  */
void fwd_count_answer (const struct fwd_call *call, dir_handle peer, bool bad);

/* Returns the rank of a call under load: by its tenant, then by its route.  */
uint32_t fwd_priority (const struct fwd_call *call);

/* Takes credit of the call's tenant and places the call, now or when there is
   credit, or answers 429.  */
void fwd_take_credit (struct fwd_call *call);

/* Gives back the credit of a call that has not run.  */
void fwd_return_credit (struct fwd_call *call);

/* Places the call on a node and sends it, or answers that it was not run.  */
void fwd_place (struct fwd_call *call);

/* Sends the call to PEER.  Returns false when that is not possible now.  */
bool fwd_send (struct fwd_call *call, dir_handle peer, clk_time max_wait);

/* Sends BYTES more of the body of an attempt whose gate has granted them.  */
void fwd_send_granted (struct fwd_call *call, struct fwd_try *attempt,
                       size_t bytes);

/* Returns whether an attempt of the call is under way.  */
bool fwd_is_under_way (const struct fwd_call *call);

/* Returns the attempt under way with this number and sets *CALL to its call;
   null when there is none.  */
struct fwd_try *fwd_find_try (struct fwd *forwarder, const Mesh__CallId *id,
                              struct fwd_call **call);

/* Frees the answer to an attempt, or the parts of it that have come.  */
void fwd_drop_parts (struct fwd_call *call, struct fwd_try *attempt);

/* Notes how an attempt has ended; REFUSAL is that of one that was not run.  */
void fwd_note_end (struct fwd_call *call, const struct fwd_try *attempt,
                   enum fwd_end end, enum gat_refusal refusal);

/* Ends an attempt: nothing more is expected on its link, which is closed now
   if it is no longer used.  */
void fwd_end_try (struct fwd_call *call, struct fwd_try *attempt);

/* Counts the run of an attempt that has ended and has run, or may have.  */
void fwd_count_run (struct fwd_call *call, const struct fwd_try *attempt);

/* Returns whether an attempt is under way at a node that responds.  */
bool fwd_may_succeed (const struct fwd_call *call);

/* Returns a place for an attempt at a silent node, null when there is none. */
struct fwd_try *fwd_find_free_try (struct fwd_call *call);

/* Keeps the current attempt beside the next one; there must be a place.  There
   is no current one then.  */
void fwd_keep_silent_try (struct fwd_call *call);

/* Cancels an attempt if it is under way.  */
void fwd_cancel_try (struct fwd_call *call, struct fwd_try *attempt);

/* Cancels the attempts under way.  */
void fwd_cancel (struct fwd_call *call);

/* Keeps the failure with which an upstream has answered ATTEMPT, which has
   ended, if another one may succeed and there is memory for it.  ANSWER is
   owned by FRAME.  Returns whether it is kept; FRAME is then the call's.  */
bool fwd_keep_failure (struct fwd_call *call, struct fwd_try *attempt,
                       Mesh__Answer *answer, Mesh__Frame *frame);

/* Passes the failure on that is kept and frees the call.  Returns false when
   none is kept.  */
bool fwd_pass_failure (struct fwd_call *call);

/* Does the same if no attempt may succeed any more.  */
bool fwd_pass_last_failure (struct fwd_call *call);

/* Answers with a status of this node's own and frees the call.  RETRY_AFTER is
   0 or a time in ns after which the caller may come back.  */
void fwd_fail (struct fwd_call *call, unsigned status, const char *reason,
               clk_time retry_after);

/* Passes the answer of PEER's upstream on, cancels the attempts that are still
   under way and frees the call.  Takes the body out of ANSWER.  */
void fwd_answer (struct fwd_call *call, dir_handle peer, Mesh__Answer *answer);

/* Frees a call.  */
void fwd_free_call (struct fwd_call *call);

#endif
