/* Operator's commands: exit codes, spread of a version, difference of
   lines.  */

#include "base/rnd.h"
#include "cli/cli.h"
#include "cli/cli_lines.h"
#include "cli/cli_reports.h"
#include "cli/cli_trace.h"
#include "cli/cli_versions.h"
#include "cli/cli_write.h"
#include "http/http_admin.h"
#include "support/loopback.h"
#include "support/memory_platform.h"
#include "support/support.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <fstream>
#include <map>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace
{

struct plt_status_report
report (const char *data_centre, uint64_t lowest, uint64_t written_at)
{
  struct plt_status_report result = {};

  std::snprintf (result.data_centre, sizeof result.data_centre, "%s",
                 data_centre);
  result.members = result.at_highest = 3;
  result.lowest_version = result.highest_version = lowest;
  result.written_at = written_at;
  return result;
}

enum cli_spread
spread (std::vector<struct plt_status_report> reports, uint64_t version,
        std::string *text)
{
  struct cli_reports all = { reports.data (), reports.size (), 0 };
  struct buf output = {};
  enum cli_spread result
      = cli_reports_spread (&all, version, 1000000, &output);

  *text = buf_text (&output);
  buf_close (&output);
  return result;
}

/* An administration server that answers /trace from a table.  */
struct admin_fixture
{
  std::map<std::string, std::string> answers;
  bool endless = false; /* each call has one child more */
  cfg_settings settings = {};
  http_admin *admin = nullptr;

  admin_fixture ()
  {
    http_admin_hooks hooks = {};

    settings.admin_address = loopback_allocate_address ();
    hooks.context = this;
    hooks.trace = trace;
    EXPECT_EQ (http_admin_create (&settings, nullptr, &hooks, &admin),
               HTTP_OK);
  }
  ~admin_fixture () { http_admin_destroy (admin); }

  static json_t *
  trace (void *context, const char *id)
  {
    auto *self = static_cast<admin_fixture *> (context);
    auto answer = self->answers.find (id);

    if (self->endless)
      return json_pack ("{s:s, s:[{s:s}]}", "id", id, "children", "id",
                        (std::string (id) + "1").c_str ());
    return answer == self->answers.end ()
               ? nullptr
               : json_loads (answer->second.c_str (), 0, nullptr);
  }

  std::string
  address () const
  {
    char text[NET_TEXT_SIZE];

    net_format (settings.admin_address, text);
    return text;
  }
};

/* Writes a document with one second to do it.  Returns the exit code and
   stores what was printed.  */
enum cli_exit_code
write_document (memory_platform &platform, bool wait, std::string *printed)
{
  struct cli_session session = {};
  struct cli_write write = {};
  struct buf document = {};

  session.settings_file = "operator.toml";
  std::snprintf (session.environment, sizeof session.environment, "trial");
  std::snprintf (session.author, sizeof session.author, "ana");
  session.client = platform.client ();
  buf_append (&document, "x = 1\n", 6);
  write.document = &document;
  write.wait = wait;
  write.timeout = 1;
  testing::internal::CaptureStdout ();
  testing::internal::CaptureStderr ();
  enum cli_exit_code exit = cli_write_document (&session, &write);
  *printed = testing::internal::GetCapturedStdout ();
  *printed += testing::internal::GetCapturedStderr ();
  buf_close (&document);
  return exit;
}

void
set_report (memory_platform &platform, const char *data_centre,
            uint64_t lowest)
{
  struct plt_status_report sample
      = report (data_centre, lowest, clk_wall_ms ());
  struct buf text = {};

  plt_status_report_encode (&sample, &text);
  platform.restore (std::string ("status/trial/") + data_centre,
                    buf_text (&text));
  buf_close (&text);
}

int
run (std::vector<std::string> words, std::string *printed = nullptr)
{
  std::vector<char *> arguments;

  words.insert (words.begin (), "mulberryshift");
  for (auto &word : words)
    arguments.push_back (word.data ());
  testing::internal::CaptureStdout ();
  testing::internal::CaptureStderr ();
  int exit = cli_run ((int)arguments.size (), arguments.data ());
  std::string output = testing::internal::GetCapturedStdout ();
  testing::internal::GetCapturedStderr ();
  if (printed != nullptr)
    *printed = output;
  return exit;
}

std::string
temporary (const std::string &name, const std::string &text)
{
  std::string path = testing::TempDir () + "cli_test_" + name;

  std::ofstream (path) << text;
  return path;
}

void
rebuild (void *context, char sign, size_t number, const char *text,
         size_t length)
{
  auto *changes = static_cast<
      std::vector<std::pair<char, std::pair<size_t, std::string> > > *> (
      context);

  changes->push_back ({ sign, { number, std::string (text, length) } });
}

} // namespace

