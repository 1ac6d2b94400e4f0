/* The command "show".  */

#include "cli/cli_args.h"
#include "cli/cli_json.h"
#include "cli/cli_session.h"

#include <stdio.h>

static const char explanation[]
    = "Prints the document of an environment exactly as it was written, or an "
      "older version of it.\n\nExample: mulberryshift show --settings "
      "operator.toml --environment trial --version 3\n";

static enum cli_exit_code
print_document (struct cli_session *session, uint64_t version, bool json)
{
  struct plt_config config;
  enum cli_exit_code exit = cli_read_config (session, version, &config);

  if (exit != CLI_SUCCESS)
    return exit;
  if (json)
    cli_json_print (cli_json_config (&config, true));
  else
    fwrite (buf_text (&config.document), 1, config.document.length, stdout);
  plt_config_close (&config);
  return CLI_SUCCESS;
}

enum cli_exit_code
cli_show (int count, char **arguments)
{
  struct arg_file *settings
      = arg_file1 (NULL, "settings", "FILE", "settings with the platform");
  struct arg_str *environment = arg_str1 (NULL, "environment", "NAME",
                                          "environment, for example trial");
  struct arg_str *version
      = arg_str0 (NULL, "version", "N", "version (default: the newest)");
  struct arg_lit *json
      = arg_lit0 (NULL, "json", "print JSON with author, time and note");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (10);
  void *table[] = { settings, environment, version, json, help, end };
  struct cli_session session;
  uint64_t number = 0;
  enum cli_exit_code exit;

  if (cli_parse (count, arguments, table, help, end, explanation, &exit))
    {
      exit = CLI_BAD_INPUT;
      if (version->count == 0 || cli_parse_version (version->sval[0], &number))
        exit = cli_session_open (settings->filename[0], environment->sval[0],
                                 &session);
      if (exit == CLI_SUCCESS)
        {
          exit = print_document (&session, number, json->count > 0);
          cli_session_close (&session);
        }
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return exit;
}
