/* Deltas: zstd compression with the base document as prefix.  */

#include "base/err.h"
#include "ver/ver.h"

#include <stdlib.h>
#define ZSTD_STATIC_LINKING_ONLY
#include <zstd.h>

#define COMPRESSION_LEVEL 3
/* The window covers the longest document; of a longer prefix and result
   together only the last 2^21 bytes are compared.  */
#define MAX_WINDOW_LOG 21

static int
window_log (size_t length)
{
  int log = ZSTD_WINDOWLOG_MIN;

  while (((size_t)1 << log) < length && log < MAX_WINDOW_LOG)
    log++;
  return log;
}

enum ver_status
ver_encode (const char *base, size_t base_length, const char *result,
            size_t length, struct buf *delta)
{
  size_t bound = ZSTD_compressBound (length);
  size_t written;
  ZSTD_CCtx *context;

  if (length > VER_MAX_LENGTH || base_length > VER_MAX_LENGTH)
    {
      err_set ("a document of %zu bytes exceeds the limit of %u bytes", length,
               VER_MAX_LENGTH);
      return VER_TOO_LONG;
    }
  context = ZSTD_createCCtx ();
  if (context == NULL)
    abort ();
  ZSTD_CCtx_setParameter (context, ZSTD_c_compressionLevel, COMPRESSION_LEVEL);
  ZSTD_CCtx_setParameter (context, ZSTD_c_windowLog,
                          window_log (base_length + length));
  ZSTD_CCtx_refPrefix (context, base, base_length);
  buf_reserve (delta, bound);
  written = ZSTD_compress2 (context, delta->data + delta->length, bound,
                            result, length);
  ZSTD_freeCCtx (context);
  if (ZSTD_isError (written))
    abort ();
  delta->length += written;
  return VER_OK;
}

enum ver_status
ver_decode (const char *base, size_t base_length, const void *delta,
            size_t delta_length, struct buf *result)
{
  unsigned long long size = ZSTD_getFrameContentSize (delta, delta_length);
  size_t written;
  ZSTD_DCtx *context;

  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
    {
      err_set ("the %zu bytes received are not a compressed document",
               delta_length);
      return VER_INVALID;
    }
  if (size > VER_MAX_LENGTH || base_length > VER_MAX_LENGTH)
    {
      err_set ("a compressed document of %llu bytes exceeds the limit of %u "
               "bytes",
               size, VER_MAX_LENGTH);
      return VER_TOO_LONG;
    }
  context = ZSTD_createDCtx ();
  if (context == NULL)
    abort ();
  ZSTD_DCtx_setParameter (context, ZSTD_d_windowLogMax, MAX_WINDOW_LOG);
  ZSTD_DCtx_refPrefix (context, base, base_length);
  buf_reserve (result, (size_t)size + 1);
  written = ZSTD_decompressDCtx (context, result->data + result->length,
                                 (size_t)size, delta, delta_length);
  ZSTD_freeDCtx (context);
  if (ZSTD_isError (written) || written != size)
    {
      err_set ("the compressed document is damaged");
      return VER_INVALID;
    }
  result->length += written;
  result->data[result->length] = '\0';
  return VER_OK;
}
