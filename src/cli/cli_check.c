/* The command "check".  */

#include "cli/cli_args.h"
#include "cli/cli_document.h"

#include <stdio.h>

static const char explanation[]
    = "Checks a document without the platform and prints every fault with its "
      "line and column.\nWarnings do not make a document invalid.\n\nExample: "
      "mulberryshift check document.toml\n";

static enum cli_exit_code
check_file (const char *file)
{
  struct doc_document *document;
  struct buf text;

  if (!cli_read_document (file, "", &document, &text))
    return CLI_BAD_INPUT;
  printf ("%s is valid: %zu service%s, %zu route%s.\n", file,
          document->service_count, document->service_count == 1 ? "" : "s",
          document->route_count, document->route_count == 1 ? "" : "s");
  doc_destroy (document);
  buf_close (&text);
  return CLI_SUCCESS;
}

enum cli_exit_code
cli_check (int count, char **arguments)
{
  struct arg_file *file = arg_file1 (NULL, NULL, "FILE", "the document");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (10);
  void *table[] = { file, help, end };
  enum cli_exit_code exit;

  if (cli_parse (count, arguments, table, help, end, explanation, &exit))
    exit = check_file (file->filename[0]);
  arg_freetable (table, sizeof table / sizeof *table);
  return exit;
}
