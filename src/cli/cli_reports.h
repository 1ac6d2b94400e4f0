/* The status reports of an environment.  */

#ifndef MULBERRYSHIFT_CLI_CLI_REPORTS_H
#define MULBERRYSHIFT_CLI_CLI_REPORTS_H

#include "cli/cli_session.h"
#include "plt/plt_status_report.h"

#ifdef __cplusplus
extern "C"
{
#endif

/* Reports older than this are not relied on, in ms.  A relay writes at least
   once a minute, so two writes may be lost.  */
#define CLI_REPORT_MAX_AGE_MS 180000

  struct cli_reports
  {
    struct plt_status_report *reports;
    size_t count;
    size_t unreadable; /* objects that are not status reports */
  };

  enum cli_spread
  {
    CLI_SPREAD_EVERYWHERE, /* in effect in every data centre that reports */
    CLI_SPREAD_PENDING,
    CLI_SPREAD_REJECTED /* a data centre found the version invalid */
  };

  /* Reads the reports.  On PLT_OK the caller frees them with
     cli_reports_close.  */
  enum plt_status cli_reports_load (struct cli_session *session,
                                    struct cli_reports *reports);

  /* Frees the reports.  */
  void cli_reports_close (struct cli_reports *reports);

  /* Returns whether REPORT is too old to rely on at WALL_MS.  */
  bool cli_report_is_old (const struct plt_status_report *report,
                          uint64_t wall_ms);

  /* Reports how far VERSION has spread according to the reports that are not
     old, and appends one sentence for each data centre where it is not in
     effect.  Without any such report it is pending.  */
  enum cli_spread cli_reports_spread (const struct cli_reports *reports,
                                      uint64_t version, uint64_t wall_ms,
                                      struct buf *text);

  /* Waits until VERSION is in effect in every data centre that reports.
     Returns CLI_SUCCESS, or CLI_RESULT_UNKNOWN after naming where it is not.
   */
  enum cli_exit_code cli_reports_wait (struct cli_session *session,
                                       uint64_t version, clk_time deadline);

#ifdef __cplusplus
}
#endif

#endif
