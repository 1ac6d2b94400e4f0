/* The command "apply".  */

#include "cli/cli_args.h"
#include "cli/cli_document.h"
#include "cli/cli_write.h"

#include <stdio.h>

static const char explanation[]
    = "Checks the document and writes it to an environment as its next "
      "version. Nothing is\nwritten when the document has a fault or somebody "
      "else writes at the same time. With\n--wait the command ends when every "
      "node has the version.\n\nExample: mulberryshift apply --settings "
      "operator.toml --environment trial --wait document.toml\n";

static enum cli_exit_code
apply_file (struct cli_session *session, struct cli_write write,
            const char *file)
{
  struct doc_document *document;
  struct buf text;
  enum cli_exit_code exit;

  if (!cli_read_document (file,
                          "Nothing was written: correct the document "
                          "first.\n",
                          &document, &text))
    return CLI_BAD_INPUT;
  write.document = &text;
  exit = cli_write_document (session, &write);
  doc_destroy (document);
  buf_close (&text);
  return exit;
}

enum cli_exit_code
cli_apply (int count, char **arguments)
{
  struct arg_file *settings
      = arg_file1 (NULL, "settings", "FILE", "settings with the platform");
  struct arg_str *environment = arg_str1 (NULL, "environment", "NAME",
                                          "environment, for example trial");
  struct arg_lit *wait
      = arg_lit0 (NULL, "wait", "wait until it is in effect on every node");
  struct arg_str *note = arg_str0 (NULL, "note", "TEXT", "why it is changed");
  struct arg_int *timeout = arg_int0 (NULL, "timeout", "SECONDS",
                                      "longest time to take (default 30)");
  struct arg_file *file = arg_file1 (NULL, NULL, "FILE", "the document");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (10);
  void *table[]
      = { settings, environment, wait, note, timeout, file, help, end };
  struct cli_session session;
  enum cli_exit_code exit;

  if (cli_parse (count, arguments, table, help, end, explanation, &exit))
    {
      struct cli_write write = { 0 };

      write.note = note->count > 0 ? note->sval[0] : NULL;
      write.wait = wait->count > 0;
      write.timeout
          = timeout->count > 0 ? timeout->ival[0] : CLI_TIMEOUT_DEFAULT;
      exit = CLI_BAD_INPUT;
      if (cli_write_check (write.timeout, write.note))
        exit = cli_session_open (settings->filename[0], environment->sval[0],
                                 &session);
      if (exit == CLI_SUCCESS)
        {
          exit = apply_file (&session, write, file->filename[0]);
          cli_session_close (&session);
        }
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return exit;
}
