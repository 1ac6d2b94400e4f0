/* Parses a text and goes on after lines with faulty syntax.  */

#include "base/mem.h"
#include "toml/toml_report.h"

#include <stdlib.h>
#include <string.h>

/* Faulty lines that are left out before the rest is given up.  */
#define MAX_SYNTAX_FAULTS 20

static char *
skip_blanks (char *text, const char *end)
{
  while (text < end && (*text == ' ' || *text == '\t'))
    text++;
  return text;
}

/* Returns the start of the line after the one at TEXT, END when there is
   none.  */
static char *
next_line (char *text, char *end)
{
  while (text < end && *text != '\n')
    text++;
  return text < end ? text + 1 : end;
}

static bool
blank_line (char *text, char *end)
{
  char *after = next_line (text, end);
  bool changed = false;

  for (; text < after; text++)
    if (*text != '\n' && *text != '\r' && *text != ' ')
      {
        *text = ' ';
        changed = true;
      }
  return changed;
}

/* Blanks the line; with a faulty header the lines up to the next header too,
   since they would count as part of the table before.  Returns false when
   there was nothing to blank.  */
static bool
leave_out (char *text, size_t length, unsigned line)
{
  char *end = text + length;
  char *start;
  bool header;

  for (; line > 1 && text < end; line--)
    text = next_line (text, end);
  start = skip_blanks (text, end);
  header = start < end && *start == '[';
  if (!blank_line (text, end))
    return false;
  if (!header)
    return true;
  for (text = next_line (text, end); text < end; text = next_line (text, end))
    {
      start = skip_blanks (text, end);
      if (start < end && *start == '[')
        break;
      blank_line (text, end);
    }
  return true;
}

#define UNCLOSED                                                              \
  "a text in quotes does not end on this line; add the closing quote"

/* Returns a plain sentence for the parser's MESSAGE.  */
static const char *
explain (const char *message)
{
  static const struct
  {
    const char *part; /* of the message; the first that fits counts */
    const char *sentence;
  } sentences[] = {
    { "unescaped control characters", UNCLOSED },
    { "parsing string: encountered end-of-file", UNCLOSED },
    { "escape sequence", "a \"\\\" in quotes must be followed by another; "
                         "write \"\\\\\"" },
    { "cannot redefine",
      "this name is already set above; remove one of the two lines" },
    { "pair: expected a comment", "there is more after the value; write only "
                                  "one key with its value in a line" },
    { "table header",
      "this heading is not correct; write for example [[route]] on a line of "
      "its own" },
    { "parsing array",
      "this list is not correct; write for example [\"GET\", \"POST\"]" },
    { "inline table",
      "these braces are not correct; write the keys on lines of their own" },
    { "parsing string",
      "this text is not correct; write for example \"stock\"" },
    { "key-value pair",
      "this line is not complete; write for example name = \"stock\"" },
    { "leading zeroes",
      "this number begins with a 0; write it without the 0" },
    { "not representable", "this number is too large; write a smaller one" },
    { "parsing", "this value cannot be read; write texts in straight quotes "
                 "(\"), and numbers, true and false without" },
  };

  for (size_t i = 0; i < sizeof sentences / sizeof *sentences; i++)
    if (strstr (message, "root table") == NULL
        && strstr (message, sentences[i].part) != NULL)
      return sentences[i].sentence;
  return "this line cannot be read; check its quotes, brackets and \"=\"";
}

struct toml_node *
toml_parse_with_recovery (const char *text, size_t length,
                          struct toml_report *report)
{
  struct toml_node *root = NULL;
  struct toml_error error;
  enum toml_status status;
  unsigned last_line = 0;
  char *copy = mem_copy (text, length);

  for (int i = 0; i < MAX_SYNTAX_FAULTS; i++)
    {
      status = toml_parse (copy, length, &root, &error);
      if (status == TOML_OK)
        break;
      report->incomplete = true;
      if (error.line == last_line)
        break;
      last_line = error.line;
      toml_add_error (report, error.line, error.column, "%s",
                      status == TOML_SYNTAX ? explain (error.message)
                                            : error.message);
      if (status != TOML_SYNTAX || !leave_out (copy, length, error.line))
        break;
    }
  free (copy);
  return root;
}
