/* Writes the answer of a call to the caller as an HTTP response.  */

#include "http/http_answer.h"

#include "base/buf.h"
#include "call/call.h"
#include "http/http_header.h"
#include "out/out.h"
#include "wire/frm.h"

#include <stdlib.h>
#include <string.h>

/* Bytes of a body in one write, and the largest body sent together with the
   headers.  */
#define PIECE (64u * 1024u)

static unsigned
find_status (const Mesh__Answer *answer)
{
  if (answer->status != 0)
    return answer->status;
  return answer->outcome == OUT_NOT_RUN ? 503 : 504;
}

static void
print_upstream_headers (const Mesh__Answer *answer, struct buf *output)
{
  const char *connection
      = frm_find_header (answer->headers, answer->n_headers, "Connection");

  for (size_t i = 0; i < answer->n_headers; i++)
    {
      const char *name = answer->headers[i]->name;
      const char *value = answer->headers[i]->value;

      if (!http_is_hop_header (name, connection) && !http_is_mesh_header (name)
          && http_is_valid_header (name, value))
        buf_printf (output, "%s: %s\r\n", name, value);
    }
}

static void
print_mesh_headers (const Mesh__Answer *answer, bool close, struct buf *output)
{
  char id[CALL_ID_SIZE];

  buf_printf (output, "Mulberryshift-Outcome: %s\r\n",
              out_name ((enum out_outcome)answer->outcome));
  if (answer->retries_spent)
    buf_printf (output, "Mulberryshift-Retries: spent\r\n");
  if (answer->id != NULL)
    {
      call_print_id (answer->id, id);
      buf_printf (output, "Mulberryshift-Call: %s\r\n", id);
    }
  buf_printf (output, "Connection: %s\r\n", close ? "close" : "keep-alive");
}

static void
write_pieces (struct mg_connection *connection, const uint8_t *data,
              size_t length)
{
  size_t done = 0;

  while (done < length)
    {
      size_t piece = length - done < PIECE ? length - done : PIECE;

      if (mg_write (connection, data + done, piece) != (int)piece)
        {
          mg_disable_connection_keep_alive (connection);
          return;
        }
      done += piece;
    }
}

void
http_write_answer (struct mg_connection *connection,
                   const Mesh__Answer *answer, bool head, bool close)
{
  unsigned status = find_status (answer);
  bool empty = status == 204 || status == 304 || status < 200;
  const char *text = mg_get_response_code_text (connection, (int)status);
  const char *length
      = frm_find_header (answer->headers, answer->n_headers, "Content-Length");
  struct buf output = { 0 };
  struct buf reason = { 0 };
  const uint8_t *body = answer->body.data;
  size_t body_length = answer->body.len;

  buf_printf (&output, "HTTP/1.1 %u %s\r\n", status, text != NULL ? text : "");
  if (answer->outcome == OUT_ANSWERED)
    print_upstream_headers (answer, &output);
  else
    {
      buf_printf (&output, "Content-Type: text/plain\r\n");
      buf_printf (&reason, "%s\n", answer->reason);
      body = reason.data;
      body_length = reason.length;
    }
  print_mesh_headers (answer, close, &output);
  if (head && answer->outcome == OUT_ANSWERED)
    {
      if (length != NULL && http_is_valid_header ("Content-Length", length))
        buf_printf (&output, "Content-Length: %s\r\n", length);
    }
  else if (!empty)
    buf_printf (&output, "Content-Length: %zu\r\n", body_length);
  buf_append (&output, "\r\n", 2);
  if (head || empty)
    body_length = 0;
  if (close)
    mg_disable_connection_keep_alive (connection);
  if (body_length <= PIECE)
    {
      buf_append (&output, body, body_length);
      body_length = 0;
    }
  write_pieces (connection, output.data, output.length);
  write_pieces (connection, body, body_length);
  buf_close (&output);
  buf_close (&reason);
}

void
http_write_refusal (struct mg_connection *connection, unsigned status,
                    const char *reason)
{
  Mesh__Answer answer = MESH__ANSWER__INIT;

  answer.outcome = OUT_NOT_RUN;
  answer.status = status;
  answer.reason = (char *)reason;
  http_write_answer (connection, &answer, false, true);
}
