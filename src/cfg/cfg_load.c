/* Loading of settings with checks.  */

#include "base/err.h"
#include "base/file.h"
#include "base/mem.h"
#include "cfg/cfg_table.h"
#include "toml/toml_report.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Most settings of one table and most tables; see check_names.  */
#define MAX_NAMES 32

/* What is being loaded.  */
struct loader
{
  const struct cfg_schema *schema;
  struct toml_report report;
  char *settings; /* of the schema's size */
};

static void
describe_expected (const struct cfg_setting *setting, char *text, size_t size)
{
  int length;

  switch (setting->kind)
    {
    case CFG_NAME:
      snprintf (text, size, "write %s = \"...\" with the %s", setting->key,
                setting->help);
      break;
    case CFG_URL:
      snprintf (text, size, "write for example \"http://10.0.0.9:8000\"");
      break;
    case CFG_ADDRESS:
      snprintf (text, size,
                "write an IP address and a port such as \"10.0.0.5:7000\"");
      break;
    case CFG_SEEDS:
      snprintf (text, size,
                "write a list of at most %d addresses such as "
                "[\"10.0.0.5:7000\"]",
                CFG_MAX_SEEDS);
      break;
    case CFG_CHOICE:
      length = snprintf (text, size, "write \"%s\"", setting->choices[0]);
      for (int i = 1; setting->choices[i] != NULL; i++)
        length += snprintf (text + length, size - (size_t)length, "%s\"%s\"",
                            setting->choices[i + 1] == NULL ? " or " : ", ",
                            setting->choices[i]);
      break;
    case CFG_SECONDS:
      snprintf (text, size, "write a number of seconds from %g to %g",
                (double)setting->minimum / 1000,
                (double)setting->maximum / 1000);
      break;
    case CFG_DECIMAL:
      snprintf (text, size, "write a number from %" PRId64 " to %" PRId64,
                setting->minimum, setting->maximum);
      break;
    case CFG_BOOLEAN:
      snprintf (text, size, "write true or false");
      break;
    default:
      snprintf (text, size,
                "write a whole number from %" PRId64 " to %" PRId64 " (%s)",
                setting->minimum, setting->maximum, setting->unit);
    }
}

/* Reports VALUE as "[table] key PROBLEM; what is expected".  */
static void
report_value (struct loader *loader, const struct cfg_setting *setting,
              const struct toml_node *value, const char *problem)
{
  char expected[256];

  describe_expected (setting, expected, sizeof expected);
  toml_add_error (&loader->report, value->line, value->column,
                  "[%s] %s %s; %s", setting->table, setting->key, problem,
                  expected);
}

static bool
is_kind (struct loader *loader, const struct cfg_setting *setting,
         const struct toml_node *value, enum toml_kind kind)
{
  char problem[96];

  if (value->kind == kind)
    return true;
  snprintf (problem, sizeof problem, "is %s, but must be %s",
            toml_kind_name (value->kind), toml_kind_name (kind));
  report_value (loader, setting, value, problem);
  return false;
}

static bool
read_address (struct loader *loader, const struct cfg_setting *setting,
              const struct toml_node *value, struct net_address *address)
{
  if (!is_kind (loader, setting, value, TOML_STRING))
    return false;
  if (net_parse (value->string, address) && address->port != 0)
    return true;
  report_value (loader, setting, value, "is not an address with a port");
  return false;
}

static void
read_seeds (struct loader *loader, const struct cfg_setting *setting,
            const struct toml_node *value)
{
  struct net_address *seeds
      = (struct net_address *)(loader->settings + setting->offset);
  size_t *count = (size_t *)(loader->settings + setting->count_offset);

  if (!is_kind (loader, setting, value, TOML_ARRAY))
    return;
  if (value->child_count > CFG_MAX_SEEDS)
    {
      report_value (loader, setting, value, "has too many addresses");
      return;
    }
  for (size_t i = 0; i < value->child_count; i++)
    {
      const struct toml_node *entry = &value->children[i];
      struct net_address address;
      size_t same = 0;

      if (!read_address (loader, setting, entry, &address))
        continue;
      while (same < *count && !net_equal (seeds[same], address))
        same++;
      if (same < *count)
        toml_add_error (&loader->report, entry->line, entry->column,
                        "[mesh] seeds has the address %s twice; remove one",
                        entry->string);
      else
        seeds[(*count)++] = address;
    }
}

