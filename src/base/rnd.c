/* Pseudo-random numbers from a seeded state.  */

#include "base/rnd.h"

#include "base/clk.h"

#include <sys/random.h>

void
rnd_init (struct rnd *generator, uint64_t seed)
{
  unsigned short words[3]
      = { (unsigned short)seed, (unsigned short)(seed >> 16),
          (unsigned short)((seed >> 32) ^ (seed >> 48)) };

  seed48_r (words, &generator->state);
}

uint64_t
rnd_system_seed (void)
{
  uint64_t seed;

  if (getrandom (&seed, sizeof seed, 0) != sizeof seed)
    seed = (uint64_t)clk_now ();
  return seed;
}

uint32_t
rnd_bits (struct rnd *generator)
{
  long value;

  mrand48_r (&generator->state, &value);
  return (uint32_t)value;
}

uint64_t
rnd_bits64 (struct rnd *generator)
{
  uint64_t high = rnd_bits (generator);

  return high << 32 | rnd_bits (generator);
}

uint32_t
rnd_below (struct rnd *generator, uint32_t limit)
{
  return (uint32_t)((uint64_t)rnd_bits (generator) * limit >> 32);
}

double
rnd_unit (struct rnd *generator)
{
  double value;

  drand48_r (&generator->state, &value);
  return value;
}
