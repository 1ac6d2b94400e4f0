/* Administration server: health, metrics, status, and the upstream's lease,
   by CivetWeb.  */

#include "http/http_admin.h"

#include "base/err.h"
#include "base/mem.h"
#include "http/http_announcement.h"

#include <civetweb.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_ANNOUNCEMENT 4096

struct http_admin
{
  struct mg_context *server;
  struct up_lease *lease;
  struct http_admin_hooks hooks;
  atomic_bool draining;
};

static int
send_text (struct mg_connection *connection, int status, const char *type,
           const char *text)
{
  mg_printf (connection,
             "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
             "Connection: keep-alive\r\n\r\n%s",
             status, mg_get_response_code_text (connection, status), type,
             strlen (text), text);
  return status;
}

static int
serve_health (struct mg_connection *connection, void *context)
{
  (void)context;
  return send_text (connection, 200, "text/plain", "ok\n");
}

static int
serve_ready (struct mg_connection *connection, void *context)
{
  struct http_admin *admin = context;
  bool ready = admin->hooks.is_ready (admin->hooks.context);

  if (atomic_load (&admin->draining))
    return send_text (connection, 503, "text/plain", "draining\n");
  return send_text (connection, ready ? 200 : 503, "text/plain",
                    ready ? "ready\n" : "no configuration yet\n");
}

static int
serve_status (struct mg_connection *connection, void *context)
{
  struct http_admin *admin = context;
  json_t *status = admin->hooks.status (admin->hooks.context);
  char *text = json_dumps (status, JSON_INDENT (2));
  int code = send_text (connection, 200, "application/json",
                        text != NULL ? text : "{}");

  free (text);
  json_decref (status);
  return code;
}

static int
serve_trace (struct mg_connection *connection, void *context)
{
  struct http_admin *admin = context;
  const struct mg_request_info *info = mg_get_request_info (connection);
  const char *query = info->query_string != NULL ? info->query_string : "";
  char id[64];
  json_t *trace = NULL;
  char *text;
  int code;

  if (mg_get_var (query, strlen (query), "id", id, sizeof id) <= 0)
    return send_text (connection, 400, "text/plain",
                      "write /trace?id=ID with the ID from the "
                      "Mulberryshift-Call header\n");
  if (admin->hooks.trace != NULL)
    trace = admin->hooks.trace (admin->hooks.context, id);
  if (trace == NULL)
    return send_text (connection, 404, "text/plain",
                      "this node keeps no trace of that call\n");
  text = json_dumps (trace, JSON_INDENT (2));
  code = send_text (connection, 200, "application/json",
                    text != NULL ? text : "{}");
  free (text);
  json_decref (trace);
  return code;
}

static int
serve_metrics (struct mg_connection *connection, void *context)
{
  struct http_admin *admin = context;
  struct buf output = { 0 };
  int code;

  admin->hooks.metrics (admin->hooks.context, &output);
  code = send_text (connection, 200, "text/plain; version=0.0.4",
                    buf_text (&output));
  buf_close (&output);
  return code;
}

static int
serve_upstream (struct mg_connection *connection, void *context)
{
  struct http_admin *admin = context;
  const struct mg_request_info *info = mg_get_request_info (connection);
  struct up_announcement announcement;
  char body[MAX_ANNOUNCEMENT];
  char refusal[ERR_MESSAGE_SIZE + 64];
  int length = 0;
  int count;

  if (strcmp (info->request_method, "DELETE") == 0)
    {
      up_lease_end (admin->lease);
      return send_text (connection, 200, "text/plain", "left\n");
    }
  if (strcmp (info->request_method, "PUT") != 0)
    return send_text (connection, 405, "text/plain", "use PUT or DELETE\n");
  while (length < MAX_ANNOUNCEMENT
         && (count = mg_read (connection, body + length,
                              (size_t)(MAX_ANNOUNCEMENT - length)))
                > 0)
    length += count;
  if (length == MAX_ANNOUNCEMENT)
    return send_text (connection, 413, "text/plain",
                      "an announcement has less than 4096 bytes\n");
  if (!http_read_announcement (body, (size_t)length, &announcement))
    {
      snprintf (refusal, sizeof refusal,
                "this announcement is not valid: %s\n", err_last ());
      return send_text (connection, 400, "text/plain", refusal);
    }
  up_lease_renew (admin->lease, &announcement, clk_now ());
  return send_text (connection, 200, "text/plain", "announced\n");
}

enum http_status
http_admin_create (const struct cfg_settings *settings, struct up_lease *lease,
                   const struct http_admin_hooks *hooks,
                   struct http_admin **admin)
{
  struct http_admin *result = mem_alloc (1, sizeof *result);
  char address[NET_TEXT_SIZE];

  net_format (settings->admin_address, address);
  const char *options[] = { "listening_ports",
                            address,
                            "num_threads",
                            "3",
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            "2000",
                            "request_timeout_ms",
                            "5000",
                            NULL };

  result->lease = lease;
  result->hooks = *hooks;
  result->server = mg_start (NULL, NULL, options);
  if (result->server == NULL)
    {
      err_set ("cannot serve administration on %s; is another process using "
               "the address?",
               address);
      free (result);
      *admin = NULL;
      return HTTP_NO_LISTENER;
    }
  mg_set_request_handler (result->server, "/healthz$", serve_health, result);
  mg_set_request_handler (result->server, "/readyz$", serve_ready, result);
  mg_set_request_handler (result->server, "/metrics$", serve_metrics, result);
  mg_set_request_handler (result->server, "/status$", serve_status, result);
  mg_set_request_handler (result->server, "/trace$", serve_trace, result);
  mg_set_request_handler (result->server, "/v1/upstream$", serve_upstream,
                          result);
  *admin = result;
  return HTTP_OK;
}

void
http_admin_drain (struct http_admin *admin)
{
  atomic_store (&admin->draining, true);
}

void
http_admin_destroy (struct http_admin *admin)
{
  if (admin == NULL)
    return;
  mg_stop (admin->server);
  free (admin);
}
