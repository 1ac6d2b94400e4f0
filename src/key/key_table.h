/* Bounded table of order keys in the order of their claims.  Pure.  */

#ifndef MULBERRYSHIFT_KEY_KEY_TABLE_H
#define MULBERRYSHIFT_KEY_KEY_TABLE_H

#include "key/key.h"

#include <xxhash.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct key_table;

  /* Creates an empty table.  */
  struct key_table *key_table_create (uint32_t entries);

  /* Frees the table.  */
  void key_table_destroy (struct key_table *table);

  /* Claims a key at NOW.  Returns KEY_NEW, KEY_DUPLICATE or KEY_FULL.  */
  enum key_status key_table_claim (struct key_table *table, XXH128_hash_t key,
                                   struct out_id id, clk_time now,
                                   struct out_id *first);

  /* Makes the key free again if ID holds it.  */
  void key_table_release (struct key_table *table, XXH128_hash_t key,
                          struct out_id id);

#ifdef __cplusplus
}
#endif

#endif
