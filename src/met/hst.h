/* Histogram with logarithmic buckets and bounded memory.  A recorded value is
   reported with a relative error of at most 1/64, which is below 2 %.  */

#ifndef MULBERRYSHIFT_MET_HST_H
#define MULBERRYSHIFT_MET_HST_H

#include <stddef.h>
#include <stdint.h>

/* Each power of two is divided into 2^HST_SUB_BITS linear buckets.  */
#define HST_SUB_BITS 5
#define HST_SUB_BUCKETS (1u << HST_SUB_BITS)

/* Bits of the largest value, 2^40 - 1, which is 18 minutes in nanoseconds.
   Larger values count in the last bucket.  */
#define HST_MAX_BITS 40

#define HST_BUCKETS ((HST_MAX_BITS - HST_SUB_BITS + 1) * HST_SUB_BUCKETS)

#ifdef __cplusplus
extern "C"
{
#endif

  /* A histogram.  Zero-initialize it.  Any thread may record values while
     others read them.  */
  struct hst
  {
    uint64_t count; /* all members are accessed atomically */
    uint64_t sum;
    uint32_t buckets[HST_BUCKETS];
  };

  /* Records one value, in a unit that the owner chooses.  */
  void hst_record (struct hst *histogram, uint64_t value);

  /* Returns the quantile of FRACTION (0 to 1): the value below which this
     fraction of the recorded values lies; 0 when nothing was recorded.  */
  uint64_t hst_quantile (const struct hst *histogram, double fraction);

  /* Returns the index of the bucket of VALUE, in [0, HST_BUCKETS).  */
  size_t hst_bucket_index (uint64_t value);

  /* Returns the middle of the range of values of a bucket.  */
  uint64_t hst_bucket_midpoint (size_t bucket);

#ifdef __cplusplus
}
#endif

#endif
