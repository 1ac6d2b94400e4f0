/* Writer of log lines: a thread that writes a bounded buffer to standard
   output, so that no other thread waits for its reader.  Used by log.c.  */

#ifndef MULBERRYSHIFT_BASE_LGW_H
#define MULBERRYSHIFT_BASE_LGW_H

#include <stddef.h>

/* Starts the thread.  */
void lgw_start (void);

/* Adds a line to the buffer; a full buffer drops it and counts it.  Any
   thread.  */
void lgw_add (const char *line, size_t length);

/* Writes what is in the buffer, for a third of a second at most, and stops the
   thread.  */
void lgw_stop (void);

#endif
