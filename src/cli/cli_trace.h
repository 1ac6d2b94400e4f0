/* Trace of one call, gathered from nodes.  */

#ifndef MULBERRYSHIFT_CLI_CLI_TRACE_H
#define MULBERRYSHIFT_CLI_CLI_TRACE_H

#include "base/buf.h"

#include <jansson.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Returns whether TEXT has the form of a call ID: 16 hexadecimal digits, "-"
     and a decimal number.  */
  bool cli_trace_is_id (const char *text);

  /* Sorts CALLS, an array of what nodes returned with the member "node"
     added, by their beginning.  Returns a new array.  */
  json_t *cli_trace_sort (const json_t *calls);

  /* Appends one line for each call and one for each of its tries, in the
     order of CALLS.  */
  void cli_trace_text (const json_t *calls, struct buf *output);

#ifdef __cplusplus
}
#endif

#endif
