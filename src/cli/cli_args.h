/* Parsing of a command's arguments, shared by the commands.  */

#ifndef MULBERRYSHIFT_CLI_CLI_ARGS_H
#define MULBERRYSHIFT_CLI_CLI_ARGS_H

#include "cli/cli.h"

#include "base/buf.h"
#include "cfg/cfg.h"

#include <argtable2.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Parses ARGUMENTS with TABLE, whose entry HELP is --help and whose last
     entry is END.  Returns true when the command should run; else *EXIT is its
     exit code, and help or the faults have been printed.  The help contains
     EXPLANATION, a paragraph and an example.  The caller frees TABLE.  */
  bool cli_parse (int count, char **arguments, void **table,
                  struct arg_lit *help, struct arg_end *end,
                  const char *explanation, enum cli_exit_code *exit);

  /* Prints why settings were not loaded.  WHAT was therefore not started.  */
  void cli_report_settings (enum cfg_status status, const struct buf *report,
                            const char *what);

#ifdef __cplusplus
}
#endif

#endif
