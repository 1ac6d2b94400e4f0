/* Pseudo-random numbers from a seeded state, so that test runs are
   reproducible.  */

#ifndef MULBERRYSHIFT_BASE_RND_H
#define MULBERRYSHIFT_BASE_RND_H

#include <stdint.h>
#include <stdlib.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* State of a generator.  It must not be shared between threads.  */
  struct rnd
  {
    struct drand48_data state;
  };

  /* Seeds the generator; equal seeds give equal sequences.  */
  void rnd_init (struct rnd *generator, uint64_t seed);

  /* Returns a seed from the operating system.  */
  uint64_t rnd_system_seed (void);

  /* Returns 32 random bits.  */
  uint32_t rnd_bits (struct rnd *generator);

  /* Returns 64 random bits.  */
  uint64_t rnd_bits64 (struct rnd *generator);

  /* Returns a number in [0, LIMIT); 0 when LIMIT is 0.  */
  uint32_t rnd_below (struct rnd *generator, uint32_t limit);

  /* Returns a number in [0, 1).  */
  double rnd_unit (struct rnd *generator);

#ifdef __cplusplus
}
#endif

#endif
