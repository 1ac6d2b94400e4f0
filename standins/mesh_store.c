/* Stand-in of the users' platform's store, as a process.

   Usage: standin-mesh_store ADDRESS [TIMEOUT-S]

   TIMEOUT-S is the timeout of all routes in s, 1 when it is left out.

   Prints the header names that callers need as one line of JSON, then takes
   commands from standard input, one a line, and answers each with "ok":
     config VERSION SERVICE... / PATH... / TENANT...
   which writes the operator's document.  The routes to PATHs are public; a
   TENANT is NAME:RATE:BURST:KEY, with further keys after colons.
     copy
     restore
   which take a copy of the objects, and come back from it in the next era.
   Ends when standard input does.  */

#include "base/err.h"
#include "base/net.h"
#include "pfm_names.h"
#include "scf.h"
#include "sst.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAX_WORDS 64
#define LINE_SIZE 4096

/* What the commands act on.  */
struct control
{
  struct evl *loop;
  struct sst *store;
  double timeout_s; /* of all routes */
  char line[LINE_SIZE];
  size_t length;
};

static size_t
split (char *line, char **words)
{
  size_t count = 0;

  for (char *word = strtok (line, " "); word != NULL && count < MAX_WORDS;
       word = strtok (NULL, " "))
    words[count++] = word;
  return count;
}

/* Returns the place of the next "/" among WORDS from START on, COUNT when
   there is none.  */
static size_t
find_slash (char *const *words, size_t start, size_t count)
{
  while (start < count && strcmp (words[start], "/") != 0)
    start++;
  return start;
}

/* Makes the route to PATH public.  */
static void
publish (json_t *entries, const char *path)
{
  json_t *entry;
  size_t i;

  json_array_foreach (entries, i, entry)
  {
    json_t *spec = json_object_get (entry, PFM_SPEC);
    const char *prefix
        = json_string_value (json_object_get (spec, PFM_PATH_PREFIX));

    if (prefix != NULL && strcmp (prefix, path) == 0)
      json_object_set_new (spec, PFM_PUBLIC, json_true ());
  }
}

/* Adds the tenant that WORD describes.  */
static void
add_tenant (json_t *entries, char *word)
{
  const char *name = strsep (&word, ":");
  const char *rate = strsep (&word, ":");
  const char *burst = strsep (&word, ":");
  json_t *keys = json_array ();

  while (word != NULL)
    json_array_append_new (keys, json_string (strsep (&word, ":")));
  json_array_append_new (
      entries, json_pack ("{s:s, s:{s:s}, s:{s:o, s:f, s:f}}", PFM_ENTRY_TYPE,
                          PFM_TENANTS, PFM_METADATA, PFM_NAME, name, PFM_SPEC,
                          PFM_API_KEYS, keys, PFM_RATE_PER_S,
                          rate != NULL ? strtod (rate, NULL) : 0., PFM_BURST,
                          burst != NULL ? strtod (burst, NULL) : 0.));
}

static void
write_config (struct control *control, char **words, size_t count)
{
  size_t paths = find_slash (words, 2, count) + 1;
  size_t tenants = find_slash (words, paths, count) + 1;
  json_t *document;
  json_t *entries;

  if (count < 4 || paths > count)
    {
      printf ("unknown command\n");
      return;
    }
  document = scf_create_document (
      strtoull (words[1], NULL, 10), (const char *const *)&words[2], paths - 3,
      (const char *const *)&words[paths], tenants - paths - 1);
  scf_set_timeout (document, control->timeout_s);
  entries = json_object_get (document, PFM_RESOURCES);
  for (size_t i = paths; i < tenants - 1; i++)
    publish (entries, words[i]);
  for (size_t i = tenants; i < count; i++)
    add_tenant (entries, words[i]);
  sst_put (control->store, PFM_CONFIG_KIND, PFM_CONFIG_NAME, document);
  printf ("ok\n");
}

static void
run_command (struct control *control)
{
  char *words[MAX_WORDS];
  size_t count = split (control->line, words);

  if (count == 1 && strcmp (words[0], "copy") == 0)
    sst_take_copy (control->store);
  else if (count == 1 && strcmp (words[0], "restore") == 0)
    sst_restore (control->store);
  else if (count > 0 && strcmp (words[0], "config") == 0)
    {
      write_config (control, words, count);
      return;
    }
  else
    {
      printf ("unknown command\n");
      return;
    }
  printf ("ok\n");
}

static void
on_input (void *context, int events)
{
  struct control *control = context;
  char c;

  (void)events;
  if (read (STDIN_FILENO, &c, 1) != 1)
    {
      evl_stop (control->loop);
      return;
    }
  if (c != '\n' && control->length + 1 < LINE_SIZE)
    {
      control->line[control->length++] = c;
      return;
    }
  control->line[control->length] = '\0';
  control->length = 0;
  run_command (control);
  fflush (stdout);
}

int
main (int count, char **arguments)
{
  struct control control
      = { .loop = evl_create (),
          .timeout_s = count > 2 ? strtod (arguments[2], NULL) : 1 };
  struct evl_socket input;
  struct net_address address;

  if (count < 2 || count > 3 || control.timeout_s <= 0
      || !net_parse (arguments[1], &address))
    {
      fprintf (stderr, "usage: standin-mesh_store ADDRESS [TIMEOUT-S]\n");
      return 2;
    }
  control.store = sst_create (control.loop, address);
  if (control.store == NULL)
    {
      fprintf (stderr, "%s\n", err_last ());
      return 1;
    }
  printf ("{\"id\":\"%s\",\"timeout_ms\":\"%s\",\"ready\":\"%s\","
          "\"host\":\"%s\",\"key\":\"%s: %s\",\"signature\":\"%s\"}\n",
          PFM_REQUEST_ID, PFM_TIMEOUT_MS, PFM_READY_PATH, SCF_HOST,
          PFM_AUTHORIZATION, PFM_KEY_SCHEME, PFM_SIGNATURE);
  fflush (stdout);
  evl_socket_init (&input, control.loop, STDIN_FILENO, on_input, &control);
  evl_socket_watch (&input, EVL_READ);
  evl_run (control.loop);
  return 0;
}
