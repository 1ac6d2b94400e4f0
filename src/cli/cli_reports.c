/* The status reports of an environment.  */

#include "cli/cli_reports.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Pause between two reads of the reports while waiting; relays write at most
   once a second.  */
#define POLL_INTERVAL (500 * CLK_MILLISECOND)

enum plt_status
cli_reports_load (struct cli_session *session, struct cli_reports *reports)
{
  char prefix[PLT_KEY_SIZE];
  struct plt_list list;
  enum plt_status status;

  memset (reports, 0, sizeof *reports);
  plt_status_report_key (session->environment, "", prefix);
  status = session->client.operations->list (
      session->client.state, prefix, clk_now () + CLI_READ_LIMIT, &list);
  if (status != PLT_OK)
    return status;
  reports->reports = calloc (list.count + 1, sizeof *reports->reports);
  if (reports->reports == NULL)
    abort ();
  for (size_t i = 0; i < list.count; i++)
    if (plt_status_report_decode (buf_text (&list.objects[i].value),
                                  list.objects[i].value.length,
                                  &reports->reports[reports->count])
        == PLT_OK)
      reports->count++;
    else
      reports->unreadable++;
  plt_list_close (&list);
  return PLT_OK;
}

void
cli_reports_close (struct cli_reports *reports)
{
  free (reports->reports);
  memset (reports, 0, sizeof *reports);
}

bool
cli_report_is_old (const struct plt_status_report *report, uint64_t wall_ms)
{
  return report->written_at + CLI_REPORT_MAX_AGE_MS < wall_ms;
}

enum cli_spread
cli_reports_spread (const struct cli_reports *reports, uint64_t version,
                    uint64_t wall_ms, struct buf *text)
{
  enum cli_spread spread = CLI_SPREAD_EVERYWHERE;
  size_t recent = 0;

  for (size_t i = 0; i < reports->count; i++)
    {
      const struct plt_status_report *report = &reports->reports[i];

      if (cli_report_is_old (report, wall_ms))
        continue;
      recent++;
      if (report->lowest_version >= version)
        continue;
      if (report->rejected_version == version)
        {
          buf_printf (text, "%s rejected version %" PRIu64 ": %s.\n",
                      report->data_centre, version, report->rejected_reason);
          spread = CLI_SPREAD_REJECTED;
          continue;
        }
      if (spread == CLI_SPREAD_EVERYWHERE)
        spread = CLI_SPREAD_PENDING;
      buf_printf (text,
                  "Version %" PRIu64 " is not yet in effect on every node of "
                  "%s; the lowest version there is %" PRIu64 ".\n",
                  version, report->data_centre, report->lowest_version);
    }
  if (recent > 0)
    return spread;
  buf_printf (text, "No data centre has reported in the last %d minutes.\n",
              CLI_REPORT_MAX_AGE_MS / 60000);
  return CLI_SPREAD_PENDING;
}

static void
pause_until (clk_time until)
{
  struct timespec time = clk_to_timespec (until);

  clock_nanosleep (CLOCK_MONOTONIC, TIMER_ABSTIME, &time, NULL);
}

/* Names the data centres whose reports are too old to tell.  */
static void
print_old (const struct cli_reports *reports)
{
  char time[CLI_TIME_SIZE];

  for (size_t i = 0; i < reports->count; i++)
    if (cli_report_is_old (&reports->reports[i], clk_wall_ms ()))
      {
        cli_format_time (reports->reports[i].written_at, time);
        printf ("%s was left out: it has not reported since %s.\n",
                reports->reports[i].data_centre, time);
      }
}

enum cli_exit_code
cli_reports_wait (struct cli_session *session, uint64_t version,
                  clk_time deadline)
{
  enum cli_spread spread = CLI_SPREAD_PENDING;
  struct cli_reports reports;
  struct buf text = { 0 };

  for (;;)
    {
      enum plt_status status = cli_reports_load (session, &reports);

      text.length = 0;
      if (status == PLT_OK)
        spread = cli_reports_spread (&reports, version, clk_wall_ms (), &text);
      else
        buf_printf (&text, "The status could not be read: %s.\n",
                    plt_describe (status));
      if (spread == CLI_SPREAD_EVERYWHERE)
        print_old (&reports);
      cli_reports_close (&reports);
      if (spread != CLI_SPREAD_PENDING || clk_now () >= deadline)
        break;
      pause_until (clk_now () + POLL_INTERVAL);
    }
  if (spread == CLI_SPREAD_EVERYWHERE)
    printf ("Version %" PRIu64 " of %s is in effect on every node.\n", version,
            session->environment);
  else
    fprintf (stderr,
             "Version %" PRIu64 " of %s is accepted, but not in effect "
             "everywhere:\n%sTo look again, run: mulberryshift status "
             "--settings %s --environment %s\n",
             version, session->environment, buf_text (&text),
             session->settings_file, session->environment);
  buf_close (&text);
  return spread == CLI_SPREAD_EVERYWHERE ? CLI_SUCCESS : CLI_RESULT_UNKNOWN;
}
