/* Last error message of the calling thread.  */

#include "base/err.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static _Thread_local char message[ERR_MESSAGE_SIZE];

void
err_set (const char *format, ...)
{
  char text[ERR_MESSAGE_SIZE];
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  memcpy (message, text, sizeof message);
}

void
err_wrap (const char *format, ...)
{
  char context[ERR_MESSAGE_SIZE / 2];
  char text[ERR_MESSAGE_SIZE * 2];
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (context, sizeof context, format, arguments);
  va_end (arguments);
  snprintf (text, sizeof text, "%s: %s", context, message);
  text[ERR_MESSAGE_SIZE - 1] = '\0';
  memcpy (message, text, sizeof message);
}

const char *
err_last (void)
{
  return message;
}
