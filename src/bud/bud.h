/* Budget of repeats: how many requests this node may send a second time, for
   each service.  All nodes together may repeat a share of a service's requests
   and a fixed number in any window; each node keeps within its own requests'
   share and an equal part of the fixed number, so that the sum holds without
   any talk between nodes, also while they cannot see each other.  Pure.

   Load that it answers: servers that fail or lose answers for seconds, at
   which every node would repeat every call at once.  */

#ifndef MULBERRYSHIFT_BUD_BUD_H
#define MULBERRYSHIFT_BUD_BUD_H

#include "base/clk.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Steps of a window.  */
#define BUD_WINDOW_BUCKETS 20

/* Longest name of a service, with the null.  */
#define BUD_NAME_SIZE 64

  /* Limits of all nodes together.  */
  struct bud_limits
  {
    double ratio;        /* repeats for each request */
    double base_retries; /* repeats besides, in a window */
    clk_time window;     /* ns */
    size_t node_count;   /* that share the slack; 0: unknown, no slack */
  };

  struct bud;

  /* Creates a budget without services.  */
  struct bud *bud_create (void);

  /* Frees it.  */
  void bud_destroy (struct bud *budget);

  /* Counts a request for SERVICE.  */
  void bud_count_request (struct bud *budget, const char *service,
                          const struct bud_limits *limits, clk_time now);

  /* Takes one repeat for SERVICE from the budget.  Returns false when there is
     none left.  */
  bool bud_take_retry (struct bud *budget, const char *service,
                       const struct bud_limits *limits, clk_time now);

#ifdef __cplusplus
}
#endif

#endif
