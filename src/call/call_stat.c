/* Metrics of the sending side.  */

#include "call/call_stat.h"

#include <stdio.h>
#include <string.h>

void
call_stat_init (struct call_stat *stat)
{
  char labels[128];

  memset (stat, 0, sizeof *stat);
  pthread_mutex_init (&stat->lock, NULL);
  for (int class = 0; class < DOC_CLASS_COUNT; class ++)
    {
      const char *name = doc_class_name ((enum doc_class) class);

      snprintf (labels, sizeof labels, "class=\"%s\"", name);
      stat->latency[class] = met_histogram ("call_seconds", labels);
      for (int outcome = 0; outcome < CALL_STAT_OUTCOMES; outcome++)
        {
          snprintf (labels, sizeof labels, "class=\"%s\",outcome=\"%s\"", name,
                    out_name ((enum out_outcome)outcome));
          stat->counters[class][outcome] = met_counter ("calls_total", labels);
        }
    }
  stat->retries = met_counter ("call_retries_total", "");
  stat->queries = met_counter ("call_queries_total", "");
}

static struct call_stat_tenant *
get_tenant (struct call_stat *stat, const char *name)
{
  struct call_stat_tenant *tenant;
  char labels[128];

  for (size_t i = 0; i < stat->tenant_count; i++)
    if (strcmp (stat->tenants[i].name, name) == 0)
      return &stat->tenants[i];
  if (stat->tenant_count + 1 >= CALL_STAT_MAX_TENANTS
      && strcmp (name, "other") != 0)
    return get_tenant (stat, "other");
  tenant = &stat->tenants[stat->tenant_count++];
  snprintf (tenant->name, sizeof tenant->name, "%s", name);
  snprintf (labels, sizeof labels, "tenant=\"%s\"", tenant->name);
  tenant->latency = met_histogram ("tenant_call_seconds", labels);
  for (int outcome = 0; outcome < CALL_STAT_OUTCOMES; outcome++)
    {
      snprintf (labels, sizeof labels, "tenant=\"%s\",outcome=\"%s\"",
                tenant->name, out_name ((enum out_outcome)outcome));
      tenant->counters[outcome] = met_counter ("tenant_calls_total", labels);
    }
  return tenant;
}

void
call_stat_count (struct call_stat *stat, const struct call_trace_call *call,
                 const char *tenant)
{
  met_add (stat->counters[call->call_class][call->outcome], 1);
  hst_record (stat->latency[call->call_class], (uint64_t)call->elapsed);
  if (tenant != NULL)
    {
      struct call_stat_tenant *entry;

      pthread_mutex_lock (&stat->lock);
      entry = get_tenant (stat, tenant);
      pthread_mutex_unlock (&stat->lock);
      met_add (entry->counters[call->outcome], 1);
      hst_record (entry->latency, (uint64_t)call->elapsed);
    }
  if (call->try_count > 1)
    met_add (stat->retries, call->try_count - 1);
  for (uint32_t i = 0; i < call->try_count; i++)
    if (call->tries[i].queries > 0)
      met_add (stat->queries, call->tries[i].queries);
}
