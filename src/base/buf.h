/* Growable byte buffer.  */

#ifndef MULBERRYSHIFT_BASE_BUF_H
#define MULBERRYSHIFT_BASE_BUF_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* A growable buffer.  Zero-initialize it or call buf_init.  After every
     append a terminating null byte, which LENGTH does not count, follows the
     data, so that text can be used as a C string.  */
  struct buf
  {
    uint8_t *data;
    size_t length;
    size_t capacity;
  };

  /* Initializes an empty buffer without allocating memory.  */
  void buf_init (struct buf *buffer);

  /* Frees the memory and leaves an empty buffer.  */
  void buf_close (struct buf *buffer);

  /* Allocates memory for EXTRA more bytes and the terminating null byte.
     Aborts when memory is exhausted, like all functions that append.  */
  void buf_reserve (struct buf *buffer, size_t extra);

  /* Appends LENGTH bytes of DATA.  */
  void buf_append (struct buf *buffer, const void *data, size_t length);

  /* Removes the first LENGTH bytes, and frees the memory that is no longer
     needed when that is most of it.  */
  void buf_consume (struct buf *buffer, size_t length);

  /* Appends printf-style text.  */
  void buf_printf (struct buf *buffer, const char *format, ...)
      __attribute__ ((format (printf, 2, 3)));

  /* Returns the data as a string, "" for an empty buffer.  */
  const char *buf_text (const struct buf *buffer);

#ifdef __cplusplus
}
#endif

#endif
