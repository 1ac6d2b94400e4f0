/* Metrics of the gate: outcomes and times per class and per tenant.  */

#include "base/mem.h"
#include "gate/gate_internal.h"

#include "met/met.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OUTCOMES 3
/* Tenants whose series are looked up without a search.  */
#define CACHED_TENANTS 64
#define LABELS_SIZE 192

struct meter
{
  uint64_t *outcomes[OUTCOMES];
  struct hst *time;
};

struct gate_meters
{
  struct meter classes[DOC_CLASS_COUNT];
  struct
  {
    uint64_t tenant;
    bool used;
    struct meter meter;
  } tenants[CACHED_TENANTS];
  uint64_t *running;
  uint64_t *queued;
  uint64_t *buffered;
};

static void
open_meter (struct meter *meter, const char *kind, const char *value)
{
  char labels[LABELS_SIZE];
  char name[LABELS_SIZE];

  for (int i = 0; i < OUTCOMES; i++)
    {
      snprintf (labels, sizeof labels, "%s=\"%s\",outcome=\"%s\"", kind, value,
                out_name ((enum out_outcome)i));
      snprintf (name, sizeof name, "gate_%s_calls_total", kind);
      meter->outcomes[i] = met_counter (name, labels);
    }
  snprintf (labels, sizeof labels, "%s=\"%s\"", kind, value);
  snprintf (name, sizeof name, "gate_%s_call_seconds", kind);
  meter->time = met_histogram (name, labels);
}

struct gate_meters *
gate_meters_create (void)
{
  struct gate_meters *meters = mem_alloc (1, sizeof *meters);

  open_meter (&meters->classes[DOC_IDEMPOTENT], "class", "repeatable");
  open_meter (&meters->classes[DOC_AT_MOST_ONCE], "class", "once");
  meters->running = met_counter ("gate_calls_running", "");
  meters->queued = met_counter ("gate_calls_queued", "");
  meters->buffered = met_counter ("gate_buffered_bytes", "");
  return meters;
}

void
gate_meters_destroy (struct gate_meters *meters)
{
  free (meters);
}

/* Names outside the document, or with characters that a label would need to
   quote, count together: callers choose names freely.  */
static const char *
tenant_label (const struct gate_call *call)
{
  const char *name = call->call->tenant;

  if (!call->tenant_known || strlen (name) > 64)
    return name[0] == '\0' ? "none" : "other";
  for (const char *c = name; *c != '\0'; c++)
    if (*c < ' ' || *c == '"' || *c == '\\' || *c == 127)
      return "other";
  return name;
}

static struct meter *
get_tenant (struct gate_meters *meters, const struct gate_call *call)
{
  uint64_t tenant = call->tenant_known ? call->tenant : 0;
  size_t index = tenant % CACHED_TENANTS;

  if (!call->tenant_known && call->call->tenant[0] != '\0')
    tenant = 1;
  if (!meters->tenants[index].used || meters->tenants[index].tenant != tenant)
    {
      open_meter (&meters->tenants[index].meter, "tenant",
                  tenant_label (call));
      meters->tenants[index].tenant = tenant;
      meters->tenants[index].used = true;
    }
  return &meters->tenants[index].meter;
}

static void
record (struct meter *meter, enum out_outcome outcome, clk_time time)
{
  met_add (meter->outcomes[outcome], 1);
  if (outcome == OUT_ANSWERED)
    hst_record (meter->time, (uint64_t)(time > 0 ? time : 0));
}

void
gate_meters_record (struct gate *gate, const struct gate_call *call,
                    enum out_outcome outcome, clk_time now)
{
  struct gate_meters *meters = gate->meters;

  if ((unsigned)call->call_class < DOC_CLASS_COUNT)
    record (&meters->classes[call->call_class], outcome, now - call->arrival);
  record (get_tenant (meters, call), outcome, now - call->arrival);
  met_set (meters->running, adm_running (gate->adm));
  met_set (meters->queued, adm_queued (gate->adm));
  met_set (meters->buffered, gate->buffered);
}
