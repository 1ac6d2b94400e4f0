/* Parsing of a command's arguments.  */

#include "cli/cli_args.h"

#include "base/err.h"

#include <stdio.h>

bool
cli_parse (int count, char **arguments, void **table, struct arg_lit *help,
           struct arg_end *end, const char *explanation,
           enum cli_exit_code *exit)
{
  int faults = arg_parse (count, arguments, table);

  if (help->count > 0)
    {
      printf ("Usage: mulberryshift %s", arguments[0]);
      arg_print_syntax (stdout, table, "\n");
      printf ("%s\n", explanation);
      arg_print_glossary (stdout, table, "  %-28s %s\n");
      *exit = CLI_SUCCESS;
      return false;
    }
  if (faults == 0)
    return true;
  arg_print_errors (stderr, end, arguments[0]);
  fprintf (stderr, "mulberryshift %s --help explains the options.\n",
           arguments[0]);
  *exit = CLI_BAD_INPUT;
  return false;
}

void
cli_report_settings (enum cfg_status status, const struct buf *report,
                     const char *what)
{
  if (status == CFG_UNREADABLE)
    fprintf (stderr, "%s; check the name of the settings file.\n",
             err_last ());
  else
    fprintf (stderr, "%sThe %s was not started: %s.\n", buf_text (report),
             what, err_last ());
}
