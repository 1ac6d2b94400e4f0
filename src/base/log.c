/* Log as JSON lines on standard output, through log4c.  */

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

#define MESSAGE_SIZE 1024
#define NAME_SIZE 128

/* Entries of the tables of call sites and events.  Two that share an entry
   reset each other's limit.  */
#define TABLE_SIZE 64

/* Most lines a second of one call site.  */
#define MAX_LINES_PER_SECOND 10

/* Rate limit of one call site of log_write, which its format identifies.  */
struct call_site
{
  const char *format;
  clk_time window_end; /* end of the current second */
  unsigned printed;    /* lines in the current second */
  unsigned dropped;    /* lines since the last one that was printed */
};

/* What the layout needs besides the message.  */
struct line_info
{
  enum log_level level;
  const char *module;
  unsigned dropped;
};

/* Token bucket of one event: lines a second, and the burst in seconds of that
   rate.  The rate for warnings is higher: they are about failed requests,
   which matter most.  */
#define EVENT_RATE 10.
#define WARNING_RATE 50.
#define BURST_SECONDS 4.

/* When half of the burst of an event is used up, only lines about one in this
   many requests are printed, chosen by the hash of the call ID.  Warnings are
   not sampled.  */
#define SAMPLE_RATIO 16

/* Rate limit of one event of log_begin.  */
struct event_limit
{
  const char *event;
  double tokens; /* lines that may still be printed */
  clk_time refill_time;
  unsigned dropped; /* lines since the last one that was printed */
};

static char node_name[NAME_SIZE];
static char data_centre_name[NAME_SIZE];
static atomic_int min_level = LOG_INFO;
static atomic_uint_fast64_t config_version;
static _Thread_local const char *call_id;
/* CATEGORY is set while logging is on.  LOG_ROOT stays set for a later
   log_init, since log4c cannot be initialized again after log4c_fini.  */
static log4c_category_t *category;
static log4c_category_t *log_root;
static pthread_mutex_t limit_lock = PTHREAD_MUTEX_INITIALIZER;
static struct call_site call_sites[TABLE_SIZE];
static struct event_limit event_limits[TABLE_SIZE];

static const char *
level_name (enum log_level level)
{
  static const char *const names[] = { "debug", "info", "warning", "error" };

  return names[level];
}

/* Writes the current UTC time.  The part that changes once a second is
   cached.  */
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

/* Returns the length in bytes of the UTF-8 character at TEXT, 0 when it is not
   valid.  */
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

/* Appends one character with the escapes of JSON.  A byte that is not valid
   UTF-8 is written as the code point of its value.  Returns the number of
   bytes of TEXT that were used.  */
static size_t
append_character (char *output, size_t *length, const char *text)
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

/* Longest output of append_character, in bytes.  */
#define MAX_CHARACTER_SIZE 6

/* Bytes that every field leaves free for the end of the line.  */
#define TAIL_SIZE 64

/* Appends "KEY": to ENTRY, after a comma unless it is the first field.
   Returns false when there is no space for a field whose value has LENGTH
   bytes.  */
static bool
append_key (struct log_entry *entry, const char *key, size_t length)
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
  if (value == NULL || !append_key (entry, key, 2))
    return;
  entry->text[entry->length++] = '"';
  while (*value != '\0'
         && entry->length + MAX_CHARACTER_SIZE + TAIL_SIZE
                < sizeof entry->text)
    value += append_character (entry->text, &entry->length, value);
  entry->text[entry->length++] = '"';
}

void
log_add_number (struct log_entry *entry, const char *key, int64_t value)
{
  if (append_key (entry, key, 21))
    entry->length
        += (size_t)sprintf (entry->text + entry->length, "%" PRId64, value);
}

void
log_add_ms (struct log_entry *entry, const char *key, clk_time value)
{
  if (append_key (entry, key, 28))
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
  const struct line_info *line = event->evt_loc->loc_data;

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

/* Appends a line to the output.  It replaces the appender of log4c, which
   writes its name before each line.  */
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
  atomic_store (&min_level, (int)level);
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

/* Counts a line of the call site with FORMAT.  Returns false when the line
   must be dropped; otherwise sets *DROPPED to the number of lines dropped
   before it.  */
static bool
admit_line (const char *format, unsigned *dropped)
{
  struct call_site *site = &call_sites[((uintptr_t)format >> 3) % TABLE_SIZE];
  clk_time now = clk_now ();
  bool admitted;

  pthread_mutex_lock (&limit_lock);
  if (site->format != format)
    *site = (struct call_site){ .format = format };
  if (now >= site->window_end)
    {
      site->window_end = now + CLK_SECOND;
      site->printed = 0;
    }
  admitted = site->printed < MAX_LINES_PER_SECOND;
  *dropped = 0;
  if (admitted)
    {
      site->printed++;
      *dropped = site->dropped;
      site->dropped = 0;
    }
  else
    site->dropped++;
  pthread_mutex_unlock (&limit_lock);
  return admitted;
}

void
log_write (enum log_level level, const char *module, const char *format, ...)
{
  static const int priorities[]
      = { LOG4C_PRIORITY_DEBUG, LOG4C_PRIORITY_INFO, LOG4C_PRIORITY_WARN,
          LOG4C_PRIORITY_ERROR };
  struct line_info line = { .level = level, .module = module };
  char message[MESSAGE_SIZE];
  log4c_location_info_t location = { .loc_data = &line };
  va_list arguments;

  if ((int)level < atomic_load (&min_level) || category == NULL
      || !admit_line (format, &line.dropped))
    return;
  va_start (arguments, format);
  vsnprintf (message, sizeof message, format, arguments);
  va_end (arguments);
  log4c_category_log_locinfo (category, &location, priorities[level], "%s",
                              message);
}

/* Takes a token for a line about EVENT.  Returns false when the line must be
   dropped; otherwise sets *DROPPED to the number of lines dropped before
   it.  */
static bool
admit_event (enum log_level level, const char *event, const char *call,
             unsigned *dropped)
{
  struct event_limit *entry
      = &event_limits[((uintptr_t)event >> 3) % TABLE_SIZE];
  double rate = level >= LOG_WARNING ? WARNING_RATE : EVENT_RATE;
  clk_time now = clk_now ();
  bool admitted;

  pthread_mutex_lock (&limit_lock);
  if (entry->event != event)
    *entry = (struct event_limit){ event, rate * BURST_SECONDS, now, 0 };
  entry->tokens
      += (double)(now - entry->refill_time) / (double)CLK_SECOND * rate;
  if (entry->tokens > rate * BURST_SECONDS)
    entry->tokens = rate * BURST_SECONDS;
  entry->refill_time = now;
  admitted
      = entry->tokens >= rate * BURST_SECONDS / 2
        || (entry->tokens >= 1
            && (level >= LOG_WARNING || call == NULL
                || XXH3_64bits (call, strlen (call)) % SAMPLE_RATIO == 0));
  *dropped = 0;
  if (admitted)
    {
      entry->tokens--;
      *dropped = entry->dropped;
      entry->dropped = 0;
    }
  else
    entry->dropped++;
  pthread_mutex_unlock (&limit_lock);
  return admitted;
}

bool
log_begin (struct log_entry *entry, enum log_level level, const char *module,
           const char *event, const char *call)
{
  unsigned dropped;

  if ((int)level < atomic_load (&min_level) || category == NULL
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
