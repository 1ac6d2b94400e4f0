/* Counters, gauges and histograms of the process.  */

#include "met/met.h"

#include "base/mem.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NAME_SIZE 64
#define LABELS_SIZE 192
#define OVERFLOW_LABELS "overflow=\"true\""
#define NANOSECONDS_PER_SECOND 1e9

/* One counter, gauge or histogram.  */
struct series
{
  char name[NAME_SIZE];
  char labels[LABELS_SIZE];
  uint64_t value;        /* of a counter or gauge */
  struct hst *histogram; /* null for a counter or gauge */
};

/* Counters and gauges, or histograms.  Entries are never moved or removed.  */
struct series_table
{
  struct series *entries;
  size_t count;
  size_t capacity;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct series counter_entries[MET_MAX_COUNTERS];
static struct series histogram_entries[MET_MAX_HISTOGRAMS];
static struct series_table counters = { counter_entries, 0, MET_MAX_COUNTERS };
static struct series_table histograms
    = { histogram_entries, 0, MET_MAX_HISTOGRAMS };

static struct series *
find_series (struct series_table *table, const char *name, const char *labels)
{
  for (size_t i = 0; i < table->count; i++)
    if (strcmp (table->entries[i].name, name) == 0
        && strcmp (table->entries[i].labels, labels) == 0)
      return &table->entries[i];
  return NULL;
}

/* Returns the series with this name and these labels and adds it if needed.
   The last entry of a table is reserved for the overflow series.  The caller
   holds the lock.  */
static struct series *
get_series (struct series_table *table, const char *name, const char *labels)
{
  struct series *series = find_series (table, name, labels);

  if (series != NULL)
    return series;
  if (table->count + 1 >= table->capacity || strlen (name) >= NAME_SIZE
      || strlen (labels) >= LABELS_SIZE)
    {
      name = "overflow";
      labels = OVERFLOW_LABELS;
      series = find_series (table, name, labels);
      if (series != NULL)
        return series;
    }
  series = &table->entries[table->count++];
  snprintf (series->name, sizeof series->name, "%s", name);
  snprintf (series->labels, sizeof series->labels, "%s", labels);
  return series;
}

uint64_t *
met_counter (const char *name, const char *labels)
{
  struct series *series;

  pthread_mutex_lock (&lock);
  series = get_series (&counters, name, labels);
  pthread_mutex_unlock (&lock);
  return &series->value;
}

struct hst *
met_histogram (const char *name, const char *labels)
{
  struct series *series;

  pthread_mutex_lock (&lock);
  series = get_series (&histograms, name, labels);
  if (series->histogram == NULL)
    series->histogram = mem_alloc (1, sizeof *series->histogram);
  pthread_mutex_unlock (&lock);
  return series->histogram;
}

void
met_add (uint64_t *counter, uint64_t amount)
{
  __atomic_add_fetch (counter, amount, __ATOMIC_RELAXED);
}

void
met_set (uint64_t *gauge, uint64_t value)
{
  __atomic_store_n (gauge, value, __ATOMIC_RELAXED);
}

uint64_t
met_value (const uint64_t *counter)
{
  return __atomic_load_n (counter, __ATOMIC_RELAXED);
}

static void
expose_histogram (const struct series *series, struct buf *output)
{
  static const char *const quantiles[] = { "0.5", "0.9", "0.99", "0.999" };
  const char *comma = series->labels[0] != '\0' ? "," : "";

  for (size_t i = 0; i < sizeof quantiles / sizeof *quantiles; i++)
    buf_printf (
        output, "mulberryshift_%s{%s%squantile=\"%s\"} %.9g\n", series->name,
        series->labels, comma, quantiles[i],
        (double)hst_quantile (series->histogram, strtod (quantiles[i], NULL))
            / NANOSECONDS_PER_SECOND);
  buf_printf (
      output, "mulberryshift_%s_sum{%s} %.9g\n", series->name, series->labels,
      (double)met_value (&series->histogram->sum) / NANOSECONDS_PER_SECOND);
  buf_printf (output, "mulberryshift_%s_count{%s} %" PRIu64 "\n", series->name,
              series->labels, met_value (&series->histogram->count));
}

void
met_expose (struct buf *output)
{
  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < counters.count; i++)
    {
      const struct series *series = &counters.entries[i];

      buf_printf (output,
                  series->labels[0] != '\0' ? "mulberryshift_%s{%s} %" PRIu64
                                            : "mulberryshift_%s%s %" PRIu64,
                  series->name, series->labels, met_value (&series->value));
      buf_printf (output, "\n");
    }
  for (size_t i = 0; i < histograms.count; i++)
    if (histograms.entries[i].histogram != NULL)
      expose_histogram (&histograms.entries[i], output);
  pthread_mutex_unlock (&lock);
}
