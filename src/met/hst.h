/* Log-scale histogram with bounded memory.  A recorded value is reported with
   a relative error of at most 1/64, which is below 2 %.  */

#ifndef MULBERRYSHIFT_MET_HST_H
#define MULBERRYSHIFT_MET_HST_H

#include <stddef.h>
#include <stdint.h>

#define HST_SUB_BITS 5
#define HST_SUB_BUCKETS (1u << HST_SUB_BITS)
/* Values up to 2^40 - 1; for nanoseconds that is 18 minutes.  Larger values
   count in the last bucket.  */
#define HST_MAX_BITS 40
#define HST_BUCKETS ((HST_MAX_BITS - HST_SUB_BITS + 1) * HST_SUB_BUCKETS)

#ifdef __cplusplus
extern "C"
{
#endif

  /* Zero-initialise.  Any thread may record while others read.  */
  struct hst
  {
    uint64_t count; /* all members are accessed atomically */
    uint64_t sum;
    uint32_t buckets[HST_BUCKETS];
  };

  /* Adds one value, in the unit that the owner chose.  */
  void hst_record (struct hst *histogram, uint64_t value);

  /* Returns the value below which a SHARE (0 to 1) of the recorded values lie;
     0 when nothing was recorded.  */
  uint64_t hst_quantile (const struct hst *histogram, double share);

  /* Returns the bucket of VALUE, in [0, HST_BUCKETS).  */
  size_t hst_bucket_index (uint64_t value);

  /* Returns the middle value of a bucket.  */
  uint64_t hst_bucket_midpoint (size_t bucket);

#ifdef __cplusplus
}
#endif

#endif
