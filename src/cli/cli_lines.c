/* Line-based difference of two texts, by the longest common subsequence.  */

#include "cli/cli_lines.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* Bound of the table, in cells of 4 bytes.  */
#define MAX_CELLS 4000000u

struct line
{
  const char *text;
  size_t length;
};

struct lines
{
  struct line *items;
  size_t count;
};

/* The visitor and what it has seen.  */
struct visit
{
  cli_lines_visitor visitor;
  void *context;
  size_t changes;
};

static struct lines
split (const char *text)
{
  struct lines lines = { 0 };
  size_t capacity = 1;

  for (const char *c = text; *c != '\0'; c++)
    capacity += *c == '\n' ? 1 : 0;
  lines.items = calloc (capacity, sizeof *lines.items);
  if (lines.items == NULL)
    abort ();
  while (*text != '\0')
    {
      size_t length = strcspn (text, "\n");

      lines.items[lines.count++] = (struct line){ text, length };
      text += length + (text[length] == '\n' ? 1 : 0);
    }
  return lines;
}

static bool
equal (struct line left, struct line right)
{
  return left.length == right.length
         && memcmp (left.text, right.text, left.length) == 0;
}

static void
report (struct visit *visit, char sign, const struct lines *lines,
        size_t index)
{
  visit->visitor (visit->context, sign, index + 1, lines->items[index].text,
                  lines->items[index].length);
  visit->changes++;
}

/* Reports the lines in [FIRST, END) of both texts, as far as they are not
   common.  TABLE[i][j] is the length of the longest common subsequence from
   there on; null: nothing is common.  */
static void
walk (struct visit *visit, const struct lines *before, size_t before_end,
      const struct lines *after, size_t after_end, size_t first,
      const uint32_t *table)
{
  size_t width = after_end - first + 1;
  size_t i = first;
  size_t j = first;

  while (i < before_end || j < after_end)
    if (table != NULL && i < before_end && j < after_end
        && equal (before->items[i], after->items[j]))
      {
        i++;
        j++;
      }
    else if (i < before_end
             && (j == after_end || table == NULL
                 || table[(i - first + 1) * width + j - first]
                        >= table[(i - first) * width + j - first + 1]))
      report (visit, '-', before, i++);
    else
      report (visit, '+', after, j++);
}

static uint32_t *
make_table (const struct lines *before, size_t before_end,
            const struct lines *after, size_t after_end, size_t first)
{
  size_t height = before_end - first + 1;
  size_t width = after_end - first + 1;
  uint32_t *table;

  if (height > MAX_CELLS / width)
    return NULL;
  table = calloc (height * width, sizeof *table);
  if (table == NULL)
    abort ();
  for (size_t i = height - 1; i-- > 0;)
    for (size_t j = width - 1; j-- > 0;)
      {
        uint32_t down = table[(i + 1) * width + j];
        uint32_t right = table[i * width + j + 1];

        if (equal (before->items[first + i], after->items[first + j]))
          table[i * width + j] = table[(i + 1) * width + j + 1] + 1;
        else
          table[i * width + j] = down > right ? down : right;
      }
  return table;
}

size_t
cli_lines_compare (const char *before_text, const char *after_text,
                   cli_lines_visitor visitor, void *context)
{
  struct visit visit = { visitor, context, 0 };
  struct lines before = split (before_text);
  struct lines after = split (after_text);
  size_t before_end = before.count;
  size_t after_end = after.count;
  size_t first = 0;
  uint32_t *table;

  while (first < before_end && first < after_end
         && equal (before.items[first], after.items[first]))
    first++;
  while (before_end > first && after_end > first
         && equal (before.items[before_end - 1], after.items[after_end - 1]))
    {
      before_end--;
      after_end--;
    }
  table = make_table (&before, before_end, &after, after_end, first);
  walk (&visit, &before, before_end, &after, after_end, first, table);
  free (table);
  free (before.items);
  free (after.items);
  return visit.changes;
}

static void
append_line (void *context, char sign, size_t number, const char *text,
             size_t length)
{
  buf_printf (context, "%c%zu: %.*s\n", sign, number, (int)length, text);
}

size_t
cli_lines_text (const char *before, const char *after, struct buf *output)
{
  size_t changes = cli_lines_compare (before, after, append_line, output);

  if (changes == 0)
    buf_printf (output, "There is no difference between the lines.\n");
  return changes;
}
