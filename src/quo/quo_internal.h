/* State of the quotas.  Used inside this module.  */

#ifndef MULBERRYSHIFT_QUO_QUO_INTERNAL_H
#define MULBERRYSHIFT_QUO_QUO_INTERNAL_H

#include "base/rnd.h"
#include "quo/quo.h"
#include "quo/quo_bucket.h"
#include "quo/quo_lease.h"
#include "quo/quo_share.h"

/* Time within which an owner answers; the round trip between regions is
   16 ms.  */
#define QUO_REPLY_TIME (60 * CLK_MILLISECOND)

/* Owners that a request is sent to before the floor is used.  */
#define QUO_MAX_OWNERS 2

/* Probes without a reply at most.  */
#define QUO_MAX_PROBES 64

/* Status of a QuotaReply.  */
enum quo_answer
{
  QUO_UNSET,
  QUO_ANSWERED,  /* GRANTED and WAIT_US are valid */
  QUO_NOT_OWNER, /* the node takes another one for the owner */
  QUO_NOT_READY  /* the node has no configuration, or not this tenant */
};

struct quo_request
{
  struct quo_tenant *tenant;
  clk_time give_up_at;
  quo_callback callback;
  void *context;
};

/* A tenant whose requests come in at this node.  */
struct quo_tenant
{
  struct quo *quota;
  char *name;
  uint64_t hash; /* of NAME */
  double rate;   /* of the configuration of the last request */
  struct quo_lease lease;
  struct quo_request **waiting; /* in the order of their arrival */
  uint32_t waiting_count;
  uint32_t waiting_capacity;
  struct evl_timer timer;
  uint32_t number;  /* of the request for credit under way; 0: none */
  uint64_t link;    /* that it was sent on */
  clk_time sent_at; /* when it was sent */
  uint32_t wanted;  /* credits that it asks for */
  clk_time ask_at;  /* do not ask before */
  dir_handle owner; /* that was asked last */
  dir_handle skipped[QUO_MAX_OWNERS]; /* that did not answer */
  unsigned skipped_count;
  clk_time unanswered_since; /* first request that no owner answered; 0: the
                                last one was answered */
  bool uses_floor;
  clk_time used_at;
  uint64_t *granted_total;
  uint64_t *refused_total;
};

/* A request for nothing but a reply, which shows whether a node answers.  */
struct quo_probe
{
  uint32_t number; /* 0: the place is free */
  uint64_t link;
  clk_time sent_at;
};

struct quo
{
  struct quo_options parts;
  struct snp_snapshot *snapshot;
  clk_time ready_at; /* CLK_NEVER: unknown */
  struct quo_tenant **tenants;
  size_t tenant_count;
  uint32_t waiting_count; /* of all tenants */
  uint32_t next_number;
  struct rnd random;
  struct evl_timer sweep_timer;
  unsigned labelled_count; /* tenants with series of their own */
  struct quo_table *table; /* of the tenants that this node owns */
  struct quo_share share;
  clk_time owned_at; /* when an answer was last given as owner; 0: never */
  clk_time cautious_until; /* see check_takeover */
  clk_time tight_at;       /* when a tenant last needed most of its credit */
  clk_time check_due;      /* deadline of check_timer; 0: it is not set */
  clk_time checked_at;     /* when the nodes were last looked at */
  struct evl_timer check_timer;
  struct quo_probe probes[QUO_MAX_PROBES];
};

/* Returns whether the node knows the others.  */
bool quo_is_ready (const struct quo *quota);

/* Returns the owner of a tenant as this node sees it, apart from COUNT nodes
   at SKIPPED; DIR_NONE when there is none.  */
dir_handle quo_find_owner (const struct quo *quota, const char *name,
                           const dir_handle *skipped, unsigned count);

/* Answers a request for credit as the owner.  */
enum quo_answer quo_answer (struct quo *quota, const char *name,
                            uint32_t wanted, uint32_t returned,
                            struct quo_grant *grant);

/* Returns whether this node owns a tenant; CONTEXT is the struct quo.  */
bool quo_is_owner (void *context, const char *name);

/* Makes sure that the next check is not later than its interval demands.  */
void quo_schedule_check (struct quo *quota);

/* Sends a request that only shows whether NODE answers.  */
void quo_send_probe (struct quo *quota, dir_handle node);

/* Handles the reply to a probe, and the end of a link with probes.  */
void quo_end_probe (struct quo *quota, uint32_t number);
void quo_end_probes_on (struct quo *quota, uint64_t link);

/* Drops the buckets when the process has stood still until now, since other
   nodes may have taken over its tenants.  */
void quo_check_pause (struct quo *quota);

/* Looks for silent nodes often for a while: an owner did not answer, or
   another node has lost one.  */
void quo_watch_nodes (struct quo *quota);

/* Checks how the nodes are seen; the callback of check_timer.  */
void quo_check_nodes (void *context);

/* Returns a number for a request or a probe.  */
uint32_t quo_next_number (struct quo *quota);

/* Asks the tenant's owner for credit.  */
void quo_ask (struct quo_tenant *tenant);

/* The owner that was asked has not answered.  */
void quo_fail_ask (struct quo_tenant *tenant);

/* Adds a request that waits.  */
struct quo_request *quo_add_request (struct quo_tenant *tenant,
                                     clk_time deadline, quo_callback callback,
                                     void *context);

/* Returns the Retry-After of a request that is refused now, in ns.  */
clk_time quo_find_retry (struct quo_tenant *tenant);

/* Answers the waiting requests whose time is over.  */
void quo_expire (struct quo_tenant *tenant);

/* Answers the waiting requests from the credit at hand.  */
void quo_serve (struct quo_tenant *tenant);

/* Refuses the waiting requests that get no credit in time.  */
void quo_prune (struct quo_tenant *tenant);

/* Answers the waiting requests from the node's floor.  */
void quo_serve_from_floor (struct quo_tenant *tenant);

/* Sets the tenant's timer.  */
void quo_schedule (struct quo_tenant *tenant);

/* Log lines and metrics.  */
void quo_log_refused (struct quo_tenant *tenant, clk_time retry_after);
void quo_log_owner (const struct quo_tenant *tenant, dir_handle before);
void quo_log_floor (const struct quo_tenant *tenant);
void quo_log_share (const struct quo *quota, double before);
void quo_start_series (struct quo_tenant *tenant);

#endif
