/* Difference of two documents for the operator.  */

#include "cli/cli_difference.h"

#include "cli/cli_lines.h"
#include "doc/doc_diff.h"

#include <string.h>

/* Returns the parsed document, or null when it has faults.  */
static struct doc_document *
parse (const struct buf *text)
{
  struct doc_document *document = NULL;
  struct buf report = { 0 };

  if (doc_parse ("document", buf_text (text), text->length, &document, &report)
      != DOC_OK)
    document = NULL;
  buf_close (&report);
  return document;
}

/* Returns the difference by meaning, or null when a document has faults.  */
static struct doc_diff *
compare (const struct buf *before, const struct buf *after)
{
  struct doc_document *from = parse (before);
  struct doc_document *to = parse (after);
  struct doc_diff *diff = NULL;

  if (from != NULL && to != NULL)
    diff = doc_diff_create (from, to,
                            strcmp (buf_text (before), buf_text (after)) == 0);
  doc_destroy (from);
  doc_destroy (to);
  return diff;
}

void
cli_difference_text (const struct buf *before, const struct buf *after,
                     struct buf *output)
{
  struct doc_diff *diff = compare (before, after);

  if (diff != NULL)
    doc_diff_print (diff, output);
  else
    cli_lines_text (buf_text (before), buf_text (after), output);
  doc_diff_destroy (diff);
}

static void
add_line (void *context, char sign, size_t number, const char *text,
          size_t length)
{
  json_array_append_new (context,
                         json_pack ("{s:s, s:I, s:o}", "change",
                                    sign == '-' ? "removed" : "added", "line",
                                    (json_int_t)number, "text",
                                    json_stringn (text, length)));
}

json_t *
cli_difference_json (const struct buf *before, const struct buf *after)
{
  struct doc_diff *diff = compare (before, after);
  struct buf text = { 0 };
  json_t *root;
  json_t *lines;

  if (diff != NULL)
    {
      doc_diff_print_json (diff, &text);
      root = json_loadb (buf_text (&text), text.length, 0, NULL);
      buf_close (&text);
      doc_diff_destroy (diff);
      return root != NULL ? root : json_object ();
    }
  lines = json_array ();
  cli_lines_compare (buf_text (before), buf_text (after), add_line, lines);
  return json_pack ("{s:o}", "lines", lines);
}
