/* The command "explain": what the logs of all nodes say of one request.  */

#include "base/mem.h"
#include "cli/cli_args.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char explanation[]
    = "Prints what the logs say of one request, over all nodes and in order: "
      "its own lines,\nthose of the calls that upstreams made for it (same "
      "id, "
      "a dot, and more), and\nwhat the nodes on its way learned meanwhile.\n\n"
      "Example: mulberryshift explain 28a4e808424c0ca6 logs/*.jsonl\n";

/* Nodes whose lines are looked for, at most.  */
#define MAX_NODES 64

/* Length of the time in a line, "2026-01-14T19:16:38.010Z".  Times of equal
   length compare like texts.  */
#define TIME_LENGTH 24

/* One line of a log.  */
struct line
{
  json_t *root;
  const char *time;
  size_t place; /* in the order of reading; keeps equal times in order */
};

/* The lines found so far, and the nodes that they are from.  */
struct search
{
  const char *id;
  struct line *lines;
  size_t count;
  size_t capacity;
  const char *nodes[MAX_NODES];
  size_t node_count;
  char first[TIME_LENGTH + 1];
  char last[TIME_LENGTH + 1];
  bool collect_beliefs; /* second pass */
};

static const char *
text_of (const json_t *root, const char *key)
{
  const char *text = json_string_value (json_object_get (root, key));

  return text != NULL ? text : "";
}

/* Returns whether CALL is the request or a call made for it.  */
static bool
is_of_request (const char *call, const char *id)
{
  size_t length = strlen (id);

  return strncmp (call, id, length) == 0
         && (call[length] == '\0' || call[length] == '.');
}

static void
add_line (struct search *search, json_t *root)
{
  if (search->count == search->capacity)
    {
      search->capacity = search->capacity > 0 ? 2 * search->capacity : 64;
      search->lines = mem_resize (search->lines, search->capacity,
                                  sizeof *search->lines);
    }
  search->lines[search->count]
      = (struct line){ json_incref (root), text_of (root, "time"),
                       search->count };
  search->count++;
}

static bool
knows_node (const struct search *search, const char *node)
{
  for (size_t i = 0; i < search->node_count; i++)
    if (strcmp (search->nodes[i], node) == 0)
      return true;
  return false;
}

/* Notes where and when something was said of the request.  */
static void
note_place (struct search *search, const json_t *root)
{
  const char *node = text_of (root, "node");
  const char *time = text_of (root, "time");

  if (!knows_node (search, node) && search->node_count < MAX_NODES)
    search->nodes[search->node_count++] = node;
  if (search->first[0] == '\0' || strcmp (time, search->first) < 0)
    snprintf (search->first, sizeof search->first, "%s", time);
  if (strcmp (time, search->last) > 0)
    snprintf (search->last, sizeof search->last, "%s", time);
}

static void
take_line (struct search *search, json_t *root)
{
  const char *call = text_of (root, "call");
  const char *time = text_of (root, "time");

  if (!search->collect_beliefs)
    {
      if (!is_of_request (call, search->id))
        return;
      add_line (search, root);
      note_place (search, root);
    }
  else if (call[0] == '\0' && knows_node (search, text_of (root, "node"))
           && strcmp (time, search->first) >= 0
           && strcmp (time, search->last) <= 0)
    add_line (search, root);
}

/* Reads the lines of one log.  What stands before the brace, such as the time
   that a collector added, is skipped; lines that are no JSON are not ours.  */
static bool
read_log (struct search *search, const char *name)
{
  FILE *file = fopen (name, "r");
  char *text = NULL;
  size_t size = 0;

  if (file == NULL)
    {
      fprintf (stderr, "%s cannot be read; check the name of the log.\n",
               name);
      return false;
    }
  while (getline (&text, &size, file) > 0)
    {
      const char *start = strchr (text, '{');
      json_t *root = start != NULL
                         ? json_loads (start, JSON_DISABLE_EOF_CHECK, NULL)
                         : NULL;

      if (root != NULL)
        take_line (search, root);
      json_decref (root);
    }
  free (text);
  fclose (file);
  return true;
}

static int
compare_lines (const void *left, const void *right)
{
  const struct line *a = left;
  const struct line *b = right;
  int order = strcmp (a->time, b->time);

  if (order != 0)
    return order;
  return a->place < b->place ? -1 : a->place > b->place;
}

/* Returns whether a field is printed at the start of each line.  */
static bool
is_common (const char *key)
{
  static const char *const common[]
      = { "time",        "level", "module",  "node",
          "data_centre", "event", "message", "call" };

  for (size_t i = 0; i < sizeof common / sizeof *common; i++)
    if (strcmp (common[i], key) == 0)
      return true;
  return false;
}

static void
print_line (const struct search *search, const struct line *line)
{
  const char *call = text_of (line->root, "call");
  const char *event = text_of (line->root, "event");
  const char *key;
  json_t *value;

  printf ("%s  %s  %s: %s", line->time + strlen ("2026-01-14T"),
          text_of (line->root, "node"), text_of (line->root, "module"),
          event[0] != '\0' ? event : text_of (line->root, "message"));
  if (call[0] != '\0' && strcmp (call, search->id) != 0)
    printf (" [call %s]", call + strlen (search->id) + 1);
  json_object_foreach (line->root, key, value)
  {
    char *text;

    if (is_common (key))
      continue;
    text = json_dumps (value, JSON_ENCODE_ANY | JSON_REAL_PRECISION (6));
    printf (" %s=%s", key, text != NULL ? text : "?");
    free (text);
  }
  printf ("\n");
}

static enum cli_exit_code
explain (struct search *search, const char *const *files, int count)
{
  for (int pass = 0; pass < 2; pass++)
    {
      search->collect_beliefs = pass == 1;
      for (int i = 0; i < count; i++)
        if (!read_log (search, files[i]))
          return CLI_BAD_INPUT;
    }
  if (search->count == 0)
    {
      fprintf (stderr,
               "The logs say nothing of request %s; check the id, and that "
               "the logs are of all nodes at that time.\n",
               search->id);
      return CLI_FAILURE;
    }
  qsort (search->lines, search->count, sizeof *search->lines, compare_lines);
  for (size_t i = 0; i < search->count; i++)
    print_line (search, &search->lines[i]);
  return CLI_SUCCESS;
}

enum cli_exit_code
cli_explain (int count, char **arguments)
{
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "id of the request");
  struct arg_file *files
      = arg_filen (NULL, NULL, "LOG", 1, 1000, "logs of the nodes");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (10);
  void *table[] = { id, files, help, end };
  enum cli_exit_code exit;

  if (cli_parse (count, arguments, table, help, end, explanation, &exit))
    {
      struct search search = { .id = id->sval[0] };

      exit = explain (&search, files->filename, files->count);
      for (size_t i = 0; i < search.count; i++)
        json_decref (search.lines[i].root);
      free (search.lines);
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return exit;
}
