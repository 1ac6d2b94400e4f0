/* The command "trace".  */

#include "cli/cli_trace.h"

#include "base/net.h"
#include "cli/cli_args.h"
#include "cli/cli_json.h"
#include "cli/cli_session.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_NODES 64
#define ORIGIN_DIGITS 16

/* The default of the setting listen.admin.  */
#define DEFAULT_ADMIN "127.0.0.1:9090"

/* Bounds of one question to a node.  */
#define ANSWER_LIMIT_MS 3000L
#define MAX_ANSWER 262144

/* Bounds of one trace: levels of nested calls below the first, which no chain
   exceeds, and calls in all.  */
#define MAX_LEVELS 8
#define MAX_CALLS 256

/* Columns by which a nested call is indented.  */
#define INDENT 4

static const char explanation[]
    = "Shows the tries of one call: which nodes they were sent to, when, and "
      "how each ended,\nand below it, indented, the calls that its upstream "
      "made with the same\nMulberryshift-Context. The ID is in the response "
      "header Mulberryshift-Call. Only the\nnode that got a request keeps it, "
      "among its last 1,024 calls; name all nodes that\nmay have got one with "
      "--node. Without --node the settings' [listen] admin is asked.\n\n"
      "Example: mulberryshift trace --settings node.toml --id "
      "0000018c2f3b4a5d-7 \\\n  --node 10.0.0.5:9090 --node 10.0.0.6:9090\n";

/* A trace while nodes are asked.  */
struct search
{
  const char *const *nodes;
  int count;
  bool silent[MAX_NODES]; /* could not be asked; not asked again */
  json_t *seen;           /* IDs of the calls found */
  bool left_out;
};

bool
cli_trace_is_id (const char *text)
{
  size_t digits = strspn (text, "0123456789abcdef");
  const char *number = text + digits + 1;

  return digits == ORIGIN_DIGITS && text[digits] == '-' && number[0] != '\0'
         && strlen (number) <= 20
         && strspn (number, "0123456789") == strlen (number);
}

static json_int_t
get_integer (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static const char *
get_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL ? text : "";
}

static int
compare_calls (const void *left, const void *right)
{
  json_int_t a = get_integer (*(json_t *const *)left, "begun_ms");
  json_int_t b = get_integer (*(json_t *const *)right, "begun_ms");

  return (a > b) - (a < b);
}

json_t *
cli_trace_sort (const json_t *calls)
{
  size_t count = json_array_size (calls);
  json_t **sorted = calloc (count + 1, sizeof (json_t *));
  json_t *result = json_array ();

  if (sorted == NULL || result == NULL)
    abort ();
  for (size_t i = 0; i < count; i++)
    sorted[i] = json_array_get (calls, i);
  qsort (sorted, count, sizeof (json_t *), compare_calls);
  for (size_t i = 0; i < count; i++)
    json_array_append (result, sorted[i]);
  free (sorted);
  return result;
}

/* Milliseconds of a time that nodes give in microseconds.  */
static double
get_ms (const json_t *object, const char *key)
{
  return (double)get_integer (object, key) / 1000;
}

static void
print_try (const json_t *one, size_t number, int indent, struct buf *output)
{
  json_int_t status = get_integer (one, "status");
  json_int_t queries = get_integer (one, "queries");

  buf_printf (output, "%*s  after %.3f ms: try %zu at %s: %s", indent, "",
              get_ms (one, "begun_us"), number, get_text (one, "member"),
              get_text (one, "outcome"));
  if (status != 0)
    buf_printf (output, ", status %lld", (long long)status);
  buf_printf (output, ", took %.3f ms", get_ms (one, "elapsed_us"));
  if (queries != 0)
    buf_printf (output, ", asked %lld time%s what became of it",
                (long long)queries, queries == 1 ? "" : "s");
  buf_printf (output, "\n");
}

/* Appends CALLS and, indented, the calls nested in them.  */
static void
print_calls (const json_t *calls, int indent, struct buf *output)
{
  for (size_t i = 0; i < json_array_size (calls); i++)
    {
      const json_t *call = json_array_get (calls, i);
      const json_t *tries = json_object_get (call, "tries");
      const char *service = get_text (call, "service");
      char time[CLI_TIME_SIZE];

      cli_format_time ((uint64_t)get_integer (call, "begun_ms"), time);
      buf_printf (output, "%*s%s, node at %s: ", indent, "", time,
                  get_text (call, "node"));
      if (service[0] != '\0')
        buf_printf (output, "call to service %s, class %s, depth %lld",
                    service, get_text (call, "class"),
                    (long long)get_integer (call, "depth"));
      else
        buf_printf (output, "call without a service");
      buf_printf (output, ": %s after %.3f ms\n", get_text (call, "outcome"),
                  get_ms (call, "elapsed_us"));
      for (size_t j = 0; j < json_array_size (tries); j++)
        print_try (json_array_get (tries, j), j + 1, indent, output);
      if (json_array_size (tries) == 0)
        buf_printf (output, "%*s  it was sent to no node\n", indent, "");
      print_calls (json_object_get (call, "children"), indent + INDENT,
                   output);
    }
}

