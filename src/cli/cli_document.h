/* Reading of the document that an operator names on the command line.  */

#ifndef MULBERRYSHIFT_CLI_CLI_DOCUMENT_H
#define MULBERRYSHIFT_CLI_CLI_DOCUMENT_H

#include "base/buf.h"
#include "doc/doc.h"

#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Reads and checks FILE and prints what is wrong with it, or its warnings,
     to standard error; ENDING follows when it is wrong.  A document without
     routes is refused, since it would end every call.  On true the caller
     frees *DOCUMENT with doc_destroy and TEXT, which holds the file.  */
  bool cli_read_document (const char *file, const char *ending,
                          struct doc_document **document, struct buf *text);

#ifdef __cplusplus
}
#endif

#endif
