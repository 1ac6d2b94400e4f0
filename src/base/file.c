/* Reads whole files of bounded length.  */

#include "base/file.h"

#include "base/err.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

bool
file_read (const char *path, struct buf *content)
{
  FILE *file = fopen (path, "rbe");
  char part[8192];
  size_t count;
  bool complete;

  if (file == NULL)
    {
      err_set ("cannot read %s: %s", path, strerror (errno));
      return false;
    }
  while (content->length <= FILE_MAX_LENGTH
         && (count = fread (part, 1, sizeof part, file)) > 0)
    buf_append (content, part, count);
  complete = !ferror (file) && content->length <= FILE_MAX_LENGTH;
  if (!complete)
    err_set ("cannot read %s: the file is longer than %u bytes or the disk "
             "failed",
             path, FILE_MAX_LENGTH);
  fclose (file);
  return complete;
}
