/* Publisher of this node's record.  */

#include "pub/pub.h"

#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

/* Timeout of a write, which the store usually answers in milliseconds.  */
#define WRITE_TIMEOUT (700 * CLK_MILLISECOND)

/* Delay after a failed write; it doubles with each failure up to the maximum.
 */
#define INITIAL_BACKOFF (100 * CLK_MILLISECOND)
#define MAX_BACKOFF CLK_SECOND

struct pub
{
  struct evl *loop;
  struct sto *store;
  const struct pub_handlers *handlers;
  void *context;
  struct mbr_member desired;
  struct mbr_member in_flight; /* written by the call in progress */
  struct mbr_member stored;
  uint64_t revision; /* of the stored object; 0: it does not exist */
  bool has_desired;
  bool withdrawn;
  bool has_stored;
  uint64_t restore_count; /* of the store when it was known to hold STORED */
  struct sto_call *call;
  struct evl_timer backoff_timer;
  unsigned failures; /* in a row */
};

/* Returns whether there is nothing to write: the store holds the record that
   was set last, or none was set; after pub_withdraw it holds no record.  */
static bool
is_up_to_date (const struct pub *publisher)
{
  if (publisher->withdrawn)
    return publisher->revision == 0 && !publisher->has_stored;
  return !publisher->has_desired
         || (publisher->has_stored
             && mbr_member_equivalent (&publisher->stored,
                                       &publisher->desired));
}

bool
pub_holds (const struct pub *publisher, uint64_t sequence)
{
  return publisher->has_desired && publisher->has_stored
         && publisher->restore_count == sto_restore_count (publisher->store)
         && publisher->desired.sequence >= sequence
         && mbr_member_equivalent (&publisher->stored, &publisher->desired);
}

bool
pub_is_stored (const struct pub *publisher)
{
  return publisher->revision != 0;
}

static void start_next_call (void *context);

static void
back_off (struct pub *publisher)
{
  clk_time delay = INITIAL_BACKOFF;

  for (unsigned i = 0; i < publisher->failures && delay < MAX_BACKOFF; i++)
    delay *= 2;
  publisher->failures++;
  evl_timer_set (&publisher->backoff_timer,
                 evl_now (publisher->loop)
                     + (delay < MAX_BACKOFF ? delay : MAX_BACKOFF));
}

static void
set_stored (struct pub *publisher, const struct sto_object *object,
            const struct mbr_member *record)
{
  publisher->revision = object->revision;
  publisher->stored = *record;
  publisher->has_stored = true;
  publisher->restore_count = sto_restore_count (publisher->store);
}

/* Handles a write rejected because the object has another revision: notes the
   stored record, so that the next write replaces it.  Returns false when the
   reply does not show the object, so that a write at once would be rejected
   again.  */
static bool
handle_conflict (struct pub *publisher, const struct sto_reply *reply)
{
  struct mbr_member record;

  if (reply->object_count == 0)
    {
      publisher->revision = 0;
      publisher->has_stored = false;
      return false;
    }
  publisher->revision = reply->objects[0].revision;
  publisher->has_stored = false;
  if (!dir_from_json (reply->objects[0].content, &record))
    {
      log_write (LOG_WARNING, "pub",
                 "the stored record of this node is invalid and will be "
                 "replaced: %s",
                 err_last ());
      return true;
    }
  set_stored (publisher, &reply->objects[0], &record);
  if (publisher->has_desired
      && !mbr_member_equivalent (&record, &publisher->desired))
    publisher->handlers->record_found (publisher->context, &record);
  return true;
}

/* Notes the result of a write.  Returns false when the next write must wait.
 */
static bool
handle_write_reply (struct pub *publisher, const struct sto_reply *reply)
{
  if (reply->status == STO_CONFLICT)
    return handle_conflict (publisher, reply);
  if (reply->status == STO_ABSENT)
    {
      publisher->revision = 0;
      publisher->has_stored = false;
      return true;
    }
  if (reply->status != STO_OK || reply->object_count == 0)
    return false;
  publisher->failures = 0;
  set_stored (publisher, &reply->objects[0], &publisher->in_flight);
  publisher->handlers->record_stored (publisher->context,
                                      publisher->in_flight.sequence);
  return true;
}

