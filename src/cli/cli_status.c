/* The command "status".  */

#include "cli/cli_args.h"
#include "cli/cli_json.h"
#include "cli/cli_reports.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

static const char explanation[]
    = "Shows for each data centre which version is in effect, on how many "
      "nodes and since when,\nand why a version was rejected. A report older "
      "than 3 minutes is marked, because the\ndata centre may be cut off.\n\n"
      "Example: mulberryshift status --settings operator.toml --environment "
      "trial\n";

static void
print_unreachable (const struct plt_status_report *report)
{
  if (report->unreachable_count == 0)
    return;
  printf ("    not reachable:");
  for (size_t i = 0; i < report->unreachable_count; i++)
    printf (" %s", report->unreachable[i]);
  printf ("\n");
}

/* Prints the reason line by line; nodes shorten long ones.  A rejection is
   over when every node holds a higher version.  */
static void
print_rejection (const struct plt_status_report *report)
{
  const char *reason = report->rejected_reason;

  if (report->rejected_version <= report->lowest_version)
    return;
  printf ("    version %" PRIu64
          " was rejected; \"mulberryshift check\" prints "
          "every fault of a document:\n",
          report->rejected_version);
  while (*reason != '\0')
    {
      size_t length = strcspn (reason, "\n");

      printf ("      %.*s\n", (int)length, reason);
      reason += length + (reason[length] == '\n' ? 1 : 0);
    }
}

static void
print_report (const struct plt_status_report *report, uint64_t wall_ms)
{
  char time[CLI_TIME_SIZE];

  printf ("  %s (%s): ", report->data_centre, report->region);
  if (report->highest_version == 0)
    printf ("no version is in effect on any node (%" PRIu64 ")",
            report->members);
  else if (report->lowest_version == report->highest_version)
    printf ("version %" PRIu64 " is in effect on all nodes (%" PRIu64 ")",
            report->highest_version, report->members);
  else
    printf ("version %" PRIu64 " is in effect on %" PRIu64 " of %" PRIu64
            " nodes, the lowest version is %" PRIu64,
            report->highest_version, report->at_highest, report->members,
            report->lowest_version);
  if (report->since != 0)
    {
      cli_format_time (report->since, time);
      printf (", since %s", time);
    }
  printf (".\n");
  print_rejection (report);
  if (report->forked)
    printf ("    two different documents with one version number were seen; "
            "apply the right one again.\n");
  print_unreachable (report);
  if (cli_report_is_old (report, wall_ms))
    {
      cli_format_time (report->written_at, time);
      printf ("    this report is old, from %s; the data centre may be cut "
              "off.\n",
              time);
    }
}

static void
print_text (const struct cli_session *session, const struct plt_config *config,
            const struct cli_reports *reports)
{
  char time[CLI_TIME_SIZE];

  cli_format_time (config->written_at, time);
  printf ("Version %" PRIu64 " of %s was written by %s at %s.\n",
          config->version, session->environment, config->author, time);
  for (size_t i = 0; i < reports->count; i++)
    print_report (&reports->reports[i], clk_wall_ms ());
  if (reports->count == 0)
    printf ("  No data centre has reported yet.\n");
  if (reports->unreadable > 0)
    printf ("  %zu reports cannot be understood and are left out.\n",
            reports->unreadable);
}

static void
print_json (const struct cli_session *session, const struct plt_config *config,
            const struct cli_reports *reports)
{
  json_t *root = cli_json_config (config, false);
  json_t *list = json_array ();

  json_object_set_new (root, "environment",
                       json_string (session->environment));
  for (size_t i = 0; i < reports->count; i++)
    json_array_append_new (
        list, cli_json_report (&reports->reports[i], clk_wall_ms ()));
  json_object_set_new (root, "data_centres", list);
  json_object_set_new (root, "unreadable_reports",
                       json_integer ((json_int_t)reports->unreadable));
  cli_json_print (root);
}

static enum cli_exit_code
print_status (struct cli_session *session, bool json)
{
  struct cli_reports reports;
  struct plt_config config;
  enum plt_status status;
  enum cli_exit_code exit = cli_read_config (session, 0, &config);

  if (exit != CLI_SUCCESS)
    return exit;
  status = cli_reports_load (session, &reports);
  if (status != PLT_OK)
    exit = cli_read_failed (session, status);
  else if (json)
    print_json (session, &config, &reports);
  else
    print_text (session, &config, &reports);
  cli_reports_close (&reports);
  plt_config_close (&config);
  return exit;
}

enum cli_exit_code
cli_status (int count, char **arguments)
{
  struct arg_file *settings
      = arg_file1 (NULL, "settings", "FILE", "settings with the platform");
  struct arg_str *environment = arg_str1 (NULL, "environment", "NAME",
                                          "environment, for example trial");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (10);
  void *table[] = { settings, environment, json, help, end };
  struct cli_session session;
  enum cli_exit_code exit;

  if (cli_parse (count, arguments, table, help, end, explanation, &exit))
    {
      exit = cli_session_open (settings->filename[0], environment->sval[0],
                               &session);
      if (exit == CLI_SUCCESS)
        {
          exit = print_status (&session, json->count > 0);
          cli_session_close (&session);
        }
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return exit;
}
