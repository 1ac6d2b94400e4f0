/* Reports of gates that a tenant is over its share there, as the node of the
   tenant's callers keeps them.  Pure.

   Load that it answers: one tenant sends four to eight times its usual for
   some seconds.  The gates refuse what they cannot serve of it, but only after
   the calls and their bodies have crossed the links between nodes.  With these
   reports the node of the callers refuses the same calls at once.  A report is
   used for a short time only, so that a gate whose load has changed, or whose
   process is another one, decides again by itself.

   Example: after an answer whose tenant is over its share,

     ovr_add (reports, &key, wait, now);

   and when a call of this tenant and route is placed,

     report = ovr_find (reports, &key, now);

   where null means that nothing is known and the gate decides.  */

#ifndef MULBERRYSHIFT_OVR_OVR_H
#define MULBERRYSHIFT_OVR_OVR_H

#include "base/clk.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Reports that are kept; the oldest is replaced by a further one.  */
#define OVR_MAX_REPORTS 512

/* Time for which a report is used, in ns.  */
#define OVR_REPORT_TIME CLK_SECOND

/* One call in this many is sent although reports keep it from being placed, so
   that a change at the gates is noticed before the reports expire.  */
#define OVR_SAMPLE_INTERVAL 16

  struct ovr;

  /* What a report is about.  The wait differs between routes, as each has its
     priority and its time in a slot.  */
  struct ovr_key
  {
    uint64_t tenant; /* hash of its name */
    uint32_t peer;   /* handle of the node of the gate */
    uint32_t route;  /* hash */
  };

  struct ovr_report
  {
    struct ovr_key key;
    clk_time wait;     /* expected wait of such a call, ns */
    clk_time deadline; /* the report is used until then */
  };

  /* Returns an empty table.  */
  struct ovr *ovr_create (void);

  /* Null is allowed.  */
  void ovr_destroy (struct ovr *table);

  /* Adds a report that the tenant is over its share, or replaces the earlier
     one.  */
  void ovr_add (struct ovr *table, const struct ovr_key *key, clk_time wait,
                clk_time now);

  /* The tenant is within its share at PEER: removes its reports of all
     routes.  Takes little time while no report is in use.  */
  void ovr_clear_tenant (struct ovr *table, uint64_t tenant, uint32_t peer,
                         clk_time now);

  /* Another process runs at PEER: removes all of its reports.  */
  void ovr_clear_peer (struct ovr *table, uint32_t peer);

  /* Returns the report of KEY, null when there is none that is in use.  Valid
     until the next change of the table.  */
  const struct ovr_report *ovr_find (const struct ovr *table,
                                     const struct ovr_key *key, clk_time now);

  /* Returns the time since a report arrived, in ns.  */
  clk_time ovr_age (const struct ovr_report *report, clk_time now);

#ifdef __cplusplus
}
#endif

#endif
