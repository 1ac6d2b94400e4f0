/* Log lines and metrics of the forwarder.  */

#include "fwd/fwd_log.h"

#include "base/log.h"
#include "fwd/fwd_tenant_stat.h"
#include "met/met.h"

#include <stdio.h>
#include <string.h>

static clk_time
now_of (const struct fwd_call *call)
{
  return evl_now (call->forwarder->parts.loop);
}

static const char *
name_of (const struct fwd_call *call, dir_handle peer)
{
  const struct mbr_member *member
      = dir_get (call->forwarder->parts.directory, peer);

  return member != NULL ? member->name : "(gone)";
}

/* Returns the node of an attempt under way, of the newest one if it is.  */
static dir_handle
awaited_peer (const struct fwd_call *call)
{
  for (unsigned i = 0; i < FWD_MAX_TRIES; i++)
    if (call->tries[i].number != 0)
      return call->tries[i].peer;
  return DIR_NONE;
}

/* Counts an event of a service, with one more label unless it is null.  The
   series is looked up by name, as documents bring services and take them
   away.  */
static void
count (const struct fwd_call *call, const char *name, const char *label,
       const char *value)
{
  const char *service = call->service != NULL ? call->service : "";
  char labels[192];

  if (label == NULL)
    snprintf (labels, sizeof labels, "service=\"%s\"", service);
  else
    snprintf (labels, sizeof labels, "service=\"%s\",%s=\"%s\"", service,
              label, value);
  met_add (met_counter (name, labels), 1);
}

static void
add_call_fields (struct log_entry *entry, const struct fwd_call *call)
{
  log_add_text (entry, "service", call->service);
  log_add_text (entry, "tenant",
                call->tenant != NULL ? call->tenant->name : NULL);
  log_add_number (
      entry, "sent_with",
      call->snapshot != NULL ? (int64_t)call->snapshot->stamp.version : 0);
  log_add_ms (entry, "elapsed_ms", now_of (call) - call->arrival);
  if (call->age > 0)
    log_add_ms (entry, "age_ms", call->age);
}

/* Adds what became of each attempt of the call.  */
static void
add_history (struct log_entry *entry, const struct fwd_call *call)
{
  struct buf text = { 0 };

  if (call->history.count == 0)
    return;
  fwd_history_print (&call->history, call->forwarder->parts.directory,
                     call->arrival, now_of (call), &text);
  log_add_text (entry, "attempts", buf_text (&text));
  buf_close (&text);
}

void
fwd_count_end (const struct fwd_call *call, enum fwd_end end)
{
  count (call, "attempts_ended_total", "end", fwd_end_name (end));
}

void
fwd_log_placed (const struct fwd_call *call, dir_handle peer,
                clk_time max_wait)
{
  const struct mbr_member *member
      = dir_get (call->forwarder->parts.directory, peer);
  struct plc_load load = fwd_call_load (call, peer, member->slots);
  struct log_entry entry;

  if (!log_begin (&entry, LOG_INFO, "fwd", "placed", call->id))
    return;
  add_call_fields (&entry, call);
  log_add_text (&entry, "route", call->route->path);
  log_add_text (&entry, "to", member->name);
  log_add_number (&entry, "running", load.running);
  log_add_number (&entry, "slots", load.slots);
  log_add_ms (&entry, "wait_ms", plc_estimate_wait (&load, now_of (call)));
  log_add_ms (&entry, "max_wait_ms", max_wait);
  if (load.reported_at != 0)
    log_add_ms (&entry, "news_age_ms", now_of (call) - load.reported_at);
  log_add_ms (&entry, "left_ms", call->deadline - now_of (call));
  if (call->ignores_reports)
    log_add_text (&entry, "over_share", "sample");
  log_end (&entry);
}

void
fwd_log_over_share (const struct fwd_call *call, dir_handle peer)
{
  const struct ovr_report *report = fwd_find_report (call, peer);
  struct log_entry entry;

  if (report == NULL
      || !log_begin (&entry, LOG_INFO, "fwd", "over share", call->id))
    return;
  add_call_fields (&entry, call);
  log_add_text (&entry, "peer", name_of (call, peer));
  log_add_ms (&entry, "wait_ms", report->wait);
  log_add_ms (&entry, "report_age_ms", ovr_age (report, now_of (call)));
  log_add_ms (&entry, "left_ms", call->deadline - now_of (call));
  log_end (&entry);
}

void
fwd_log_refusal (const struct fwd_call *call, dir_handle peer,
                 enum gat_refusal refusal)
{
  struct log_entry entry;

  count (call, "calls_bounced_total", "reason", gat_refusal_name (refusal));
  if (!log_begin (&entry, LOG_INFO, "fwd", "bounced", call->id))
    return;
  add_call_fields (&entry, call);
  log_add_text (&entry, "from", name_of (call, peer));
  log_add_text (&entry, "reason", gat_refusal_name (refusal));
  log_add_number (&entry, "bounces", call->busy_refusals);
  log_end (&entry);
}

void
fwd_log_lost (const struct fwd_call *call, dir_handle peer, const char *reason)
{
  struct log_entry entry;

  count (call, "calls_lost_total", NULL, NULL);
  if (!log_begin (&entry, LOG_WARNING, "fwd", "answer lost", call->id))
    return;
  add_call_fields (&entry, call);
  log_add_text (&entry, "from", name_of (call, peer));
  log_add_text (&entry, "reason", reason);
  log_end (&entry);
}

void
fwd_log_silent (const struct fwd_call *call, dir_handle peer)
{
  struct log_entry entry;

  count (call, "calls_at_silent_nodes_total", NULL, NULL);
  if (!log_begin (&entry, LOG_WARNING, "fwd", "node silent", call->id))
    return;
  add_call_fields (&entry, call);
  log_add_text (&entry, "peer", name_of (call, peer));
  log_end (&entry);
}

