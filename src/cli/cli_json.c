/* JSON output of the commands.  */

#include "cli/cli_json.h"

#include "cli/cli_reports.h"

#include <stdio.h>

/* Turns an encoded object back into a tree, so that the output has the fields
   of the platform's objects.  */
static json_t *
load (struct buf *text)
{
  json_t *root = json_loadb (buf_text (text), text->length, 0, NULL);

  buf_close (text);
  return root != NULL ? root : json_object ();
}

json_t *
cli_json_config (const struct plt_config *config, bool with_document)
{
  struct buf text = { 0 };
  json_t *root;

  plt_config_encode (config, &text);
  root = load (&text);
  if (!with_document)
    json_object_del (root, "document");
  return root;
}

json_t *
cli_json_report (const struct plt_status_report *report, uint64_t wall_ms)
{
  struct buf text = { 0 };
  json_t *root;

  plt_status_report_encode (report, &text);
  root = load (&text);
  json_object_set_new (root, "old",
                       json_boolean (cli_report_is_old (report, wall_ms)));
  return root;
}

void
cli_json_print (json_t *root)
{
  json_dumpf (root, stdout, JSON_INDENT (2));
  printf ("\n");
  json_decref (root);
}
