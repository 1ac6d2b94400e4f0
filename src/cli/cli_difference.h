/* Difference of two documents for the operator.  */

#ifndef MULBERRYSHIFT_CLI_CLI_DIFFERENCE_H
#define MULBERRYSHIFT_CLI_CLI_DIFFERENCE_H

#include "base/buf.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Appends what changes from BEFORE to AFTER: by service, route and limit
     when both are valid documents, else by line.  */
  void cli_difference_text (const struct buf *before, const struct buf *after,
                            struct buf *output);

  /* Returns the same as an object: {"same_text", "changes"} as
     doc_diff_print_json writes it, or {"lines": [{"change", "line", "text"}]}.
   */
  json_t *cli_difference_json (const struct buf *before,
                               const struct buf *after);

#ifdef __cplusplus
}
#endif

#endif
