/* The platform's list of objects.  */

#ifndef MULBERRYSHIFT_PLT_PLT_LIST_H
#define MULBERRYSHIFT_PLT_PLT_LIST_H

#include "plt/plt.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* Parses {"objects":[{"key","etag","value"}, ...]}, where each field is a
     text.  Returns PLT_INVALID with err_set, and LIST empty, when anything
     else is found or a key or ETag is too long; else PLT_OK, and the caller
     frees LIST with plt_list_close.  */
  enum plt_status plt_list_decode (const char *text, size_t length,
                                   struct plt_list *list);

#ifdef __cplusplus
}
#endif

#endif