void
fwd_log_kept (const struct fwd_call *call, dir_handle peer, unsigned status)
{
  struct log_entry entry;

  count (call, "failures_kept_total", NULL, NULL);
  if (!log_begin (&entry, LOG_INFO, "fwd", "failure kept", call->id))
    return;
  add_call_fields (&entry, call);
  log_add_text (&entry, "peer", name_of (call, peer));
  log_add_number (&entry, "status", status);
  log_add_text (&entry, "awaited", name_of (call, awaited_peer (call)));
  log_end (&entry);
}

void
fwd_log_repeated (const struct fwd_call *call)
{
  struct log_entry entry;

  count (call, "calls_repeated_total", NULL, NULL);
  if (!log_begin (&entry, LOG_INFO, "fwd", "repeated", call->id))
    return;
  add_call_fields (&entry, call);
  log_add_number (&entry, "upstreams", call->runs);
  log_end (&entry);
}

void
fwd_log_denied (const struct fwd_call *call, enum fwd_denial denial)
{
  static const char *const names[]
      = { "the call may have run", "no more upstreams for this route",
          "the budget of repeats is spent" };
  struct log_entry entry;

  count (call, "repeats_denied_total", NULL, NULL);
  if (!log_begin (&entry, LOG_WARNING, "fwd", "repeat denied", call->id))
    return;
  add_call_fields (&entry, call);
  log_add_text (&entry, "reason", names[denial]);
  log_add_number (&entry, "upstreams", call->runs);
  log_end (&entry);
}

void
fwd_log_answered (const struct fwd_call *call, dir_handle peer,
                  unsigned status)
{
  clk_time elapsed = now_of (call) - call->arrival;
  struct log_entry entry;
  char labels[96];
  char text[16];

  fwd_count_tenant_answered (call);
  snprintf (text, sizeof text, "%u", status);
  count (call, "calls_answered_total", "status", text);
  snprintf (labels, sizeof labels, "service=\"%s\"", call->service);
  hst_record (met_histogram ("call_seconds", labels), (uint64_t)elapsed);
  if (!log_begin (&entry, status >= 500 ? LOG_WARNING : LOG_INFO, "fwd",
                  status >= 500 ? "answered by a failure" : "answered",
                  call->id))
    return;
  add_call_fields (&entry, call);
  log_add_number (&entry, "status", status);
  log_add_text (&entry, "from", name_of (call, peer));
  log_add_text (&entry, "on_time",
                now_of (call) <= call->target ? "yes" : "no");
  if (status >= 500 || call->runs > 0)
    add_history (&entry, call);
  log_end (&entry);
}

/* Returns the event of an answer of this node's own.  Requests without a key
   are an event of their own: there may be many, and lines are limited by
   event.  */
static const char *
name_failure (unsigned status)
{
  if (status == 401)
    return "unauthorized";
  return status == 429 || status == 503 ? "refused" : "failed";
}

void
fwd_log_failed (const struct fwd_call *call, unsigned status,
                const char *reason, clk_time retry_after)
{
  struct log_entry entry;
  char text[16];

  fwd_count_tenant_failed (call, status);
  snprintf (text, sizeof text, "%u", status);
  count (call, "calls_failed_total", "status", text);
  if (!log_begin (&entry, status == 401 ? LOG_INFO : LOG_WARNING, "fwd",
                  name_failure (status), call->id))
    return;
  add_call_fields (&entry, call);
  log_add_number (&entry, "status", status);
  log_add_text (&entry, "reason", reason);
  log_add_text (&entry, "target",
                call->route == NULL ? htp_target (&call->message) : NULL);
  if (fwd_is_under_way (call))
    log_add_text (&entry, "waits_for", name_of (call, awaited_peer (call)));
  log_add_text (&entry, "may_have_run", call->may_have_run ? "yes" : "no");
  log_add_number (&entry, "upstreams", call->runs);
  log_add_number (&entry, "bounces", call->busy_refusals);
  log_add_number (&entry, "usable", call->usable);
  log_add_number (&entry, "nodes",
                  (int64_t)dir_alive_count (call->forwarder->parts.directory));
  if (retry_after > 0)
    log_add_ms (&entry, "retry_after_ms", retry_after);
  add_history (&entry, call);
  log_end (&entry);
}

void
fwd_log_gone (const struct fwd_call *call)
{
  struct log_entry entry;

  fwd_count_tenant_gone (call);
  count (call, "callers_gone_total", NULL, NULL);
  if (!log_begin (&entry, LOG_INFO, "fwd", "caller left", call->id))
    return;
  add_call_fields (&entry, call);
  if (fwd_is_under_way (call))
    log_add_text (&entry, "cancelled_at", name_of (call, awaited_peer (call)));
  add_history (&entry, call);
  log_end (&entry);
}

void
fwd_log_short (const struct fwd_call *call, const struct fwd_try *attempt)
{
  const struct acc *account = call->forwarder->parts.account;
  struct log_entry entry;

  count (call, "calls_without_memory_total", NULL, NULL);
  if (!log_begin (&entry, LOG_WARNING, "fwd", "no memory for an answer",
                  call->id))
    return;
  add_call_fields (&entry, call);
  log_add_number (&entry, "answer_bytes", (int64_t)attempt->partial_bytes);
  log_add_number (&entry, "partial_bytes",
                  (int64_t)account->used[ACC_PARTIAL]);
  log_add_number (&entry, "unsent_bytes", (int64_t)account->used[ACC_UNSENT]);
  log_add_number (&entry, "max_bytes", (int64_t)account->limits.answers);
  log_end (&entry);
}