/* Guards against a wait that ends while a data centre still lags, or never
   ends because of one that is cut off.  */
TEST (Spread, CountsOnlyRecentReports)
{
  std::string text;

  EXPECT_EQ (
      spread ({ report ("a", 5, 999000), report ("b", 6, 999000) }, 5, &text),
      CLI_SPREAD_EVERYWHERE);
  EXPECT_EQ (text, "");
  EXPECT_EQ (
      spread ({ report ("a", 5, 999000), report ("b", 4, 999000) }, 5, &text),
      CLI_SPREAD_PENDING);
  EXPECT_NE (text.find ("of b;"), std::string::npos);
  EXPECT_EQ (text.find ("of a;"), std::string::npos);
  EXPECT_EQ (
      spread ({ report ("a", 5, 999000), report ("b", 4, 1000) }, 5, &text),
      CLI_SPREAD_EVERYWHERE);
  EXPECT_EQ (spread ({ report ("a", 5, 1000) }, 5, &text), CLI_SPREAD_PENDING);
  EXPECT_EQ (spread ({}, 5, &text), CLI_SPREAD_PENDING);
  struct plt_status_report rejected = report ("a", 4, 999000);
  rejected.rejected_version = 5;
  EXPECT_EQ (spread ({ rejected }, 5, &text), CLI_SPREAD_REJECTED);
}

/* Guards against exit codes that do not tell what the store holds.  */
TEST (Apply, ExitCodesMatchTheStore)
{
  std::string printed;

  memory_platform done;
  EXPECT_EQ (write_document (done, false, &printed), CLI_SUCCESS);
  EXPECT_NE (done.value ("config/trial"), "");

  memory_platform down;
  down.default_fault = MEMORY_DOWN;
  EXPECT_EQ (write_document (down, false, &printed), CLI_FAILURE);

  memory_platform rival;
  rival.before_call = [&] (unsigned number) {
    if (number == 3)
      rival.restore ("config/trial",
                     "{\"version\":1,\"change_id\":\"r\",\"author\":\"bob\","
                     "\"note\":\"\",\"written_at\":1000,\"document\":\"y\"}");
  };
  EXPECT_EQ (write_document (rival, false, &printed), CLI_CONFLICT);
  EXPECT_NE (printed.find ("bob wrote version 1 first"), std::string::npos);
  EXPECT_NE (printed.find ("-1: y\n+1: x = 1\n"), std::string::npos);

  memory_platform lost;
  lost.faults[3] = MEMORY_RESPONSE_LOST;
  lost.before_call = [&] (unsigned number) {
    if (number == 4)
      lost.default_fault = MEMORY_DOWN;
  };
  EXPECT_EQ (write_document (lost, false, &printed), CLI_RESULT_UNKNOWN);
  EXPECT_NE (printed.find ("run: mulberryshift history --settings "
                           "operator.toml --environment trial --change "),
             std::string::npos);
}

/* Guards against a wait that reports success before every data centre has
   the version, or that does not name the one which lacks it.  */
TEST (Apply, WaitNamesWhereTheVersionIsNot)
{
  std::string printed;
  memory_platform platform;

  set_report (platform, "dc-a", 2);
  set_report (platform, "dc-b", 1);
  EXPECT_EQ (write_document (platform, true, &printed), CLI_RESULT_UNKNOWN);
  EXPECT_NE (printed.find ("dc-a; the lowest version there is 2"),
             std::string::npos);
  /* Both nodes follow once the object is written.  */
  platform.on_write = [&] (const std::string &key, const std::string &) {
    if (key != "config/trial")
      return;
    set_report (platform, "dc-a", 4);
    set_report (platform, "dc-b", 4);
  };
  EXPECT_EQ (write_document (platform, true, &printed), CLI_SUCCESS);
}

