/* The command "sidecar".  */

#include "base/log.h"
#include "cfg/cfg_sidecar.h"
#include "cli/cli_args.h"
#include "sdc/sdc.h"

#include <stdio.h>

static const char explanation[]
    = "Runs a node on the users' platform, beside an upstream, until SIGTERM "
      "or SIGINT asks it\nto stop; it then finishes the running requests.  "
      "SIGHUP, and a change of the file,\nreads the settings again.\n\n"
      "Example: mulberryshift sidecar --settings sidecar.toml\n";

static const struct ptf_platform *users_platform;

void
cli_set_platform (const struct ptf_platform *platform)
{
  users_platform = platform;
}

static void
print_settings (const struct cfg_sidecar *settings)
{
  struct buf text = { 0 };

  cfg_print_sidecar (settings, &text);
  fputs (buf_text (&text), stdout);
  buf_close (&text);
}

static enum cli_exit_code
run_with (const char *file, bool print)
{
  struct cfg_sidecar settings;
  struct buf report = { 0 };
  enum cfg_status status = cfg_load_sidecar (file, &settings, &report);
  enum cli_exit_code exit = CLI_BAD_INPUT;

  if (status != CFG_OK)
    cli_report_settings (status, &report, "sidecar");
  else if (print)
    {
      print_settings (&settings);
      exit = CLI_SUCCESS;
    }
  else
    {
      log_init (settings.name, settings.data_centre,
                (enum log_level)settings.log_level);
      exit = sdc_run (&settings, file, users_platform) == 0 ? CLI_SUCCESS
                                                            : CLI_FAILURE;
      log_close ();
    }
  buf_close (&report);
  return exit;
}

enum cli_exit_code
cli_sidecar (int count, char **arguments)
{
  struct arg_file *file = arg_file1 (NULL, "settings", "FILE",
                                     "settings of this sidecar, in TOML");
  struct arg_lit *print = arg_lit0 (NULL, "print-settings",
                                    "print the settings in effect and stop");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (10);
  void *table[] = { file, print, help, end };
  enum cli_exit_code exit;

  if (cli_parse (count, arguments, table, help, end, explanation, &exit))
    exit = run_with (file->filename[0], print->count > 0);
  arg_freetable (table, sizeof table / sizeof *table);
  return exit;
}
