/* Memory allocation that aborts when memory is exhausted.  */

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

void *
mem_alloc (size_t count, size_t size)
{
  void *memory = calloc (count == 0 ? 1 : count, size);

  if (memory == NULL)
    abort ();
  return memory;
}

void *
mem_resize (void *memory, size_t count, size_t size)
{
  void *result = reallocarray (memory, count == 0 ? 1 : count, size);

  if (result == NULL)
    abort ();
  return result;
}

void *
mem_copy (const void *data, size_t length)
{
  char *copy = malloc (length + 1);

  if (copy == NULL)
    abort ();
  if (length > 0)
    memcpy (copy, data, length);
  copy[length] = '\0';
  return copy;
}

char *
mem_copy_string (const char *text)
{
  return mem_copy (text, strlen (text));
}
