/* Writing an environment's document, as a state machine.

   Order of the calls: read the object, list the status reports, check that the
   chosen version is not in the history, complete the history with the object
   to be replaced, write the object under its ETag, write the own history
   entry.  When the outcome of the conditional write is not known, the object
   and then the history are read back.  */

#include "plt/plt_write.h"

#include "base/err.h"
#include "base/mem.h"
#include "plt/plt_backoff.h"
#include "plt/plt_status_report.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bound of one call, so that a lost response leaves time to read back.  */
#define CALL_LIMIT (2 * CLK_SECOND)
#define BACKOFF_BASE (100 * CLK_MILLISECOND)
#define BACKOFF_CAP (2 * CLK_SECOND)

/* Largest object that the platform stores.  */
#define MAX_VALUE (1024u * 1024u)

enum state
{
  STATE_READ_OBJECT,
  STATE_READ_REPORTS,
  STATE_PROBE_HISTORY,
  STATE_WRITE_OLD_HISTORY,
  STATE_WRITE_OBJECT,
  STATE_READ_BACK,
  STATE_READ_OWN_HISTORY,
  STATE_WRITE_OWN_HISTORY,
  STATE_END
};

struct plt_write
{
  enum state state;
  char environment[PLT_KEY_SIZE];
  struct plt_config config;
  clk_time deadline;
  struct rnd generator;
  struct plt_backoff backoff;
  bool without_read_back;
  bool without_old_history;
  bool without_reports;
  bool waiting;
  bool maybe_done;       /* a conditional write had an unknown outcome */
  bool refused;          /* the condition did not hold */
  bool exists;           /* there is an object to replace */
  uint64_t held_version; /* of that object */
  uint64_t gap;          /* next distance to probe in the history */
  char etag[PLT_ETAG_SIZE];
  struct buf held; /* text of that object */
  struct buf value;
  struct plt_write_outcome outcome;
};

enum plt_status
plt_write_create (const struct plt_write_request *request,
                  struct plt_write **write)
{
  struct plt_write *result = mem_alloc (1, sizeof *result);

  snprintf (result->environment, sizeof result->environment, "%s",
            request->environment);
  result->config = request->config;
  result->config.version = PLT_VERSION_MAX;
  buf_init (&result->config.document);
  buf_append (&result->config.document, buf_text (&request->config.document),
              request->config.document.length);
  result->deadline = request->deadline;
  result->without_read_back = request->without_read_back;
  result->without_old_history = request->without_old_history;
  result->without_reports = request->without_reports;
  result->gap = 1;
  rnd_init (&result->generator, request->seed);
  plt_backoff_init (&result->backoff, BACKOFF_BASE, BACKOFF_CAP);
  plt_config_encode (&result->config, &result->value);
  if (result->value.length == 0 || result->value.length > MAX_VALUE)
    {
      err_set (result->value.length == 0
                   ? "the document is not valid UTF-8 text"
                   : "the document is larger than the platform stores");
      plt_write_destroy (result);
      *write = NULL;
      return PLT_INVALID;
    }
  *write = result;
  return PLT_OK;
}

void
plt_write_destroy (struct plt_write *write)
{
  if (write == NULL)
    return;
  plt_config_close (&write->config);
  buf_close (&write->held);
  buf_close (&write->value);
  free (write);
}

const struct plt_write_outcome *
plt_write_get_outcome (const struct plt_write *write)
{
  return &write->outcome;
}

static void
finish (struct plt_write *write, enum plt_write_result result)
{
  write->outcome.result = result;
  write->state = STATE_END;
}

/* Ends with what is certain at this point.  */
static void
give_up (struct plt_write *write)
{
  if (write->state == STATE_WRITE_OWN_HISTORY)
    {
      write->outcome.history_missing = true;
      finish (write, PLT_WRITE_DONE);
    }
  else if (write->maybe_done)
    finish (write, PLT_WRITE_UNKNOWN);
  else if (write->refused)
    finish (write, PLT_WRITE_CONFLICT);
  else
    finish (write, PLT_WRITE_NOT_DONE);
}

/* Tries the same state again after a pause.  */
static void
try_again (struct plt_write *write, enum plt_status cause)
{
  write->outcome.cause = cause;
  write->waiting = true;
}

static void
enter (struct plt_write *write, enum state state)
{
  write->state = state;
}

/* Stores the object to be replaced.  */
static void
take_object (struct plt_write *write, const struct plt_write_event *event)
{
  struct plt_config held = { 0 };

  if (event->status == PLT_OK
      && plt_config_decode (buf_text (&event->object->value),
                            event->object->value.length, &held)
             != PLT_OK)
    {
      /* Replacing what cannot be read would lose it and its version.  */
      write->outcome.cause = PLT_INVALID;
      finish (write, PLT_WRITE_NOT_DONE);
      return;
    }
  write->exists = event->status == PLT_OK;
  if (write->exists)
    {
      memcpy (write->etag, event->object->etag, sizeof write->etag);
      buf_append (&write->held, event->object->value.data,
                  event->object->value.length);
      write->held_version = held.version;
    }
  write->outcome.version = held.version;
  plt_config_close (&held);
  enter (write,
         write->without_reports ? STATE_PROBE_HISTORY : STATE_READ_REPORTS);
}

