/* A difference as a list of changes, and its output.  */

#include "doc/doc_diff_list.h"

#include "base/mem.h"
#include "doc/doc_reader.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
doc_diff_add (struct doc_diff *diff, enum doc_change_kind kind,
              const char *subject, const char *field, const char *from,
              const char *to)
{
  struct doc_change *change;

  if (diff->count == diff->capacity)
    {
      diff->capacity = diff->capacity == 0 ? 16 : diff->capacity * 2;
      diff->changes
          = mem_resize (diff->changes, diff->capacity, sizeof *diff->changes);
    }
  change = &diff->changes[diff->count++];
  change->kind = kind;
  change->subject = mem_copy_string (subject);
  change->field = mem_copy_string (field);
  change->from = mem_copy_string (from);
  change->to = mem_copy_string (to);
}

void
doc_diff_field (struct doc_diff *diff, const char *subject, const char *field,
                const char *from, const char *to)
{
  if (strcmp (from, to) != 0)
    doc_diff_add (diff, DOC_CHANGED, subject, field, from, to);
}

void
doc_diff_number (struct doc_diff *diff, const char *subject, const char *field,
                 uint32_t from, uint32_t to)
{
  char from_text[16];
  char to_text[16];

  snprintf (from_text, sizeof from_text, "%" PRIu32, from);
  snprintf (to_text, sizeof to_text, "%" PRIu32, to);
  doc_diff_field (diff, subject, field, from_text, to_text);
}

void
doc_diff_destroy (struct doc_diff *diff)
{
  if (diff == NULL)
    return;
  for (size_t i = 0; i < diff->count; i++)
    {
      free (diff->changes[i].subject);
      free (diff->changes[i].field);
      free (diff->changes[i].from);
      free (diff->changes[i].to);
    }
  free (diff->changes);
  free (diff);
}

void
doc_diff_print (const struct doc_diff *diff, struct buf *output)
{
  if (diff->count == 0)
    buf_printf (output, "%s\n",
                diff->same_text ? "there is no difference"
                                : "only comments or layout differ");
  for (size_t i = 0; i < diff->count; i++)
    {
      const struct doc_change *change = &diff->changes[i];

      buf_printf (output, "%s: ", change->subject);
      if (change->kind == DOC_CHANGED)
        buf_printf (output, "%s changed from %s to %s\n", change->field,
                    change->from, change->to);
      else if (change->kind == DOC_ADDED)
        buf_printf (output, "added%s%s\n", change->to[0] != '\0' ? ", " : "",
                    change->to);
      else
        buf_printf (output, "removed\n");
    }
}

void
doc_diff_print_json (const struct doc_diff *diff, struct buf *output)
{
  static const char *const kinds[] = { "added", "removed", "changed" };
  json_t *changes = json_array ();
  json_t *root = json_pack ("{s:b, s:o}", "same_text", (int)diff->same_text,
                            "changes", changes);
  char *text;

  for (size_t i = 0; i < diff->count; i++)
    {
      const struct doc_change *change = &diff->changes[i];

      json_array_append_new (
          changes,
          json_pack ("{s:s, s:s, s:s, s:s, s:s}", "kind", kinds[change->kind],
                     "subject", change->subject, "field", change->field,
                     "from", change->from, "to", change->to));
    }
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  if (text == NULL)
    abort ();
  buf_printf (output, "%s\n", text);
  free (text);
}
