/* Age of a request.  */

#include "age/age.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

/* While nobody is refused, nearly all requests are first attempts, and their
   timeout is taken as a low quantile of what arrives: callers who wait less
   long than others are then not taken for later attempts.  Until enough
   requests have come at such times, a high quantile of all requests serves:
   some of them are first attempts at any time, and few callers wait longer
   than the others.  */
#define QUIET_QUANTILE 0.1
#define USUAL_QUANTILE 0.9

/* Part of an estimate by which one request moves it at most: the first, and
   each one later.  */
#define FIRST_STEP 0.2
#define STEP 0.005

/* Requests after which an estimate is used.  */
#define MIN_QUIET_REQUESTS 16
#define MIN_REQUESTS 4

/* Callers who were refused come back within this time.  */
#define QUIET_TIME (2 * CLK_SECOND)

/* Estimate of a quantile of timeouts.  */
struct estimate
{
  clk_time timeout; /* ns */
  uint32_t count;   /* requests that it was learned from */
};

struct route
{
  uint32_t hash; /* 0: the place is free */
  clk_time used_at;
  clk_time quiet_from;   /* no refused caller is expected back after it */
  struct estimate quiet; /* of the requests at quiet times */
  struct estimate usual; /* of all requests */
};

struct age
{
  struct route routes[AGE_MAX_ROUTES];
};

struct age *
age_create (void)
{
  return mem_alloc (1, sizeof (struct age));
}

void
age_destroy (struct age *ages)
{
  free (ages);
}

/* Returns the place of a route, taken from the route unused for longest when
   it has none.  */
static struct route *
find_route (struct age *ages, uint32_t hash, clk_time now)
{
  struct route *oldest = &ages->routes[0];

  for (size_t i = 0; i < AGE_MAX_ROUTES; i++)
    {
      struct route *route = &ages->routes[i];

      if (route->hash == hash)
        {
          route->used_at = now;
          return route;
        }
      if (route->used_at < oldest->used_at)
        oldest = route;
    }
  *oldest = (struct route){ .hash = hash, .used_at = now };
  return oldest;
}

/* Moves an estimate so that it rests where the part QUANTILE of the timeouts
   is below it.  */
static void
learn_timeout (struct estimate *estimate, clk_time timeout, double quantile)
{
  double part = FIRST_STEP / (estimate->count + 1);
  double step = (part > STEP ? part : STEP) * (double)estimate->timeout;

  if (estimate->count == 0)
    estimate->timeout = timeout;
  else if (timeout > estimate->timeout)
    estimate->timeout += (clk_time)(step * quantile);
  else
    estimate->timeout -= (clk_time)(step * (1 - quantile));
  if (estimate->count < UINT32_MAX)
    estimate->count++;
}

/* Returns the timeout of first attempts, ns; 0 when too little is known.  */
static clk_time
first_timeout (const struct route *route)
{
  if (route->quiet.count >= MIN_QUIET_REQUESTS)
    return route->quiet.timeout;
  return route->usual.count >= MIN_REQUESTS ? route->usual.timeout : 0;
}

clk_time
age_take_request (struct age *ages, uint32_t route, clk_time timeout,
                  clk_time now)
{
  struct route *known = find_route (ages, route, now);
  clk_time first;

  learn_timeout (&known->usual, timeout, USUAL_QUANTILE);
  if (now >= known->quiet_from)
    learn_timeout (&known->quiet, timeout, QUIET_QUANTILE);
  first = first_timeout (known);
  return first > timeout ? first - timeout : 0;
}

void
age_note_refusal (struct age *ages, uint32_t route, clk_time now)
{
  find_route (ages, route, now)->quiet_from = now + QUIET_TIME;
}
