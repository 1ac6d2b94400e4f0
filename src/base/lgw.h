/* Writer of log lines: a thread that writes a bounded buffer to standard
   output, so that no other thread waits for a slow reader.  Used by log.c.  */

#ifndef MULBERRYSHIFT_BASE_LGW_H
#define MULBERRYSHIFT_BASE_LGW_H

#include <stddef.h>

/* Starts the writer thread.  */
void lgw_start (void);

/* Appends a line of LENGTH bytes to the buffer.  When the buffer is full, the
   line is dropped and counted.  Any thread may call this.  */
void lgw_add (const char *line, size_t length);

/* Writes what is in the buffer, for a third of a second at most, and stops the
   thread.  A thread whose write is still blocked then is left running; a later
   lgw_start uses it again, or starts a new one if it has ended.  */
void lgw_stop (void);

#endif
