/* Faults of a TOML text, collected and written in source order.  */

#include "toml/toml_report.h"

#include "base/mem.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
add (struct toml_report *report, bool warning, unsigned line, unsigned column,
     const char *format, va_list arguments)
{
  struct toml_diagnostic *fault;
  char *text = NULL;

  if (vasprintf (&text, format, arguments) < 0)
    abort ();
  if (report->count == report->capacity)
    {
      size_t capacity = report->capacity == 0 ? 16 : report->capacity * 2;

      report->diagnostics = mem_resize (report->diagnostics, capacity,
                                        sizeof *report->diagnostics);
      report->capacity = capacity;
    }
  fault = &report->diagnostics[report->count];
  fault->warning = warning;
  fault->line = line;
  fault->column = column;
  fault->order = report->count++;
  fault->text = text;
}

void
toml_add_error (struct toml_report *report, unsigned line, unsigned column,
                const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  add (report, false, line, column, format, arguments);
  va_end (arguments);
}

void
toml_add_warning (struct toml_report *report, unsigned line, unsigned column,
                  const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  add (report, true, line, column, format, arguments);
  va_end (arguments);
  report->warning_count++;
}

bool
toml_has_errors (const struct toml_report *report)
{
  return report->count > report->warning_count;
}

static int
compare_faults (const void *left, const void *right)
{
  const struct toml_diagnostic *a = left;
  const struct toml_diagnostic *b = right;

  if (a->line != b->line)
    return a->line < b->line ? -1 : 1;
  if (a->column != b->column)
    return a->column < b->column ? -1 : 1;
  return a->order < b->order ? -1 : 1;
}

/* Returns the bytes of a character at TEXT that a terminal could take for a
   command or that changes the direction of text; 0 for any other.  */
static size_t
control_length (const unsigned char *text)
{
  if (text[0] < 0x20 || text[0] == 0x7f)
    return 1;
  if (text[0] == 0xc2 && text[1] >= 0x80 && text[1] <= 0x9f)
    return 2;
  if (text[0] == 0xe2 && text[1] == 0x80
      && (text[2] == 0x8e || text[2] == 0x8f
          || (text[2] >= 0xa8 && text[2] <= 0xae)))
    return 3;
  if (text[0] == 0xe2 && text[1] == 0x81 && text[2] >= 0xa6 && text[2] <= 0xa9)
    return 3;
  return 0;
}

static void
append_escaped (struct buf *output, const char *text)
{
  const unsigned char *byte = (const unsigned char *)text;

  while (*byte != '\0')
    {
      size_t length = control_length (byte);

      if (length == 0)
        buf_append (output, byte++, 1);
      for (; length > 0; length--)
        buf_printf (output, "\\x%02X", *byte++);
    }
}

void
toml_flush (struct toml_report *report, struct buf *output)
{
  if (report->count > 0)
    qsort (report->diagnostics, report->count, sizeof *report->diagnostics,
           compare_faults);
  for (size_t i = 0; i < report->count; i++)
    {
      struct toml_diagnostic *fault = &report->diagnostics[i];

      append_escaped (output, report->file_name);
      buf_printf (output, ":%u:%u: %s", fault->line, fault->column,
                  fault->warning ? "warning: " : "");
      append_escaped (output, fault->text);
      buf_append (output, "\n", 1);
      free (fault->text);
    }
  free (report->diagnostics);
  report->diagnostics = NULL;
  report->count = report->capacity = report->warning_count = 0;
}

const char *
toml_quote (const char *text, char quoted[TOML_QUOTE_SIZE])
{
  size_t length = strlen (text);
  size_t room = TOML_QUOTE_SIZE - sizeof "\"...\"";
  bool cut = length > room;

  if (cut)
    {
      length = room;
      while (length > 0 && ((unsigned char)text[length] & 0xc0) == 0x80)
        length--;
    }
  snprintf (quoted, TOML_QUOTE_SIZE, "\"%.*s%s\"", (int)length, text,
            cut ? "..." : "");
  return quoted;
}