/* Raises the version to the highest one that any report names.  A report that
   cannot be read is passed over: its relay replaces it within a minute.  */
static void
take_reports (struct plt_write *write, const struct plt_list *list)
{
  struct plt_status_report report;

  for (size_t i = 0; i < list->count; i++)
    {
      const struct buf *value = &list->objects[i].value;

      if (plt_status_report_decode (buf_text (value), value->length, &report)
          != PLT_OK)
        continue;
      if (report.highest_version > write->outcome.version)
        write->outcome.version = report.highest_version;
      if (report.rejected_version > write->outcome.version)
        write->outcome.version = report.rejected_version;
    }
  enter (write, STATE_PROBE_HISTORY);
}

/* The history is probed at growing distances instead of listed, because a
   list would transfer every document ever written.  */
static void
take_probe (struct plt_write *write, enum plt_status status)
{
  if (status == PLT_OK && write->outcome.version < PLT_VERSION_MAX / 2)
    {
      write->outcome.version += write->gap;
      write->gap *= 2;
      return;
    }
  if (write->outcome.version >= PLT_VERSION_MAX / 2)
    {
      write->outcome.cause = PLT_INVALID;
      finish (write, PLT_WRITE_NOT_DONE);
      return;
    }
  write->outcome.version++;
  write->config.version = write->outcome.version;
  write->value.length = 0;
  plt_config_encode (&write->config, &write->value);
  enter (write, write->exists && !write->without_old_history
                    ? STATE_WRITE_OLD_HISTORY
                    : STATE_WRITE_OBJECT);
}

static void
take_write (struct plt_write *write, enum plt_status status)
{
  switch (status)
    {
    case PLT_OK:
      enter (write, STATE_WRITE_OWN_HISTORY);
      return;
    case PLT_CONFLICT:
      write->refused = true;
      if (write->without_read_back)
        finish (write, PLT_WRITE_CONFLICT);
      else
        enter (write, STATE_READ_BACK);
      return;
    case PLT_UNREACHABLE:
    case PLT_BUSY:
      try_again (write, status);
      return;
    case PLT_UNKNOWN:
    case PLT_INVALID:
      write->outcome.cause = status;
      write->maybe_done = true;
      if (write->without_read_back)
        try_again (write, status);
      else
        enter (write, STATE_READ_BACK);
      return;
    default:
      write->outcome.cause = status;
      if (write->maybe_done)
        enter (write, STATE_READ_BACK);
      else
        finish (write, PLT_WRITE_NOT_DONE);
    }
}

static void
store_winner (struct plt_write *write, const struct plt_config *winner)
{
  write->outcome.winner_known = true;
  write->outcome.winner_version = winner->version;
  write->outcome.winner_written_at = winner->written_at;
  snprintf (write->outcome.winner_author, sizeof write->outcome.winner_author,
            "%s", winner->author);
}

/* Compares the object with the own change after an unknown or refused
   write.  */
static void
take_read_back (struct plt_write *write, const struct plt_write_event *event)
{
  struct plt_config found = { 0 };
  bool unchanged
      = event->status == PLT_OK
            ? write->exists && strcmp (event->object->etag, write->etag) == 0
            : !write->exists;

  if (unchanged && !write->refused)
    {
      /* The same condition still holds, so the write may be repeated.  */
      enter (write, STATE_WRITE_OBJECT);
      try_again (write, write->outcome.cause);
      return;
    }
  if (event->status == PLT_OK
      && plt_config_decode (buf_text (&event->object->value),
                            event->object->value.length, &found)
             == PLT_OK)
    {
      if (strcmp (found.change_id, write->config.change_id) == 0)
        {
          plt_config_close (&found);
          enter (write, STATE_WRITE_OWN_HISTORY);
          return;
        }
      store_winner (write, &found);
    }
  plt_config_close (&found);
  if (write->maybe_done)
    enter (write, STATE_READ_OWN_HISTORY);
  else
    finish (write, PLT_WRITE_CONFLICT);
}

/* Decides whether the own change was in effect before the object that was
   found.  */
