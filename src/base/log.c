/* Logs as JSON lines on standard output, through log4c.  */

#include "base/log.h"

#include "base/lgw.h"

#include <inttypes.h>
#include <log4c.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define LOG_MESSAGE_SIZE 1024
#define LOG_NAME_SIZE 128
#define LOG_SITES 64
#define LOG_LINES_PER_SECOND 10

/* Lines that one call site printed in the current second.  */
struct log_site
{
  const char *format;
  clk_time window_end;
  unsigned printed;
  unsigned dropped;
};

/* What the layout needs beside the message.  */
struct log_line
{
  enum log_level level;
  const char *module;
  unsigned dropped;
};

/* Lines a second about one event, and how many seconds' worth may come at
   once.  Warnings are about requests that failed, which matter most.  */
#define EVENT_RATE 10.
#define WARNING_RATE 50.
#define BURST_SECONDS 4.

/* When lines about an event become scarce, those of one in this many requests
   are kept, chosen by the request's id.  */
#define KEPT_SHARE 16

/* Lines that an event may still have.  */
struct log_event
{
  const char *event;
  double lines;
  clk_time filled;
  unsigned dropped;
};

static char node_name[LOG_NAME_SIZE];
static char data_centre_name[LOG_NAME_SIZE];
static atomic_int lowest_level = LOG_INFO;
static atomic_uint_fast64_t config_version;
static _Thread_local const char *call_id;
/* Set while logging is on; LOG_ROOT stays for a later log_init, since log4c
   cannot start again after log4c_fini.  */
static log4c_category_t *category;
static log4c_category_t *log_root;
static pthread_mutex_t site_lock = PTHREAD_MUTEX_INITIALIZER;
static struct log_site sites[LOG_SITES];
static struct log_event events[LOG_SITES];

static const char *
level_name (enum log_level level)
{
  static const char *const names[] = { "debug", "info", "warning", "error" };

  return names[level];
}

/* Writes the time of day; the part that changes once a second is kept.  */
static void
format_time (char *text, size_t size)
{
  static _Thread_local time_t second = -1;
  static _Thread_local char prefix[32];
  struct timespec now;
  struct tm parts;

  clock_gettime (CLOCK_REALTIME, &now);
  if (now.tv_sec != second)
    {
      second = now.tv_sec;
      gmtime_r (&now.tv_sec, &parts);
      strftime (prefix, sizeof prefix, "%Y-%m-%dT%H:%M:%S", &parts);
    }
  snprintf (text, size, "%s.%03ldZ", prefix, now.tv_nsec / 1000000);
}

/* Returns the length of the UTF-8 character at TEXT, 0 when it is none.  */
static size_t
utf8_length (const unsigned char *text)
{
  size_t length = text[0] < 0x80   ? 1
                  : text[0] < 0xc2 ? 0
                  : text[0] < 0xe0 ? 2
                  : text[0] < 0xf0 ? 3
                  : text[0] < 0xf5 ? 4
                                   : 0;

  for (size_t i = 1; i < length; i++)
    if ((text[i] & 0xc0) != 0x80)
      return 0;
  return length;
}

/* Appends one character as JSON has it; a byte that is not UTF-8 as the
   character of its number.  Returns the bytes of TEXT that were used.  */
static size_t
put_character (char *output, size_t *length, const char *text)
{
  unsigned char byte = (unsigned char)text[0];
  size_t used = utf8_length ((const unsigned char *)text);

  if (byte == '"' || byte == '\\')
    {
      output[(*length)++] = '\\';
      output[(*length)++] = (char)byte;
    }
  else if (byte < ' ' || byte == 0x7f || used == 0)
    *length += (size_t)sprintf (output + *length, "\\u%04x", byte);
  else
    {
      memcpy (output + *length, text, used);
      *length += used;
      return used;
    }
  return 1;
}

/* Longest form of one character.  */
#define CHARACTER_SIZE 6

/* Room that every field leaves for the end of the line.  */
#define TAIL_SIZE 64

/* Appends "KEY": to ENTRY, with a comma before all but the first.  Returns
   false when there is no room for a field with LENGTH bytes of value.  */
