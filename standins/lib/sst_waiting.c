/* Calls that wait: watches, and calls that are answered or done later.  */

#include "sst_internal.h"

#include "base/mem.h"
#include "pfm_names.h"

#include <stdio.h>
#include <string.h>

/* Returns the call of a place in the list, null after the last.  */
struct sst_waiting *
sst_waiting_at (const struct lst_entry *at)
{
  return at != NULL ? LST_ITEM (at, struct sst_waiting, list) : NULL;
}

void
sst_free_waiting (struct sst_waiting *entry)
{
  lst_remove (&entry->store->waiting, &entry->list);
  evl_timer_stop (&entry->timer);
  htp_message_close (&entry->message);
  free (entry);
}

/* Answers a watch with the changes after its revision.  Returns false when
   there are none yet.  */
static bool
answer_watch (struct sst *store, struct srv_exchange *exchange,
              const char *kind, uint64_t revision, bool even_empty)
{
  json_t *events = json_array ();

  for (size_t i = 0; i < store->change_count; i++)
    if (store->changes[i].revision > revision
        && strcmp (store->changes[i].kind, kind) == 0)
      json_array_append (events, store->changes[i].event);
  if (json_array_size (events) == 0 && !even_empty)
    {
      json_decref (events);
      return false;
    }
  sst_answer (store, exchange, 200,
              json_pack ("{s:o, s:I}", PFM_EVENTS, events, PFM_AS_OF,
                         (json_int_t)store->revision));
  return true;
}

void
sst_wake_watches (struct sst *store, const char *kind)
{
  struct sst_waiting *next;

  for (struct sst_waiting *entry = sst_waiting_at (store->waiting.first);
       entry != NULL; entry = next)
    {
      next = sst_waiting_at (entry->list.next);
      if (entry->is_watch && entry->exchange != NULL
          && strcmp (entry->kind, kind) == 0
          && answer_watch (store, entry->exchange, kind, entry->revision,
                           false))
        sst_free_waiting (entry);
    }
}

/* The longest wait of a watch, the delay of a call, or the time of a late
   write is over.  */
static void
on_timer (void *context)
{
  struct sst_waiting *entry = context;
  struct sst *store = entry->store;
  struct srv_exchange *exchange = entry->exchange;
  struct htp_message message = entry->message;
  bool is_watch = entry->is_watch;
  uint64_t revision = entry->revision;
  char kind[SST_NAME_SIZE];

  memcpy (kind, entry->kind, sizeof kind);
  entry->message = (struct htp_message){ 0 };
  sst_free_waiting (entry);
  if (is_watch)
    answer_watch (store, exchange, kind, revision, true);
  else
    sst_perform (store, exchange, &message);
  htp_message_close (&message);
}

struct sst_waiting *
sst_add_waiting (struct sst *store, struct srv_exchange *exchange,
                 clk_time deadline)
{
  struct sst_waiting *entry = mem_alloc (1, sizeof *entry);

  entry->store = store;
  entry->exchange = exchange;
  lst_push_front (&store->waiting, &entry->list);
  evl_timer_init (&entry->timer, store->loop, on_timer, entry);
  evl_timer_set (&entry->timer, deadline);
  return entry;
}

void
sst_watch (struct sst *store, struct srv_exchange *exchange, const char *kind,
           const char *target)
{
  uint64_t revision = sst_read_number (target, PFM_WATCH);
  struct sst_waiting *entry;

  if (revision < store->oldest || revision > store->revision)
    sst_answer (store, exchange, 410, NULL);
  else if (!answer_watch (store, exchange, kind, revision, false))
    {
      entry = sst_add_waiting (
          store, exchange,
          evl_now (store->loop)
              + (clk_time)sst_read_number (target, PFM_WAIT_MS)
                    * CLK_MILLISECOND);
      entry->is_watch = true;
      entry->revision = revision;
      snprintf (entry->kind, sizeof entry->kind, "%s", kind);
    }
}

void
sst_handle_gone (void *context, struct srv_exchange *exchange)
{
  struct sst *store = context;

  for (struct sst_waiting *entry = sst_waiting_at (store->waiting.first);
       entry != NULL; entry = sst_waiting_at (entry->list.next))
    if (entry->exchange == exchange)
      {
        sst_free_waiting (entry);
        return;
      }
}

void
sst_cut_watches (struct sst *store)
{
  struct sst_waiting *next;

  for (struct sst_waiting *entry = sst_waiting_at (store->waiting.first);
       entry != NULL; entry = next)
    {
      struct srv_exchange *exchange = entry->exchange;

      next = sst_waiting_at (entry->list.next);
      if (!entry->is_watch)
        continue;
      sst_free_waiting (entry);
      if (exchange != NULL)
        srv_abort (exchange);
    }
}

bool
sst_is_watched_by (const struct sst *store, uint32_t ip)
{
  const struct sst_waiting *entry = sst_waiting_at (store->waiting.first);

  while (entry != NULL
         && (!entry->is_watch || entry->exchange == NULL
             || sst_called_ip (entry->exchange) != ip))
    entry = sst_waiting_at (entry->list.next);
  return entry != NULL;
}
