/* Replay of a load on one service in virtual time: nodes of several data
   centres send calls, gates admit and queue them as src/gat does, servers of
   different speed run them.  What a sender knows of a gate is what its last
   answer said.  The placement is a parameter, so that two versions meet the
   same arrivals and the same work.  */

#ifndef TESTS_SUPPORT_LOAD_SIM_H
#define TESTS_SUPPORT_LOAD_SIM_H

#include "plc/plc.h"

#include <cstdint>
#include <functional>
#include <vector>

/* One kind of call.  */
struct sim_call_type
{
  double calls_per_s; /* of all nodes together */
  double service_ms;  /* mean */
  double sigma;       /* of the logarithm of the work */
  double target_ms;
  double deadline_ms;
  uint32_t priority;
  uint32_t tenant = 0; /* 0: none */
  double weight = 0;   /* of the tenant; see shr.h */
};

/* All servers, in place of one.  */
static const int SIM_ALL_SERVERS = -2;

/* A change of the load or of a server.  */
struct sim_event
{
  double from_s;
  double to_s;
  double load_factor;  /* times the usual arrivals */
  int slow_server;     /* -1: none; SIM_ALL_SERVERS */
  double slow_factor;  /* times the usual work */
  int source_centre;   /* that gets all arrivals; -1: all get the same */
  uint32_t tenant = 0; /* whose load changes; 0: that of all calls */
};

struct sim_config
{
  std::vector<sim_call_type> call_types;
  std::vector<sim_event> events;
  std::vector<double> speeds; /* of the servers of a data centre, repeated */
  size_t data_centres;        /* two in each region */
  size_t servers;             /* of a data centre */
  size_t nodes;               /* that send, of a data centre */
  uint32_t slots;
  double seconds;
  uint64_t seed;
  bool uses_reports = false; /* nodes keep those of ovr.h */
};

/* Calls of one type.  */
struct sim_tally
{
  uint64_t calls;
  uint64_t on_time;
  uint64_t sent;   /* to gates; a call may be sent several times */
  uint64_t unsent; /* refused without being sent */
  uint64_t wasted; /* refused after it was sent, or not answered in time */
};

struct sim_result
{
  uint64_t calls;
  uint64_t on_time;
  uint64_t late;
  uint64_t refused;
  uint64_t cross_centre;
  uint64_t cross_region;
  uint64_t refused_busy;
  std::vector<sim_tally> types = {}; /* as many as types of calls */
};

/* Chooses as plc_choose_candidate does.  */
using sim_placement = std::function<struct plc_choice (
    const struct plc_candidate *candidates, size_t count,
    const struct plc_call *call, clk_time now, struct rnd *random)>;

/* Plays LOAD with PLACEMENT.  */
struct sim_result sim_run (const struct sim_config &load,
                           const sim_placement &placement);

/* Returns the part of the calls that were answered on time.  */
double sim_on_time_share (const struct sim_result &result);

#endif
