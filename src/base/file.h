/* Reads whole files of bounded length.  */

#ifndef MULBERRYSHIFT_BASE_FILE_H
#define MULBERRYSHIFT_BASE_FILE_H

#include "base/buf.h"

#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Longest file that is read, in bytes: the largest value that the platform
   stores.  */
#define FILE_MAX_LENGTH (1024u * 1024u)

  /* Appends the content of the file PATH to CONTENT.  Returns false with
     err_set when it cannot be read or is longer than FILE_MAX_LENGTH.  */
  bool file_read (const char *path, struct buf *content);

#ifdef __cplusplus
}
#endif

#endif