static void
take_own_history (struct plt_write *write, const struct plt_write_event *event)
{
  struct plt_config found = { 0 };
  bool own;

  own = event->status == PLT_OK
        && plt_config_decode (buf_text (&event->object->value),
                              event->object->value.length, &found)
               == PLT_OK
        && strcmp (found.change_id, write->config.change_id) == 0;
  plt_config_close (&found);
  /* A lower version than the own one is a restored older state, which says
     nothing about what happened before it.  */
  bool restored = !write->outcome.winner_known
                  || write->outcome.winner_version < write->outcome.version;
  if (restored)
    finish (write, PLT_WRITE_UNKNOWN);
  else if (own)
    {
      write->outcome.superseded = true;
      finish (write, PLT_WRITE_DONE);
    }
  else
    finish (write, PLT_WRITE_CONFLICT);
}

/* Whether a read gave an answer, present or absent; else it is repeated.  */
static bool
was_read (struct plt_write *write, enum plt_status status)
{
  if (status == PLT_OK || status == PLT_NOT_FOUND)
    return true;
  if (status == PLT_REFUSED || (status == PLT_INVALID && !write->maybe_done))
    {
      write->outcome.cause = status;
      give_up (write);
    }
  else
    try_again (write, status);
  return false;
}

/* Whether a history entry is there after a conditional write of it.  */
static bool
was_recorded (struct plt_write *write, enum plt_status status)
{
  if (status == PLT_OK || status == PLT_CONFLICT)
    return true;
  if (status == PLT_REFUSED)
    {
      write->outcome.cause = status;
      give_up (write);
    }
  else
    try_again (write, status);
  return false;
}

static void
take_event (struct plt_write *write, const struct plt_write_event *event)
{
  switch (write->state)
    {
    case STATE_READ_OBJECT:
      if (was_read (write, event->status))
        take_object (write, event);
      break;
    case STATE_READ_REPORTS:
      if (was_read (write, event->status))
        take_reports (write, event->list);
      break;
    case STATE_PROBE_HISTORY:
      if (was_read (write, event->status))
        take_probe (write, event->status);
      break;
    case STATE_WRITE_OLD_HISTORY:
      if (was_recorded (write, event->status))
        enter (write, STATE_WRITE_OBJECT);
      break;
    case STATE_WRITE_OBJECT:
      take_write (write, event->status);
      break;
    case STATE_READ_BACK:
      if (was_read (write, event->status))
        take_read_back (write, event);
      break;
    case STATE_READ_OWN_HISTORY:
      if (was_read (write, event->status))
        take_own_history (write, event);
      break;
    case STATE_WRITE_OWN_HISTORY:
      if (was_recorded (write, event->status))
        finish (write, PLT_WRITE_DONE);
      break;
    default:
      break;
    }
}

static void
fill_put (struct plt_write *write, uint64_t version, const struct buf *value,
          struct plt_write_step *step)
{
  step->action = PLT_WRITE_PUT;
  step->condition = PLT_IF_ABSENT;
  step->etag = "";
  step->value = value;
  plt_config_history_key (write->environment, version, step->key);
}

static void
fill_step (struct plt_write *write, struct plt_write_step *step)
{
  step->action = PLT_WRITE_GET;
  switch (write->state)
    {
    case STATE_READ_REPORTS:
      step->action = PLT_WRITE_LIST;
      plt_status_report_key (write->environment, "", step->key);
      break;
    case STATE_PROBE_HISTORY:
      plt_config_history_key (write->environment, write->outcome.version + 1,
                              step->key);
      break;
    case STATE_READ_OWN_HISTORY:
      plt_config_history_key (write->environment, write->outcome.version,
                              step->key);
      break;
    case STATE_WRITE_OLD_HISTORY:
      fill_put (write, write->held_version, &write->held, step);
      break;
    case STATE_WRITE_OWN_HISTORY:
      fill_put (write, write->outcome.version, &write->value, step);
      break;
    case STATE_WRITE_OBJECT:
      step->action = PLT_WRITE_PUT;
      step->condition = write->exists ? PLT_IF_MATCH : PLT_IF_ABSENT;
      step->etag = write->etag;
      step->value = &write->value;
      plt_config_key (write->environment, step->key);
      break;
    default:
      plt_config_key (write->environment, step->key);
    }
}

void
plt_write_next (struct plt_write *write, const struct plt_write_event *event,
                clk_time now, struct plt_write_step *step)
{
  memset (step, 0, sizeof *step);
  if (write->waiting)
    write->waiting = false;
  else if (event != NULL)
    take_event (write, event);
  if (write->state != STATE_END && now >= write->deadline)
    give_up (write);
  if (write->state == STATE_END)
    {
      step->action = PLT_WRITE_END;
      return;
    }
  if (write->waiting)
    {
      step->action = PLT_WRITE_WAIT;
      step->until = plt_backoff_next (&write->backoff, &write->generator, now);
      if (step->until > write->deadline)
        step->until = write->deadline;
      return;
    }
  fill_step (write, step);
  step->until = now + CALL_LIMIT;
  if (step->until > write->deadline)
    step->until = write->deadline;
}
