/* Phases of one roll-out: what orders, reports of other nodes, the store and
   the clock make of it.  Pure.

   Load that it answers: a few roll-outs at once on 80 to 750 nodes, whose
   messages come twice, late, or from two owners that decide differently;
   owners that are killed, stores that are down, and whole meshes that start
   again.  Merging is commutative: a phase only advances, rolled back wins over
   switching, and a final status in the store wins over both.  */

#ifndef MULBERRYSHIFT_ROL_ROL_PHASE_H
#define MULBERRYSHIFT_ROL_ROL_PHASE_H

#include "rol/rol_order.h"
#include "rol/rol_verdict.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* A roll-out as one node knows it.  Zero-initialise.  */
  struct rol_run
  {
    struct rol_order order;
    enum rol_phase phase;
    clk_time switched_at; /* when this node learned of the switch */
    clk_time phase_at;    /* when this node learned of the phase */
    /* Last known revision of the order that this one replaced; 0: none.  */
    uint64_t replaced_revision;
    /* The store held a final status and lost it.  It stays final.  */
    bool was_final;
  };

  /* What the owner sees when it decides.  */
  struct rol_view
  {
    enum rol_verdict verdict;
    bool has_upstreams; /* of the new version */
    bool sees_most;     /* it reaches more than half of the known nodes */
    bool is_settled;    /* it has had time to get all reports */
    bool store_is_current;
    bool all_know; /* all reachable nodes know that the switch has begun */
    bool old_is_idle;
  };

  /* Takes an order that was read from the store or came from a node.  Returns
     whether it is a new one, which replaces the order before.  */
  bool rol_take_order (struct rol_run *run, const struct rol_order *order,
                       clk_time now);

  /* Returns whether ORDER is one that the known order has replaced, although
     both may be for the same version.  */
  bool rol_is_earlier (const struct rol_run *run,
                       const struct rol_order *order);

  /* Takes a phase of the same order from another node.  Returns whether the
     phase has changed.  */
  bool rol_take_phase (struct rol_run *run, enum rol_phase phase,
                       clk_time now);

  /* Takes the status that the store holds at REVISION for this order.  Returns
     whether the phase has changed.  */
  bool rol_take_stored (struct rol_run *run, uint64_t revision,
                        enum rol_phase stored, clk_time now);

  /* Decides as the owner.  Returns whether the phase has changed.  */
  bool rol_decide (struct rol_run *run, const struct rol_view *view,
                   clk_time now);

  /* Returns the state to be written to the store, ROL_NONE when it holds it
     already.  */
  enum rol_phase rol_state_to_write (const struct rol_run *run);

  /* Returns whether the store holds a final status.  */
  bool rol_is_final (const struct rol_run *run);

  /* Returns when the verdict is to be taken.  */
  clk_time rol_decision_time (const struct rol_order *order);

#ifdef __cplusplus
}
#endif

#endif
