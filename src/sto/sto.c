/* Client of the platform's store.  */

#include "sto/sto.h"

#include "base/err.h"
#include "base/lst.h"
#include "base/mem.h"
#include "cnx/cnx.h"

#include <stdlib.h>
#include <string.h>

/* Maximum number of idle connections kept for later calls.  */
#define MAX_IDLE_CONNECTIONS 2

/* TCP keepalive probes, one a second, without a reply after which a connection
   counts as lost.  */
#define KEEPALIVE_PROBES 2

/* Longest time of a read whose reply is still arriving.  On a link of 30
   Mbit/s the lists that 152 nodes read together take 5.7 s.  */
#define MAX_READ_TIME (8 * CLK_SECOND)

/* Largest reply accepted: header and body in bytes.  A page of a list has
   about 1 MB.  */
static const struct htp_limits reply_limits = { 16384, 4u * 1024u * 1024u };

struct sto_call
{
  struct sto *store;
  struct lst_entry list_entry;
  struct sto_request request;
  sto_callback callback;
  void *context;
  struct cnx *connection;
  clk_time start_time;
  clk_time deadline; /* of a reply of which nothing has arrived */
  struct evl_timer timer;
};

struct sto
{
  struct evl *loop;
  struct net_address address;
  char host[NET_TEXT_SIZE];
  const struct ptf_platform *platform;
  struct lst calls;
  struct cnx *idle[MAX_IDLE_CONNECTIONS];
  size_t idle_count;
  uint64_t call_count;
  clk_time round_trip_time;
  clk_time last_answer_time;
  bool has_era;
  uint64_t era;           /* stated last */
  clk_time era_time;      /* when it was stated first */
  uint64_t restore_count; /* changes of the era */
  sto_restored restored;  /* null: none */
  void *restored_context;
};

static void
free_call (struct sto_call *call)
{
  lst_remove (&call->store->calls, &call->list_entry);
  evl_timer_stop (&call->timer);
  free (call);
}

/* Keeps a connection for a later call, or closes it.  */
static void
release_connection (struct sto *store, struct cnx *connection)
{
  cnx_set_data (connection, NULL);
  if (cnx_is_persistent (connection)
      && store->idle_count < MAX_IDLE_CONNECTIONS)
    store->idle[store->idle_count++] = connection;
  else
    cnx_close (connection);
}

static void
complete_call (struct sto_call *call, struct sto_reply *reply)
{
  sto_callback callback = call->callback;
  void *context = call->context;
  struct sto_request request = call->request;

  free_call (call);
  callback (context, &request, reply);
  sto_reply_close (reply);
}

/* Updates the shortest round trip time from the time that CONNECTION took to
   open.  The time of a whole call would depend on the length of its reply and
   on the load of the store.  */
static void
update_round_trip_time (struct sto *store, const struct cnx *connection)
{
  clk_time round_trip = cnx_connect_time (connection);

  if (store->round_trip_time == 0 || round_trip < store->round_trip_time)
    store->round_trip_time = round_trip;
}

/* Notes the era that REPLY states.  Returns whether it is another one than
   before.  A late reply of an earlier era, to a call of before the change, is
   emptied: what it says may be gone.  */
static bool
note_era (struct sto *store, const struct sto_call *call,
          struct sto_reply *reply)
{
  bool is_known = store->has_era;

  if (!reply->has_era || (is_known && reply->era == store->era))
    return false;
  if (is_known && reply->era < store->era
      && call->start_time <= store->era_time)
    {
      sto_reply_close (reply);
      reply->status = STO_UNKNOWN;
      return false;
    }
  store->has_era = true;
  store->era = reply->era;
  store->era_time = evl_now (store->loop);
  if (is_known)
    store->restore_count++;
  return is_known;
}

static void
add_era_to_revisions (const struct sto *store, struct sto_reply *reply)
{
  if (reply->revision != 0)
    reply->revision = sto_revision_in_era (reply->revision, store->era);
  for (size_t i = 0; i < reply->object_count; i++)
    reply->objects[i].revision
        = sto_revision_in_era (reply->objects[i].revision, store->era);
}

static bool
on_response (void *context, struct cnx *connection,
             struct htp_message *message)
{
  struct sto *store = context;
  struct sto_call *call = cnx_data (connection);
  struct sto_reply reply;
  uint64_t era_before = store->era;
  bool restored;

  store->platform->read_store_reply (&call->request, message, &reply);
  restored = note_era (store, call, &reply);
  add_era_to_revisions (store, &reply);
  update_round_trip_time (store, connection);
  if (reply.status != STO_BUSY && reply.status != STO_INVALID)
    store->last_answer_time = evl_now (store->loop);
  release_connection (store, connection);
  complete_call (call, &reply);
  if (restored && store->restored != NULL)
    store->restored (store->restored_context, era_before, store->era);
  return true;
}

static void
remove_idle (struct sto *store, const struct cnx *connection)
{
  for (size_t i = 0; i < store->idle_count; i++)
    if (store->idle[i] == connection)
      {
        store->idle[i] = store->idle[--store->idle_count];
        return;
      }
}

