/* Stand-in of the users' platform's store, as a process.

   Usage: standin-mesh_store ADDRESS

   Prints the header names that callers need as one line of JSON, then takes
   commands from standard input, one a line, and answers each with "ok":
     config VERSION SERVICE... / PATH...   writes the operator's document
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

static void
run_command (struct control *control)
{
  char *words[MAX_WORDS];
  size_t count = split (control->line, words);
  size_t slash = 2;

  if (count < 4 || strcmp (words[0], "config") != 0)
    {
      printf ("unknown command\n");
      return;
    }
  while (slash < count && strcmp (words[slash], "/") != 0)
    slash++;
  sst_put (control->store, PFM_CONFIG_KIND, PFM_CONFIG_NAME,
           scf_create_document (strtoull (words[1], NULL, 10),
                                (const char *const *)&words[2], slash - 2,
                                (const char *const *)&words[slash + 1],
                                slash < count ? count - slash - 1 : 0));
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
  struct control control = { .loop = evl_create () };
  struct evl_socket input;
  struct net_address address;

  if (count != 2 || !net_parse (arguments[1], &address))
    {
      fprintf (stderr, "usage: standin-mesh_store ADDRESS\n");
      return 2;
    }
  control.store = sst_create (control.loop, address);
  if (control.store == NULL)
    {
      fprintf (stderr, "%s\n", err_last ());
      return 1;
    }
  printf ("{\"id\":\"%s\",\"timeout_ms\":\"%s\",\"ready\":\"%s\","
          "\"host\":\"%s\"}\n",
          PFM_REQUEST_ID, PFM_TIMEOUT_MS, PFM_READY_PATH, SCF_HOST);
  fflush (stdout);
  evl_socket_init (&input, control.loop, STDIN_FILENO, on_input, &control);
  evl_socket_watch (&input, EVL_READ);
  evl_run (control.loop);
  return 0;
}
