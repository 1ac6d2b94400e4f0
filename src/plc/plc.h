/* Placement: which node's upstream runs a call, and how long it may wait
   there.  Pure.

   Load that it answers: traffic that differs between data centres, servers of
   different speed and health, and bursts beyond what the near servers can
   take.  The cost of a server is the part of the call's value that is expected
   to be lost there: the answer may be late or may not come, and the way to it
   may cross data centres or regions, whose bytes are paid for and whose links
   are narrow.  A far server is thus chosen when it saves a call, and not when
   all servers are as busy.  What is known of a server is as old as its last
   answer; a call therefore carries the longest wait at which its server is
   still the best choice, and a gate where it would wait longer says so at
   once.  */

#ifndef MULBERRYSHIFT_PLC_PLC_H
#define MULBERRYSHIFT_PLC_PLC_H

#include "base/clk.h"
#include "base/rnd.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Returned when no candidate can serve.  */
#define PLC_NONE SIZE_MAX

/* Time in a slot assumed while nothing is known, as part of the target
   latency.  */
#define PLC_DEFAULT_SERVICE_TIME_FRACTION 0.3

  enum plc_locality
  {
    PLC_SAME_DATA_CENTRE,
    PLC_SAME_REGION,
    PLC_OTHER_REGION,
    PLC_LOCALITY_COUNT
  };

  /* What a node knows of another node's upstream.  Times are in ns.  */
  struct plc_load
  {
    uint32_t running;
    uint32_t slots;
    clk_time mean_slot_time; /* mean time of any call in a slot; 0: unknown */
    clk_time service_time;   /* mean time of a call of this kind; 0: unknown */
    clk_time expected_wait;  /* expected wait of a call of this kind */
    clk_time
        backlog_time; /* time in which all calls that wait would have run */
    clk_time reported_at;       /* time of the report; 0: never */
    uint32_t sent_since_report; /* calls sent there since */
    clk_time last_sent_at;      /* when the last of them was */
    double failure_ratio; /* recent share of calls that the upstream failed */
    clk_time failure_reported_at; /* time of that report */
  };

  /* A node whose upstream may run the call.  */
  struct plc_candidate
  {
    struct plc_load load;
    uint8_t locality; /* enum plc_locality */
    bool usable;      /* thought to be alive, and has not refused the call */
    clk_time round_trip;
  };

  /* The call to be placed.  */
  struct plc_call
  {
    clk_time target_latency;   /* full target latency of its route */
    clk_time time_to_target;   /* in which an answer is on time; may be past */
    clk_time time_to_deadline; /* in which an answer is worth anything */
    bool accept_any_wait; /* take the best server, whatever the wait there */
    bool is_bulk;         /* its bodies are long */
  };

  struct plc_choice
  {
    size_t index;      /* of the candidate, or PLC_NONE */
    clk_time max_wait; /* longest wait that is acceptable there */
  };

  /* Chooses among COUNT candidates.  */
  struct plc_choice
  plc_choose_candidate (const struct plc_candidate *candidates, size_t count,
                        const struct plc_call *call, clk_time now,
                        struct rnd *random);

  /* Returns the expected wait for a slot.  */
  clk_time plc_estimate_wait (const struct plc_load *load, clk_time now);

#ifdef __cplusplus
}
#endif

#endif
