/* The command "diff".  */

#include "base/err.h"
#include "base/file.h"
#include "cli/cli_args.h"
#include "cli/cli_difference.h"
#include "cli/cli_json.h"
#include "cli/cli_versions.h"

#include <inttypes.h>
#include <stdio.h>

static const char explanation[]
    = "Prints what differs. With a file it compares the "
      "environment's "
      "document with the\nfile; else the version before the newest one with "
      "the newest, or the versions given with\n--from and --to.\n\nExample: "
      "mulberryshift diff --settings operator.toml --environment trial "
      "document.toml\n";

/* The two texts; VERSION 0 is a file.  */
struct pair
{
  uint64_t from;
  uint64_t to;
  struct buf before;
  struct buf after;
};

static void
move_document (struct plt_config *config, uint64_t *version, struct buf *text)
{
  *version = config->version;
  *text = config->document;
  buf_init (&config->document);
}

/* Reads the newest version in the history below VERSION; an empty text stands
   for the time before the first one.  */
static enum cli_exit_code
read_previous (struct cli_session *session, uint64_t version,
               struct pair *pair)
{
  struct cli_versions versions;
  enum plt_status status
      = cli_versions_load (session, version - 1, 1, &versions);

  if (status != PLT_OK)
    return cli_read_failed (session, status);
  if (versions.count > 0)
    move_document (&versions.configs[0], &pair->from, &pair->before);
  cli_versions_close (&versions);
  return CLI_SUCCESS;
}

static enum cli_exit_code
read_pair (struct cli_session *session, const char *file, struct pair *pair)
{
  struct plt_config config;
  enum cli_exit_code exit;

  if (file != NULL && !file_read (file, &pair->after))
    {
      fprintf (stderr, "%s; check the name of the document.\n", err_last ());
      return CLI_BAD_INPUT;
    }
  if (file == NULL)
    {
      exit = cli_read_config (session, pair->to, &config);
      if (exit != CLI_SUCCESS)
        return exit;
      move_document (&config, &pair->to, &pair->after);
      if (pair->from == 0)
        return read_previous (session, pair->to, pair);
    }
  exit = cli_read_config (session, pair->from, &config);
  if (exit == CLI_SUCCESS)
    move_document (&config, &pair->from, &pair->before);
  return exit;
}

static void
print_json (const struct pair *pair, const char *file)
{
  json_t *root = cli_difference_json (&pair->before, &pair->after);

  json_object_set_new (root, "from", json_integer ((json_int_t)pair->from));
  json_object_set_new (root, "to",
                       file != NULL ? json_string (file)
                                    : json_integer ((json_int_t)pair->to));
  cli_json_print (root);
}

static void
print_text (const struct pair *pair, const char *file)
{
  struct buf lines = { 0 };

  cli_difference_text (&pair->before, &pair->after, &lines);
  printf ("From version %" PRIu64 " to ", pair->from);
  if (file != NULL)
    printf ("%s", file);
  else
    printf ("version %" PRIu64, pair->to);
  printf (":\n%s", buf_text (&lines));
  buf_close (&lines);
}

static enum cli_exit_code
print_difference (struct cli_session *session, const char *file, uint64_t from,
                  uint64_t to, bool json)
{
  struct pair pair = { from, to, { 0 }, { 0 } };
  enum cli_exit_code exit = read_pair (session, file, &pair);

  if (exit == CLI_SUCCESS && json)
    print_json (&pair, file);
  else if (exit == CLI_SUCCESS)
    print_text (&pair, file);
  buf_close (&pair.before);
  buf_close (&pair.after);
  return exit;
}

enum cli_exit_code
cli_diff (int count, char **arguments)
{
  struct arg_file *settings
      = arg_file1 (NULL, "settings", "FILE", "settings with the platform");
  struct arg_str *environment = arg_str1 (NULL, "environment", "NAME",
                                          "environment, for example trial");
  struct arg_str *from = arg_str0 (NULL, "from", "N", "older version");
  struct arg_str *to = arg_str0 (NULL, "to", "N", "newer version");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_file *file = arg_file0 (NULL, NULL, "FILE", "a document");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (10);
  void *table[] = { settings, environment, from, to, json, file, help, end };
  const char *name = NULL;
  struct cli_session session;
  uint64_t older = 0;
  uint64_t newer = 0;
  enum cli_exit_code exit;

  if (cli_parse (count, arguments, table, help, end, explanation, &exit))
    {
      exit = CLI_BAD_INPUT;
      if (file->count > 0)
        name = file->filename[0];
      if (name != NULL && to->count > 0)
        fprintf (stderr, "Give either a file or --to, not both.\n");
      else if ((from->count == 0 || cli_parse_version (from->sval[0], &older))
               && (to->count == 0 || cli_parse_version (to->sval[0], &newer)))
        exit = cli_session_open (settings->filename[0], environment->sval[0],
                                 &session);
      if (exit == CLI_SUCCESS)
        {
          exit = print_difference (&session, name, older, newer,
                                   json->count > 0);
          cli_session_close (&session);
        }
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return exit;
}
