/* The object that makes the repeat of a keyed request recognisable.  */

#include "plt/plt_order.h"

#include "plt/plt_json.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

static const char *const state_names[PLT_ORDER_STATE_COUNT]
    = { "started", "answered", "unknown" };

void
plt_order_encode (const struct plt_order *order, struct buf *output)
{
  plt_json_write (json_pack ("{s:s, s:s, s:s, s:I, s:s}", "key", order->key,
                             "call", order->call, "node", order->node,
                             "written_at", (json_int_t)order->written_at,
                             "state", state_names[order->state]),
                  output);
}

static bool
decode_state (const json_t *root, enum plt_order_state *state)
{
  char name[16];

  if (!plt_json_text (root, "state", name, sizeof name))
    return false;
  for (int i = 0; i < PLT_ORDER_STATE_COUNT; i++)
    if (strcmp (name, state_names[i]) == 0)
      {
        *state = (enum plt_order_state)i;
        return true;
      }
  return false;
}

enum plt_status
plt_order_decode (const char *text, size_t length, struct plt_order *order)
{
  json_t *root = plt_json_parse ("order object", text, length);
  bool valid;

  memset (order, 0, sizeof *order);
  if (root == NULL)
    return PLT_INVALID;
  valid = plt_json_text (root, "key", order->key, sizeof order->key)
          && plt_json_text (root, "call", order->call, sizeof order->call)
          && plt_json_text (root, "node", order->node, sizeof order->node)
          && plt_json_number (root, "written_at", 0, PLT_JSON_MAX,
                              &order->written_at)
          && decode_state (root, &order->state);
  if (!valid)
    memset (order, 0, sizeof *order);
  return plt_json_finish (root, valid, "order object");
}

void
plt_order_object_key (const char *environment, const char *key,
                      char object_key[PLT_KEY_SIZE])
{
  XXH128_hash_t hash = XXH3_128bits (key, strlen (key));

  snprintf (object_key, PLT_KEY_SIZE, "orders/%s/%016" PRIx64 "%016" PRIx64,
            environment, hash.high64, hash.low64);
}
