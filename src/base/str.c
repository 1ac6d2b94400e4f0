/* Reference-counted strings.  */

#include "base/str.h"

#include "base/mem.h"

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

struct shared
{
  uint32_t reference_count;
  char text[];
};

static struct shared *
shared_of (char *text)
{
  return (struct shared *)(void *)(text - offsetof (struct shared, text));
}

char *
str_create (const char *text)
{
  size_t length = strlen (text);
  struct shared *shared = mem_alloc (1, sizeof *shared + length + 1);

  shared->reference_count = 1;
  memcpy (shared->text, text, length + 1);
  return shared->text;
}

char *
str_retain (char *text)
{
  shared_of (text)->reference_count++;
  return text;
}

void
str_release (char *text)
{
  if (text != NULL && --shared_of (text)->reference_count == 0)
    free (shared_of (text));
}
