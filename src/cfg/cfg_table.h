/* The table of settings.  Used inside this module.  */

#ifndef MULBERRYSHIFT_CFG_CFG_TABLE_H
#define MULBERRYSHIFT_CFG_CFG_TABLE_H

#include "cfg/cfg.h"
#include "toml/toml_report.h"

#include <stddef.h>
#include <stdint.h>

enum cfg_kind
{
  CFG_NAME,
  CFG_URL,
  CFG_ADDRESS,
  CFG_SEEDS,
  CFG_INTEGER,
  CFG_CHOICE,
  CFG_SECONDS, /* a time with fractions; its place is a clk_time */
  CFG_DECIMAL, /* a number with fractions; its place is a double */
  CFG_BOOLEAN  /* its place is a bool */
};

/* Most values of a CFG_CHOICE.  */
#define CFG_MAX_CHOICES 4

/* One setting.  FALLBACK is its default as TOML text; null: it must be given.
   MINIMUM and MAXIMUM bound a CFG_INTEGER, a CFG_SECONDS in ms and a
   CFG_DECIMAL.  The place of a CFG_CHOICE is the
   index of its value.  */
struct cfg_setting
{
  const char *table;
  const char *key;
  enum cfg_kind kind;
  size_t offset;       /* in the struct that holds the settings */
  size_t count_offset; /* CFG_SEEDS: of their number */
  const char *fallback;
  int64_t minimum;
  int64_t maximum;
  const char *unit;
  const char *help;
  const char *choices[CFG_MAX_CHOICES + 1];
};

/* The settings of one kind of process.  Settings of one table stand next to
   each other.  */
struct cfg_schema
{
  const struct cfg_setting *settings;
  size_t count;
  size_t size; /* of the struct that holds them */
  /* Looks for faults among several settings; null: none are known.  */
  void (*check) (struct toml_report *report, const struct toml_node *root,
                 const void *settings);
};

/* Reads LENGTH bytes into SETTINGS, which holds SCHEMA's size; see
   cfg_parse.  */
enum cfg_status cfg_read (const struct cfg_schema *schema, const char *name,
                          const char *text, size_t length, void *settings,
                          struct buf *report);

/* Does the same with a file; see cfg_load.  */
enum cfg_status cfg_read_file (const struct cfg_schema *schema,
                               const char *file, void *settings,
                               struct buf *report);

/* Appends the settings in effect; see cfg_print.  */
void cfg_print_schema (const struct cfg_schema *schema, const void *settings,
                       struct buf *output);

/* Appends the rows of a table of all settings.  */
void cfg_reference_schema (const struct cfg_schema *schema,
                           struct buf *output);

/* Settings of a node.  */
extern const struct cfg_schema cfg_node_schema;

#endif
