/* Settings.  */

#include "base/log.h"
#include "cfg/cfg.h"

#include <algorithm>
#include <cstring>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <string>

static const std::string valid
    = "[node]\nname = \"n\"\ndata_centre = \"d\"\nregion = \"r\"\n"
      "environment = \"trial\"\n"
      "[listen]\nmesh = \"10.0.0.1:7000\"\n"
      "[platform]\nurl = \"http://p:1\"\nregion = \"r\"\n";

static std::string
check (const std::string &text, cfg_settings *settings, cfg_status expected)
{
  struct buf report = {};
  std::string result;

  EXPECT_EQ (cfg_parse ("s", text.data (), text.size (), settings, &report),
             expected)
      << text << buf_text (&report);
  result = buf_text (&report);
  buf_close (&report);
  return result;
}

/* Guards against faults that are accepted, hidden behind others, or reported
   without their place and correction.  */
TEST (Settings, ReportsEachFault)
{
  static const struct
  {
    const char *from;
    const char *to;
    const char *part;
  } cases[] = {
    { "\"n\"", "\"a b\"", "s:2:8: [node] name \"a b\" has a character" },
    { "\"n\"", "\"\"", "s:2:8: [node] name is empty" },
    { "\"n\"", "5", "is a whole number, but must be a text in quotes" },
    { "name", "nam", "did you mean \"name\"?" },
    { "region = \"r\"\nenv", "env", "s:1:1: [node] region is missing" },
    { "[platform]", "[plattform]", "did you mean \"platform\"?" },
    { "[platform]", "[[platform]]", "platform is not a table" },
    { "10.0.0.1:7000", "10.0.0.1", "such as \"10.0.0.5:7000\"" },
    { "10.0.0.1:7000", "10.0.0.1:0", "is not an address with a port" },
    { "10.0.0.1:7000", "0.0.0.0:7000", "this VM's own address" },
    { "10.0.0.1:7000", "127.0.0.1:8080", "s:6:1: [listen] has the same" },
    { "http://p:1", "https://p:1", "does not begin with http://" },
    { "http://p:1", "http://", "no host" },
    { "http://p:1", "http://p\\\"x", "cannot have" },
    { "[listen]", "drain_ms = -1\n[listen]", "0 to 600000 (ms)" },
    { "[listen]", "drain_ms = 1.5\n[listen]", "a number with a fraction" },
    { "[listen]", "gate_queue = 10001\n[listen]", "0 to 10000 (calls)" },
    { "[listen]", "[listen]\nmax_links = 0", "1 to 10000 (links)" },
    { "[listen]", "[log]\nlevel = \"loud\"\n[listen]", "\"debug\", \"info\"" },
    { "[listen]", "[mesh]\ncontrol = \"x\"\n[listen]", "\"tree\" or" },
    { "[listen]", "[mesh]\nseeds = [\"1.1.1.1:1\", \"1.1.1.1:1\"]\n[listen]",
      "s:7:23: [mesh] seeds has the address 1.1.1.1:1 twice" },
    { "[listen]", "[mesh]\nseeds = [\"x\"]\n[listen]", "s:7:10: " },
    { "\"n\"", "\"n", "s:2:" },
  };

  for (const auto &test : cases)
    {
      cfg_settings settings;
      cfg_settings before;
      std::string text = valid;
      std::string report;

      memset (&settings, 7, sizeof settings);
      before = settings;
      text.replace (text.find (test.from), strlen (test.from), test.to);
      report = check (text, &settings, CFG_INVALID);
      EXPECT_NE (report.find (test.part), std::string::npos) << report;
      EXPECT_NE (report.find ("; "), std::string::npos) << report;
      EXPECT_EQ (memcmp (&settings, &before, sizeof settings), 0)
          << "invalid settings changed those in effect";
    }
}

/* Guards against a report that ends at the first fault.  */
TEST (Settings, ReportsAllFaultsInOnePass)
{
  cfg_settings settings;
  std::string report
      = check ("[node]\nname = 1\nx = 2\n", &settings, CFG_INVALID);

  EXPECT_EQ (std::count (report.begin (), report.end (), '\n'), 8) << report;
}

/* Guards against defaults outside their own range, and against printed
   settings that cannot be loaded again.  */
TEST (Settings, AreValidAgainWhenPrinted)
{
  cfg_settings settings;
  cfg_settings again;
  struct buf text = {};
  struct buf repeated = {};

  check (valid
             + "[mesh]\nseeds = [\"1.2.3.4:5\", \"1.2.3.4:6\"]\n"
               "control = \"poll\"\n",
         &settings, CFG_OK);
  EXPECT_EQ (settings.gate_queue_capacity, 48);
  EXPECT_EQ (settings.max_links, 1024);
  EXPECT_EQ (settings.log_level, LOG_INFO);
  EXPECT_EQ (settings.distribution, CFG_DISTRIBUTION_POLL);
  cfg_print (&settings, &text);
  check (buf_text (&text), &again, CFG_OK);
  /* The structures have padding, so their printed forms are compared.  */
  cfg_print (&again, &repeated);
  EXPECT_STREQ (buf_text (&text), buf_text (&repeated));
  buf_close (&repeated);
  buf_close (&text);
}

/* Guards against a page that no longer describes the program.  */
TEST (Settings, AreDescribedInTheReference)
{
  std::ifstream file ("docs/settings.md");
  std::stringstream page;
  struct buf text = {};

  page << file.rdbuf ();
  cfg_print_reference (&text);
  EXPECT_EQ (page.str (), buf_text (&text))
      << "run: mulberryshift node --settings-reference >docs/settings.md";
  buf_close (&text);
}