static void
on_written (void *context, const struct sto_request *request,
            const struct sto_reply *reply)
{
  struct pub *publisher = context;

  (void)request;
  publisher->call = NULL;
  if (handle_write_reply (publisher, reply))
    {
      start_next_call (publisher);
      return;
    }
  log_write (LOG_WARNING, "pub",
             "writing this node's record to the store failed (%s); retrying "
             "with backoff",
             sto_status_name (reply->status));
  back_off (publisher);
}

static void
on_removed (void *context, const struct sto_request *request,
            const struct sto_reply *reply)
{
  struct pub *publisher = context;

  (void)request;
  publisher->call = NULL;
  if (reply->status == STO_OK || reply->status == STO_ABSENT)
    {
      publisher->revision = 0;
      publisher->has_stored = false;
    }
  else if (reply->status == STO_CONFLICT && reply->object_count > 0)
    {
      publisher->revision = reply->objects[0].revision;
      start_next_call (publisher);
    }
  else
    back_off (publisher);
}

static void
write_record (struct pub *publisher)
{
  struct sto_request request = { .kind = PUB_KIND };
  json_t *content = dir_to_json (&publisher->desired);

  publisher->in_flight = publisher->desired;
  request.operation = publisher->revision == 0 ? STO_CREATE : STO_REPLACE;
  request.name = publisher->in_flight.name;
  request.revision = publisher->revision;
  request.content = content;
  publisher->call = sto_start (publisher->store, &request,
                               evl_now (publisher->loop) + WRITE_TIMEOUT,
                               on_written, publisher);
  json_decref (content);
}

static void
remove_record (struct pub *publisher)
{
  struct sto_request request = { .operation = STO_REMOVE,
                                 .kind = PUB_KIND,
                                 .name = publisher->desired.name,
                                 .revision = publisher->revision };

  publisher->call = sto_start (publisher->store, &request,
                               evl_now (publisher->loop) + WRITE_TIMEOUT,
                               on_removed, publisher);
}

static void
start_next_call (void *context)
{
  struct pub *publisher = context;

  if (publisher->call != NULL || is_up_to_date (publisher))
    return;
  evl_timer_stop (&publisher->backoff_timer);
  if (publisher->withdrawn)
    remove_record (publisher);
  else
    write_record (publisher);
}

struct pub *
pub_create (struct evl *loop, struct sto *store,
            const struct pub_handlers *handlers, void *context)
{
  struct pub *publisher = mem_alloc (1, sizeof *publisher);

  publisher->loop = loop;
  publisher->store = store;
  publisher->handlers = handlers;
  publisher->context = context;
  evl_timer_init (&publisher->backoff_timer, loop, start_next_call, publisher);
  return publisher;
}

void
pub_destroy (struct pub *publisher)
{
  if (publisher == NULL)
    return;
  sto_cancel (publisher->call);
  evl_timer_stop (&publisher->backoff_timer);
  free (publisher);
}

void
pub_note_stored (struct pub *publisher, const struct sto_object *object,
                 const struct mbr_member *record)
{
  if (publisher->call != NULL || object->revision <= publisher->revision)
    return;
  set_stored (publisher, object, record);
  /* A record that is first seen after the node has left may show a departure
     that nobody else holds.  */
  if (!publisher->withdrawn)
    start_next_call (publisher);
}

void
pub_note_invalid (struct pub *publisher, uint64_t revision)
{
  if (publisher->call != NULL || revision <= publisher->revision)
    return;
  publisher->revision = revision;
  publisher->has_stored = false;
  start_next_call (publisher);
}

void
pub_set_record (struct pub *publisher, const struct mbr_member *record)
{
  publisher->desired = *record;
  publisher->has_desired = true;
  publisher->failures = 0;
  if (is_up_to_date (publisher))
    publisher->handlers->record_stored (publisher->context, record->sequence);
  start_next_call (publisher);
}

void
pub_note_removed (struct pub *publisher)
{
  publisher->revision = 0;
  publisher->has_stored = false;
  start_next_call (publisher);
}

void
pub_handle_restore (struct pub *publisher)
{
  if (publisher->restore_count == sto_restore_count (publisher->store))
    return;
  publisher->restore_count = sto_restore_count (publisher->store);
  publisher->revision = 0;
  /* A removed record may be back.  */
  publisher->has_stored = publisher->withdrawn && publisher->has_desired;
  publisher->failures = 0;
  start_next_call (publisher);
}

void
pub_withdraw (struct pub *publisher)
{
  publisher->withdrawn = true;
  publisher->failures = 0;
  start_next_call (publisher);
}