/* Guards against wrong input that reaches the platform.  */
TEST (Commands, WrongInputIsExitTwo)
{
  std::string settings = temporary (
      "settings.toml", "[platform]\nurl = \"http://127.0.0.1:1\"\n");
  std::string wrong = temporary ("wrong.toml", "[platform]\nurl = 5\n");
  std::string document = temporary ("document.toml", "not a document");

  EXPECT_EQ (run ({ "apply", "--settings", settings, "--environment", "trial",
                    document }),
             CLI_BAD_INPUT);
  EXPECT_EQ (run ({ "status", "--settings", wrong, "--environment", "trial" }),
             CLI_BAD_INPUT);
  EXPECT_EQ (
      run ({ "status", "--settings", settings, "--environment", "a/b" }),
      CLI_BAD_INPUT);
  EXPECT_EQ (run ({ "show", "--settings", settings, "--environment", "trial",
                    "--version", "-1" }),
             CLI_BAD_INPUT);
  EXPECT_EQ (run ({ "status", "--settings", settings }), CLI_BAD_INPUT);
  EXPECT_EQ (run ({ "unheard-of" }), CLI_BAD_INPUT);
  EXPECT_EQ (run ({ "--unheard-of" }), CLI_BAD_INPUT);
  EXPECT_EQ (run ({}), CLI_BAD_INPUT);
  EXPECT_EQ (run ({ "node", "--settings", wrong }), CLI_BAD_INPUT);
  EXPECT_EQ (run ({ "history", "--settings", settings, "--environment",
                    "trial", "--change", "5" }),
             CLI_BAD_INPUT);
  EXPECT_EQ (run ({ "trace", "--settings", settings, "--id", "5" }),
             CLI_BAD_INPUT);
  EXPECT_EQ (run ({ "trace", "--settings", settings, "--id",
                    "0000018c2f3b4a5d-7", "--node", "here" }),
             CLI_BAD_INPUT);
  EXPECT_EQ (run ({ "trace", "--settings", settings, "--id",
                    "0000018c2f3b4a5d-7", "--node", "127.0.0.1:1" }),
             CLI_FAILURE);
  EXPECT_EQ (
      run ({ "status", "--settings", settings, "--environment", "trial" }),
      CLI_FAILURE);
  for (const char *command : { "node", "check", "apply", "promote", "status",
                               "history", "show", "diff", "trace", "explain" })
    EXPECT_EQ (run ({ command, "--help" }), CLI_SUCCESS) << command;
}

/* Guards against a document that would remove every route of an environment,
   such as one that is empty by mistake.  */
TEST (Commands, ADocumentWithoutRoutesIsRefused)
{
  std::string settings = temporary (
      "settings.toml", "[platform]\nurl = \"http://127.0.0.1:1\"\n");

  for (const char *text : { "", "# nothing yet\n" })
    {
      std::string document = temporary ("empty.toml", text);

      EXPECT_EQ (run ({ "check", document }), CLI_BAD_INPUT);
      EXPECT_EQ (run ({ "apply", "--settings", settings, "--environment",
                        "trial", document }),
                 CLI_BAD_INPUT);
    }
  EXPECT_EQ (run ({ "check", "examples/document.toml" }), CLI_SUCCESS);
}

/* Guards against an explanation that mixes requests up, loses the calls made
   for one, or leaves out what its nodes learned meanwhile.  */
