/* Log lines and metrics of quotas.  */

#include "base/log.h"
#include "met/met.h"
#include "quo/quo_internal.h"

#include <ctype.h>
#include <stdio.h>
#include <string.h>

/* Tenants with series of their own; the rest are summed as "other".  */
#define MAX_LABELLED 64

#define LABEL_SIZE 96

/* Rates and parts are written in thousandths.  */
#define THOUSANDTHS 1000

static const char *
node_name (const struct quo *quota, dir_handle node)
{
  const struct mbr_member *member = dir_get (quota->parts.directory, node);

  return member != NULL ? member->name : "(none)";
}

void
quo_start_series (struct quo_tenant *tenant)
{
  struct quo *quota = tenant->quota;
  char labels[LABEL_SIZE];
  const char *name = "other";

  if (quota->labelled_count < MAX_LABELLED)
    {
      quota->labelled_count++;
      name = tenant->name;
    }
  snprintf (labels, sizeof labels, "tenant=\"%.64s\"", name);
  for (char *at = labels + strlen ("tenant=\"");
       at[0] != '\0' && at[1] != '\0'; at++)
    if (!isalnum ((unsigned char)*at) && strchr ("-_.", *at) == NULL)
      *at = '_';
  tenant->granted_total = met_counter ("quota_granted_total", labels);
  tenant->refused_total = met_counter ("quota_refused_total", labels);
}

void
quo_log_refused (struct quo_tenant *tenant, clk_time retry_after)
{
  struct log_entry entry;

  met_add (tenant->refused_total, 1);
  if (!log_begin (&entry, LOG_INFO, "quo", "no credit", NULL))
    return;
  log_add_text (&entry, "tenant", tenant->name);
  log_add_number (&entry, "credit", tenant->lease.credit);
  log_add_number (&entry, "rate_permille",
                  (int64_t)(tenant->rate * THOUSANDTHS));
  log_add_text (&entry, "owner", node_name (tenant->quota, tenant->owner));
  log_add_text (&entry, "floor", tenant->uses_floor ? "yes" : "no");
  log_add_number (&entry, "waiting", tenant->waiting_count);
  log_add_ms (&entry, "retry_after_ms", retry_after);
  log_end (&entry);
}

void
quo_log_owner (const struct quo_tenant *tenant, dir_handle before)
{
  struct log_entry entry;

  if (!log_begin (&entry, LOG_INFO, "quo", "owner of a quota changed", NULL))
    return;
  log_add_text (&entry, "tenant", tenant->name);
  log_add_text (&entry, "from", node_name (tenant->quota, before));
  log_add_text (&entry, "owner", node_name (tenant->quota, tenant->owner));
  log_end (&entry);
}

void
quo_log_floor (const struct quo_tenant *tenant)
{
  struct log_entry entry;

  if (!log_begin (&entry, LOG_WARNING, "quo", "floor in use", NULL))
    return;
  log_add_text (&entry, "tenant", tenant->name);
  log_add_text (&entry, "owner", node_name (tenant->quota, tenant->owner));
  log_add_number (&entry, "rate_permille",
                  (int64_t)(tenant->rate * THOUSANDTHS));
  log_add_number (&entry, "nodes",
                  (int64_t)dir_alive_count (tenant->quota->parts.directory));
  log_end (&entry);
}

void
quo_log_share (const struct quo *quota, double before)
{
  struct log_entry entry;

  if (!log_begin (&entry, LOG_WARNING, "quo", "part of quotas changed", NULL))
    return;
  log_add_number (&entry, "from_permille", (int64_t)(before * THOUSANDTHS));
  log_add_number (&entry, "permille",
                  (int64_t)(quota->share.part * THOUSANDTHS));
  log_add_number (&entry, "nodes",
                  (int64_t)dir_alive_count (quota->parts.directory));
  log_end (&entry);
}
