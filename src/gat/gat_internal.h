/* State of the gate.  Used inside this module.  */

#ifndef MULBERRYSHIFT_GAT_GAT_INTERNAL_H
#define MULBERRYSHIFT_GAT_GAT_INTERNAL_H

#include "base/lst.h"
#include "cnx/cnx.h"
#include "gat/gat.h"
#include "gat/gat_kinds.h"
#include "out/out.h"
#include "que/que.h"

/* Connections to the upstream that are kept.  */
#define GAT_MAX_IDLE 64

enum gat_state
{
  GAT_RECEIVING, /* parts of the body are missing */
  GAT_WAITING,
  GAT_RUNNING
};

/* One call at this gate.  */
struct gat_call
{
  struct gat *gate;
  struct lst_entry list;
  struct hub_inbound_link *origin;
  Mesh__Frame *frame; /* owns the call */
  const char *id;     /* the caller's, from its header; null: none */
  enum gat_state state;
  uint32_t tenant;       /* handle into the shares; SHR_NONE: none */
  size_t expected_bytes; /* of a long response that is still to come */
  size_t granted_bytes;  /* of its long body; see gat_receive.c */
  size_t received_bytes; /* of those that were granted */
  size_t budgeted_bytes; /* of its body, taken from the gate's budget */
  clk_time arrival;
  clk_time target;
  clk_time deadline;
  bool is_shortened; /* the deadline is the end of the process */
  bool is_sample;    /* admitted to measure the time in a slot */
  clk_time started;
  uint64_t upstream; /* the one that runs it, see gat.upstream_count */
  unsigned skipped;  /* responses to other requests that came before its own */
  struct cnx *connection;
  struct evl_timer timer; /* of the deadline while it runs */
};

/* A connection to the upstream without a call.  */
struct gat_idle
{
  struct cnx *connection;
  clk_time since;
};

struct gat
{
  struct evl *loop;
  const struct ptf_platform *platform;
  const struct reg *registration;
  struct gat_hooks hooks;
  struct htp_budget request_budget;
  struct htp_budget response_budget;
  struct lst calls;
  size_t call_count;
  struct que queue;
  struct evl_timer expiry;     /* of waiting calls */
  struct evl_timer link_timer; /* the link takes long responses again */
  uint32_t running;
  clk_time slot; /* mean time of any call in a slot, ns; 0: unknown */
  struct gat_kinds kinds;
  size_t expected_bytes; /* of long responses, of the calls that run */
  size_t granted_bytes;  /* of long bodies that are on their way */
  double receive_rate;   /* bytes per second of long bodies; 0: no limit */
  size_t reply_bytes;    /* expected of a response; see learn_reply */
  double failed;         /* recent share of calls that the upstream failed */
  struct gat_idle idle[GAT_MAX_IDLE];
  size_t idle_count;
  clk_time keep_time; /* for which the upstream keeps idle connections */
  char upstream[PTF_NAME_SIZE]; /* whose connections are kept */
  uint64_t upstream_start_ms;   /* since the epoch */
  uint64_t upstream_count;      /* upstreams so far, this one included */
  clk_time latest;              /* see gat_set_end; CLK_NEVER: no end */
  clk_time lost_at;             /* last lost connection that was counted */
  bool is_dequeuing;            /* inside gat_next */
  bool stopping;
};

/* Returns what is known of the call's kind.  */
struct gat_kind *gat_kind_of (const struct gat_call *call);

/* Returns the time that the call is expected to take in a slot, ns.  */
clk_time gat_service_of (const struct gat_call *call);

/* Returns whether the link of the VM limits the call: its response is long and
   goes to another VM.  */
bool gat_uses_link (const struct gat_call *call);

/* Returns how much longer than its time in a slot a call with a long response
   would take because of those of the calls that run.  */
clk_time gat_link_wait (const struct gat_call *call);

/* Drops the queued rest of the long response to a call that has ended here and
   that its sender has cancelled, and starts what the link takes now.  */
void gat_drop_response (struct gat *gate, struct hub_inbound_link *origin,
                        const Mesh__CallId *id);

/* Returns the expected time from the start of a call to the end of its
   response, ns.  A long response ends later than the call leaves its slot: it
   follows those that the link has not sent.  */
clk_time gat_time_to_respond (const struct gat_call *call);

/* Keeps the long responses that the link has not sent few: while they are
   many, further calls stay in the queue, where urgent ones overtake.  */
void gat_check_link (struct gat *gate);

/* Frees a call without an answer.  */
void gat_free_call (struct gat_call *call);

/* Schedules the next look at calls that have waited too long.  */
void gat_plan_expiry (struct gat *gate);

/* Returns why the registered upstream cannot run CALL.  */
enum gat_refusal gat_check_upstream (const struct gat *gate,
                                     const Mesh__Call *call);

/* Runs, queues or refuses a call whose body is complete.  */
void gat_admit (struct gat_call *call);

/* Asks for the long body of a call, unless it would be refused.  */
void gat_request_body (struct gat_call *call);

/* Ends the deadline of a call with the process.  */
void gat_shorten_deadline (struct gat_call *call);

/* Callbacks of timers: calls have waited too long; the link takes long
   responses again; the body of a call has not arrived by its deadline.  */
void gat_expire_waiting (void *gate);
void gat_resume_link (void *gate);
void gat_end_awaiting (void *call);

/* Returns the call of a place in the list of calls, null after the last.  */
struct gat_call *gat_call_at (const struct lst_entry *link);

/* Grants as much of the long bodies that wait as the link takes now.  */
void gat_grant_bodies (struct gat *gate);

/* Counts a part of a long body that has arrived, or all of it as not to be
   expected any more.  */
void gat_count_received (struct gat_call *call, size_t bytes);
void gat_end_receiving (struct gat_call *call);

/* Returns the time in which the long bodies that were announced arrive; 0 for
   a call that is not a bulk one.  */
clk_time gat_receive_wait (const struct gat_call *call);

/* Counts the long response of a call that starts to run.  */
void gat_expect_response (struct gat_call *call);

/* Returns the expected wait of a call like this one that comes now, ns.  */
clk_time gat_expect_wait (const struct gat_call *call);

/* Returns the same for a call of the same tenant that has all of its time
   left, ns.  A call that was answered may be late, and late calls wait longer.
 */
clk_time gat_expect_next_wait (const struct gat_call *call);

/* Fills in the load as a call of this kind meets it.  OVER_SHARE: the tenant
   of CALL is over its share, so over_share_wait_us is set too.  */
void gat_load (const struct gat_call *call, bool over_share, Mesh__Load *load);

/* Returns whether the replies of the calls that run, and of this one, can be
   queued for the call's sender.  */
bool gat_has_room (const struct gat_call *call);

/* Answers that the call was not run and frees it.  */
void gat_refuse (struct gat_call *call, enum gat_refusal refusal);

/* Answers that the call may have run, and frees it.  */
void gat_answer_unknown (struct gat_call *call, const char *reason);

/* Passes the upstream's response on and frees the call.  */
void gat_answer (struct gat_call *call, const struct htp_message *response);

/* Reports the end of a call that runs to the hook; see gat_hooks.  */
void gat_count_answer (struct gat_call *call, bool bad);

/* Frees a call and starts the next one.  */
void gat_end_call (struct gat_call *call);

/* Sends a call to the upstream.  */
void gat_run (struct gat_call *call);

/* Starts waiting calls while there are slots.  */
void gat_next (struct gat *gate);

/* Closes the kept connections.  */
void gat_close_idle (struct gat *gate);

#endif
