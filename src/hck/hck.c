/* Health check of an upstream.  */

#include "hck/hck.h"

#include "base/mem.h"
#include "cnx/cnx.h"

#include <stdlib.h>
#include <string.h>

/* Largest response accepted: header and body in bytes.  */
static const struct htp_limits response_limits = { 16384, 64u * 1024u };

struct hck
{
  hck_callback callback;
  void *context;
  const char *name_header;
  char *name;
  struct cnx *connection;
  struct evl_timer timer; /* of the deadline */
};

void
hck_cancel (struct hck *check)
{
  if (check == NULL)
    return;
  evl_timer_stop (&check->timer);
  cnx_close (check->connection);
  free (check->name);
  free (check);
}

static void
report (struct hck *check, enum hck_result result)
{
  hck_callback callback = check->callback;
  void *context = check->context;

  hck_cancel (check);
  callback (context, result);
}

static bool
on_response (void *context, struct cnx *connection,
             struct htp_message *message)
{
  struct hck *check = context;
  const char *name = htp_find_header (message, check->name_header);
  bool healthy = message->status == 200 && name != NULL
                 && strcmp (name, check->name) == 0;

  (void)connection;
  report (check, healthy ? HCK_HEALTHY : HCK_UNHEALTHY);
  return true;
}

static void
on_failed (void *context, struct cnx *connection, enum cnx_failure failure)
{
  bool refused = failure == CNX_NOT_SENT && cnx_connect_time (connection) == 0;

  report (context, refused ? HCK_REFUSED : HCK_NO_ANSWER);
}

static const struct cnx_handlers handlers = { on_response, on_failed };

static void
on_deadline (void *context)
{
  report (context, HCK_NO_ANSWER);
}

static void
send_request (struct hck *check, const struct hck_request *request)
{
  struct buf *output = cnx_request_buffer (check->connection);
  char host[NET_TEXT_SIZE];

  net_format (request->address, host);
  htp_put_request (output, "GET", request->path);
  htp_put_header (output, "Host", host);
  htp_put_body (output, NULL, 0);
  cnx_send (check->connection, false);
}

struct hck *
hck_start (struct evl *loop, const struct hck_request *request,
           hck_callback callback, void *context)
{
  struct hck *check = mem_alloc (1, sizeof *check);

  check->callback = callback;
  check->context = context;
  check->name_header = request->name_header;
  check->name = mem_copy_string (request->name);
  evl_timer_init (&check->timer, loop, on_deadline, check);
  evl_timer_set (&check->timer, request->deadline);
  check->connection
      = cnx_open (loop, request->address, &handlers, check, &response_limits);
  send_request (check, request);
  return check;
}

const char *
hck_result_name (enum hck_result result)
{
  static const char *const names[]
      = { "healthy", "unhealthy", "refused", "no answer" };

  return names[result];
}