static void
on_failed (void *context, struct cnx *connection, enum cnx_failure failure)
{
  struct sto *store = context;
  struct sto_call *call = cnx_data (connection);
  struct sto_reply reply = { .status = STO_UNKNOWN };

  if (failure == CNX_NOT_SENT)
    reply.status = STO_UNREACHABLE;
  if (failure == CNX_INVALID_RESPONSE)
    err_set ("the store's reply cannot be read: %s",
             cnx_describe_fault (connection));
  remove_idle (store, connection);
  cnx_close (connection);
  if (call != NULL)
    complete_call (call, &reply);
}

static const struct cnx_handlers handlers = { on_response, on_failed };

/* Returns until when the reply to a call is awaited.  Aborting a reply that is
   still arriving would only load the link with the next one.  The timeout of a
   read that is not a watch therefore counts from the last bytes received.  */
static clk_time
current_deadline (const struct sto_call *call)
{
  bool is_read = call->request.operation == STO_GET
                 || call->request.operation == STO_LIST;
  clk_time read_time = cnx_read_time (call->connection);
  clk_time limit = call->start_time + MAX_READ_TIME;
  clk_time deadline = call->deadline;

  if (!is_read || read_time == 0)
    return deadline;
  deadline += read_time - call->start_time;
  if (deadline > limit)
    deadline = limit;
  return deadline > call->deadline ? deadline : call->deadline;
}

bool
sto_is_arriving (const struct sto_call *call)
{
  return cnx_read_time (call->connection) != 0
         && evl_now (call->store->loop) < current_deadline (call);
}

static void
on_deadline (void *context)
{
  struct sto_call *call = context;
  struct sto_reply reply = { .status = STO_UNKNOWN };
  clk_time deadline = current_deadline (call);

  if (evl_now (call->store->loop) < deadline)
    {
      evl_timer_set (&call->timer, deadline);
      return;
    }
  cnx_close (call->connection);
  complete_call (call, &reply);
}

struct sto *
sto_create (struct evl *loop, struct net_address address,
            const struct ptf_platform *platform)
{
  struct sto *store = mem_alloc (1, sizeof *store);

  store->loop = loop;
  store->address = address;
  store->platform = platform;
  net_format (address, store->host);
  return store;
}

void
sto_destroy (struct sto *store)
{
  struct lst_entry *entry;

  if (store == NULL)
    return;
  while ((entry = lst_pop_front (&store->calls)) != NULL)
    sto_cancel (LST_ITEM (entry, struct sto_call, list_entry));
  for (size_t i = 0; i < store->idle_count; i++)
    cnx_close (store->idle[i]);
  free (store);
}

static struct cnx *
open_connection (struct sto *store)
{
  struct cnx *connection = cnx_open (store->loop, store->address, &handlers,
                                     store, &reply_limits);

  cnx_set_keepalive (connection, KEEPALIVE_PROBES);
  return connection;
}

static struct cnx *
acquire_connection (struct sto *store)
{
  while (store->idle_count > 0)
    {
      struct cnx *connection = store->idle[--store->idle_count];

      if (cnx_is_idle (connection))
        return connection;
      /* It has ended, which is reported later in this loop iteration.  */
      cnx_close (connection);
    }
  return open_connection (store);
}

struct sto_call *
sto_start (struct sto *store, const struct sto_request *request,
           clk_time deadline, sto_callback callback, void *context)
{
  struct sto_call *call = mem_alloc (1, sizeof *call);
  struct sto_request sent = *request;

  sent.revision = sto_plain_revision (request->revision);
  call->store = store;
  call->request = *request;
  call->request.kind = NULL;
  call->request.name = NULL;
  call->request.after = NULL;
  call->request.content = NULL;
  call->callback = callback;
  call->context = context;
  lst_push_front (&store->calls, &call->list_entry);
  store->call_count++;
  call->start_time = evl_now (store->loop);
  call->deadline = deadline;
  evl_timer_init (&call->timer, store->loop, on_deadline, call);
  evl_timer_set (&call->timer, deadline);
  call->connection = acquire_connection (store);
  cnx_set_data (call->connection, call);
  store->platform->put_store_request (&sent, store->host,
                                      cnx_request_buffer (call->connection));
  cnx_send (call->connection, false);
  return call;
}

void
sto_cancel (struct sto_call *call)
{
  if (call == NULL)
    return;
  cnx_close (call->connection);
  free_call (call);
}

uint64_t
sto_call_count (const struct sto *store)
{
  return store->call_count;
}

clk_time
sto_last_answer_time (const struct sto *store)
{
  return store->last_answer_time;
}

void
sto_set_restored (struct sto *store, sto_restored restored, void *context)
{
  store->restored = restored;
  store->restored_context = context;
}

uint64_t
sto_restore_count (const struct sto *store)
{
  return store->restore_count;
}

uint64_t
sto_era (const struct sto *store)
{
  return store->era;
}

void
sto_connect (struct sto *store)
{
  if (store->idle_count < MAX_IDLE_CONNECTIONS)
    store->idle[store->idle_count++] = open_connection (store);
}

clk_time
sto_round_trip_time (const struct sto *store)
{
  clk_time round_trip_time = store->round_trip_time;

  for (size_t i = 0; round_trip_time == 0 && i < store->idle_count; i++)
    round_trip_time = cnx_connect_time (store->idle[i]);
  return round_trip_time;
}