static bool
put_key (struct log_entry *entry, const char *key, size_t length)
{
  size_t needed = strlen (key) + length + 8;

  if (entry->length + needed + TAIL_SIZE > sizeof entry->text)
    return false;
  entry->length
      += (size_t)sprintf (entry->text + entry->length,
                          "%s\"%s\":", entry->length > 1 ? "," : "", key);
  return true;
}

void
log_add_text (struct log_entry *entry, const char *key, const char *value)
{
  if (value == NULL || !put_key (entry, key, 2))
    return;
  entry->text[entry->length++] = '"';
  while (*value != '\0'
         && entry->length + CHARACTER_SIZE + TAIL_SIZE < sizeof entry->text)
    value += put_character (entry->text, &entry->length, value);
  entry->text[entry->length++] = '"';
}

void
log_add_number (struct log_entry *entry, const char *key, int64_t value)
{
  if (put_key (entry, key, 21))
    entry->length
        += (size_t)sprintf (entry->text + entry->length, "%" PRId64, value);
}

void
log_add_ms (struct log_entry *entry, const char *key, clk_time value)
{
  if (put_key (entry, key, 28))
    entry->length += (size_t)sprintf (entry->text + entry->length, "%.2f",
                                      (double)value / (double)CLK_MILLISECOND);
}

/* Starts a line with the fields that every line has.  */
static void
start_line (struct log_entry *entry, enum log_level level, const char *module)
{
  char when[64];

  format_time (when, sizeof when);
  entry->text[0] = '{';
  entry->length = 1;
  log_add_text (entry, "time", when);
  log_add_text (entry, "level", level_name (level));
  log_add_text (entry, "module", module);
  log_add_text (entry, "node", node_name);
  log_add_text (entry, "data_centre", data_centre_name);
  log_add_number (entry, "version", (int64_t)atomic_load (&config_version));
}

static void
finish_line (struct log_entry *entry)
{
  entry->text[entry->length++] = '}';
  entry->text[entry->length++] = '\n';
  entry->text[entry->length] = '\0';
}

static const char *
format_json (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  static _Thread_local struct log_entry entry;
  const struct log_line *line = event->evt_loc->loc_data;

  (void)layout;
  start_line (&entry, line->level, line->module);
  log_add_text (&entry, "message", event->evt_msg);
  log_add_text (&entry, "call", call_id);
  if (line->dropped > 0)
    log_add_number (&entry, "dropped", line->dropped);
  finish_line (&entry);
  return entry.text;
}

static const log4c_layout_type_t json_layout
    = { "mulberryshift_json", format_json };

/* log4c's own appender puts its name before each line.  */
static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  const char *line = event->evt_rendered_msg;

  (void)appender;
  lgw_add (line, strlen (line));
  return 0;
}

static const log4c_appender_type_t line_appender
    = { "mulberryshift_lines", NULL, append_line, NULL };

/* Registers the layout and the appender with log4c.  Returns 0 or -1.  */
static int
open_log4c (void)
{
  log4c_appender_t *appender;
  log4c_layout_t *layout;

  if (log4c_init () != 0)
    return -1;
  log4c_layout_type_set (&json_layout);
  layout = log4c_layout_get ("mulberryshift");
  log4c_layout_set_type (layout, &json_layout);
  log4c_appender_type_set (&line_appender);
  appender = log4c_appender_get ("mulberryshift");
  log4c_appender_set_type (appender, &line_appender);
  log4c_appender_set_layout (appender, layout);
  log_root = log4c_category_get ("mulberryshift");
  log4c_category_set_appender (log_root, appender);
  log4c_category_set_additivity (log_root, 0);
  log4c_category_set_priority (log_root, LOG4C_PRIORITY_DEBUG);
  return 0;
}

int
log_init (const char *node, const char *data_centre, enum log_level level)
{
  snprintf (node_name, sizeof node_name, "%s", node);
  snprintf (data_centre_name, sizeof data_centre_name, "%s", data_centre);
  log_set_level (level);
  if (log_root == NULL && open_log4c () != 0)
    return -1;
  category = log_root;
  lgw_start ();
  return 0;
}

