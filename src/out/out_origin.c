/* Highest removed call number of each origin: open addressing with linear
   probing.  Old origins are dropped by rebuilding the table.  */

#include "out/out_origin.h"
#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

#define PLACES (OUT_MAX_ORIGINS * 2)

struct place
{
  uint64_t origin;
  uint64_t number;
  clk_time end; /* 0: free */
};

struct out_origins
{
  struct place places[PLACES];
  uint32_t count;
  clk_time next_rebuild;
};

struct out_origins *
out_origins_create (void)
{
  struct out_origins *origins = mem_alloc (1, sizeof *origins);

  return origins;
}

void
out_origins_destroy (struct out_origins *origins)
{
  free (origins);
}

static uint32_t
find (const struct out_origins *origins, uint64_t origin)
{
  uint32_t index = (uint32_t)(origin * 0x9E3779B97F4A7C15u >> 32) % PLACES;

  while (origins->places[index].end != 0
         && origins->places[index].origin != origin)
    index = (index + 1) % PLACES;
  return index;
}

/* Drops origins whose time is over; at most once a second when full.  */
static void
rebuild (struct out_origins *origins, clk_time now)
{
  struct place *old;

  if (now < origins->next_rebuild)
    return;
  origins->next_rebuild = now + CLK_SECOND;
  old = malloc (sizeof origins->places);
  if (old == NULL)
    abort ();
  memcpy (old, origins->places, sizeof origins->places);
  memset (origins->places, 0, sizeof origins->places);
  origins->count = 0;
  for (uint32_t i = 0; i < PLACES; i++)
    if (old[i].end > now)
      {
        origins->places[find (origins, old[i].origin)] = old[i];
        origins->count++;
      }
  free (old);
}

bool
out_origins_reserve (struct out_origins *origins, uint64_t origin,
                     clk_time now)
{
  uint32_t index = find (origins, origin);

  if (origins->places[index].end == 0)
    {
      if (origins->count >= OUT_MAX_ORIGINS)
        rebuild (origins, now);
      if (origins->count >= OUT_MAX_ORIGINS)
        return false;
      index = find (origins, origin);
      origins->places[index].origin = origin;
      origins->places[index].number = 0;
      origins->count++;
    }
  origins->places[index].end = now + OUT_ORIGIN_TIME;
  return true;
}

void
out_origins_raise (struct out_origins *origins, uint64_t origin,
                   uint64_t number, clk_time now)
{
  struct place *place = &origins->places[find (origins, origin)];

  if (place->end == 0)
    return;
  place->end = now + OUT_ORIGIN_TIME;
  if (number > place->number)
    place->number = number;
}

uint64_t
out_origins_get (const struct out_origins *origins, uint64_t origin)
{
  const struct place *place = &origins->places[find (origins, origin)];

  return place->end == 0 ? 0 : place->number;
}
