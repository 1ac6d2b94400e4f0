/* Observations of members, by key; bounded.  */

#ifndef MULBERRYSHIFT_BAL_BAL_TABLE_H
#define MULBERRYSHIFT_BAL_BAL_TABLE_H

#include "bal/bal.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct bal_member
  {
    uint64_t key;
    clk_time since;      /* start of the slow start */
    clk_time used;       /* last look-up */
    clk_time measured;   /* last latency sample */
    clk_time ejected_to; /* end of the last ejection; 0: never ejected */
    int64_t latency;     /* EWMA in ns; 0: not measured */
    uint32_t outstanding;
    uint32_t failures;  /* weight of consecutive failures */
    uint32_t ejections; /* consecutive */
  };

  struct bal_table;

  /* Creates an empty table.  */
  struct bal_table *bal_table_create (void);

  /* Frees the table.  */
  void bal_table_destroy (struct bal_table *table);

  /* Returns the entry of KEY, null when there is none.  Valid until the next
     bal_table_get.  */
  struct bal_member *bal_table_find (struct bal_table *table, uint64_t key);

  /* Returns the entry of KEY; adds it, replacing the entry unused for longest
     when the table is full.  */
  struct bal_member *bal_table_get (struct bal_table *table, uint64_t key,
                                    clk_time now);

#ifdef __cplusplus
}
#endif

#endif
