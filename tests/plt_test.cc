/* Platform objects, budget, back-off and limited client.  */

#include "base/rnd.h"
#include "plt/plt_backoff.h"
#include "plt/plt_config.h"
#include "plt/plt_directory.h"
#include "plt/plt_limited.h"
#include "plt/plt_list.h"
#include "plt/plt_order.h"
#include "plt/plt_status_report.h"
#include "support/memory_platform.h"
#include "support/support.h"

#include <gtest/gtest.h>

#include <cstring>
#include <vector>

namespace
{

std::string
take (struct buf *text)
{
  std::string result (buf_text (text), text->length);

  buf_close (text);
  return result;
}

std::string
replace (std::string text, const std::string &from, const std::string &to)
{
  size_t place = text.find (from);

  EXPECT_NE (place, std::string::npos) << from;
  return text.replace (place, from.size (), to);
}

struct plt_status_report
sample_report ()
{
  struct plt_status_report report = {};

  std::snprintf (report.data_centre, sizeof report.data_centre, "dc-a");
  std::snprintf (report.region, sizeof report.region, "west");
  std::snprintf (report.relay, sizeof report.relay, "node-1");
  report.members = 150;
  report.highest_version = 9;
  report.at_highest = 149;
  report.lowest_version = 8;
  report.rejected_version = 10;
  std::snprintf (report.rejected_reason, sizeof report.rejected_reason,
                 "line 3: \"quotes\"");
  report.forked = true;
  std::snprintf (report.unreachable[0], sizeof report.unreachable[0],
                 "node-7");
  report.unreachable_count = 1;
  report.written_at = 123456;
  report.since = 123000;
  return report;
}

std::string
encode (const struct plt_status_report &report)
{
  struct buf text = {};

  plt_status_report_encode (&report, &text);
  return take (&text);
}

clk_time fake_now;

clk_time
fake_clock ()
{
  return fake_now;
}

} // namespace

/* Guards against fields that one side writes and the other does not read.  */
TEST (Objects, StatusReportSurvivesARoundTrip)
{
  struct plt_status_report report = sample_report ();
  struct plt_status_report copy;
  std::string text = encode (report);

  ASSERT_EQ (plt_status_report_decode (text.data (), text.size (), &copy),
             PLT_OK);
  EXPECT_EQ (std::memcmp (&report, &copy, sizeof report), 0);
}

/* Guards against reports with impossible values, which would number a version
   or end a wait wrongly.  */
TEST (Objects, StatusReportRejectsWrongKindsAndRanges)
{
  const std::string text = encode (sample_report ());
  std::string many;
  for (int i = 0; i < PLT_REPORT_MAX_UNREACHABLE; i++)
    many += "\"a\",";
  const std::vector<std::string> wrong = {
    "",
    "[]",
    text + "x",
    text.substr (0, text.size () - 1),
    replace (text, "\"members\":150", "\"members\":\"150\""),
    replace (text, "\"members\":150", "\"members\":-1"),
    replace (text, "\"members\":150", "\"members\":150,\"members\":3"),
    replace (text, "\"highest_version\":9",
             "\"highest_version\":9223372036854775808"),
    replace (text, "\"highest_version\":9", "\"highest_version\":9.0"),
    replace (text, "\"lowest_version\":8", "\"lowest_version\":10"),
    replace (text, "\"at_highest\":149", "\"at_highest\":151"),
    replace (text, "\"forked\":true", "\"forked\":1"),
    replace (text, "\"data_centre\":\"dc-a\"", "\"data_centre\":\"\""),
    replace (text, "[\"node-7\"]", "[7]"),
    replace (text, "[\"node-7\"]", "[" + many + "\"a\"]"),
    replace (text, "\"node-1\"", "\"" + std::string (64, 'n') + "\""),
  };

  for (const auto &sample : wrong)
    {
      struct plt_status_report report;
      struct plt_status_report empty = {};

      EXPECT_EQ (
          plt_status_report_decode (sample.data (), sample.size (), &report),
          PLT_INVALID)
          << sample;
      EXPECT_EQ (std::memcmp (&report, &empty, sizeof report), 0) << sample;
    }
}

