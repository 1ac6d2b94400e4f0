/* Counters, gauges and histograms of the process, in the Prometheus text
   exposition format.

   Example:

     uint64_t *calls = met_counter ("calls_total", "class=\"once\"");
     met_add (calls, 1);

   Names get the prefix "mulberryshift_".  A caller should look up a series
   once and keep the pointer; it stays valid for the life of the process.  */

#ifndef MULBERRYSHIFT_MET_MET_H
#define MULBERRYSHIFT_MET_MET_H

#include "base/buf.h"
#include "met/hst.h"

#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Most series of the process.  Further ones share one series with the label
   overflow="true", so that names chosen by callers cannot exhaust memory.  */
#define MET_MAX_COUNTERS 1024
#define MET_MAX_HISTOGRAMS 192

  /* Returns the counter or gauge with this name and these labels, such as
     "class=\"once\",outcome=\"answered\"" or "".  Any thread may call this, as
     all functions below.  */
  uint64_t *met_counter (const char *name, const char *labels);

  /* Returns the histogram with this name and these labels.  Values are
     recorded in nanoseconds and exposed in seconds.  */
  struct hst *met_histogram (const char *name, const char *labels);

  /* Adds AMOUNT to a counter.  */
  void met_add (uint64_t *counter, uint64_t amount);

  /* Sets a gauge.  */
  void met_set (uint64_t *gauge, uint64_t value);

  /* Returns the current value of a counter or gauge.  */
  uint64_t met_value (const uint64_t *counter);

  /* Appends all series to OUTPUT; a histogram as its quantiles 0.5, 0.9, 0.99
     and 0.999 with sum and count.  */
  void met_expose (struct buf *output);

#ifdef __cplusplus
}
#endif

#endif
