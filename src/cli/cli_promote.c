/* The command "promote".  */

#include "cli/cli_args.h"
#include "cli/cli_write.h"
#include "doc/doc.h"

#include <inttypes.h>
#include <stdio.h>

static const char explanation[]
    = "Writes the document that is in one environment, byte for byte, to "
      "another one, usually\nfrom trial to production. With --wait the "
      "command ends when every node of the other\nenvironment has the "
      "version.\n\nExample: mulberryshift promote --settings operator.toml "
      "--from trial --to production --wait\n";

static enum cli_exit_code
promote_config (struct cli_session *to, struct cli_write write,
                const char *from, const struct plt_config *config)
{
  struct doc_document *document = NULL;
  struct buf report = { 0 };
  char note[256];
  enum cli_exit_code exit = CLI_BAD_INPUT;

  snprintf (note, sizeof note, "promoted from version %" PRIu64 " of %s",
            config->version, from);
  write.note = note;
  write.document = &config->document;
  if (doc_parse (from, buf_text (&config->document), config->document.length,
                 &document, &report)
      == DOC_OK)
    {
      fputs (buf_text (&report), stderr);
      exit = cli_write_document (to, &write);
    }
  else
    fprintf (stderr, "%sNothing was written: the document of %s has faults.\n",
             buf_text (&report), from);
  doc_destroy (document);
  buf_close (&report);
  return exit;
}

static enum cli_exit_code
promote (const char *settings, const char *from_name, const char *to_name,
         struct cli_write write)
{
  struct cli_session from;
  struct cli_session to;
  struct plt_config config;
  enum cli_exit_code exit = cli_session_open (settings, from_name, &from);

  if (exit != CLI_SUCCESS)
    return exit;
  exit = cli_session_open (settings, to_name, &to);
  if (exit == CLI_SUCCESS)
    {
      exit = cli_read_config (&from, 0, &config);
      if (exit == CLI_SUCCESS)
        {
          exit = promote_config (&to, write, from_name, &config);
          plt_config_close (&config);
        }
      cli_session_close (&to);
    }
  cli_session_close (&from);
  return exit;
}

enum cli_exit_code
cli_promote (int count, char **arguments)
{
  struct arg_file *settings
      = arg_file1 (NULL, "settings", "FILE", "settings with the platform");
  struct arg_str *from
      = arg_str1 (NULL, "from", "NAME", "environment to read, usually trial");
  struct arg_str *to = arg_str1 (NULL, "to", "NAME", "environment to write");
  struct arg_lit *wait
      = arg_lit0 (NULL, "wait", "wait until it is in effect on every node");
  struct arg_int *timeout = arg_int0 (NULL, "timeout", "SECONDS",
                                      "longest time to take (default 30)");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (10);
  void *table[] = { settings, from, to, wait, timeout, help, end };
  enum cli_exit_code exit;

  if (cli_parse (count, arguments, table, help, end, explanation, &exit))
    {
      struct cli_write write = { 0 };

      write.wait = wait->count > 0;
      write.timeout
          = timeout->count > 0 ? timeout->ival[0] : CLI_TIMEOUT_DEFAULT;
      exit = CLI_BAD_INPUT;
      if (cli_write_check (write.timeout, NULL))
        exit = promote (settings->filename[0], from->sval[0], to->sval[0],
                        write);
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return exit;
}
