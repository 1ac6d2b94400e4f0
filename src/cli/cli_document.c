/* Reading of the operator's document.  */

#include "cli/cli_document.h"

#include "base/err.h"
#include "base/file.h"

#include <stdio.h>

/* Prints the faults or warnings of a document.  Returns whether it can be
   used.  */
static bool
parse (const char *file, const struct buf *text, const char *ending,
       struct doc_document **document)
{
  struct buf report = { 0 };
  bool valid
      = doc_parse (file, buf_text (text), text->length, document, &report)
        == DOC_OK;

  fputs (buf_text (&report), stderr);
  buf_close (&report);
  if (valid && (*document)->route_count == 0)
    {
      fprintf (stderr,
               "%s has no routes, and applying it would end every call; add a "
               "[[route]] with a path and a service.\n",
               file);
      doc_destroy (*document);
      *document = NULL;
      valid = false;
    }
  if (!valid)
    fputs (ending, stderr);
  return valid;
}

bool
cli_read_document (const char *file, const char *ending,
                   struct doc_document **document, struct buf *text)
{
  *document = NULL;
  *text = (struct buf){ 0 };
  if (!file_read (file, text))
    fprintf (stderr, "%s; check the name of the document.\n", err_last ());
  else if (parse (file, text, ending, document))
    return true;
  buf_close (text);
  return false;
}
