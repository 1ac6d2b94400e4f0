/* Histogram with logarithmic buckets and bounded memory.  */

#include "met/hst.h"

size_t
hst_bucket_index (uint64_t value)
{
  unsigned exponent;

  if (value < HST_SUB_BUCKETS)
    return (size_t)value;
  exponent = 63u - (unsigned)__builtin_clzll (value);
  if (exponent >= HST_MAX_BITS)
    return HST_BUCKETS - 1;
  return (size_t)(exponent - HST_SUB_BITS + 1) * HST_SUB_BUCKETS
         + (size_t)(value >> (exponent - HST_SUB_BITS)
                    & (HST_SUB_BUCKETS - 1));
}

uint64_t
hst_bucket_midpoint (size_t bucket)
{
  size_t octave = bucket / HST_SUB_BUCKETS;
  uint64_t low;
  uint64_t width;

  if (octave == 0)
    return bucket;
  width = (uint64_t)1 << (octave - 1);
  low = (HST_SUB_BUCKETS + bucket % HST_SUB_BUCKETS) * width;
  return low + width / 2;
}

void
hst_record (struct hst *histogram, uint64_t value)
{
  __atomic_add_fetch (&histogram->buckets[hst_bucket_index (value)], 1,
                      __ATOMIC_RELAXED);
  __atomic_add_fetch (&histogram->sum, value, __ATOMIC_RELAXED);
  __atomic_add_fetch (&histogram->count, 1, __ATOMIC_RELAXED);
}

uint64_t
hst_quantile (const struct hst *histogram, double fraction)
{
  uint64_t total = __atomic_load_n (&histogram->count, __ATOMIC_RELAXED);
  uint64_t rank = (uint64_t)(fraction * (double)total);
  uint64_t cumulative = 0;

  if (total == 0)
    return 0;
  if (rank >= total)
    rank = total - 1;
  for (size_t i = 0; i < HST_BUCKETS; i++)
    {
      cumulative += __atomic_load_n (&histogram->buckets[i], __ATOMIC_RELAXED);
      if (cumulative > rank)
        return hst_bucket_midpoint (i);
    }
  return hst_bucket_midpoint (HST_BUCKETS - 1);
}
