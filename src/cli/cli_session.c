/* What the operator's commands share.  */

#include "cli/cli_session.h"

#include "base/err.h"
#include "base/file.h"
#include "toml/toml.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

bool
cli_is_name (const char *name)
{
  size_t length = strlen (name);

  if (length == 0 || length >= CLI_NAME_SIZE)
    return false;
  for (const char *c = name; *c != '\0'; c++)
    if (!isalnum ((unsigned char)*c) && strchr ("-_.", *c) == NULL)
      return false;
  return true;
}

bool
cli_parse_version (const char *text, uint64_t *version)
{
  char *end = NULL;

  errno = 0;
  *version = strtoull (text, &end, 10);
  if (isdigit ((unsigned char)text[0]) && *end == '\0' && errno == 0
      && *version > 0 && *version <= PLT_VERSION_MAX)
    return true;
  fprintf (stderr,
           "\"%s\" is not a version; versions are whole numbers from 1 on, "
           "and \"mulberryshift history\" lists them.\n",
           text);
  return false;
}

void
cli_format_time (uint64_t wall_ms, char text[CLI_TIME_SIZE])
{
  time_t seconds = (time_t)(wall_ms / 1000);
  struct tm parts;

  if (gmtime_r (&seconds, &parts) == NULL
      || strftime (text, CLI_TIME_SIZE, "%Y-%m-%d %H:%M:%S UTC", &parts) == 0)
    snprintf (text, CLI_TIME_SIZE, "an unknown time");
}

/* Copies the text TABLE.KEY if it is there.  Returns false with a printed
   fault when it is not a text of 1 to SIZE - 1 bytes.  */
static bool
take_text (const struct toml_node *root, const char *file, const char *table,
           const char *key, char *place, size_t size)
{
  const struct toml_node *node = toml_get (root, table);
  const struct toml_node *value = NULL;

  if (node != NULL && node->kind == TOML_TABLE)
    value = toml_get (node, key);
  if (value == NULL)
    return true;
  if (value->kind == TOML_STRING && value->string[0] != '\0'
      && strlen (value->string) < size)
    {
      snprintf (place, size, "%s", value->string);
      return true;
    }
  fprintf (stderr,
           "%s:%u:%u: [%s] %s must be a text in quotes of 1 to %zu "
           "characters; correct it and try again.\n",
           file, value->line, value->column, table, key, size - 1);
  return false;
}

/* Returns the settings as a tree, or null with a printed fault.  */
static struct toml_node *
parse_settings (const char *file)
{
  struct toml_node *root = NULL;
  struct toml_error error;
  struct buf text = { 0 };

  if (!file_read (file, &text))
    fprintf (stderr, "%s; check the name of the settings file.\n",
             err_last ());
  else if (toml_parse (buf_text (&text), text.length, &root, &error)
           != TOML_OK)
    fprintf (stderr, "%s:%u:%u: %s; correct it and try again.\n", file,
             error.line, error.column, error.message);
  buf_close (&text);
  return root;
}

bool
cli_read_setting (const char *file, const char *table, const char *key,
                  char *place, size_t size)
{
  struct toml_node *root = parse_settings (file);
  bool valid = root != NULL && take_text (root, file, table, key, place, size);

  toml_destroy (root);
  return valid;
}

static bool
load_settings (const char *file, struct cli_session *session)
{
  struct toml_node *root = parse_settings (file);
  bool valid = false;

  if (root != NULL
      && take_text (root, file, "platform", "url", session->platform_url,
                    sizeof session->platform_url)
      && take_text (root, file, "operator", "name", session->author,
                    sizeof session->author))
    {
      valid = session->platform_url[0] != '\0';
      if (!valid)
        fprintf (stderr,
                 "%s: the platform's address is missing; add a table "
                 "[platform] with url = \"http://...\".\n",
                 file);
    }
  toml_destroy (root);
  return valid;
}

enum cli_exit_code
cli_session_open (const char *settings_file, const char *environment,
                  struct cli_session *session)
{
  const char *user = getenv ("USER"); /* NOLINT(concurrency-mt-unsafe) */

  memset (session, 0, sizeof *session);
  session->settings_file = settings_file;
  if (!cli_is_name (environment))
    {
      fprintf (stderr,
               "\"%s\" cannot be the name of an environment; use letters, "
               "digits, \"-\", \"_\" and \".\", at most %d.\n",
               environment, CLI_NAME_SIZE - 1);
      return CLI_BAD_INPUT;
    }
  snprintf (session->environment, sizeof session->environment, "%s",
            environment);
  snprintf (session->author, sizeof session->author, "%s",
            user != NULL && strlen (user) < sizeof session->author
                ? user
                : "unknown");
  if (!load_settings (settings_file, session))
    return CLI_BAD_INPUT;
  session->client = plt_open_http (session->platform_url);
  return CLI_SUCCESS;
}

void
cli_session_close (struct cli_session *session)
{
  plt_close (&session->client);
}

enum cli_exit_code
cli_read_failed (const struct cli_session *session, enum plt_status status)
{
  /* A read changes nothing, so its lost response is not an unknown result. */
  fprintf (stderr, "The platform at %s could not be read: %s.\n",
           session->platform_url,
           status == PLT_UNKNOWN ? "it did not answer; try again"
                                 : plt_describe (status));
  return CLI_FAILURE;
}

enum cli_exit_code
cli_read_config (struct cli_session *session, uint64_t version,
                 struct plt_config *config)
{
  struct plt_object object;
  enum plt_status status;
  char key[PLT_KEY_SIZE];

  memset (config, 0, sizeof *config);
  if (version == 0)
    plt_config_key (session->environment, key);
  else
    plt_config_history_key (session->environment, version, key);
  status = session->client.operations->get (
      session->client.state, key, clk_now () + CLI_READ_LIMIT, &object);
  if (status == PLT_OK)
    status = plt_config_decode (buf_text (&object.value), object.value.length,
                                config);
  plt_object_close (&object);
  if (status == PLT_OK)
    return CLI_SUCCESS;
  if (status != PLT_NOT_FOUND)
    return cli_read_failed (session, status);
  if (version == 0)
    fprintf (stderr,
             "The environment %s has no document yet; write one with "
             "\"mulberryshift apply\".\n",
             session->environment);
  else
    fprintf (stderr,
             "Version %" PRIu64
             " of %s is not in the history; \"mulberryshift "
             "history\" lists the versions.\n",
             version, session->environment);
  return CLI_FAILURE;
}