void
cli_trace_text (const json_t *calls, struct buf *output)
{
  print_calls (calls, 0, output);
}

static size_t
store (char *data, size_t size, size_t count, void *context)
{
  struct buf *answer = context;

  if (answer->length + size * count > MAX_ANSWER)
    return 0;
  buf_append (answer, data, size * count);
  return size * count;
}

/* Asks the node at ADDRESS.  Returns the HTTP status, 0 without an answer.  */
static long
ask (const char *address, const char *id, struct buf *answer)
{
  CURL *curl = curl_easy_init ();
  char url[128];
  long status = 0;

  if (curl == NULL)
    abort ();
  snprintf (url, sizeof url, "http://%s/trace?id=%s", address, id);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, ANSWER_LIMIT_MS);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, store);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, answer);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (curl);
  return status;
}

/* Returns what node NODE knows about ID, or null.  Marks a node that could not
   be asked as silent, with a printed sentence.  */
static json_t *
ask_node (struct search *search, int node, const char *id)
{
  const char *address = search->nodes[node];
  struct buf answer = { 0 };
  long status = ask (address, id, &answer);
  json_t *found = NULL;

  if (status == 200)
    found = json_loadb (buf_text (&answer), answer.length, 0, NULL);
  buf_close (&answer);
  if (json_is_object (found) || status == 404)
    return found;
  json_decref (found);
  search->silent[node] = true;
  if (status == 0)
    fprintf (stderr,
             "The node at %s did not answer; check that it runs and that this "
             "is its [listen] admin address.\n",
             address);
  else
    fprintf (stderr,
             "The answer of %s cannot be understood; check that this "
             "is a node's [listen] admin address.\n",
             address);
  return NULL;
}

/* Appends CALL, which the node at ADDRESS keeps, to CALLS unless it was found
   before or there are too many.  */
static void
add_call (struct search *search, json_t *calls, json_t *call,
          const char *address)
{
  const char *id = get_text (call, "id");

  if (!cli_trace_is_id (id) || json_object_get (search->seen, id) != NULL)
    return;
  if (json_object_size (search->seen) == MAX_CALLS)
    {
      search->left_out = true;
      return;
    }
  json_object_set_new (search->seen, id, json_true ());
  json_object_set_new (call, "node", json_string (address));
  json_array_append (calls, call);
}

/* Asks all nodes about ID.  Adds the call itself to CALLS, unless it is null,
   and the calls nested in it to CHILDREN.  */
static void
ask_all (struct search *search, const char *id, json_t *calls,
         json_t *children)
{
  for (int i = 0; i < search->count; i++)
    {
      json_t *found = search->silent[i] ? NULL : ask_node (search, i, id);
      const json_t *list = json_object_get (found, "children");

      if (get_integer (found, "children_left_out") > 0)
        search->left_out = true;
      for (size_t j = 0; j < json_array_size (list); j++)
        add_call (search, children, json_array_get (list, j),
                  search->nodes[i]);
      if (found != NULL && calls != NULL)
        {
          json_object_del (found, "children");
          json_object_del (found, "children_left_out");
          add_call (search, calls, found, search->nodes[i]);
        }
      json_decref (found);
    }
}

/* Sets the member "children" of CALLS, in order of time.  CHILDREN, which may
   be null, are calls already found that are nested in the first of them.  A
   node that keeps a child need not know the parent, so the IDs of its tries
   are asked for, too.  */
static void
add_children (struct search *search, json_t *calls, json_t *children,
              int level)
{
  for (size_t i = 0; i < json_array_size (calls); i++)
    {
      json_t *call = json_array_get (calls, i);
      const json_t *tries = json_object_get (call, "tries");
      json_t *nested = i == 0 && children != NULL ? json_incref (children)
                                                  : json_array ();
      json_t *sorted;

      ask_all (search, get_text (call, "id"), NULL, nested);
      for (size_t j = 0; j < json_array_size (tries); j++)
        {
          json_int_t number
              = get_integer (json_array_get (tries, j), "number");
          char id[64];

          snprintf (id, sizeof id, "%.16s-%lld", get_text (call, "id"),
                    (long long)number);
          if (strcmp (id, get_text (call, "id")) != 0)
            ask_all (search, id, NULL, nested);
        }
      sorted = cli_trace_sort (nested);
      json_decref (nested);
      if (level < MAX_LEVELS)
        add_children (search, sorted, NULL, level + 1);
      json_object_set_new (call, "children", sorted);
    }
}