/* Guards against addresses that are not addresses, or too many of them.  */
TEST (Objects, DirectoryRoundTripAndRejection)
{
  struct plt_directory directory = {};
  struct plt_directory copy;
  struct buf buffer = {};

  directory.address_count = PLT_DIRECTORY_MAX_ADDRESSES;
  for (size_t i = 0; i < directory.address_count; i++)
    directory.addresses[i] = { 0x7f000001, (uint16_t)(1000 + i) };
  directory.written_at = 5;
  plt_directory_encode (&directory, &buffer);
  std::string text = take (&buffer);
  ASSERT_EQ (plt_directory_decode (text.data (), text.size (), &copy), PLT_OK);
  ASSERT_EQ (copy.address_count, directory.address_count);
  EXPECT_TRUE (net_equal (copy.addresses[7], directory.addresses[7]));
  for (const auto &sample :
       { replace (text, "127.0.0.1:1000", "127.0.0.1"),
         replace (text, "127.0.0.1:1000", "127.0.0.1:99999"),
         replace (text, "[", "[\"127.0.0.1:1\","),
         replace (text, "\"written_at\":5", "\"written_at\":null") })
    {
      EXPECT_EQ (plt_directory_decode (sample.data (), sample.size (), &copy),
                 PLT_INVALID)
          << sample;
      EXPECT_EQ (copy.address_count, 0u);
    }
}

/* Guards against an order state that a gate would take for another.  */
TEST (Objects, OrderRoundTripAndRejection)
{
  struct plt_order order
      = { "key \"1\"", "7-9", "node-1", 77, PLT_ORDER_ANSWERED };
  struct plt_order copy;
  struct buf buffer = {};
  char first[PLT_KEY_SIZE];
  char second[PLT_KEY_SIZE];

  plt_order_encode (&order, &buffer);
  std::string text = take (&buffer);
  ASSERT_EQ (plt_order_decode (text.data (), text.size (), &copy), PLT_OK);
  EXPECT_STREQ (copy.key, order.key);
  EXPECT_EQ (copy.state, PLT_ORDER_ANSWERED);
  for (const auto &sample : { replace (text, "answered", "answer"),
                              replace (text, "\"answered\"", "1"),
                              replace (text, "\"node\"", "\"nodes\"") })
    EXPECT_EQ (plt_order_decode (sample.data (), sample.size (), &copy),
               PLT_INVALID)
        << sample;
  plt_order_object_key ("trial", "a", first);
  plt_order_object_key ("trial", "b", second);
  EXPECT_STRNE (first, second);
  EXPECT_EQ (std::strlen (first), std::strlen ("orders/trial/") + 32);
}

/* Guards against a document that is cut short or a version out of range.  */
TEST (Objects, ConfigRejectsWrongKindsAndRanges)
{
  const std::string text
      = "{\"version\":3,\"change_id\":\"a\",\"author\":\"b\",\"note\":\"\","
        "\"written_at\":1,\"document\":\"x = 1\"}";
  struct plt_config config;

  ASSERT_EQ (plt_config_decode (text.data (), text.size (), &config), PLT_OK);
  plt_config_close (&config);
  for (const auto &sample :
       { replace (text, "3", "0"), replace (text, "3", "\"3\""),
         replace (text, "\"b\"", "\"" + std::string (64, 'b') + "\""),
         replace (text, "x = 1", "x\\u0000"), replace (text, "x = 1", "\xff"),
         text.substr (0, 40) })
    {
      EXPECT_EQ (plt_config_decode (sample.data (), sample.size (), &config),
                 PLT_INVALID)
          << sample;
      EXPECT_EQ (config.document.data, nullptr);
    }
}

/* Guards against lists of which a part is silently left out.  */
TEST (Objects, ListRejectsAnyWrongEntry)
{
  const std::string text = "{\"objects\":[{\"key\":\"a\",\"etag\":\"1\","
                           "\"value\":\"v\"},{\"key\":\"b\",\"etag\":\"2\","
                           "\"value\":\"w\"}]}";
  struct plt_list list;

  ASSERT_EQ (plt_list_decode (text.data (), text.size (), &list), PLT_OK);
  EXPECT_EQ (list.count, 2u);
  plt_list_close (&list);
  for (const auto &sample :
       { replace (text, "\"etag\":\"2\",", ""), replace (text, "\"w\"", "1"),
         replace (text, "\"b\"", "\"" + std::string (300, 'b') + "\""),
         replace (text, "objects", "object"), std::string ("[]") })
    {
      EXPECT_EQ (plt_list_decode (sample.data (), sample.size (), &list),
                 PLT_INVALID)
          << sample;
      EXPECT_EQ (list.count, 0u);
      EXPECT_EQ (list.objects, nullptr);
    }
}