void
log_set_level (enum log_level level)
{
  atomic_store (&lowest_level, (int)level);
}

void
log_set_config_version (uint64_t version)
{
  atomic_store (&config_version, version);
}

void
log_set_call_id (const char *id)
{
  call_id = id;
}

/* Counts a line of the call site that uses FORMAT.  Returns false when the
   line must be dropped; else sets *DROPPED to the lines dropped before it.  */
static bool
admit_line (const char *format, unsigned *dropped)
{
  struct log_site *site = &sites[((uintptr_t)format >> 3) % LOG_SITES];
  clk_time now = clk_now ();
  bool admitted;

  pthread_mutex_lock (&site_lock);
  if (site->format != format)
    *site = (struct log_site){ .format = format };
  if (now >= site->window_end)
    {
      site->window_end = now + CLK_SECOND;
      site->printed = 0;
    }
  admitted = site->printed < LOG_LINES_PER_SECOND;
  *dropped = 0;
  if (admitted)
    {
      site->printed++;
      *dropped = site->dropped;
      site->dropped = 0;
    }
  else
    site->dropped++;
  pthread_mutex_unlock (&site_lock);
  return admitted;
}

void
log_write (enum log_level level, const char *module, const char *format, ...)
{
  static const int priorities[]
      = { LOG4C_PRIORITY_DEBUG, LOG4C_PRIORITY_INFO, LOG4C_PRIORITY_WARN,
          LOG4C_PRIORITY_ERROR };
  struct log_line line = { .level = level, .module = module };
  char message[LOG_MESSAGE_SIZE];
  log4c_location_info_t location = { .loc_data = &line };
  va_list arguments;

  if ((int)level < atomic_load (&lowest_level) || category == NULL
      || !admit_line (format, &line.dropped))
    return;
  va_start (arguments, format);
  vsnprintf (message, sizeof message, format, arguments);
  va_end (arguments);
  log4c_category_log_locinfo (category, &location, priorities[level], "%s",
                              message);
}

/* Takes a line about EVENT from its budget.  Returns false when the line is
   left out; else sets *DROPPED to those left out before it.  */
static bool
admit_event (enum log_level level, const char *event, const char *call,
             unsigned *dropped)
{
  struct log_event *entry = &events[((uintptr_t)event >> 3) % LOG_SITES];
  double rate = level >= LOG_WARNING ? WARNING_RATE : EVENT_RATE;
  clk_time now = clk_now ();
  bool admitted;

  pthread_mutex_lock (&site_lock);
  if (entry->event != event)
    *entry = (struct log_event){ event, rate * BURST_SECONDS, now, 0 };
  entry->lines += (double)(now - entry->filled) / (double)CLK_SECOND * rate;
  if (entry->lines > rate * BURST_SECONDS)
    entry->lines = rate * BURST_SECONDS;
  entry->filled = now;
  admitted = entry->lines >= rate * BURST_SECONDS / 2
             || (entry->lines >= 1
                 && (level >= LOG_WARNING || call == NULL
                     || XXH3_64bits (call, strlen (call)) % KEPT_SHARE == 0));
  *dropped = 0;
  if (admitted)
    {
      entry->lines--;
      *dropped = entry->dropped;
      entry->dropped = 0;
    }
  else
    entry->dropped++;
  pthread_mutex_unlock (&site_lock);
  return admitted;
}

bool
log_begin (struct log_entry *entry, enum log_level level, const char *module,
           const char *event, const char *call)
{
  unsigned dropped;

  if ((int)level < atomic_load (&lowest_level) || category == NULL
      || !admit_event (level, event, call, &dropped))
    return false;
  start_line (entry, level, module);
  log_add_text (entry, "event", event);
  log_add_text (entry, "call", call);
  if (dropped > 0)
    log_add_number (entry, "dropped", dropped);
  return true;
}

void
log_end (struct log_entry *entry)
{
  finish_line (entry);
  lgw_add (entry->text, entry->length);
}

void
log_close (void)
{
  category = NULL;
  lgw_stop ();
}