TEST (Explain, PrintsOneRequestOverAllNodes)
{
  std::string first = temporary (
      "first.jsonl",
      "{\"time\":\"2026-01-14T19:16:38.010Z\",\"module\":\"fwd\",\"node\":"
      "\"n1\",\"event\":\"placed\",\"call\":\"ab\",\"to\":\"n2\"}\n"
      "{\"time\":\"2026-01-14T19:16:38.020Z\",\"module\":\"sdc\",\"node\":"
      "\"n1\",\"message\":\"node n2 is lost\"}\n"
      "{\"time\":\"2026-01-14T19:16:38.030Z\",\"module\":\"fwd\",\"node\":"
      "\"n1\",\"event\":\"refused\",\"call\":\"ab\",\"status\":503}\n"
      "{\"time\":\"2026-01-14T19:16:38.015Z\",\"module\":\"fwd\",\"node\":"
      "\"n1\",\"event\":\"placed\",\"call\":\"abc\"}\n"
      "not a line of ours\n");
  std::string second = temporary (
      "second.jsonl",
      "  32.25 n2 {\"time\":\"2026-01-14T19:16:38.012Z\",\"module\":\"gat\","
      "\"node\":\"n2\",\"event\":\"started\",\"call\":\"ab.1\"}\n"
      "{\"time\":\"2026-01-14T19:17:00.000Z\",\"module\":\"sdc\",\"node\":"
      "\"n2\",\"message\":\"later\"}\n");

  std::string printed;
  EXPECT_EQ (run ({ "explain", "ab", second, first }, &printed), CLI_SUCCESS);
  EXPECT_EQ (printed, "19:16:38.010Z  n1  fwd: placed to=\"n2\"\n"
                      "19:16:38.012Z  n2  gat: started [call 1]\n"
                      "19:16:38.020Z  n1  sdc: node n2 is lost\n"
                      "19:16:38.030Z  n1  fwd: refused status=503\n");
  EXPECT_EQ (run ({ "explain", "unheard-of", first }), CLI_FAILURE);
  EXPECT_EQ (run ({ "explain", "ab", "/nowhere/log" }), CLI_BAD_INPUT);
}

/* Guards against a trace that lists hops in the order of the nodes asked, or
   that leaves out a try.  */
TEST (Trace, ListsCallsInOrderOfTime)
{
  json_t *calls = json_loads (
      "[{\"node\":\"10.0.0.2:9090\",\"begun_ms\":2000,\"service\":\"price\","
      "\"class\":\"repeatable\",\"depth\":2,\"outcome\":\"answered\","
      "\"elapsed_us\":1500,\"tries\":[{\"member\":\"n3\",\"outcome\":"
      "\"not-run\",\"status\":0,\"queries\":1,\"begun_us\":10,"
      "\"elapsed_us\":400},{\"member\":\"n4\",\"outcome\":\"answered\","
      "\"status\":200,\"queries\":0,\"begun_us\":600,\"elapsed_us\":900}]},"
      "{\"node\":\"10.0.0.1:9090\",\"begun_ms\":1000,\"service\":\"\","
      "\"outcome\":\"not-run\",\"elapsed_us\":20,\"tries\":[]}]",
      0, nullptr);
  json_t *sorted = cli_trace_sort (calls);
  struct buf text = {};

  cli_trace_text (sorted, &text);
  EXPECT_STREQ (
      buf_text (&text),
      "1970-01-01 00:00:01 UTC, node at 10.0.0.1:9090: call without a "
      "service: "
      "not-run after 0.020 ms\n"
      "  it was sent to no node\n"
      "1970-01-01 00:00:02 UTC, node at 10.0.0.2:9090: call to service price, "
      "class repeatable, depth 2: answered after 1.500 ms\n"
      "  after 0.010 ms: try 1 at n3: not-run, took 0.400 ms, asked 1 time "
      "what became of it\n"
      "  after 0.600 ms: try 2 at n4: answered, status 200, took 0.900 ms\n");
  buf_close (&text);
  json_decref (sorted);
  json_decref (calls);
  EXPECT_TRUE (cli_trace_is_id ("0000018c2f3b4a5d-7"));
  EXPECT_FALSE (cli_trace_is_id ("0000018c2f3b4a5d-"));
  EXPECT_FALSE (cli_trace_is_id ("0000018c2f3b4a5d-7&id=8"));
}

/* Guards against nested calls that are missing, shown twice, or not below the
   call whose upstream made them, and against a search without an end.  */
