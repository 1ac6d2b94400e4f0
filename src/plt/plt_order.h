/* The object that makes the repeat of a keyed request recognisable.  */

#ifndef MULBERRYSHIFT_PLT_PLT_ORDER_H
#define MULBERRYSHIFT_PLT_PLT_ORDER_H

#include "plt/plt.h"

#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define PLT_ORDER_KEY_SIZE 256

  enum plt_order_state
  {
    PLT_ORDER_STARTED,  /* may be running, or its node died */
    PLT_ORDER_ANSWERED, /* ran; the caller was answered */
    PLT_ORDER_UNKNOWN,  /* may have run */
    PLT_ORDER_STATE_COUNT
  };

  struct plt_order
  {
    char key[PLT_ORDER_KEY_SIZE]; /* the caller's Idempotency-Key */
    char call[64];                /* call ID */
    char node[64];                /* node whose gate created the object */
    uint64_t written_at;          /* wall clock, ms since the epoch */
    enum plt_order_state state;
  };

  /* Appends the JSON text of ORDER.  */
  void plt_order_encode (const struct plt_order *order, struct buf *output);

  /* Parses JSON text.  Returns PLT_INVALID with err_set, and ORDER zeroed,
     when a field is missing, of another kind or out of range.  */
  enum plt_status plt_order_decode (const char *text, size_t length,
                                    struct plt_order *order);

  /* Writes the key "orders/ENVIRONMENT/HASH", where HASH is the 128-bit XXH3
     of KEY in hex.  Two keys with one hash are distinguished by the object's
     key field.  */
  void plt_order_object_key (const char *environment, const char *key,
                             char object_key[PLT_KEY_SIZE]);

#ifdef __cplusplus
}
#endif

#endif
