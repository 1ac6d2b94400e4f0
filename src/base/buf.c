/* Growable byte buffer.  */

#include "base/buf.h"

#include "base/mem.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Capacity after the first allocation, in bytes.  */
#define INITIAL_CAPACITY 256

/* buf_consume frees memory when less than the capacity divided by this is in
   use.  */
#define SHRINK_DIVISOR 4

void
buf_init (struct buf *buffer)
{
  memset (buffer, 0, sizeof *buffer);
}

void
buf_close (struct buf *buffer)
{
  free (buffer->data);
  buf_init (buffer);
}

void
buf_reserve (struct buf *buffer, size_t extra)
{
  size_t needed = buffer->length + extra + 1;
  size_t capacity = buffer->capacity ? buffer->capacity : INITIAL_CAPACITY;

  if (needed <= buffer->capacity)
    return;
  while (capacity < needed)
    capacity *= 2;
  buffer->data = mem_resize (buffer->data, capacity, 1);
  buffer->capacity = capacity;
}

void
buf_append (struct buf *buffer, const void *data, size_t length)
{
  buf_reserve (buffer, length);
  if (length > 0)
    memcpy (buffer->data + buffer->length, data, length);
  buffer->length += length;
  buffer->data[buffer->length] = '\0';
}

void
buf_consume (struct buf *buffer, size_t length)
{
  size_t left = buffer->length - length;

  if (length == 0)
    return;
  if (left == 0)
    {
      buf_close (buffer);
      return;
    }
  memmove (buffer->data, buffer->data + length, left + 1);
  buffer->length = left;
  if (left + 1 > buffer->capacity / SHRINK_DIVISOR)
    return;
  buffer->capacity = left + 1;
  buffer->data = mem_resize (buffer->data, buffer->capacity, 1);
}

void
buf_printf (struct buf *buffer, const char *format, ...)
{
  va_list arguments;
  int length;

  va_start (arguments, format);
  length = vsnprintf (NULL, 0, format, arguments);
  va_end (arguments);
  if (length < 0)
    return;
  buf_reserve (buffer, (size_t)length);
  va_start (arguments, format);
  vsnprintf ((char *)buffer->data + buffer->length, (size_t)length + 1, format,
             arguments);
  va_end (arguments);
  buffer->length += (size_t)length;
}

const char *
buf_text (const struct buf *buffer)
{
  return buffer->data ? (const char *)buffer->data : "";
}