/* Returns the call with ID and the calls nested in it, in order of time.  When
   no node keeps the call, the calls nested in it are the first level.  */
static json_t *
find_calls (struct search *search, const char *id)
{
  json_t *calls = json_array ();
  json_t *children = json_array ();
  json_t *sorted;

  ask_all (search, id, calls, children);
  if (json_array_size (calls) > 0)
    {
      sorted = cli_trace_sort (calls);
      add_children (search, sorted, children, 1);
    }
  else
    {
      sorted = cli_trace_sort (children);
      add_children (search, sorted, NULL, 2);
    }
  json_decref (calls);
  json_decref (children);
  return sorted;
}

/* Prints to standard error what the trace may lack.  */
static void
print_gaps (const struct search *search, const char *id, bool found)
{
  int silent = 0;
  int asked;

  for (int i = 0; i < search->count; i++)
    silent += search->silent[i];
  asked = search->count - silent;
  if (!found && asked > 0)
    fprintf (stderr,
             "%d node%s asked and keep%s no trace of call %s; ask the node "
             "that got the request, soon after the call.\n",
             asked, asked == 1 ? " was" : "s were", asked == 1 ? "s" : "", id);
  if (search->left_out)
    fprintf (stderr,
             "There are more calls; at most %d are shown, and at most 64 "
             "nested in one call by each node.\n",
             MAX_CALLS);
}

static enum cli_exit_code
print_trace (const char *const *nodes, int count, const char *id, bool json)
{
  struct search search
      = { .nodes = nodes, .count = count, .seen = json_object () };
  json_t *calls = find_calls (&search, id);
  bool found = json_array_size (calls) > 0;
  struct buf text = { 0 };

  cli_trace_text (calls, &text);
  if (json)
    cli_json_print (json_pack ("{s:s, s:O}", "id", id, "calls", calls));
  else
    fputs (buf_text (&text), stdout);
  print_gaps (&search, id, found);
  buf_close (&text);
  json_decref (calls);
  json_decref (search.seen);
  return found ? CLI_SUCCESS : CLI_FAILURE;
}

/* Returns whether ID and NODES are valid; else a sentence has been
   printed.  */
static bool
check (const char *id, const char *const *nodes, int count)
{
  struct net_address address;

  if (!cli_trace_is_id (id))
    {
      fprintf (stderr,
               "\"%s\" is not a call ID; copy it from the response header "
               "Mulberryshift-Call, for example 0000018c2f3b4a5d-7.\n",
               id);
      return false;
    }
  for (int i = 0; i < count; i++)
    if (!net_parse (nodes[i], &address) || address.port == 0)
      {
        fprintf (stderr,
                 "\"%s\" is not an address; write an IP address and a port "
                 "such as 10.0.0.5:9090.\n",
                 nodes[i]);
        return false;
      }
  return true;
}

enum cli_exit_code
cli_trace (int count, char **arguments)
{
  struct arg_file *settings
      = arg_file1 (NULL, "settings", "FILE", "settings of the node to ask");
  struct arg_str *id
      = arg_str1 (NULL, "id", "CALL-ID", "from the header Mulberryshift-Call");
  struct arg_str *node = arg_strn (NULL, "node", "ADDRESS", 0, MAX_NODES,
                                   "administration address to ask instead");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (10);
  void *table[] = { settings, id, node, json, help, end };
  char admin[NET_TEXT_SIZE] = DEFAULT_ADMIN;
  const char *own = admin;
  enum cli_exit_code exit;

  if (cli_parse (count, arguments, table, help, end, explanation, &exit))
    {
      const char *const *nodes
          = node->count > 0 ? (const char *const *)node->sval : &own;
      int node_count = node->count > 0 ? node->count : 1;

      exit = CLI_BAD_INPUT;
      if (cli_read_setting (settings->filename[0], "listen", "admin", admin,
                            sizeof admin)
          && check (id->sval[0], nodes, node_count))
        exit = print_trace (nodes, node_count, id->sval[0], json->count > 0);
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return exit;
}
