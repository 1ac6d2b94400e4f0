/* Line-based difference of two texts.  */

#ifndef MULBERRYSHIFT_CLI_CLI_LINES_H
#define MULBERRYSHIFT_CLI_CLI_LINES_H

#include "base/buf.h"

#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Gets each changed line in order: SIGN is '-' for a line only in the first
     text and '+' for one only in the second; NUMBER counts from 1 in that
     text.  TEXT has LENGTH bytes without the newline.  */
  typedef void (*cli_lines_visitor) (void *context, char sign, size_t number,
                                     const char *text, size_t length);

  /* Compares two texts and returns the number of changed lines.  Texts whose
     differing parts have more than 4 million pairs of lines are reported as
     replaced whole in that part.  */
  size_t cli_lines_compare (const char *before, const char *after,
                            cli_lines_visitor visitor, void *context);

  /* Appends "-NUMBER: TEXT" and "+NUMBER: TEXT" lines, or one sentence when
     the texts are equal.  Returns the number of changed lines.  */
  size_t cli_lines_text (const char *before, const char *after,
                         struct buf *output);

#ifdef __cplusplus
}
#endif

#endif
