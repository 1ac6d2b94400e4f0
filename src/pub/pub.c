/* Publishes this node's record.  */

#include "pub/pub.h"

#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

/* A write, which the store answers in milliseconds, may take this long.  */
#define WRITE_PATIENCE (700 * CLK_MILLISECOND)

/* Pause after a failed write; it doubles up to the longest one.  */
#define FIRST_PAUSE (100 * CLK_MILLISECOND)
#define LONGEST_PAUSE CLK_SECOND

struct pub
{
  struct evl *loop;
  struct sto *store;
  const struct pub_handlers *handlers;
  void *context;
  struct mbr_member wanted;
  struct mbr_member written; /* by the write under way */
  struct mbr_member stored;
  uint64_t revision; /* of the stored object; 0: it does not exist */
  bool has_wanted;
  bool withdraws;
  bool has_stored;
  struct sto_call *call;
  struct evl_timer pause;
  unsigned failures; /* in a row */
};

/* Returns whether the records say the same of the node and its upstream.  */
static bool
is_equivalent (const struct mbr_member *left, const struct mbr_member *right)
{
  struct mbr_member copy = *left;

  copy.incarnation = right->incarnation;
  copy.sequence = right->sequence;
  copy.platform_distance = right->platform_distance;
  copy.state = right->state;
  return mbr_member_equal (&copy, right);
}

bool
pub_is_up_to_date (const struct pub *publisher)
{
  if (publisher->withdraws)
    return publisher->revision == 0 && !publisher->has_stored;
  return !publisher->has_wanted
         || (publisher->has_stored
             && is_equivalent (&publisher->stored, &publisher->wanted));
}

static void proceed (void *context);

static void
pause_after_failure (struct pub *publisher)
{
  clk_time pause = FIRST_PAUSE;

  for (unsigned i = 0; i < publisher->failures && pause < LONGEST_PAUSE; i++)
    pause *= 2;
  publisher->failures++;
  evl_timer_set (&publisher->pause,
                 evl_now (publisher->loop)
                     + (pause < LONGEST_PAUSE ? pause : LONGEST_PAUSE));
}

static void
take_stored (struct pub *publisher, const struct sto_object *object,
             const struct mbr_member *record)
{
  publisher->revision = object->revision;
  publisher->stored = *record;
  publisher->has_stored = true;
}

/* Takes over the object that stands in the way of a write.  */
static void
take_conflict (struct pub *publisher, const struct sto_reply *reply)
{
  struct mbr_member record;

  if (reply->object_count == 0)
    {
      publisher->revision = 0;
      publisher->has_stored = false;
      return;
    }
  publisher->revision = reply->objects[0].revision;
  publisher->has_stored = false;
  if (!dir_from_json (reply->objects[0].content, &record))
    {
      log_write (LOG_WARNING, "pub", "this node's record was not valid: %s",
                 err_last ());
      return;
    }
  take_stored (publisher, &reply->objects[0], &record);
  if (publisher->has_wanted && !is_equivalent (&record, &publisher->wanted))
    publisher->handlers->record_found (publisher->context, &record);
}

static void
on_written (void *context, const struct sto_request *request,
            const struct sto_reply *reply)
{
  struct pub *publisher = context;

  publisher->call = NULL;
  if (reply->status == STO_OK && reply->object_count > 0)
    {
      publisher->failures = 0;
      take_stored (publisher, &reply->objects[0], &publisher->written);
      publisher->handlers->record_stored (publisher->context,
                                          publisher->written.sequence);
    }
  else if (reply->status == STO_CONFLICT)
    take_conflict (publisher, reply);
  else if (reply->status == STO_ABSENT)
    {
      publisher->revision = 0;
      publisher->has_stored = false;
    }
  else
    {
      log_write (LOG_WARNING, "pub", "writing this node's record failed: %s",
                 sto_status_name (reply->status));
      pause_after_failure (publisher);
      return;
    }
  (void)request;
  proceed (publisher);
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
      proceed (publisher);
    }
  else
    pause_after_failure (publisher);
}

static void
write_record (struct pub *publisher)
{
  struct sto_request request = { .kind = PUB_KIND };
  json_t *content = dir_to_json (&publisher->wanted);

  publisher->written = publisher->wanted;
  request.operation = publisher->revision == 0 ? STO_CREATE : STO_REPLACE;
  request.name = publisher->written.name;
  request.revision = publisher->revision;
  request.content = content;
  publisher->call = sto_start (publisher->store, &request,
                               evl_now (publisher->loop) + WRITE_PATIENCE,
                               on_written, publisher);
  json_decref (content);
}

static void
remove_record (struct pub *publisher)
{
  struct sto_request request = { .operation = STO_REMOVE,
                                 .kind = PUB_KIND,
                                 .name = publisher->stored.name,
                                 .revision = publisher->revision };

  publisher->call = sto_start (publisher->store, &request,
                               evl_now (publisher->loop) + WRITE_PATIENCE,
                               on_removed, publisher);
}

static void
proceed (void *context)
{
  struct pub *publisher = context;

  if (publisher->call != NULL || pub_is_up_to_date (publisher))
    return;
  evl_timer_stop (&publisher->pause);
  if (publisher->withdraws)
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
  evl_timer_init (&publisher->pause, loop, proceed, publisher);
  return publisher;
}

void
pub_destroy (struct pub *publisher)
{
  if (publisher == NULL)
    return;
  sto_cancel (publisher->call);
  evl_timer_stop (&publisher->pause);
  free (publisher);
}

void
pub_note_stored (struct pub *publisher, const struct sto_object *object,
                 const struct mbr_member *record)
{
  if (publisher->call != NULL || object->revision <= publisher->revision)
    return;
  take_stored (publisher, object, record);
  proceed (publisher);
}

void
pub_set_record (struct pub *publisher, const struct mbr_member *record)
{
  publisher->wanted = *record;
  publisher->has_wanted = true;
  publisher->failures = 0;
  if (pub_is_up_to_date (publisher))
    publisher->handlers->record_stored (publisher->context, record->sequence);
  proceed (publisher);
}

void
pub_note_removed (struct pub *publisher)
{
  publisher->revision = 0;
  publisher->has_stored = false;
  proceed (publisher);
}

void
pub_withdraw (struct pub *publisher)
{
  publisher->withdraws = true;
  publisher->failures = 0;
  proceed (publisher);
}
