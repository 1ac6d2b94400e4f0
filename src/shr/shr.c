/* Shares of tenants in the slots of an upstream.  */

#include "shr/shr.h"

#include <math.h>

/* Time constant by which earlier use fades: long enough for some tens of calls
   at one gate, short enough that a tenant gets its slots back within the time
   that calls wait.  */
#define FADE_TIME (2 * CLK_SECOND)

/* Shortest time between two reductions.  */
#define FADE_STEP (20 * CLK_MILLISECOND)

/* A tenant is over its share when it has used this many times its part, and
   this many calls besides: tenants that send alike differ by chance, those
   with few calls most.  */
#define OVER_FACTOR 1.1
#define OVER_CALLS 3.

/* Weight of the newest call in the mean time in a slot.  */
#define SERVICE_WEIGHT 16.

/* A tenant whose use has faded below this part of one call is forgotten.  */
#define FORGOTTEN_PART 0.01

static bool
is_active (const struct shr_tenant *tenant)
{
  return tenant->hash != 0 && (tenant->calls > 0 || tenant->used > 0);
}

static double
weight_of (const struct shr *shares, const struct shr_tenant *tenant)
{
  if (tenant->weight > 0)
    return tenant->weight;
  return shares->mean_weight > 0 ? shares->mean_weight : 1;
}

/* Computes the sums over all tenants.  */
static void
sum_up (struct shr *shares)
{
  double weight = 0;
  size_t count = 0;

  shares->used = 0;
  shares->weight = 0;
  for (size_t i = 0; i < SHR_MAX_TENANTS; i++)
    if (is_active (&shares->tenants[i]) && shares->tenants[i].weight > 0)
      {
        weight += shares->tenants[i].weight;
        count++;
      }
  shares->mean_weight = count > 0 ? weight / (double)count : 0;
  for (size_t i = 0; i < SHR_MAX_TENANTS; i++)
    if (is_active (&shares->tenants[i]))
      {
        shares->used += shares->tenants[i].used;
        shares->weight += weight_of (shares, &shares->tenants[i]);
      }
}

void
shr_fade (struct shr *shares, clk_time now)
{
  clk_time elapsed = now - shares->faded_at;
  double part;

  if (elapsed < FADE_STEP)
    return;
  part = exp (-(double)elapsed / (double)FADE_TIME);
  shares->faded_at = now;
  for (size_t i = 0; i < SHR_MAX_TENANTS; i++)
    {
      struct shr_tenant *tenant = &shares->tenants[i];

      tenant->used *= part;
      if (tenant->used < FORGOTTEN_PART * shares->service_time)
        tenant->used = 0;
      if (!is_active (tenant))
        tenant->hash = 0;
    }
  sum_up (shares);
}

/* Returns the place of a tenant, or a free one, SHR_NONE when all are
   taken.  */
static uint32_t
find_place (const struct shr *shares, uint32_t hash)
{
  uint32_t free_place = SHR_NONE;

  for (uint32_t i = 0; i < SHR_MAX_TENANTS; i++)
    {
      if (shares->tenants[i].hash == hash)
        return i;
      if (shares->tenants[i].hash == 0 && free_place == SHR_NONE)
        free_place = i;
    }
  return free_place;
}

uint32_t
shr_acquire (struct shr *shares, uint32_t hash, double weight, clk_time now)
{
  uint32_t place = SHR_NONE;
  struct shr_tenant *tenant;

  if (hash == 0)
    return SHR_NONE;
  shr_fade (shares, now);
  place = find_place (shares, hash);
  if (place == SHR_NONE)
    return SHR_NONE;
  tenant = &shares->tenants[place];
  tenant->hash = hash;
  tenant->weight = weight;
  tenant->calls++;
  if (tenant->calls == 1)
    sum_up (shares);
  return place;
}

void
shr_release (struct shr *shares, uint32_t tenant)
{
  if (tenant != SHR_NONE)
    shares->tenants[tenant].calls--;
}

void
shr_charge (struct shr *shares, uint32_t tenant, clk_time service_time,
            clk_time now)
{
  double time = (double)service_time;

  if (tenant == SHR_NONE)
    return;
  shr_fade (shares, now);
  shares->service_time
      = shares->service_time > 0
            ? shares->service_time
                  + (time - shares->service_time) / SERVICE_WEIGHT
            : time;
  shares->tenants[tenant].used += time;
  shares->used += time;
}

bool
shr_is_over (const struct shr *shares, uint32_t tenant)
{
  const struct shr_tenant *entry;
  double part;

  if (tenant == SHR_NONE || shares->weight <= 0)
    return false;
  entry = &shares->tenants[tenant];
  part = weight_of (shares, entry) / shares->weight;
  return entry->used > OVER_FACTOR * part * shares->used
                           + OVER_CALLS * shares->service_time;
}
