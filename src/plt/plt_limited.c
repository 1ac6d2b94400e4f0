/* A platform client that keeps a call budget.  */

#include "plt/plt_limited.h"

#include "base/err.h"
#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

struct limited_client
{
  struct plt_client inner;
  struct plt_budget budget;
  clk_time (*clock) (void);
};

static bool
take (struct limited_client *client)
{
  clk_time now = client->clock ();
  clk_time when;

  if (plt_budget_take (&client->budget, now, &when))
    return true;
  err_set ("the platform call budget is used up for %d ms",
           clk_poll_timeout (now, when, 1000000));
  return false;
}

static enum plt_status
limited_get (void *state, const char *key, clk_time deadline,
             struct plt_object *object)
{
  struct limited_client *client = state;

  memset (object, 0, sizeof *object);
  if (!take (client))
    return PLT_BUSY;
  return client->inner.operations->get (client->inner.state, key, deadline,
                                        object);
}

static enum plt_status
limited_put (void *state, const char *key, enum plt_condition condition,
             const char *etag, const struct buf *value, clk_time deadline,
             char new_etag[PLT_ETAG_SIZE])
{
  struct limited_client *client = state;

  if (!take (client))
    return PLT_BUSY;
  return client->inner.operations->put (client->inner.state, key, condition,
                                        etag, value, deadline, new_etag);
}

static enum plt_status
limited_remove (void *state, const char *key, const char *etag,
                clk_time deadline)
{
  struct limited_client *client = state;

  if (!take (client))
    return PLT_BUSY;
  return client->inner.operations->remove (client->inner.state, key, etag,
                                           deadline);
}

static enum plt_status
limited_list (void *state, const char *prefix, clk_time deadline,
              struct plt_list *list)
{
  struct limited_client *client = state;

  memset (list, 0, sizeof *list);
  if (!take (client))
    return PLT_BUSY;
  return client->inner.operations->list (client->inner.state, prefix, deadline,
                                         list);
}

static enum plt_status
limited_watch (void *state, const char *key, const char *etag,
               clk_time deadline, struct plt_object *object)
{
  struct limited_client *client = state;

  memset (object, 0, sizeof *object);
  if (!take (client))
    return PLT_BUSY;
  return client->inner.operations->watch (client->inner.state, key, etag,
                                          deadline, object);
}

static void
limited_destroy (void *state)
{
  struct limited_client *client = state;

  plt_close (&client->inner);
  free (client);
}

static const struct plt_operations limited_operations
    = { limited_get,  limited_put,   limited_remove,
        limited_list, limited_watch, limited_destroy };

struct plt_client
plt_open_limited (struct plt_client inner, const struct plt_budget *budget,
                  clk_time (*clock) (void))
{
  struct limited_client *client = mem_alloc (1, sizeof *client);

  client->inner = inner;
  client->budget = *budget;
  client->clock = clock != NULL ? clock : clk_now;
  return (struct plt_client){ &limited_operations, client };
}
