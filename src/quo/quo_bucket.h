/* The owner's table of buckets, one a tenant.  What was granted longer ago
   than QUO_HISTORY_SPAN does not count (quo_history).  Pure.

   Load that it answers: 80 to 750 nodes ask for credit of the same tenants,
   some for hundreds of requests a second, most for less than one, and one
   tenant asks for eight times its rate.

   Bound: the credit granted by one table in any window of W seconds, W at most
   5.2, is at most R x W + B + R x QUO_EXTRA_PART.  A node may use credit for
   QUO_LEASE_TIME after it asked, and unused credit comes back within 50 ms
   more, so at most R x (W + 0.32) + B requests get credit in a window of at
   most 5 s.  Each change of the owner adds R x QUO_START_PART + 1.  */

#ifndef MULBERRYSHIFT_QUO_QUO_BUCKET_H
#define MULBERRYSHIFT_QUO_QUO_BUCKET_H

#include "base/clk.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Buckets of a table at most; the least recently used one gives way.  */
#define QUO_MAX_BUCKETS 1024

/* Time of the rate that a full bucket holds beyond the burst, in s; it covers
   the delay between two requests for credit.  */
#define QUO_EXTRA_PART 0.12

/* Time of the rate that a new bucket holds, in s.  */
#define QUO_START_PART 0.05

  /* Limit of a tenant.  */
  struct quo_limit
  {
    double rate;  /* requests per second on all nodes; above 0 */
    double burst; /* requests beyond the rate */
    double share; /* part of both that this table may grant, 0 to 1 */
  };

  /* What a bucket grants.  */
  struct quo_grant
  {
    uint32_t credit; /* 0: none */
    clk_time wait;   /* ns until there is credit for this asker when none was
                        granted, those refused before it first */
    bool is_tight;   /* less than half of a full bucket is left */
  };

  struct quo_table;

  /* Creates a table without buckets.  */
  struct quo_table *quo_table_create (void);

  /* Frees it.  Null is allowed.  */
  void quo_table_destroy (struct quo_table *table);

  /* Takes up to WANTED credits of tenant NAME, after RETURNED unused ones were
     put back.  A bucket is created when first asked, and cut when LIMIT is
     lower than before.  A bucket takes 40 bytes and its name, and 440 bytes
     more until its grants are forgotten.  */
  struct quo_grant quo_table_take (struct quo_table *table, const char *name,
                                   const struct quo_limit *limit,
                                   uint32_t wanted, uint32_t returned,
                                   clk_time now);

  /* Returns whether there is a bucket of tenant NAME.  */
  bool quo_table_has (const struct quo_table *table, const char *name);

  /* Removes the buckets for whose tenants KEEP returns false: while another
     node is the owner they would fill, and grant a burst once more later.  */
  void quo_table_prune (struct quo_table *table,
                        bool (*keep) (void *context, const char *name),
                        void *context);

  /* Frees the memory of grants that do not count any more.  */
  void quo_table_forget (struct quo_table *table, clk_time now);

  /* Returns the number of buckets that hold memory of grants.  */
  size_t quo_table_history_count (const struct quo_table *table);

  /* Returns the number of buckets.  */
  size_t quo_table_count (const struct quo_table *table);

#ifdef __cplusplus
}
#endif

#endif
