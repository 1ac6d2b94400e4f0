/* Tests the settings of a sidecar after the platform has filled in the
   template.  */

#include "cfg/cfg_sidecar.h"
#include "support/template_render.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

static std::string
read_file (const std::string &name)
{
  std::ifstream file (name);
  std::stringstream text;

  text << file.rdbuf ();
  return text.str ();
}

static struct cfg_sidecar
parse (const std::string &text)
{
  struct cfg_sidecar settings = {};
  struct buf report = {};

  EXPECT_EQ (
      cfg_parse_sidecar ("s", text.data (), text.size (), &settings, &report),
      CFG_OK)
      << buf_text (&report) << text;
  buf_close (&report);
  return settings;
}

/* Guards against fields of the platform that do not reach the sidecar, which
   then runs with its defaults.  A template section over a table is rendered
   once for each entry of the table, not once for the table.  */
TEST (Settings, TemplateFieldsReachTheSidecar)
{
  struct cfg_sidecar settings = parse (
      render_template (read_file ("platform/settings.toml"),
                       read_file ("tests/support/platform_fields.json")));

  EXPECT_STREQ (settings.name, "sidecar-1");
  EXPECT_STREQ (settings.data_centre, "a");
  EXPECT_STREQ (settings.region, "near");
  EXPECT_STREQ (settings.service, "orders");
  EXPECT_TRUE (settings.first_start);
  EXPECT_EQ (settings.memory_mb, 160);
  EXPECT_DOUBLE_EQ (settings.cores, 0.25);
  EXPECT_EQ (settings.caller_address.port, 8304);
  EXPECT_EQ (settings.mesh_address.port, 8300);
  EXPECT_EQ (settings.readiness_address.port, 8302);
  EXPECT_EQ (settings.heartbeat_address.port, 8306);
  EXPECT_EQ (settings.upstream_address.port, 8301);
  EXPECT_EQ (settings.heartbeat_interval, CLK_SECOND * 3 / 2);
  EXPECT_EQ (settings.platform_address.port, 8309);
  EXPECT_EQ (settings.grace_period, 8 * CLK_SECOND);
  EXPECT_DOUBLE_EQ (settings.retry_ratio, 0.3);
  EXPECT_EQ (settings.retry_slack, 166);
  EXPECT_EQ (settings.retry_window, 12 * CLK_SECOND);
  EXPECT_DOUBLE_EQ (settings.max_rollout_share, 0.1);
  EXPECT_EQ (settings.rollback_time, 5 * CLK_SECOND);
}

/* Guards against a template that yields invalid settings when the platform
   omits fields that have defaults.  */
TEST (Settings, OptionalFieldsMayBeMissing)
{
  std::string fields = read_file ("tests/support/platform_fields.json");
  size_t at = fields.find ("\"Limits\"");
  struct cfg_sidecar settings
      = parse (render_template (read_file ("platform/settings.toml"),
                                fields.substr (0, at) + "\"_\": 0 }"));

  EXPECT_TRUE (settings.first_start);
  EXPECT_DOUBLE_EQ (settings.cores, 1);
  EXPECT_DOUBLE_EQ (settings.max_rollout_share, 0);
}

/* Guards against an example file that the program rejects.  */
TEST (Settings, ExampleIsValid)
{
  struct cfg_sidecar settings = parse (read_file ("examples/sidecar.toml"));

  EXPECT_STREQ (settings.service, "price");
  EXPECT_EQ (settings.retry_slack, 56);
}
