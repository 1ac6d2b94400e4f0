/* Memory allocation that never returns null.

   When memory is exhausted, these functions abort the process.  A node has no
   state that must survive it and the other nodes continue, so a restart is
   safer than untested error handling in every caller.  */

#ifndef MULBERRYSHIFT_BASE_MEM_H
#define MULBERRYSHIFT_BASE_MEM_H

#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Returns COUNT zeroed elements of SIZE bytes; COUNT may be 0.  The caller
     frees the memory with free, as for all functions below.  */
  void *mem_alloc (size_t count, size_t size);

  /* Resizes MEMORY, which may be null, to COUNT elements of SIZE bytes; COUNT
     may be 0.  Added bytes are not initialized.  */
  void *mem_resize (void *memory, size_t count, size_t size);

  /* Returns a copy of LENGTH bytes of DATA with a terminating null byte.  */
  void *mem_copy (const void *data, size_t length);

  /* Returns a copy of the string TEXT.  */
  char *mem_copy_string (const char *text);

#ifdef __cplusplus
}
#endif

#endif
