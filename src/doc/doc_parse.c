/* Parses and validates a document as a whole.  */

#include "base/mem.h"
#include "doc/doc_reader.h"

#include <stdlib.h>

static void
read_tables (struct doc_reader *reader, const struct toml_node *root)
{
  static const char *const keys[]
      = { "service", "route", "tenant", "preference" };

  toml_check_keys (&reader->report, root, "the document", keys,
                   DOC_COUNT (keys));
  doc_read_services (reader, root);
  doc_read_routes (reader, root);
  doc_read_limits (reader, root);
  doc_check_routes (reader);
  if (reader->document->service_count == 0
      && !toml_has_errors (&reader->report))
    toml_add_warning (&reader->report, 1, 1,
                      "the document has no [[service]], so no call is "
                      "carried; check that this is the right file");
}

enum doc_status
doc_parse (const char *name, const char *text, size_t length,
           struct doc_document **document, struct buf *report)
{
  struct doc_reader reader = { .report = { .file_name = name } };
  struct toml_node *root = NULL;
  bool valid;

  *document = NULL;
  reader.document = mem_alloc (1, sizeof *reader.document);
  reader.document->preference[0] = DOC_AT_MOST_ONCE;
  reader.document->preference[1] = DOC_IDEMPOTENT;
  if (length > DOC_MAX_LENGTH)
    toml_add_error (&reader.report, 1, 1,
                    "the document has %zu bytes, but at most %u are allowed; "
                    "shorten it",
                    length, DOC_MAX_LENGTH);
  else
    root = toml_parse_with_recovery (text, length, &reader.report);
  if (root != NULL)
    read_tables (&reader, root);
  toml_destroy (root);
  free (reader.services_by_name);
  valid = !toml_has_errors (&reader.report);
  toml_flush (&reader.report, report);
  if (!valid)
    {
      doc_destroy (reader.document);
      return DOC_INVALID;
    }
  *document = reader.document;
  return DOC_OK;
}
