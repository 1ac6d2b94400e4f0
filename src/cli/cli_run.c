/* Choice of the command.  */

#include "cli/cli.h"

#include <stdio.h>
#include <string.h>

static const struct cli_command commands[] = {
  { "node", "run a node", cli_node },
  { "sidecar", "run a node on the users' platform", cli_sidecar },
  { "check", "check a document without the platform", cli_check },
  { "apply", "write a document to an environment", cli_apply },
  { "promote", "write one environment's document to another", cli_promote },
  { "status", "show where which version is in effect", cli_status },
  { "history", "list the versions of an environment", cli_history },
  { "show", "print the document of an environment", cli_show },
  { "diff", "compare two versions, or one with a file", cli_diff },
  { "trace", "show the tries of one call", cli_trace },
  { "explain", "show what the logs say of one request", cli_explain },
};

#define COMMAND_COUNT (sizeof commands / sizeof *commands)

static void
print_help (FILE *output)
{
  fprintf (output, "Usage: mulberryshift COMMAND [OPTIONS]\n\nCommands:\n");
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    fprintf (output, "  %-10s %s\n", commands[i].name, commands[i].help);
  fprintf (
      output,
      "\nmulberryshift COMMAND --help explains a command.\n"
      "Exit codes: 0 done, 1 not done and nothing changed, 2 wrong input, "
      "3 somebody else was first, 4 not known.\n");
}

int
cli_run (int count, char **arguments)
{
  if (count < 2)
    {
      fprintf (stderr, "A command is missing.\n\n");
      print_help (stderr);
      return CLI_BAD_INPUT;
    }
  if (strcmp (arguments[1], "--help") == 0)
    {
      print_help (stdout);
      return CLI_SUCCESS;
    }
  if (strcmp (arguments[1], "--version") == 0)
    {
      printf ("mulberryshift %s\n", CLI_VERSION);
      return CLI_SUCCESS;
    }
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    if (strcmp (arguments[1], commands[i].name) == 0)
      return (int)commands[i].run (count - 1, arguments + 1);
  if (arguments[1][0] == '-')
    fprintf (stderr,
             "There is no option \"%s\"; a command comes first, and "
             "mulberryshift --help lists the commands.\n",
             arguments[1]);
  else
    fprintf (stderr,
             "There is no command \"%s\"; mulberryshift --help lists "
             "the commands.\n",
             arguments[1]);
  return CLI_BAD_INPUT;
}
