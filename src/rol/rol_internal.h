/* State of the roll-outs.  Used inside this module.  */

#ifndef MULBERRYSHIFT_ROL_ROL_INTERNAL_H
#define MULBERRYSHIFT_ROL_ROL_INTERNAL_H

#include "base/rnd.h"
#include "rol/rol.h"
#include "rol/rol_verdict.h"

/* Services of which the versions are kept; requests for further ones go to
   any version.  */
#define ROL_MAX_SERVICES 1024

/* Interval of the reports and decisions of a roll-out.  */
#define ROL_REPORT_INTERVAL (200 * CLK_MILLISECOND)

/* Routes by their place in counts; 0: the place is free.  */
struct rol_routes
{
  uint32_t hashes[ROL_MAX_ROUTES];
};

/* Which upstreams of a service are used; worked out again at the next call
   when it is out of date.  */
struct rol_plan
{
  clk_time made_at; /* 0: out of date */
  uint64_t directory_changes;
  bool is_split;                   /* a choice between versions exists */
  bool has_target;                 /* upstreams of the new version */
  bool has_usable_target;          /* the same, usable */
  char old_version[PTF_NAME_SIZE]; /* of ROL_OLD */
  char new_version[PTF_NAME_SIZE]; /* of ROL_NEW */
  bool is_canary;                  /* ROL_NEW: only the upstreams below */
  dir_handle *canaries;
  size_t canary_count;
};

/* Answers of this node's gate for one roll-out.  */
struct rol_gate_counts
{
  char version[PTF_NAME_SIZE]; /* of the upstream that gave them */
  uint64_t generation;         /* increases when the counts start anew */
  struct rol_routes routes;
  struct rol_count counts[ROL_MAX_ROUTES];
};

/* A node that reports to this one.  */
struct rol_reporter
{
  struct hub_inbound_link *inbound; /* null: closed */
  uint64_t incarnation;             /* of its counts */
  uint64_t number;                  /* of the last report */
  clk_time reported_at;
  enum rol_phase phase;
  uint32_t old_calls;
  bool has_old_gate;
  uint32_t gate_calls;
  struct rol_routes routes;
  struct rol_count *counts; /* ROL_MAX_ROUTES of them; null: none yet */
};

/* What an owner keeps of a roll-out.  */
struct rol_tally
{
  clk_time owner_since;           /* CLK_NEVER: not the owner */
  struct rol_reporter *reporters; /* by handle */
  dir_handle reporter_count;
  struct rol_routes routes;
  struct rol_counts totals;
  struct rol_periods periods;
  struct rol_evidence evidence; /* of the last verdict */
};

/* One service.  */
struct rol_service
{
  struct rol *rollouts;
  char name[PTF_NAME_SIZE];
  struct rol_run run; /* its phase is ROL_NONE without an order */
  struct rol_share share;
  struct rol_in_use in_use;
  struct rol_plan plan;
  clk_time reported_at;    /* to the owner */
  dir_handle owner;        /* as found at OWNER_FOUND_AT */
  clk_time owner_found_at; /* 0: never */
  uint64_t link;           /* of the report that awaits a reply */
  bool awaits_reply;
  clk_time contact_at;    /* last message of an owner */
  clk_time store_seen_at; /* last time that the store was known to answer */
  clk_time forwarded_at;  /* STORE_SEEN_AT as passed on */
  struct rol_gate_counts gate;
  struct rol_count old_answers; /* that this node has got since the order */
  struct rol_count new_answers;
  struct rol_tally *tally; /* null while this node gets no reports */
  struct sto_call *write;
  enum rol_phase written; /* the state of WRITE */
  clk_time next_write_at;
  unsigned write_failures; /* in a row */
};

struct rol
{
  struct rol_options options;
  struct rol_service **services;
  size_t service_count;
  struct evl_timer timer;
  clk_time created_at;
  bool store_current;
  uint64_t report_number;
  struct rnd random;
};

/* Returns the service of this name, null when there is none.  */
struct rol_service *rol_find_service (const struct rol *rollouts,
                                      const char *name);

/* The same, but adds it; null when there are too many.  */
struct rol_service *rol_add_service (struct rol *rollouts, const char *name);

/* Takes an order from the store or another node, and starts or ends what
   depends on it.  Returns whether anything changed that other nodes must
   know.  */
bool rol_apply_order (struct rol *rollouts, struct rol_service *service,
                      const struct rol_order *order, const char *source);

/* Logs a change of phase, notifies other nodes and has the status written.  */
void rol_announce_phase (struct rol *rollouts, struct rol_service *service,
                         const char *reason);

/* Returns whether the roll-out is not finished in the store.  */
bool rol_is_active (const struct rol_service *service);

/* Fills in a message about a roll-out; its strings point into SERVICE.  */
void rol_fill_message (const struct rol *rollouts, struct rol_service *service,
                       Mesh__Rollout *message);

/* Sends the roll-out to the subscribers.  */
void rol_forward (struct rol *rollouts, struct rol_service *service);

/* Reports to the owner.  */
void rol_report (struct rol *rollouts, struct rol_service *service);

/* Returns whether this node is the owner.  */
bool rol_is_owner (const struct rol *rollouts, struct rol_service *service);

/* Returns the owner of a roll-out, DIR_NONE when no node is reachable.  */
dir_handle rol_find_owner (const struct rol *rollouts,
                           struct rol_service *service);

/* Passes on that the store answers, if that is due.  */
void rol_forward_store_age (struct rol *rollouts, struct rol_service *service);

/* Returns whether the upstream of this node has the service of a
   roll-out.  */
bool rol_has_gate_of (const struct rol *rollouts,
                      const struct rol_service *service);

/* Starts the counts anew when the version of this node's upstream has
   changed.  */
void rol_follow_upstream (struct rol *rollouts, struct rol_service *service);

/* Returns the place of a route in counts, adding it if there is room.  */
size_t rol_find_route (struct rol_routes *routes, uint32_t hash);

/* Adds what a report has more than the one before; see rol_tally.c.  */
void rol_take_report (struct rol *rollouts, struct rol_service *service,
                      struct hub_inbound_link *inbound,
                      const Mesh__RolloutReport *report);

/* Judges and decides if this node is the owner.  */
void rol_judge_service (struct rol *rollouts, struct rol_service *service);

/* Sends the phase to all nodes that have reported.  */
void rol_tell_reporters (struct rol *rollouts, struct rol_service *service);

/* Frees the state of an owner.  */
void rol_drop_tally (struct rol_service *service);

/* Writes the status if it is to be written by this node.  */
void rol_write_status (struct rol *rollouts, struct rol_service *service);

/* Returns the plan, brought up to date.  */
const struct rol_plan *rol_current_plan (struct rol *rollouts,
                                         struct rol_service *service);

#endif
