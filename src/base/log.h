/* Log as JSON lines on standard output, through log4c.

   Example: log_write (LOG_INFO, "ctl", "version %" PRIu64 " is in effect", v);
   prints {"time":"...","level":"info","module":"ctl","node":"a-1",
   "data_centre":"a","version":7,"message":"version 7 is in effect"}.

   A line about a decision for a request has an event and further fields:

     struct log_entry entry;

     if (log_begin (&entry, LOG_INFO, "fwd", "placed", call_id))
       {
         log_add_text (&entry, "to", "a-2");
         log_add_ms (&entry, "wait_ms", wait);
         log_end (&entry);
       }

   A separate thread writes the lines, so that no caller waits for a slow
   reader.  The lines of each call site and of each event are rate-limited; the
   next printed line of the same call site or event has the number of dropped
   ones in the field "dropped".  */

#ifndef MULBERRYSHIFT_BASE_LOG_H
#define MULBERRYSHIFT_BASE_LOG_H

#include "base/clk.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Longest line, in bytes; the text of a field that exceeds it is truncated,
   and further fields are left out.  */
#define LOG_LINE_SIZE 1536

  enum log_level
  {
    LOG_DEBUG,
    LOG_INFO,
    LOG_WARNING,
    LOG_ERROR
  };

  /* Starts logging for the process.  NODE and DATA_CENTRE are copied and are
     fields of each line.  Lines below LEVEL are not printed.  Returns 0, or -1
     when log4c cannot be initialized.  */
  int log_init (const char *node, const char *data_centre,
                enum log_level level);

  /* Sets the lowest level that is printed.  Any thread may call this.  */
  void log_set_level (enum log_level level);

  /* Sets the configuration version, a field of each later line.  */
  void log_set_config_version (uint64_t version);

  /* Sets the call ID, a field of the later lines that log_write prints for the
     calling thread; null for none.  The string must stay valid until the next
     call of this function.  */
  void log_set_call_id (const char *call_id);

  /* Writes one line.  Lines of one call site (same FORMAT) beyond 10 a second
     are dropped; its next line that is printed has their number.  */
  void log_write (enum log_level level, const char *module, const char *format,
                  ...) __attribute__ ((format (printf, 3, 4)));

  /* A line to which fields are added.  Members are private.  */
  struct log_entry
  {
    char text[LOG_LINE_SIZE];
    size_t length;
  };

  /* Starts a line about EVENT, a string that stays valid for the life of the
     process.  CALL is the ID of the request that it is about, or null.
     Returns false when the line is not to be printed: it is below the level,
     or beyond the rate limit of EVENT.  The limit for warnings is higher than
     for other lines.  Of other lines, when half of the burst is used up, only
     those about one in 16 requests are printed; all nodes choose the same
     requests.  */
  bool log_begin (struct log_entry *entry, enum log_level level,
                  const char *module, const char *event, const char *call);

  /* Add a field to the line.  A text VALUE may contain any bytes up to its
     terminating null byte; null adds no field.  log_add_ms takes ns and prints
     milliseconds.  */
  void log_add_text (struct log_entry *entry, const char *key,
                     const char *value);
  void log_add_number (struct log_entry *entry, const char *key,
                       int64_t value);
  void log_add_ms (struct log_entry *entry, const char *key, clk_time value);

  /* Completes the line and writes it.  */
  void log_end (struct log_entry *entry);

  /* Writes the pending lines, for a third of a second at most, and stops
     logging; log_init may start it again.  */
  void log_close (void);

#ifdef __cplusplus
}
#endif

#endif
