/* Stand-in of the platform's store: creation, settings and counters.  */

#include "sst_internal.h"

#include "base/mem.h"

#include <stdlib.h>

static const struct srv_handlers handlers
    = { sst_handle_request, sst_handle_gone, NULL };

struct sst *
sst_create (struct evl *loop, struct net_address address)
{
  static const struct srv_limits limits = {
    { 16384, 2u * 1024u * 1024u }, 60 * CLK_SECOND, 600 * CLK_SECOND, 0, 0, 0
  };
  struct sst *store = mem_alloc (1, sizeof *store);

  store->loop = loop;
  store->revision = 100;
  store->era = 1;
  if (srv_create (loop, address, &handlers, store, &limits, &store->server)
      == SRV_OK)
    return store;
  free (store);
  return NULL;
}

void
sst_destroy (struct sst *store)
{
  struct lst_entry *link;

  if (store == NULL)
    return;
  while ((link = lst_pop_front (&store->waiting)) != NULL)
    sst_free_waiting (sst_waiting_at (link));
  srv_destroy (store->server);
  sst_close_copy (store);
  for (size_t i = 0; i < store->object_count; i++)
    {
      json_decref (store->objects[i].spec);
      json_decref (store->objects[i].status);
    }
  for (size_t i = 0; i < store->change_count; i++)
    json_decref (store->changes[i].event);
  for (size_t i = 0; i < store->text_count; i++)
    free (store->texts[i]);
  free (store);
}

void
sst_limit_stale_lists (struct sst *store, size_t count)
{
  store->stale_lists_limited = true;
  store->stale_count = count;
}

void
sst_set_page_size (struct sst *store, size_t count)
{
  store->page_size = count;
}

uint64_t
sst_write_count (const struct sst *store)
{
  return store->writes;
}

uint64_t
sst_call_count (const struct sst *store)
{
  return store->calls;
}

uint64_t
sst_status_write_count (const struct sst *store)
{
  return store->status_writes;
}