static void
read_url (struct loader *loader, const struct cfg_setting *setting,
          const struct toml_node *value, char *place)
{
  static const char scheme[] = "http://";
  size_t length;

  if (!is_kind (loader, setting, value, TOML_STRING))
    return;
  length = strlen (value->string);
  if (strncmp (value->string, scheme, strlen (scheme)) != 0)
    report_value (loader, setting, value, "does not begin with http://");
  else if (length == strlen (scheme) || value->string[strlen (scheme)] == '/')
    report_value (loader, setting, value, "has no host after http://");
  else if (length >= CFG_URL_SIZE)
    report_value (loader, setting, value, "is too long");
  else if (strspn (value->string,
                   "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                   "0123456789-._~:/[]@!$&()*+,;=%")
           != length)
    report_value (loader, setting, value,
                  "has a space or another character that URLs cannot have");
  else
    memcpy (place, value->string, length + 1);
}

static void
read_choice (struct loader *loader, const struct cfg_setting *setting,
             const struct toml_node *value, int64_t *place)
{
  char quoted[TOML_QUOTE_SIZE];
  char problem[TOML_QUOTE_SIZE + 32];

  if (!is_kind (loader, setting, value, TOML_STRING))
    return;
  for (int i = 0; setting->choices[i] != NULL; i++)
    if (strcmp (setting->choices[i], value->string) == 0)
      {
        *place = i;
        return;
      }
  snprintf (problem, sizeof problem, "is %s, which is not known",
            toml_quote (value->string, quoted));
  report_value (loader, setting, value, problem);
}

static void
read_name (struct loader *loader, const struct cfg_setting *setting,
           const struct toml_node *value, char *place)
{
  char what[64];

  if (!is_kind (loader, setting, value, TOML_STRING))
    return;
  snprintf (what, sizeof what, "[%s] %s", setting->table, setting->key);
  if (toml_check_name (&loader->report, value, value->string, what))
    memcpy (place, value->string, strlen (value->string) + 1);
}

/* Reads a number with or without a fraction.  LOWEST and HIGHEST bound it.  */
static bool
read_decimal (struct loader *loader, const struct cfg_setting *setting,
              const struct toml_node *value, double lowest, double highest,
              double *number)
{
  if (value->kind == TOML_INTEGER)
    *number = (double)value->integer;
  else if (is_kind (loader, setting, value, TOML_FLOAT))
    *number = value->real;
  else
    return false;
  if (*number >= lowest && *number <= highest)
    return true;
  report_value (loader, setting, value, "is out of range");
  return false;
}

static void
read_seconds (struct loader *loader, const struct cfg_setting *setting,
              const struct toml_node *value, clk_time *place)
{
  double seconds;

  if (read_decimal (loader, setting, value, (double)setting->minimum / 1000,
                    (double)setting->maximum / 1000, &seconds))
    *place = (clk_time)(seconds * (double)CLK_SECOND);
}

static void
read_value (struct loader *loader, const struct cfg_setting *setting,
            const struct toml_node *value)
{
  void *place = loader->settings + setting->offset;
  double number;

  switch (setting->kind)
    {
    case CFG_NAME:
      read_name (loader, setting, value, place);
      break;
    case CFG_URL:
      read_url (loader, setting, value, place);
      break;
    case CFG_ADDRESS:
      read_address (loader, setting, value, place);
      break;
    case CFG_SEEDS:
      read_seeds (loader, setting, value);
      break;
    case CFG_CHOICE:
      read_choice (loader, setting, value, place);
      break;
    case CFG_SECONDS:
      read_seconds (loader, setting, value, place);
      break;
    case CFG_DECIMAL:
      if (read_decimal (loader, setting, value, (double)setting->minimum,
                        (double)setting->maximum, &number))
        *(double *)place = number;
      break;
    case CFG_BOOLEAN:
      if (is_kind (loader, setting, value, TOML_BOOLEAN))
        *(bool *)place = value->boolean;
      break;
    default:
      if (!is_kind (loader, setting, value, TOML_INTEGER))
        break;
      if (value->integer < setting->minimum
          || value->integer > setting->maximum)
        report_value (loader, setting, value, "is out of range");
      else
        *(int64_t *)place = value->integer;
    }
}

static void
read_fallback (struct loader *loader, const struct cfg_setting *setting)
{
  char text[128];
  struct toml_error error;
  struct toml_node *root;

  snprintf (text, sizeof text, "v = %s", setting->fallback);
  if (toml_parse (text, strlen (text), &root, &error) == TOML_OK)
    read_value (loader, setting, &root->children[0]);
  toml_destroy (root);
}

static void
load_setting (struct loader *loader, const struct cfg_setting *setting,
              const struct toml_node *root)
{
  const struct toml_node *table = toml_get (root, setting->table);
  const struct toml_node *value;
  char expected[256];

  if (table != NULL && table->kind != TOML_TABLE)
    return;
  value = table != NULL ? toml_get (table, setting->key) : NULL;
  if (value != NULL)
    read_value (loader, setting, value);
  else if (setting->fallback != NULL)
    read_fallback (loader, setting);
  else if (!loader->report.incomplete)
    {
      describe_expected (setting, expected, sizeof expected);
      toml_add_error (&loader->report, table != NULL ? table->line : 1,
                      table != NULL ? table->column : 1,
                      "[%s] %s is missing; %s", setting->table, setting->key,
                      expected);
    }
}

/* Reports unknown tables, and unknown keys of known tables.  */
static void
check_names (struct loader *loader, const struct toml_node *root)
{
  const struct cfg_setting *settings = loader->schema->settings;
  const char *tables[MAX_NAMES];
  size_t table_count = 0;

  for (size_t i = 0; i < loader->schema->count;)
    {
      const char *name = settings[i].table;
      const struct toml_node *table = toml_get (root, name);
      const char *keys[MAX_NAMES];
      char where[32];
      size_t count = 0;

      tables[table_count++] = name;
      for (;
           i < loader->schema->count && strcmp (settings[i].table, name) == 0;
           i++)
        keys[count++] = settings[i].key;
      snprintf (where, sizeof where, "[%s]", name);
      if (table != NULL && table->kind == TOML_TABLE)
        toml_check_keys (&loader->report, table, where, keys, count);
      else if (table != NULL)
        toml_add_error (&loader->report, table->line, table->column,
                        "%s is not a table of settings; write [%s] on a line "
                        "of its own and the settings below it",
                        name, name);
    }
  toml_check_keys (&loader->report, root, "the file", tables, table_count);
}

enum cfg_status
cfg_read (const struct cfg_schema *schema, const char *name, const char *text,
          size_t length, void *settings, struct buf *report)
{
  struct loader loader = { .schema = schema, .report = { .file_name = name } };
  struct toml_node *root
      = toml_parse_with_recovery (text, length, &loader.report);
  size_t faults;

  loader.settings = mem_alloc (1, schema->size);
  if (root != NULL)
    {
      check_names (&loader, root);
      for (size_t i = 0; i < schema->count; i++)
        load_setting (&loader, &schema->settings[i], root);
      if (schema->check != NULL)
        schema->check (&loader.report, root, loader.settings);
      toml_destroy (root);
    }
  faults = loader.report.count;
  toml_flush (&loader.report, report);
  if (faults == 0)
    memcpy (settings, loader.settings, schema->size);
  else
    err_set ("%s has %zu fault%s", name, faults, faults == 1 ? "" : "s");
  free (loader.settings);
  return faults == 0 ? CFG_OK : CFG_INVALID;
}

enum cfg_status
cfg_read_file (const struct cfg_schema *schema, const char *file,
               void *settings, struct buf *report)
{
  struct buf text = { 0 };
  enum cfg_status status = CFG_UNREADABLE;

  if (file_read (file, &text))
    status = cfg_read (schema, file, buf_text (&text), text.length, settings,
                       report);
  buf_close (&text);
  return status;
}

enum cfg_status
cfg_parse (const char *name, const char *text, size_t length,
           struct cfg_settings *settings, struct buf *report)
{
  return cfg_read (&cfg_node_schema, name, text, length, settings, report);
}

enum cfg_status
cfg_load (const char *file, struct cfg_settings *settings, struct buf *report)
{
  return cfg_read_file (&cfg_node_schema, file, settings, report);
}
