/* Token buckets of tenants.  */

#include "quo/quo_bucket.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

/* Longest wait that a bucket reports, and the furthest that places of refused
   askers reach ahead.  */
#define LONGEST_WAIT (2 * CLK_SECOND)

/* Sums of fractions that should be whole come out lower by less than this.  */
#define ROUNDING 1e-9

struct bucket
{
  char *name;
  double credit;
  clk_time filled_at;
  clk_time
      promised_until; /* credit until then was promised to refused nodes */
  clk_time used_at;
};

struct quo_table
{
  struct bucket *buckets;
  size_t count;
};

struct quo_table *
quo_table_create (void)
{
  return mem_alloc (1, sizeof (struct quo_table));
}

void
quo_table_destroy (struct quo_table *table)
{
  if (table == NULL)
    return;
  for (size_t i = 0; i < table->count; i++)
    free (table->buckets[i].name);
  free (table->buckets);
  free (table);
}

/* Returns a place for one more bucket: a new one, or that of the bucket that
   was used least recently.  */
static struct bucket *
make_place (struct quo_table *table)
{
  struct bucket *oldest = table->buckets;

  if (table->count < QUO_MAX_BUCKETS)
    {
      table->buckets = mem_resize (table->buckets, table->count + 1,
                                   sizeof *table->buckets);
      return &table->buckets[table->count++];
    }
  for (size_t i = 1; i < table->count; i++)
    if (table->buckets[i].used_at < oldest->used_at)
      oldest = &table->buckets[i];
  free (oldest->name);
  return oldest;
}

static struct bucket *
find_bucket (const struct quo_table *table, const char *name)
{
  for (size_t i = 0; i < table->count; i++)
    if (strcmp (table->buckets[i].name, name) == 0)
      return &table->buckets[i];
  return NULL;
}

bool
quo_table_has (const struct quo_table *table, const char *name)
{
  return find_bucket (table, name) != NULL;
}

static struct bucket *
use_bucket (struct quo_table *table, const char *name,
            const struct quo_limit *limit, clk_time now)
{
  struct bucket *bucket = find_bucket (table, name);

  if (bucket != NULL)
    return bucket;
  bucket = make_place (table);
  *bucket = (struct bucket){ .name = mem_copy_string (name),
                             .credit = 1 + limit->rate * QUO_START_PART,
                             .filled_at = now };
  return bucket;
}

/* Returns the credit of a full bucket.  */
static double
depth_of (const struct quo_limit *limit)
{
  double depth = limit->share * (limit->burst + limit->rate * QUO_EXTRA_PART);

  return depth > 1 ? depth : 1;
}

/* Adds what has come since the last time and what was RETURNED.  */
static void
fill (struct bucket *bucket, const struct quo_limit *limit, uint32_t returned,
      clk_time now)
{
  double depth = depth_of (limit);
  double elapsed = (double)(now - bucket->filled_at) / (double)CLK_SECOND;

  bucket->credit += limit->rate * limit->share * elapsed + returned;
  if (bucket->credit > depth)
    bucket->credit = depth;
  bucket->filled_at = now;
}

/* Returns the wait of an asker of WANTED credits that gets none now.  */
static clk_time
find_wait (struct bucket *bucket, const struct quo_limit *limit,
           uint32_t wanted, clk_time now)
{
  double rate = limit->rate * limit->share;
  clk_time latest = now + LONGEST_WAIT;
  double seconds = rate > 0 ? (1 - bucket->credit) / rate : 2;
  clk_time at
      = seconds < 2 ? now + (clk_time)(seconds * (double)CLK_SECOND) : latest;
  double taken = rate > 0 ? wanted / rate : 2;

  if (at < bucket->promised_until)
    at = bucket->promised_until;
  if (at > latest)
    at = latest;
  bucket->promised_until
      = taken < 2 ? at + (clk_time)(taken * (double)CLK_SECOND) : latest;
  return at - now;
}

struct quo_grant
quo_table_take (struct quo_table *table, const char *name,
                const struct quo_limit *limit, uint32_t wanted,
                uint32_t returned, clk_time now)
{
  struct bucket *bucket = use_bucket (table, name, limit, now);
  struct quo_grant grant = { 0 };

  fill (bucket, limit, returned, now);
  bucket->used_at = now;
  if (wanted == 0)
    return grant;
  grant.credit = bucket->credit + ROUNDING < wanted
                     ? (uint32_t)(bucket->credit + ROUNDING)
                     : wanted;
  bucket->credit -= grant.credit;
  grant.is_tight = bucket->credit < depth_of (limit) / 2;
  if (grant.credit == 0)
    grant.wait = find_wait (bucket, limit, wanted, now);
  return grant;
}

void
quo_table_prune (struct quo_table *table,
                 bool (*keep) (void *context, const char *name), void *context)
{
  size_t kept = 0;

  for (size_t i = 0; i < table->count; i++)
    if (keep (context, table->buckets[i].name))
      table->buckets[kept++] = table->buckets[i];
    else
      free (table->buckets[i].name);
  table->count = kept;
}

size_t
quo_table_count (const struct quo_table *table)
{
  return table->count;
}
