/* Writing a document for the commands apply and promote.  */

#ifndef MULBERRYSHIFT_CLI_CLI_WRITE_H
#define MULBERRYSHIFT_CLI_CLI_WRITE_H

#include "cli/cli_session.h"
#include "plt/plt_write.h"

#ifdef __cplusplus
extern "C"
{
#endif

/* Limits of --timeout, in seconds.  */
#define CLI_TIMEOUT_DEFAULT 30
#define CLI_TIMEOUT_MAX 3600

  struct cli_write
  {
    const char *note;           /* may be null */
    const struct buf *document; /* valid TOML */
    bool wait;                  /* until it is in effect everywhere */
    int timeout;                /* of write and wait, in seconds */
  };

  /* Writes the document to the session's environment and prints what
     happened.  */
  enum cli_exit_code cli_write_document (struct cli_session *session,
                                         const struct cli_write *write);

  /* Returns the exit code of a write's result.  */
  enum cli_exit_code cli_write_exit (enum plt_write_result result);

  /* Returns whether TIMEOUT and NOTE (may be null) are in range; else a
     sentence has been printed.  */
  bool cli_write_check (int timeout, const char *note);

#ifdef __cplusplus
}
#endif

#endif
