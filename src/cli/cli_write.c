/* Writing a document for the commands apply and promote.  */

#include "cli/cli_write.h"

#include "base/err.h"
#include "base/rnd.h"
#include "cli/cli_difference.h"
#include "cli/cli_reports.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum cli_exit_code
cli_write_exit (enum plt_write_result result)
{
  static const enum cli_exit_code exits[]
      = { [PLT_WRITE_DONE] = CLI_SUCCESS,
          [PLT_WRITE_NOT_DONE] = CLI_FAILURE,
          [PLT_WRITE_CONFLICT] = CLI_CONFLICT,
          [PLT_WRITE_UNKNOWN] = CLI_RESULT_UNKNOWN };

  return exits[result];
}

bool
cli_write_check (int timeout, const char *note)
{
  struct plt_config config;

  if (timeout < 1 || timeout > CLI_TIMEOUT_MAX)
    {
      fprintf (stderr, "The timeout must be 1 to %d seconds.\n",
               CLI_TIMEOUT_MAX);
      return false;
    }
  if (note == NULL || strlen (note) < sizeof config.note)
    return true;
  fprintf (stderr, "The note is too long; use at most %zu characters.\n",
           sizeof config.note - 1);
  return false;
}

static void
print_conflict (struct cli_session *session,
                const struct plt_write_outcome *outcome,
                const struct buf *document)
{
  struct plt_config found;
  struct buf lines = { 0 };
  char time[CLI_TIME_SIZE];

  if (!outcome->winner_known)
    {
      fprintf (stderr,
               "Nothing was written to %s: somebody else changed it at the "
               "same time. Look at it with \"mulberryshift show\", then apply "
               "again if you still want to.\n",
               session->environment);
      return;
    }
  cli_format_time (outcome->winner_written_at, time);
  fprintf (stderr,
           "Nothing was written to %s: %s wrote version %" PRIu64
           " first, at %s. Compare both, then apply again if you still want "
           "to.\n",
           session->environment, outcome->winner_author,
           outcome->winner_version, time);
  if (cli_read_config (session, 0, &found) != CLI_SUCCESS)
    return;
  cli_difference_text (&found.document, document, &lines);
  fprintf (stderr, "From version %" PRIu64 " to your document:\n%s",
           found.version, buf_text (&lines));
  plt_config_close (&found);
  buf_close (&lines);
}

static void
print_outcome (struct cli_session *session, const struct plt_config *config,
               const struct plt_write_outcome *outcome)
{
  switch (outcome->result)
    {
    case PLT_WRITE_DONE:
      printf ("Version %" PRIu64 " of %s is written.\n", outcome->version,
              session->environment);
      if (outcome->superseded)
        printf ("%s has replaced it by version %" PRIu64 " since.\n",
                outcome->winner_author, outcome->winner_version);
      if (outcome->history_missing)
        printf ("Its history entry could not be written; the next change "
                "writes it.\n");
      break;
    case PLT_WRITE_NOT_DONE:
      fprintf (stderr, "Nothing was written to %s: %s.\n",
               session->environment,
               outcome->cause == PLT_UNKNOWN
                   ? "the platform did not answer in time; try again"
                   : plt_describe (outcome->cause));
      break;
    case PLT_WRITE_CONFLICT:
      print_conflict (session, outcome, &config->document);
      break;
    case PLT_WRITE_UNKNOWN:
      fprintf (stderr,
               "It is not known whether version %" PRIu64
               " of %s was written, "
               "because the platform did not answer. To find out, run: "
               "mulberryshift history --settings %s --environment %s "
               "--change %s\n",
               outcome->version, session->environment, session->settings_file,
               session->environment, config->change_id);
      break;
    }
}

enum cli_exit_code
cli_write_document (struct cli_session *session, const struct cli_write *write)
{
  clk_time deadline = clk_now () + write->timeout * CLK_SECOND;
  struct plt_write_request request = { 0 };
  struct plt_write_outcome outcome;
  enum cli_exit_code exit = CLI_BAD_INPUT;

  request.environment = session->environment;
  request.deadline = deadline;
  request.seed = rnd_system_seed ();
  plt_write_change_id (request.config.change_id);
  snprintf (request.config.author, sizeof request.config.author, "%s",
            session->author);
  snprintf (request.config.note, sizeof request.config.note, "%s",
            write->note != NULL ? write->note : "");
  request.config.written_at = clk_wall_ms ();
  buf_append (&request.config.document, buf_text (write->document),
              write->document->length);
  if (plt_write_run (&session->client, &request, NULL, &outcome) != PLT_OK)
    fprintf (stderr, "Nothing was written to %s: %s.\n", session->environment,
             err_last ());
  else
    {
      print_outcome (session, &request.config, &outcome);
      exit = cli_write_exit (outcome.result);
    }
  plt_config_close (&request.config);
  if (exit == CLI_SUCCESS && write->wait)
    {
      fflush (stdout);
      exit = cli_reports_wait (session, outcome.version, deadline);
    }
  return exit;
}
