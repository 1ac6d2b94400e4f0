/* What a gate learns of kinds of calls.  */

#include "gat/gat_kinds.h"

#include <string.h>

/* Weight of the newest call in the mean time in a slot.  */
#define SERVICE_WEIGHT 16

/* Weight of a sample: the mean is that of calls with more time left.  */
#define SAMPLE_WEIGHT 2

/* Interval of samples of a kind.  It doubles with each sample until one ends
   in time: where the mean is right they are late, and their callers could have
   been served elsewhere.  */
#define SAMPLE_INTERVAL CLK_SECOND
#define MAX_SAMPLE_DOUBLINGS 4

/* Weight of the newest call in the part of the main caller.  */
#define CALLER_WEIGHT 32.

/* Calls after which the main caller is believed, and the part of the calls
   that it must make.  Callers on VMs of several services use a route for
   people's requests; one service alone uses it for its own calls.  */
#define ENOUGH_CALLS 24
#define NESTED_PART 0.9

struct gat_kind *
gat_find_kind (struct gat_kinds *kinds, uint32_t route, clk_time now)
{
  struct gat_kind *oldest = &kinds->kinds[0];

  for (size_t i = 0; i < GAT_MAX_KINDS; i++)
    {
      struct gat_kind *kind = &kinds->kinds[i];

      if (kind->route == route && kind->used != 0)
        {
          kind->used = now;
          return kind;
        }
      if (kind->used < oldest->used)
        oldest = kind;
    }
  *oldest = (struct gat_kind){ .route = route, .used = now };
  return oldest;
}

void
gat_count_caller (struct gat_kind *kind, uint64_t caller)
{
  bool same = kind->caller == caller;

  if (kind->count == 0)
    {
      kind->caller = caller;
      kind->caller_part = 1;
      same = true;
    }
  kind->caller_part += ((same ? 1. : 0.) - kind->caller_part) / CALLER_WEIGHT;
  if (!same && kind->caller_part < 0.5)
    kind->caller = caller;
  if (kind->count < ENOUGH_CALLS)
    kind->count++;
}

void
gat_learn_service (struct gat_kind *kind, clk_time elapsed, bool is_sample)
{
  if (is_sample)
    kind->samples = 0;
  if (kind->service == 0)
    kind->service = elapsed;
  else
    kind->service += (elapsed - kind->service)
                     / (is_sample ? SAMPLE_WEIGHT : SERVICE_WEIGHT);
}

bool
gat_take_sample (struct gat_kind *kind, clk_time now)
{
  if (now < kind->next_sample_at)
    return false;
  kind->next_sample_at = now + (SAMPLE_INTERVAL << kind->samples);
  if (kind->samples < MAX_SAMPLE_DOUBLINGS)
    kind->samples++;
  return true;
}

void
gat_learn_bytes (struct gat_kind *kind, size_t bytes)
{
  if (kind->bytes <= 0)
    kind->bytes = (double)bytes;
  else
    kind->bytes += ((double)bytes - kind->bytes) / SERVICE_WEIGHT;
}

bool
gat_is_nested (const struct gat_kind *kind)
{
  return kind->count >= ENOUGH_CALLS && kind->caller_part >= NESTED_PART;
}
