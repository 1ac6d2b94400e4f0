/* Buckets of tenants, each with a history of its grants.  */

#include "quo/quo_bucket.h"

#include "base/mem.h"
#include "quo/quo_history.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Longest wait that a bucket reports, and the furthest that places of refused
   askers reach ahead.  */
#define LONGEST_WAIT (2 * CLK_SECOND)

/* Sums of fractions that should be whole come out lower by less than this:
   a history keeps 24 bits of each.  */
#define ROUNDING 1e-3

/* Besides the history, a bucket limits the rate over longer times to that of a
   tenant which spends its rate and its depth in each span.  This binds only a
   tenant whose askers are refused: the depth counts less by UNMET_PART of the
   credit asked for in vain within UNMET_TIME seconds.  With the whole depth in
   each span, a tenant at eight times its rate ran 1.034 of the bound when the
   data centres were cut off from each other just then.  Credit asked for in
   vain counts each time it is asked for: 8 s of the rate for a tenant at 1.2
   times its rate that gets its rate only, 13 to 28 s for one at eight times
   its rate, at 80 nodes.  A part of 0.5 held the former at its rate for
   ever.  */
#define UNMET_PART 0.05
#define UNMET_TIME 5.0

/* Time in s before a lower share in which the owner still granted the whole
   rate, and nodes that it did not see used floors or other owners.  Without
   the charge for it a tenant at eight times its rate, without a burst, ran
   1.009 of the bound when four data centres were cut off.  */
#define UNNOTICED_TIME 0.5

