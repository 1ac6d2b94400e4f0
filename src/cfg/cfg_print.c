/* Output of settings and of their reference.  */

#include "cfg/cfg_sidecar.h"
#include "cfg/cfg_table.h"

#include <inttypes.h>
#include <string.h>

static void
print_seeds (const struct net_address *seeds, size_t count, struct buf *output)
{
  char address[NET_TEXT_SIZE];

  buf_printf (output, "[");
  for (size_t i = 0; i < count; i++)
    {
      net_format (seeds[i], address);
      buf_printf (output, "%s\"%s\"", i > 0 ? ", " : "", address);
    }
  buf_printf (output, "]");
}

static void
print_value (const struct cfg_setting *setting, const char *settings,
             struct buf *output)
{
  const void *place = settings + setting->offset;
  char address[NET_TEXT_SIZE];

  switch (setting->kind)
    {
    case CFG_NAME:
    case CFG_URL:
      buf_printf (output, "\"%s\"", (const char *)place);
      break;
    case CFG_ADDRESS:
      net_format (*(const struct net_address *)place, address);
      buf_printf (output, "\"%s\"", address);
      break;
    case CFG_SEEDS:
      print_seeds (place, *(const size_t *)(settings + setting->count_offset),
                   output);
      break;
    case CFG_SECONDS:
      buf_printf (output, "%g",
                  (double)*(const clk_time *)place / (double)CLK_SECOND);
      break;
    case CFG_DECIMAL:
      buf_printf (output, "%g", *(const double *)place);
      break;
    case CFG_BOOLEAN:
      buf_printf (output, *(const bool *)place ? "true" : "false");
      break;
    case CFG_CHOICE:
      buf_printf (output, "\"%s\"", setting->choices[*(const int64_t *)place]);
      break;
    default:
      buf_printf (output, "%" PRId64, *(const int64_t *)place);
    }
}

/* Appends the values that a setting may have.  */
static void
print_range (const struct cfg_setting *setting, struct buf *output)
{
  switch (setting->kind)
    {
    case CFG_NAME:
      buf_printf (output, "1 to %d letters, digits, \"-\", \"_\" and \".\"",
                  CFG_NAME_SIZE - 1);
      break;
    case CFG_URL:
      buf_printf (output, "begins with http://, at most %d characters",
                  CFG_URL_SIZE - 1);
      break;
    case CFG_ADDRESS:
      buf_printf (output, "IP address and port");
      break;
    case CFG_SEEDS:
      buf_printf (output, "at most %d IP addresses and ports", CFG_MAX_SEEDS);
      break;
    case CFG_CHOICE:
      for (int i = 0; setting->choices[i] != NULL; i++)
        buf_printf (output, "%s\"%s\"", i > 0 ? ", " : "",
                    setting->choices[i]);
      break;
    case CFG_SECONDS:
      buf_printf (output, "%g to %g", (double)setting->minimum / 1000,
                  (double)setting->maximum / 1000);
      break;
    case CFG_BOOLEAN:
      buf_printf (output, "true or false");
      break;
    default:
      buf_printf (output, "%" PRId64 " to %" PRId64, setting->minimum,
                  setting->maximum);
    }
}

static const char *
unit_of (const struct cfg_setting *setting)
{
  if (setting->kind == CFG_SECONDS)
    return "s";
  return setting->unit;
}

void
cfg_print_schema (const struct cfg_schema *schema, const void *settings,
                  struct buf *output)
{
  const char *table = "";

  for (size_t i = 0; i < schema->count; i++)
    {
      const struct cfg_setting *setting = &schema->settings[i];

      if (strcmp (table, setting->table) != 0)
        buf_printf (output, "%s[%s]\n", i > 0 ? "\n" : "", setting->table);
      table = setting->table;
      buf_printf (output, "# %s; ", setting->help);
      print_range (setting, output);
      if (unit_of (setting) != NULL)
        buf_printf (output, " %s", unit_of (setting));
      buf_printf (output, "; default: %s\n%s = ",
                  setting->fallback != NULL ? setting->fallback : "none",
                  setting->key);
      print_value (setting, settings, output);
      buf_printf (output, "\n");
    }
}

void
cfg_print (const struct cfg_settings *settings, struct buf *output)
{
  cfg_print_schema (&cfg_node_schema, settings, output);
}

void
cfg_reference_schema (const struct cfg_schema *schema, struct buf *output)
{
  buf_printf (output, "| setting | meaning | values | unit | default |\n"
                      "| --- | --- | --- | --- | --- |\n");
  for (size_t i = 0; i < schema->count; i++)
    {
      const struct cfg_setting *setting = &schema->settings[i];

      buf_printf (output, "| `%s.%s` | %s | ", setting->table, setting->key,
                  setting->help);
      print_range (setting, output);
      buf_printf (output, " | %s | ",
                  unit_of (setting) != NULL ? unit_of (setting) : "-");
      if (setting->fallback != NULL)
        buf_printf (output, "`%s` |\n", setting->fallback);
      else
        buf_printf (output, "must be given |\n");
    }
}

void
cfg_print_reference (struct buf *output)
{
  buf_printf (output,
              "# Settings\n\n"
              "A node reads its settings from one TOML file at its start: "
              "`mulberryshift node --settings FILE`. The option "
              "`--print-settings` prints those in effect. The table is "
              "generated from the program.\n\n");
  cfg_reference_schema (&cfg_node_schema, output);
  buf_printf (output, "\n## Sidecar\n\n"
                      "The same for `mulberryshift sidecar --settings FILE`, "
                      "on the users' platform.\n\n");
  cfg_print_sidecar_reference (output);
}
