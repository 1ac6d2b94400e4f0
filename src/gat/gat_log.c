/* Log lines and metrics of the gate.  */

#include "gat/gat_log.h"

#include "base/log.h"
#include "met/met.h"
#include "met/met_tenant.h"

#include <stdio.h>

static clk_time
now_of (const struct gat_call *call)
{
  return evl_now (call->gate->loop);
}

/* Returns the name of the call's tenant, null when it has none.  */
static const char *
tenant_of (const struct gat_call *call)
{
  const char *name = call->frame->call->tenant;

  return name[0] != '\0' ? name : NULL;
}

static void
add_load (struct log_entry *entry, const struct gat_call *call)
{
  const struct gat *gate = call->gate;

  log_add_text (entry, "service", call->frame->call->service);
  log_add_text (entry, "tenant", tenant_of (call));
  log_add_text (entry, "upstream", gate->registration->upstream.name);
  log_add_number (entry, "running", gate->running);
  log_add_number (entry, "waiting", (int64_t)gate->queue.count);
  log_add_number (entry, "slots", gate->registration->upstream.slots);
}

/* Returns whether the call would run now if the link of the VM took its long
   bodies.  */
static bool
waits_for_link (const struct gat_call *call)
{
  const struct gat *gate = call->gate;

  return call->frame->call->is_bulk
         && gate->running < gate->registration->upstream.slots;
}

/* Adds what the link of the VM is to carry for a call with long bodies.  */
static void
add_link (struct log_entry *entry, const struct gat_call *call)
{
  const struct gat *gate = call->gate;

  if (!call->frame->call->is_bulk)
    return;
  log_add_ms (entry, "link_wait_ms", gat_link_wait (call));
  log_add_ms (entry, "body_wait_ms", gat_receive_wait (call));
  log_add_number (entry, "expected_bytes", (int64_t)gate->expected_bytes);
  log_add_number (entry, "granted_bytes", (int64_t)gate->granted_bytes);
}

void
gat_log_receiving (const struct gat_call *call, clk_time wait)
{
  struct log_entry entry;

  met_add (met_counter ("gate_bodies_awaited_total", ""), 1);
  if (!log_begin (&entry, LOG_INFO, "gat", "body awaited", call->id))
    return;
  add_load (&entry, call);
  add_link (&entry, call);
  log_add_number (&entry, "body_bytes", call->frame->call->body_bytes);
  log_add_ms (&entry, "wait_ms", wait);
  log_add_ms (&entry, "left_ms", call->deadline - now_of (call));
  log_end (&entry);
}

void
gat_log_queued (const struct gat_call *call, clk_time wait)
{
  struct log_entry entry;

  met_add (met_counter ("gate_queued_total", ""), 1);
  if (waits_for_link (call))
    met_add (met_counter ("gate_link_queued_total", ""), 1);
  if (!log_begin (&entry, LOG_INFO, "gat", "queued", call->id))
    return;
  add_load (&entry, call);
  add_link (&entry, call);
  log_add_ms (&entry, "wait_ms", wait);
  log_add_number (&entry, "priority", call->frame->call->priority);
  if (tenant_of (call) != NULL)
    log_add_text (
        &entry, "over_share",
        shr_is_over (&call->gate->queue.shares, call->tenant) ? "yes" : "no");
  log_add_ms (&entry, "left_ms", call->deadline - now_of (call));
  log_end (&entry);
}

void
gat_log_started (const struct gat_call *call)
{
  struct log_entry entry;

  met_add (met_counter ("gate_started_total", ""), 1);
  hst_record (met_histogram ("gate_wait_seconds", ""),
              (uint64_t)(now_of (call) - call->arrival));
  if (tenant_of (call) != NULL)
    met_time_tenant ("tenant_wait_seconds", tenant_of (call),
                     (uint64_t)(now_of (call) - call->arrival));
  if (!log_begin (&entry, LOG_INFO, "gat", "started", call->id))
    return;
  add_load (&entry, call);
  log_add_ms (&entry, "waited_ms", now_of (call) - call->arrival);
  log_add_text (&entry, "repeat", call->frame->call->repeat ? "yes" : "no");
  log_end (&entry);
}

void
gat_log_ended (const struct gat_call *call, unsigned status)
{
  clk_time elapsed = now_of (call) - call->started;
  struct log_entry entry;
  char labels[32];

  snprintf (labels, sizeof labels, "status=\"%u\"", status);
  met_add (met_counter ("gate_ended_total", labels), 1);
  hst_record (met_histogram ("gate_slot_seconds", ""), (uint64_t)elapsed);
  if (!log_begin (&entry, status >= 500 ? LOG_WARNING : LOG_INFO, "gat",
                  status >= 500 ? "failed by the upstream" : "ended",
                  call->id))
    return;
  add_load (&entry, call);
  log_add_number (&entry, "status", status);
  log_add_ms (&entry, "slot_ms", elapsed);
  log_end (&entry);
}

void
gat_log_refused (const struct gat_call *call, enum gat_refusal refusal)
{
  struct log_entry entry;
  char labels[48];

  snprintf (labels, sizeof labels, "reason=\"%s\"",
            gat_refusal_name (refusal));
  met_add (met_counter ("gate_refused_total", labels), 1);
  if (refusal == GAT_BUSY && waits_for_link (call))
    met_add (met_counter ("gate_link_refused_total", ""), 1);
  if (!log_begin (&entry, LOG_INFO, "gat", "not run", call->id))
    return;
  add_load (&entry, call);
  add_link (&entry, call);
  log_add_text (&entry, "reason", gat_refusal_name (refusal));
  log_add_ms (&entry, "wait_ms", gat_expect_wait (call));
  log_add_ms (&entry, "max_wait_ms",
              (clk_time)call->frame->call->max_wait_us * CLK_MICROSECOND);
  log_add_ms (&entry, "left_ms", call->deadline - now_of (call));
  log_end (&entry);
}

void
gat_log_unknown (const struct gat_call *call, const char *reason)
{
  struct log_entry entry;

  met_add (met_counter ("gate_lost_total", ""), 1);
  if (!log_begin (&entry, LOG_WARNING, "gat", "answer lost", call->id))
    return;
  add_load (&entry, call);
  log_add_text (&entry, "reason", reason);
  log_add_ms (&entry, "slot_ms", now_of (call) - call->started);
  log_end (&entry);
}

void
gat_log_cancelled (const struct gat_call *call, const char *reason)
{
  bool is_running = call->state == GAT_RUNNING;
  clk_time now = now_of (call);
  struct log_entry entry;
  char labels[80];

  snprintf (labels, sizeof labels, "running=\"%s\",reason=\"%s\"",
            is_running ? "yes" : "no", reason);
  met_add (met_counter ("gate_cancelled_total", labels), 1);
  if (!log_begin (&entry, is_running ? LOG_WARNING : LOG_INFO, "gat",
                  is_running ? "cancelled while running" : "cancelled",
                  call->id))
    return;
  add_load (&entry, call);
  log_add_text (&entry, "reason", reason);
  log_add_ms (&entry, "waited_ms",
              (is_running ? call->started : now) - call->arrival);
  if (is_running)
    log_add_ms (&entry, "slot_ms", now - call->started);
  log_add_ms (&entry, "left_ms", call->deadline - now);
  log_end (&entry);
}
