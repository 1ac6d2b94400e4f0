/* What a gate learns of each kind of call: the time that it takes in a slot,
   and whether upstreams of one service make all calls of the kind.  Such calls
   are made by requests that run already and hold a slot meanwhile.  */

#ifndef MULBERRYSHIFT_GAT_GAT_KINDS_H
#define MULBERRYSHIFT_GAT_GAT_KINDS_H

#include "base/clk.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Kinds that a gate distinguishes; the one unused for longest is replaced.  */
#define GAT_MAX_KINDS 32

/* One kind of call.  */
struct gat_kind
{
  uint32_t route;   /* hash of the route; 0: the place is free */
  clk_time service; /* mean time in a slot, ns; 0: unknown */
  clk_time next_sample_at;
  unsigned samples;   /* since the last one that has ended in time */
  clk_time used;      /* last call */
  double bytes;       /* mean body of a response to a bulk call; 0: unknown */
  uint64_t caller;    /* hash of the service that makes most calls */
  double caller_part; /* recent part of the calls that it makes */
  uint32_t count;     /* calls seen, up to a limit */
};

/* Zero-initialise.  */
struct gat_kinds
{
  struct gat_kind kinds[GAT_MAX_KINDS];
};

/* Returns the kind of a route.  */
struct gat_kind *gat_find_kind (struct gat_kinds *kinds, uint32_t route,
                                clk_time now);

/* Counts a call that a service with this hash makes.  */
void gat_count_caller (struct gat_kind *kind, uint64_t caller);

/* Learns from a call that took ELAPSED in a slot.  IS_SAMPLE says that
   gat_take_sample admitted it.  */
void gat_learn_service (struct gat_kind *kind, clk_time elapsed,
                        bool is_sample);

/* Returns whether a call runs although the mean time in a slot is longer than
   the call has left: one a second at first, fewer as long as none of them ends
   in time.  */
bool gat_take_sample (struct gat_kind *kind, clk_time now);

/* Learns from the body of a response.  */
void gat_learn_bytes (struct gat_kind *kind, size_t bytes);

/* Returns whether the calls of a kind are made by upstreams.  */
bool gat_is_nested (const struct gat_kind *kind);

#endif
