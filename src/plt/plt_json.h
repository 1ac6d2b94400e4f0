/* Strict reading of the fields of a platform object's JSON.  */

#ifndef MULBERRYSHIFT_PLT_PLT_JSON_H
#define MULBERRYSHIFT_PLT_PLT_JSON_H

#include "plt/plt.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Largest number that JSON objects of the platform carry.  */
#define PLT_JSON_MAX INT64_MAX

  /* Parses one JSON object.  Returns null with err_set when TEXT is anything
     else or repeats a key.  */
  json_t *plt_json_parse (const char *what, const char *text, size_t length);

  /* Copies the text KEY.  Returns false when it is missing, of another kind,
     contains a null byte or does not fit into SIZE bytes.  */
  bool plt_json_text (const json_t *root, const char *key, char *place,
                      size_t size);

  /* Copies the number KEY.  Returns false when it is missing, of another
     kind or not in [MINIMUM, MAXIMUM].  */
  bool plt_json_number (const json_t *root, const char *key, uint64_t minimum,
                        uint64_t maximum, uint64_t *place);

  /* Copies the truth value KEY.  Returns false when it is missing or of
     another kind.  */
  bool plt_json_boolean (const json_t *root, const char *key, bool *place);

  /* Copies an array of at most LIMIT texts into rows of SIZE bytes.  Returns
     false when it is missing, too long or an element is not such a text.  */
  bool plt_json_texts (const json_t *root, const char *key, char *rows,
                       size_t size, size_t limit, size_t *count);

  /* Builds an array of COUNT rows of SIZE bytes.  */
  json_t *plt_json_rows (const char *rows, size_t size, size_t count);

  /* Appends the compact text of ROOT and drops the reference.  Appends
     nothing when ROOT is null, which json_pack returns for text that is not
     UTF-8.  */
  void plt_json_write (json_t *root, struct buf *output);

  /* Drops ROOT and returns PLT_OK when VALID, else PLT_INVALID with
     err_set.  */
  enum plt_status plt_json_finish (json_t *root, bool valid, const char *what);

#ifdef __cplusplus
}
#endif

#endif
