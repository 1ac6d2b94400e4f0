/* Logs as JSON lines on standard output, through log4c.

   Example: log_write (LOG_INFO, "ctl", "version %" PRIu64 " is in force", v);
   prints {"time":"...","level":"info","module":"ctl","node":"a-1",
   "data_centre":"a","version":7,"message":"version 7 is in force"}.

   A decision about a request has fields of its own:

     struct log_entry entry;

     if (log_begin (&entry, LOG_INFO, "fwd", "placed", call_id))
       {
         log_add_text (&entry, "to", "a-2");
         log_add_ms (&entry, "wait_ms", wait);
         log_end (&entry);
       }

   Lines are handed to a thread that writes them, so that nobody waits for a
   slow reader.  Their number is bounded for each kind of line; the next line
   that is printed tells how many were left out.  */

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

/* Longest line, in bytes; a longer one is cut at the end of a field.  */
#define LOG_LINE_SIZE 1536

  enum log_level
  {
    LOG_DEBUG,
    LOG_INFO,
    LOG_WARNING,
    LOG_ERROR
  };

  /* Prepares logging for a process; NODE and DATA_CENTRE go into each line and
     are copied.  Nothing below LEVEL is printed.  Returns 0, or -1 when log4c
     cannot start.  */
  int log_init (const char *node, const char *data_centre,
                enum log_level level);

  /* Changes the lowest level printed; any thread.  */
  void log_set_level (enum log_level level);

  /* Sets the configuration version that each later line carries.  */
  void log_set_config_version (uint64_t version);

  /* Sets the call ID that the calling thread's lines carry; null for none. The
     string must stay valid until the next call.  */
  void log_set_call_id (const char *call_id);

  /* Writes one line.  Lines of one call site (same module and format) beyond
     10 in a second are dropped; the next line printed tells how many.  */
  void log_write (enum log_level level, const char *module, const char *format,
                  ...) __attribute__ ((format (printf, 3, 4)));

  /* A line that is being put together.  Members are private.  */
  struct log_entry
  {
    char text[LOG_LINE_SIZE];
    size_t length;
  };

  /* Starts a line about EVENT, a string that lives for good.  CALL is the id
     of the request that it is about, or null.  Returns false when the line is
     left out: below the level, or beyond the number of lines that EVENT may
     have.  Warnings have a larger number than other lines, and when only half
     of that is left, the lines of the same one in 16 requests are kept on all
     nodes.  */
  bool log_begin (struct log_entry *entry, enum log_level level,
                  const char *module, const char *event, const char *call);

  /* Adds a field.  VALUE may be any bytes up to its null; null adds nothing.
   */
  void log_add_text (struct log_entry *entry, const char *key,
                     const char *value);
  void log_add_number (struct log_entry *entry, const char *key,
                       int64_t value);
  void log_add_ms (struct log_entry *entry, const char *key, clk_time value);

  /* Writes the line.  */
  void log_end (struct log_entry *entry);

  /* Writes what is pending, for a third of a second at most, and stops
     logging; log_init may start it again.  */
  void log_close (void);

#ifdef __cplusplus
}
#endif

#endif
