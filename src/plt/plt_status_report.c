/* The object in which a relay reports its data centre's versions.  */

#include "plt/plt_status_report.h"

#include "plt/plt_json.h"

#include <stdio.h>
#include <string.h>

void
plt_status_report_encode (const struct plt_status_report *report,
                          struct buf *output)
{
  plt_json_write (
      json_pack (
          "{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:s, s:b, s:o, s:I, s:I}",
          "data_centre", report->data_centre, "region", report->region,
          "relay", report->relay, "members", (json_int_t)report->members,
          "highest_version", (json_int_t)report->highest_version, "at_highest",
          (json_int_t)report->at_highest, "lowest_version",
          (json_int_t)report->lowest_version, "rejected_version",
          (json_int_t)report->rejected_version, "rejected_reason",
          report->rejected_reason, "forked", (int)report->forked,
          "unreachable",
          plt_json_rows (report->unreachable[0], PLT_REPORT_NAME_SIZE,
                         report->unreachable_count),
          "written_at", (json_int_t)report->written_at, "since",
          (json_int_t)report->since),
      output);
}

static bool
decode_versions (const json_t *root, struct plt_status_report *report)
{
  return plt_json_number (root, "members", 0, UINT32_MAX, &report->members)
         && plt_json_number (root, "highest_version", 0, PLT_JSON_MAX,
                             &report->highest_version)
         && plt_json_number (root, "at_highest", 0, report->members,
                             &report->at_highest)
         && plt_json_number (root, "lowest_version", 0,
                             report->highest_version, &report->lowest_version)
         && plt_json_number (root, "rejected_version", 0, PLT_JSON_MAX,
                             &report->rejected_version)
         && plt_json_text (root, "rejected_reason", report->rejected_reason,
                           sizeof report->rejected_reason);
}

enum plt_status
plt_status_report_decode (const char *text, size_t length,
                          struct plt_status_report *report)
{
  json_t *root = plt_json_parse ("status report", text, length);
  bool valid;

  memset (report, 0, sizeof *report);
  if (root == NULL)
    return PLT_INVALID;
  valid = plt_json_text (root, "data_centre", report->data_centre,
                         sizeof report->data_centre)
          && report->data_centre[0] != '\0'
          && plt_json_text (root, "region", report->region,
                            sizeof report->region)
          && plt_json_text (root, "relay", report->relay, sizeof report->relay)
          && decode_versions (root, report)
          && plt_json_boolean (root, "forked", &report->forked)
          && plt_json_texts (root, "unreachable", report->unreachable[0],
                             PLT_REPORT_NAME_SIZE, PLT_REPORT_MAX_UNREACHABLE,
                             &report->unreachable_count)
          && plt_json_number (root, "written_at", 0, PLT_JSON_MAX,
                              &report->written_at)
          && plt_json_number (root, "since", 0, PLT_JSON_MAX, &report->since);
  if (!valid)
    memset (report, 0, sizeof *report);
  return plt_json_finish (root, valid, "status report");
}

void
plt_status_report_key (const char *environment, const char *data_centre,
                       char key[PLT_KEY_SIZE])
{
  snprintf (key, PLT_KEY_SIZE, "status/%s/%s", environment, data_centre);
}
