/* Command line.  */

#ifndef MULBERRYSHIFT_CLI_CLI_H
#define MULBERRYSHIFT_CLI_CLI_H

#ifdef __cplusplus
extern "C"
{
#endif

#define CLI_VERSION "0.1.0"

  /* Exit codes of every command.  */
  enum cli_exit_code
  {
    CLI_SUCCESS = 0,
    CLI_FAILURE = 1,       /* and nothing changed */
    CLI_BAD_INPUT = 2,     /* arguments, document or settings */
    CLI_CONFLICT = 3,      /* another writer was first */
    CLI_RESULT_UNKNOWN = 4 /* the result is not known */
  };

  /* One command.  RUN gets the arguments after the program's name, so that
     ARGUMENTS[0] is the command's name.  */
  struct cli_command
  {
    const char *name;
    const char *help;
    enum cli_exit_code (*run) (int count, char **arguments);
  };

  struct ptf_platform;

  /* Sets which platform the command "sidecar" speaks to.  */
  void cli_set_platform (const struct ptf_platform *platform);

  /* Runs the command named by ARGUMENTS[1].  Returns the exit code.  */
  int cli_run (int count, char **arguments);

  enum cli_exit_code cli_node (int count, char **arguments);
  enum cli_exit_code cli_sidecar (int count, char **arguments);
  enum cli_exit_code cli_check (int count, char **arguments);
  enum cli_exit_code cli_apply (int count, char **arguments);
  enum cli_exit_code cli_promote (int count, char **arguments);
  enum cli_exit_code cli_status (int count, char **arguments);
  enum cli_exit_code cli_history (int count, char **arguments);
  enum cli_exit_code cli_show (int count, char **arguments);
  enum cli_exit_code cli_diff (int count, char **arguments);
  enum cli_exit_code cli_trace (int count, char **arguments);
  enum cli_exit_code cli_explain (int count, char **arguments);

#ifdef __cplusplus
}
#endif

#endif
