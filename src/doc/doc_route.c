/* Reads and checks the routes of a document.  */

#include "base/mem.h"
#include "base/str.h"
#include "doc/doc_reader.h"

#include <ctype.h>
#include <string.h>

#define DEFAULT_DEADLINE_MS 5000
#define MAX_DEADLINE_MS 300000

/* Longest part of a host between dots, in bytes (RFC 1035).  */
#define MAX_HOST_LABEL 63

/* Returns whether HOST is a host name or IPv4 address, without a port, after
   an optional "*.".  */
static bool
is_host (const char *host)
{
  size_t label = 0;

  if (strlen (host) > DOC_MAX_HOST_LENGTH)
    return false;
  if (strncmp (host, "*.", 2) == 0)
    host += 2;
  for (; *host != '\0'; host++)
    {
      if (*host == '.' && (label == 0 || label > MAX_HOST_LABEL))
        return false;
      if (*host != '.' && *host != '-' && *host != '_'
          && !isalnum ((unsigned char)*host))
        return false;
      label = *host == '.' ? 0 : label + 1;
    }
  return label > 0 && label <= MAX_HOST_LABEL;
}

static char *
read_host (struct doc_reader *reader, struct doc_table table)
{
  const struct toml_node *value = doc_read (reader, table, "host", TOML_STRING,
                                            false, "\"shop.example.org\"");
  char quoted[TOML_QUOTE_SIZE];

  if (value == NULL)
    return str_create ("");
  if (!is_host (value->string))
    toml_add_error (&reader->report, value->line, value->column,
                    "the host %s is not valid; write a host name without "
                    "\"http://\", port or path, such as \"shop.example.org\" "
                    "or \"*.example.org\", or remove the line for any host",
                    toml_quote (value->string, quoted));
  return str_create (value->string);
}

/* Returns what is wrong with PATH, null when nothing is.  */
static const char *
find_path_fault (const char *path)
{
  if (path[0] != '/')
    return "does not start with \"/\"; write for example \"/stock\"";
  if (strlen (path) > DOC_MAX_PATH_LENGTH)
    return "is longer than 1024 characters; shorten it";
  for (; *path != '\0'; path++)
    {
      if (*path == '?' || *path == '#')
        return "has a \"?\" or \"#\"; write only the part before it";
      if (*path == '*')
        return "has a \"*\"; write only the start that the paths have in "
               "common, as all paths below it are included";
      if (path[0] == '/' && path[1] == '/')
        return "has two \"/\" in a row; remove one";
      if (*path <= ' ' || *path > '~')
        return "has a space or another character that paths cannot have; "
               "write it as in a browser's address line, a space as \"%20\"";
    }
  return NULL;
}

static char *
read_path (struct doc_reader *reader, struct doc_table table)
{
  const struct toml_node *value
      = doc_read (reader, table, "path", TOML_STRING, true, "\"/stock\"");
  const char *fault;
  char quoted[TOML_QUOTE_SIZE];

  if (value == NULL)
    return str_create ("");
  fault = find_path_fault (value->string);
  if (fault != NULL)
    toml_add_error (&reader->report, value->line, value->column,
                    "the path %s %s", toml_quote (value->string, quoted),
                    fault);
  return str_create (value->string);
}

static void
add_method (struct doc_reader *reader, const struct toml_node *item,
            uint32_t *methods)
{
  uint32_t bit = item->kind == TOML_STRING ? doc_method_bit (item->string) : 0;
  char quoted[TOML_QUOTE_SIZE] = "an entry";

  if (item->kind == TOML_STRING)
    toml_quote (item->string, quoted);
  if (bit == 0)
    toml_add_error (&reader->report, item->line, item->column,
                    "methods has %s, which is not a method; write \"GET\", "
                    "\"HEAD\", \"POST\", \"PUT\", \"DELETE\", \"PATCH\" or "
                    "\"OPTIONS\", in capital letters",
                    quoted);
  else if ((*methods & bit) != 0)
    toml_add_error (&reader->report, item->line, item->column,
                    "methods has %s twice; remove one", quoted);
  *methods |= bit;
}

static uint32_t
read_methods (struct doc_reader *reader, struct doc_table table)
{
  size_t faults = reader->report.count;
  const struct toml_node *list
      = doc_read (reader, table, "methods", TOML_ARRAY, false, "[\"GET\"]");
  uint32_t methods = 0;

  if (list == NULL)
    return reader->report.count > faults ? DOC_FAULTY_METHODS : 0;
  if (list->child_count == 0)
    toml_add_error (&reader->report, list->line, list->column,
                    "methods is empty; write for example [\"GET\"], or remove "
                    "the line for every method");
  for (size_t i = 0; i < list->child_count; i++)
    add_method (reader, &list->children[i], &methods);
  return reader->report.count > faults ? DOC_FAULTY_METHODS : methods;
}

/* Returns the service's name closest to NAME, null when none is close.  */
static const char *
suggest_service (struct doc_reader *reader, const char *name)
{
  const char *names[DOC_MAX_SERVICES];

  if (reader->suggestions++ >= DOC_MAX_SUGGESTIONS)
    return NULL;
  for (size_t i = 0; i < reader->document->service_count; i++)
    names[i] = reader->document->services[i].name;
  return toml_suggest (name, names, reader->document->service_count);
}

static uint32_t
read_service_name (struct doc_reader *reader, struct doc_table table)
{
  const struct toml_node *value
      = doc_read (reader, table, "service", TOML_STRING, true, "\"stock\"");
  const char *suggestion;
  char quoted[TOML_QUOTE_SIZE];
  uint32_t index;

  if (value == NULL)
    return UINT32_MAX;
  index = doc_find_service (reader, value->string);
  if (index != UINT32_MAX || reader->report.incomplete)
    return index;
  suggestion = suggest_service (reader, value->string);
  toml_quote (value->string, quoted);
  if (suggestion != NULL)
    toml_add_error (&reader->report, value->line, value->column,
                    "service %s does not exist; did you mean \"%s\"? Correct "
                    "the name or add a [[service]] of that name",
                    quoted, suggestion);
  else
    toml_add_error (&reader->report, value->line, value->column,
                    "service %s does not exist; add a [[service]] of that "
                    "name or correct the name",
                    quoted);
  return UINT32_MAX;
}

static void
read_route (struct doc_reader *reader, const struct toml_node *node)
{
  static const char *const keys[]
      = { "host", "path", "methods", "service", "class", "deadline_ms" };
  static const char *const classes[] = { "repeatable", "once" };
  struct doc_table table = { node, "[[route]]" };
  struct doc_route *route
      = &reader->document->routes[reader->document->route_count++];

  toml_check_keys (&reader->report, node, table.where, keys, DOC_COUNT (keys));
  route->line = node->line;
  route->host = read_host (reader, table);
  route->path = read_path (reader, table);
  route->methods = read_methods (reader, table);
  route->service = read_service_name (reader, table);
  route->call_class = (enum doc_class)doc_read_choice (
      reader, table, "class", true, classes, DOC_CLASS_COUNT, DOC_IDEMPOTENT);
  route->deadline_ms = doc_read_number (reader, table, "deadline_ms", false, 1,
                                        MAX_DEADLINE_MS, DEFAULT_DEADLINE_MS);
}

void
doc_read_routes (struct doc_reader *reader, const struct toml_node *root)
{
  const struct toml_node *tables;
  size_t count
      = doc_read_list (reader, root, "route", DOC_MAX_ROUTES, &tables);

  reader->document->routes = mem_alloc (count, sizeof (struct doc_route));
  for (size_t i = 0; i < count; i++)
    read_route (reader, &tables[i]);
}
