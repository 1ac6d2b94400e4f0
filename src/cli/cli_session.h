/* What the operator's commands share: settings, environment, client.  */

#ifndef MULBERRYSHIFT_CLI_CLI_SESSION_H
#define MULBERRYSHIFT_CLI_CLI_SESSION_H

#include "base/buf.h"
#include "cli/cli.h"
#include "plt/plt.h"
#include "plt/plt_config.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define CLI_NAME_SIZE 64
#define CLI_TIME_SIZE 32

/* Bound of a single read.  */
#define CLI_READ_LIMIT (5 * CLK_SECOND)

  struct cli_session
  {
    const char *settings_file;
    char environment[CLI_NAME_SIZE];
    char platform_url[256];
    char author[CLI_NAME_SIZE];
    struct plt_client client;
  };

  /* Reads [platform] url and the optional [operator] name of SETTINGS_FILE,
     which may hold other tables, checks ENVIRONMENT and opens the client.
     Without a name the author is $USER.  Returns CLI_SUCCESS, and the caller
     closes the session; else the faults have been printed.  */
  enum cli_exit_code cli_session_open (const char *settings_file,
                                       const char *environment,
                                       struct cli_session *session);

  /* Copies the text KEY of TABLE from the settings FILE to PLACE, which stays
     as it is when the file has no such key.  Returns false with a printed
     fault when the file cannot be read or the value is not a text of 1 to
     SIZE - 1 bytes.  */
  bool cli_read_setting (const char *file, const char *table, const char *key,
                         char *place, size_t size);

  /* Closes the client.  */
  void cli_session_close (struct cli_session *session);

  /* Returns whether NAME can be an environment: 1 to 63 letters, digits, "-",
     "_" or ".".  */
  bool cli_is_name (const char *name);

  /* Reads the configuration in the platform, or one from the history when
     VERSION is not 0.  Returns CLI_SUCCESS, and the caller frees CONFIG with
     plt_config_close; else a sentence has been printed.  */
  enum cli_exit_code cli_read_config (struct cli_session *session,
                                      uint64_t version,
                                      struct plt_config *config);

  /* Prints why a read failed and returns the exit code.  */
  enum cli_exit_code cli_read_failed (const struct cli_session *session,
                                      enum plt_status status);

  /* Parses a version of 1 or more.  Returns false with a printed sentence when
     TEXT is anything else.  */
  bool cli_parse_version (const char *text, uint64_t *version);

  /* Writes "2026-01-31 12:00:00 UTC" for ms since the epoch.  */
  void cli_format_time (uint64_t wall_ms, char text[CLI_TIME_SIZE]);

#ifdef __cplusplus
}
#endif

#endif