struct bucket
{
  char *name;
  struct quo_history *history; /* null: nothing was granted lately */
  float lasting;               /* credit over longer times */
  float promised; /* credit for which refused nodes may come back */
  float unmet;    /* credit that was asked for in vain in the last seconds */
  float share;    /* of the last limit */
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

static void
close_bucket (struct bucket *bucket)
{
  quo_history_destroy (bucket->history);
  free (bucket->name);
}

void
quo_table_destroy (struct quo_table *table)
{
  if (table == NULL)
    return;
  for (size_t i = 0; i < table->count; i++)
    close_bucket (&table->buckets[i]);
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
  close_bucket (oldest);
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

/* Returns the credit of a full bucket.  */
static double
depth_of (const struct quo_limit *limit)
{
  double depth = limit->share * (limit->burst + limit->rate * QUO_EXTRA_PART);

  return depth > 1 ? depth : 1;
}

static struct bucket *
use_bucket (struct quo_table *table, const char *name,
            const struct quo_limit *limit, clk_time now)
{
  struct bucket *bucket = find_bucket (table, name);

  if (bucket == NULL)
    {
      double start = 1 + limit->rate * QUO_START_PART;

      bucket = make_place (table);
      *bucket = (struct bucket){ .name = mem_copy_string (name),
                                 .history = quo_history_create (start, now),
                                 .lasting = (float)start,
                                 .share = (float)limit->share,
                                 .used_at = now };
    }
  else if (bucket->history == NULL)
    bucket->history = quo_history_create (depth_of (limit), now);
  return bucket;
}

/* Returns the rate at which a bucket fills over longer times.  */
static double
lasting_rate (const struct bucket *bucket, const struct quo_limit *limit)
{
  double rate = limit->rate * limit->share;
  double cut = UNMET_PART * bucket->unmet;
  double depth = depth_of (limit);

  if (cut > depth)
    cut = depth;
  return rate + (depth - cut) * (double)CLK_SECOND / (double)QUO_HISTORY_SPAN;
}

static void
grant_credit (struct bucket *bucket, double count)
{
  quo_history_grant (bucket->history, count);
  bucket->lasting -= (float)count;
}

/* Counts what others granted before the share became lower.  A tenant without
   refused askers ran no more than its limit there either.  */
static void
charge_lost_share (struct bucket *bucket, const struct quo_limit *limit)
{
  double lost = bucket->share - limit->share;
  double charge = limit->rate * lost * UNNOTICED_TIME;

  bucket->share = (float)limit->share;
  if (lost > 0)
    grant_credit (bucket, charge < bucket->unmet ? charge : bucket->unmet);
}

/* Adds what has come since the last time and what was RETURNED.  */
static void
fill (struct bucket *bucket, const struct quo_limit *limit, uint32_t returned,
      clk_time now)
{
  double rate = limit->rate * limit->share;
  double depth = depth_of (limit);
  double elapsed = (double)(now - bucket->used_at) / (double)CLK_SECOND;

  /* Those who were given a time have come for what was filled in, or do not
     come any more.  */
  bucket->promised -= (float)(rate * elapsed);
  if (bucket->promised < 0)
    bucket->promised = 0;
  bucket->lasting
      += (float)(lasting_rate (bucket, limit) * elapsed + returned);
  if (bucket->lasting > depth)
    bucket->lasting = (float)depth;
  bucket->unmet *= (float)exp (-elapsed / UNMET_TIME);
  quo_history_fill (bucket->history, rate, returned, depth, now);
  charge_lost_share (bucket, limit);
  bucket->used_at = now;
}

static double
find_credit (const struct bucket *bucket)
{
  double credit = quo_history_credit (bucket->history);

  if (credit > bucket->lasting)
    credit = bucket->lasting;
  return credit + ROUNDING;
}

/* Returns the wait of an asker of WANTED credits that gets none now.  */
static clk_time
find_wait (struct bucket *bucket, const struct quo_limit *limit,
           uint32_t wanted, clk_time now)
{
  clk_time latest = now + LONGEST_WAIT;
  double count = bucket->promised + 1;
  clk_time at = quo_history_find_time (bucket->history, count,
                                       limit->rate * limit->share, latest);
  double lasting_wait
      = (count - bucket->lasting) / lasting_rate (bucket, limit);

  if (lasting_wait * (double)CLK_SECOND >= (double)LONGEST_WAIT)
    at = latest;
  else if (at < now + (clk_time)(lasting_wait * (double)CLK_SECOND))
    at = now + (clk_time)(lasting_wait * (double)CLK_SECOND);
  if (at < latest)
    bucket->promised += (float)wanted;
  return at - now;
}

struct quo_grant
quo_table_take (struct quo_table *table, const char *name,
                const struct quo_limit *limit, uint32_t wanted,
                uint32_t returned, clk_time now)
{
  struct bucket *bucket = use_bucket (table, name, limit, now);
  struct quo_grant grant = { 0 };
  double credit;

  fill (bucket, limit, returned, now);
  if (wanted == 0)
    return grant;
  credit = find_credit (bucket);
  if (credit >= 1)
    grant.credit = credit < wanted ? (uint32_t)credit : wanted;
  grant_credit (bucket, grant.credit);
  bucket->unmet += (float)(wanted - grant.credit);
  grant.is_tight = credit - grant.credit < depth_of (limit) / 2;
  if (grant.credit == 0)
    grant.wait = find_wait (bucket, limit, wanted, now);
  else if (credit - grant.credit >= 1)
    bucket->promised = 0;
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
      close_bucket (&table->buckets[i]);
  table->count = kept;
}

void
quo_table_forget (struct quo_table *table, clk_time now)
{
  for (size_t i = 0; i < table->count; i++)
    {
      struct bucket *bucket = &table->buckets[i];

      if (bucket->history == NULL
          || !quo_history_is_over (bucket->history, now))
        continue;
      quo_history_destroy (bucket->history);
      bucket->history = NULL;
    }
}

size_t
quo_table_history_count (const struct quo_table *table)
{
  size_t count = 0;

  for (size_t i = 0; i < table->count; i++)
    count += table->buckets[i].history != NULL;
  return count;
}

size_t
quo_table_count (const struct quo_table *table)
{
  return table->count;
}