/* Guards against more calls than rate and burst allow, in any pattern, and
   against a client that waits until the stated time and is refused.  */
TEST (Budget, NeverExceedsRateAndBurst)
{
  struct rnd generator;
  std::vector<clk_time> taken;
  struct plt_budget budget;
  clk_time now = 0;

  SCOPED_TRACE (test_seed_note (3));
  rnd_init (&generator, 3);
  plt_budget_init (&budget, 4, 3);
  for (int i = 0; i < 20000; i++)
    {
      clk_time when;

      now += rnd_below (&generator, 200) * CLK_MILLISECOND;
      if (!plt_budget_take (&budget, now, &when))
        {
          ASSERT_GT (when, now);
          if (rnd_below (&generator, 2) == 0)
            continue;
          now = when;
          ASSERT_TRUE (plt_budget_take (&budget, now, nullptr));
        }
      taken.push_back (now);
    }
  for (size_t first = 0; first < taken.size (); first++)
    for (size_t last = first; last < taken.size () && last < first + 40;
         last++)
      {
        double allowed
            = 3 + 4 * (double)(taken[last] - taken[first]) / CLK_SECOND;

        ASSERT_LE ((double)(last - first + 1), allowed + 1e-6);
      }
}

/* Guards against a new relay that starts with a full bucket after its calls
   as a plain node.  */
TEST (Budget, ChangeKeepsTheCallsCounted)
{
  struct plt_budget budget;

  plt_budget_init (&budget, 1, 2);
  EXPECT_TRUE (plt_budget_take (&budget, 0, nullptr));
  EXPECT_TRUE (plt_budget_take (&budget, 0, nullptr));
  plt_budget_change (&budget, 4, 2, 0);
  EXPECT_FALSE (plt_budget_take (&budget, 0, nullptr));
  EXPECT_EQ (plt_budget_next (&budget, 0), CLK_SECOND / 4);
}

/* Guards against waits over the cap, and against clients that fail together
   and return together.  */
TEST (Backoff, IsCappedAndSpread)
{
  struct plt_backoff backoff;
  struct rnd generator;
  clk_time least = CLK_NEVER;
  clk_time most = 0;

  rnd_init (&generator, 5);
  for (int client = 0; client < 1000; client++)
    {
      clk_time wait = 0;

      plt_backoff_init (&backoff, CLK_SECOND, 8 * CLK_SECOND);
      EXPECT_LE (plt_backoff_next (&backoff, &generator, 0), CLK_SECOND);
      for (int i = 0; i < 70; i++)
        wait = plt_backoff_next (&backoff, &generator, 0);
      ASSERT_LE (wait, 8 * CLK_SECOND);
      least = std::min (least, wait);
      most = std::max (most, wait);
      plt_backoff_reset (&backoff);
      ASSERT_LE (plt_backoff_next (&backoff, &generator, 0), CLK_SECOND);
    }
  EXPECT_LT (least, CLK_SECOND / 4);
  EXPECT_GT (most, 7 * CLK_SECOND);
}

/* Guards against calls that reach the platform over the budget.  */
TEST (Limited, AnswersBusyWithoutCalling)
{
  struct plt_budget budget;
  struct plt_object object;
  struct plt_list list;
  memory_platform platform;
  int busy = 0;

  plt_budget_init (&budget, 2, 3);
  fake_now = 0;
  struct plt_client client
      = plt_open_limited (platform.client (), &budget, fake_clock);
  for (int i = 0; i < 20; i++, fake_now += CLK_SECOND / 10)
    {
      enum plt_status status
          = i % 2 == 0 ? client.operations->get (client.state, "a", 0, &object)
                       : client.operations->list (client.state, "a", 0, &list);

      busy += status == PLT_BUSY ? 1 : 0;
      if (status == PLT_OK)
        plt_list_close (&list);
    }
  EXPECT_EQ (platform.call_count, 6u);
  EXPECT_EQ (busy, 14);
  plt_close (&client);
}