TEST (Trace, FollowsNestedCallsOverTheNodes)
{
  const std::string own = "0000000000000001-1";
  const std::string rest
      = "\"class\":\"once\",\"outcome\":\"answered\",\"tries\":[]";
  admin_fixture one, two;
  std::string settings = temporary ("node.toml", "[platform]\n");
  auto call = [&] (std::string id, int begun, std::string service) {
    return "\"id\":\"" + id + "\",\"begun_ms\":" + std::to_string (begun)
           + ",\"service\":\"" + service + "\"," + rest;
  };
  auto trace = [&] {
    std::string printed;

    EXPECT_EQ (run ({ "trace", "--settings", settings, "--id", own, "--node",
                      one.address (), "--node", two.address () },
                    &printed),
               CLI_SUCCESS);
    return printed;
  };

  one.answers[own] = "{" + call (own, 1, "first") + ",\"children\":[{"
                     + call ("0000000000000001-2", 9, "late") + "}]}";
  two.answers[own] = "{\"children\":[{"
                     + call ("0000000000000002-5", 3, "early") + "},{"
                     + call ("0000000000000001-2", 9, "late") + "}]}";
  one.answers["0000000000000002-5"]
      = "{\"children\":[{" + call ("0000000000000001-3", 4, "deep") + "}]}";
  std::string text = trace ();
  std::vector<size_t> places;
  for (const char *line :
       { "\n    1970-01-01 00:00:00 UTC, node at ", "service early",
         "\n        1970-01-01 00:00:00 UTC, node at ", "service deep",
         "service late" })
    places.push_back (text.find (line));
  EXPECT_TRUE (std::is_sorted (places.begin (), places.end ())) << text;
  EXPECT_NE (places.back (), std::string::npos) << text;
  EXPECT_EQ (text.find ("service late"), text.rfind ("service late")) << text;
  one.endless = true;
  two.answers.clear ();
  text = trace ();
  EXPECT_EQ (std::count (text.begin (), text.end (), '\n'), 2 * 9) << text;
}

/* Guards against a history that leaves versions out at a change of tens.  */
TEST (History, ListsTheNewestVersionsInOrder)
{
  memory_platform platform;
  struct cli_session session = {};
  struct cli_versions versions;
  std::string printed;

  for (int i = 0; i < 23; i++)
    ASSERT_EQ (write_document (platform, false, &printed), CLI_SUCCESS);
  std::snprintf (session.environment, sizeof session.environment, "trial");
  session.client = platform.client ();
  ASSERT_EQ (cli_versions_load (&session, 22, 15, &versions), PLT_OK);
  ASSERT_EQ (versions.count, 15u);
  for (size_t i = 0; i < versions.count; i++)
    EXPECT_EQ (versions.configs[i].version, 22 - i);
  cli_versions_close (&versions);
}

/* Guards against a difference that does not lead from one text to the
   other, or that is longer than replacing everything.  */
TEST (Lines, ChangesTurnOneTextIntoTheOther)
{
  struct rnd generator;

  SCOPED_TRACE (test_seed_note (11));
  rnd_init (&generator, 11);
  for (int round = 0; round < 2000; round++)
    {
      std::vector<std::pair<char, std::pair<size_t, std::string> > > changes;
      std::vector<std::string> lines[2];
      std::string text[2];

      for (int side = 0; side < 2; side++)
        for (uint32_t i = rnd_below (&generator, 12); i > 0; i--)
          {
            lines[side].push_back (
                std::string (1, (char)('a' + rnd_below (&generator, 4))));
            text[side] += lines[side].back () + "\n";
          }
      size_t count = cli_lines_compare (text[0].c_str (), text[1].c_str (),
                                        rebuild, &changes);
      ASSERT_EQ (count, changes.size ());
      std::vector<std::string> result = lines[0];
      for (auto change = changes.rbegin (); change != changes.rend ();
           change++)
        if (change->first == '-')
          result.erase (result.begin () + (long)change->second.first - 1);
      for (const auto &change : changes)
        if (change.first == '+')
          result.insert (result.begin () + (long)change.second.first - 1,
                         change.second.second);
      ASSERT_EQ (result, lines[1]) << text[0] << "->\n" << text[1];
      ASSERT_EQ (count == 0, lines[0] == lines[1]);
    }
}
