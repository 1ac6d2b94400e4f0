/* Faults, budgets and counts of the platform stand-in.  Included by
   platform.c alone; everything is used with the store's lock held.  */

#ifndef STANDINS_PLATFORM_FAULTS_H
#define STANDINS_PLATFORM_FAULTS_H

#include "plt/plt_budget.h"

#include <jansson.h>
#include <stdbool.h>

enum call_kind
{
  CALL_READ,
  CALL_WRITE,
  CALL_WATCH,
  CALL_KIND_COUNT
};

struct faults
{
  bool down;
  int slow_ms;
  int lose;       /* write answers not sent after the write took effect */
  int drop;       /* writes discarded before they take effect */
  int drop_reads; /* reads and watches discarded */
  int down_after; /* calls until it goes down by itself; 0: it does not */
};

struct counts
{
  unsigned long served[CALL_KIND_COUNT];
  unsigned long refused; /* over the budget */
  unsigned long bytes_in;
  unsigned long bytes_out;
};

/* A rate of 0 means no limit.  */
struct limit
{
  double rate;
  struct plt_budget budget;
};

static struct faults faults;
static struct counts counts;
static struct limit read_limit;
static struct limit write_limit;

static int
faults_number (const json_t *root, const char *key)
{
  json_int_t number = json_integer_value (json_object_get (root, key));

  return number > 0 && number < 1000000 ? (int)number : 0;
}

/* Replaces the faults; a field that is missing is off.  */
static void
faults_set (const json_t *root)
{
  faults.down = json_is_true (json_object_get (root, "down"));
  faults.slow_ms = faults_number (root, "slow_ms");
  faults.lose = faults_number (root, "lose");
  faults.drop = faults_number (root, "drop");
  faults.drop_reads = faults_number (root, "drop_reads");
  faults.down_after = faults_number (root, "down_after");
}

static void
limit_set (struct limit *limit, const json_t *rate)
{
  limit->rate = json_number_value (rate);
  if (limit->rate > 0)
    plt_budget_init (&limit->budget, limit->rate,
                     limit->rate > 1 ? (uint32_t)limit->rate : 1);
}

/* Counts a call.  Returns false when it is over the budget of its kind.  */
static bool
counts_admit (enum call_kind kind, clk_time now)
{
  struct limit *limit = kind == CALL_WRITE ? &write_limit : &read_limit;

  if (limit->rate > 0 && !plt_budget_take (&limit->budget, now, NULL))
    {
      counts.refused++;
      return false;
    }
  counts.served[kind]++;
  return true;
}

/* Returns whether this call is to be answered with 503, and counts a coming
   outage off.  */
static bool
faults_down (void)
{
  bool down = faults.down;

  if (faults.down_after > 0 && --faults.down_after == 0)
    faults.down = true;
  return down;
}

/* Returns whether this call is to be discarded, and counts it off.  */
static bool
faults_drop (enum call_kind kind)
{
  int *left = kind == CALL_WRITE ? &faults.drop : &faults.drop_reads;

  if (*left == 0)
    return false;
  --*left;
  return true;
}

static json_t *
counts_json (size_t object_count)
{
  return json_pack ("{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "reads",
                    (json_int_t)counts.served[CALL_READ], "writes",
                    (json_int_t)counts.served[CALL_WRITE], "watches",
                    (json_int_t)counts.served[CALL_WATCH], "refused",
                    (json_int_t)counts.refused, "bytes_in",
                    (json_int_t)counts.bytes_in, "bytes_out",
                    (json_int_t)counts.bytes_out, "objects",
                    (json_int_t)object_count);
}

#endif
