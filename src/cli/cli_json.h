/* JSON output of the commands.  */

#ifndef MULBERRYSHIFT_CLI_CLI_JSON_H
#define MULBERRYSHIFT_CLI_CLI_JSON_H

#include "plt/plt_config.h"
#include "plt/plt_status_report.h"

#include <jansson.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Returns an object with the fields of CONFIG; the document only if
     WITH_DOCUMENT.  */
  json_t *cli_json_config (const struct plt_config *config,
                           bool with_document);

  /* Returns an object with the fields of REPORT and "old", whether it is too
     old at WALL_MS to rely on.  */
  json_t *cli_json_report (const struct plt_status_report *report,
                           uint64_t wall_ms);

  /* Prints ROOT on one or more lines and drops the reference.  */
  void cli_json_print (json_t *root);

#ifdef __cplusplus
}
#endif

#endif
