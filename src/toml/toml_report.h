/* Faults of a TOML text, collected and written in source order.  */

#ifndef MULBERRYSHIFT_TOML_TOML_REPORT_H
#define MULBERRYSHIFT_TOML_TOML_REPORT_H

#include "base/buf.h"
#include "toml/toml.h"

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Bytes that toml_quote needs, with the null.  */
#define TOML_QUOTE_SIZE 96

/* Longest name, in bytes; equals MBR_NAME_SIZE - 1 of the records that carry
   names between nodes.  */
#define TOML_MAX_NAME_LENGTH 63

  struct toml_diagnostic
  {
    unsigned line;
    unsigned column;
    bool warning;
    size_t order; /* of arrival, so that equal positions stay in order */
    char *text;
  };

  /* All zero is an empty report.  */
  struct toml_report
  {
    const char *file_name; /* of the file, for the start of each line */
    struct toml_diagnostic *diagnostics;
    size_t count;
    size_t capacity;
    size_t warning_count; /* those of the faults that are only warnings */
    bool incomplete; /* lines were left out because of their syntax, so that
                     nothing can be said about what is missing */
  };

  /* Adds a fault, printf-style.  */
  void toml_add_error (struct toml_report *report, unsigned line,
                       unsigned column, const char *format, ...)
      __attribute__ ((format (printf, 4, 5)));

  /* Adds a line that starts with "warning: " and makes nothing invalid.  */
  void toml_add_warning (struct toml_report *report, unsigned line,
                         unsigned column, const char *format, ...)
      __attribute__ ((format (printf, 4, 5)));

  /* Returns whether there is a fault that is not a warning.  */
  bool toml_has_errors (const struct toml_report *report);

  /* Appends one line a fault, "NAME:LINE:COLUMN: TEXT", in source order, with
     control characters escaped, and empties the report.  */
  void toml_flush (struct toml_report *report, struct buf *output);

  /* Parses LENGTH bytes and reports every faulty line, leaving out up to 20 of
     them.  Returns the tree of the other lines, null when there is none.  */
  struct toml_node *toml_parse_with_recovery (const char *text, size_t length,
                                              struct toml_report *report);

  /* Writes TEXT in quotes to QUOTED, shortened at a character's end when it is
     long.  Returns QUOTED.  */
  const char *toml_quote (const char *text, char quoted[TOML_QUOTE_SIZE]);

  /* Returns the entry of COUNT strings that differs from TEXT by at most two
     typing errors, null when there is none.  */
  const char *toml_suggest (const char *text, const char *const *known,
                            size_t count);

  /* Reports a NAME that is empty, too long or has other characters than
     letters, digits, "-", "_" and ".".  WHAT starts the sentence.  */
  bool toml_check_name (struct toml_report *report,
                        const struct toml_node *value, const char *name,
                        const char *what);

  /* Reports the keys of TABLE that are not among COUNT known ones.  WHERE is
     for example "[[route]]".  */
  void toml_check_keys (struct toml_report *report,
                        const struct toml_node *table, const char *where,
                        const char *const *known, size_t count);

#ifdef __cplusplus
}
#endif

#endif
