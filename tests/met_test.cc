/* Metrics: bounded memory, histograms with a relative error of at most
   2 %.  */

#include "met/met.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

/* Guards against a bucket layout whose error exceeds the documented bound.  */
TEST (Histogram, ReportsEachValueWithinTwoPercent)
{
  for (uint64_t value = 1; value < (uint64_t)1 << 39; value += value / 7 + 1)
    {
      uint64_t reported = hst_bucket_midpoint (hst_bucket_index (value));
      double error = reported > value ? reported - value : value - reported;

      EXPECT_LE (error / value, 0.02) << value;
    }
}

/* Guards against a write beyond the last bucket.  */
TEST (Histogram, CountsHugeValuesInTheLastBucket)
{
  EXPECT_EQ (hst_bucket_index (UINT64_MAX), (size_t)HST_BUCKETS - 1);
}

/* Guards against quantiles that differ from those of the sorted values.  */
TEST (Histogram, QuantilesMatchTheSortedValues)
{
  auto histogram = std::make_unique<struct hst> ();
  std::vector<uint64_t> values;
  uint64_t value = 12345;

  for (int i = 0; i < 10000; i++)
    {
      value = value * 6364136223846793005u + 1442695040888963407u;
      values.push_back (value >> 30);
      hst_record (histogram.get (), value >> 30);
    }
  std::sort (values.begin (), values.end ());
  for (double fraction : { 0.5, 0.9, 0.99, 0.999 })
    {
      double exact = values[(size_t)(fraction * values.size ())];

      EXPECT_NEAR (hst_quantile (histogram.get (), fraction), exact,
                   exact * 0.02)
          << fraction;
    }
}

/* Guards against a caller that exhausts memory with ever new label values.  */
TEST (Metrics, NumberOfSeriesIsBounded)
{
  uint64_t *last = nullptr;
  uint64_t *before_last = nullptr;
  struct buf output = {};

  for (int i = 0; i < 2 * MET_MAX_COUNTERS; i++)
    {
      std::string labels = "tenant=\"t" + std::to_string (i) + "\"";

      before_last = last;
      last = met_counter ("bounded_total", labels.c_str ());
      met_add (last, 1);
    }
  EXPECT_EQ (last, before_last);
  met_expose (&output);
  EXPECT_NE (std::string (buf_text (&output)).find ("overflow=\"true\""),
             std::string::npos);
  buf_close (&output);
}
