/* Metrics: bounded memory, histograms with a relative error of at most
   2 %.  */

#include "met/met.h"
#include "met/met_tenant.h"

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

/* Guards against tenants that take the series of all others, and against names
   that break a line of the exposition.  Runs before the series are used up. */
TEST (Metrics, NumberOfTenantsIsBounded)
{
  struct buf output = {};
  std::string text;

  met_count_tenant ("tenant_test_total", nullptr, "outcome", "x");
  met_count_tenant ("tenant_test_total", "a\"b\\c\nd", "outcome", "x");
  for (int round = 0; round < 2; round++)
    for (int i = 0; i < MET_MAX_TENANTS + 9; i++)
      {
        std::string name = "t" + std::to_string (i);

        met_count_tenant ("tenant_test_total", name.c_str (), "outcome", "x");
        met_time_tenant ("tenant_test_seconds", name.c_str (), 1000);
      }
  met_expose (&output);
  text = buf_text (&output);
  buf_close (&output);
  for (const char *line : { "{tenant=\"none\",outcome=\"x\"} 1\n",
                            "{tenant=\"a\\\"b\\\\c d\",outcome=\"x\"} 1\n",
                            "{tenant=\"t62\",outcome=\"x\"} 2\n",
                            "{tenant=\"other\",outcome=\"x\"} 20\n" })
    EXPECT_NE (
        text.find (std::string ("mulberryshift_tenant_test_total") + line),
        std::string::npos)
        << line;
  EXPECT_EQ (text.find ("t63"), std::string::npos);
  EXPECT_NE (text.find ("tenant_test_seconds_count{tenant=\"other\"} 20"),
             std::string::npos);
  EXPECT_EQ (text.find ("overflow"), std::string::npos);
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
