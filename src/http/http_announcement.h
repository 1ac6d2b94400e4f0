/* Announcement of an upstream, in JSON.  */

#ifndef MULBERRYSHIFT_HTTP_HTTP_ANNOUNCEMENT_H
#define MULBERRYSHIFT_HTTP_HTTP_ANNOUNCEMENT_H

#include "up/up_lease.h"

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Reads LENGTH bytes of JSON.  Returns false with err_set, a sentence that
     names the field and what it must be, when a field is missing, unknown, of
     the wrong kind or out of range.  */
  bool http_read_announcement (const char *text, size_t length,
                               struct up_announcement *announcement);

#ifdef __cplusplus
}
#endif

#endif
