/* The command "node".  */

#include "base/err.h"
#include "base/log.h"
#include "cfg/cfg.h"
#include "cli/cli_args.h"
#include "node/node.h"

#include <stdio.h>
#include <string.h>

static const char explanation[]
    = "Runs a node until SIGTERM or SIGINT asks it to stop; it then finishes "
      "the running calls.\nSIGHUP reads the log level again.\n\nExample: "
      "mulberryshift node --settings node.toml\n";

static enum cli_exit_code
run_with (const char *file, bool print)
{
  struct cfg_settings settings;
  struct buf report = { 0 };
  enum cfg_status status = cfg_load (file, &settings, &report);
  enum cli_exit_code exit = CLI_SUCCESS;

  if (status != CFG_OK)
    {
      cli_report_settings (status, &report, "node");
      buf_close (&report);
      return CLI_BAD_INPUT;
    }
  if (print)
    {
      cfg_print (&settings, &report);
      fputs (buf_text (&report), stdout);
    }
  else
    {
      log_init (settings.name, settings.data_centre,
                (enum log_level)settings.log_level);
      exit = node_run (&settings, file) == 0 ? CLI_SUCCESS : CLI_FAILURE;
      log_close ();
    }
  buf_close (&report);
  return exit;
}

/* Prints docs/settings.md; not in the help, as only the project needs it.  */
static enum cli_exit_code
print_reference (void)
{
  struct buf text = { 0 };

  cfg_print_reference (&text);
  fputs (buf_text (&text), stdout);
  buf_close (&text);
  return CLI_SUCCESS;
}

enum cli_exit_code
cli_node (int count, char **arguments)
{
  struct arg_file *file
      = arg_file1 (NULL, "settings", "FILE", "settings of this node, in TOML");
  struct arg_lit *print = arg_lit0 (NULL, "print-settings",
                                    "print the settings in effect and stop");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (10);
  void *table[] = { file, print, help, end };
  enum cli_exit_code exit;

  if (count == 2 && strcmp (arguments[1], "--settings-reference") == 0)
    exit = print_reference ();
  else if (cli_parse (count, arguments, table, help, end, explanation, &exit))
    exit = run_with (file->filename[0], print->count > 0);
  arg_freetable (table, sizeof table / sizeof *table);
  return exit;
}
