/* Access to the fields of a message, and functions that write messages.  */

#include "htp/htp.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Header fields of RFC 9110, section 7.6.1, and those that frame the body;
   they are written separately for each connection.  */
static const char *const hop_by_hop[] = { "Connection",
                                          "Keep-Alive",
                                          "Proxy-Connection",
                                          "Transfer-Encoding",
                                          "TE",
                                          "Trailer",
                                          "Upgrade",
                                          "Content-Length",
                                          "Expect",
                                          "Proxy-Authenticate",
                                          "Proxy-Authorization" };

bool
htp_budget_take (struct htp_budget *budget, size_t length)
{
  if (length > budget->max_bytes - budget->used_bytes)
    return false;
  budget->used_bytes += length;
  return true;
}

void
htp_budget_return (struct htp_budget *budget, size_t length)
{
  budget->used_bytes -= length;
}

void
htp_message_close (struct htp_message *message)
{
  if (message->budget != NULL)
    htp_budget_return (message->budget, message->budgeted_bytes);
  buf_close (&message->text);
  buf_close (&message->body);
  free (message->headers);
  *message = (struct htp_message){ 0 };
}

bool
htp_is_final_status (unsigned status)
{
  return status >= HTP_MIN_FINAL_STATUS && status <= HTP_MAX_FINAL_STATUS;
}

const char *
htp_describe (enum htp_status status)
{
  static const char *const texts[]
      = { "it is incomplete",       "it is complete",
          "it is malformed",        "its header is too large",
          "its body is too large",  "no memory is left for its body",
          "its status is not valid" };

  return texts[status];
}

const char *
htp_target (const struct htp_message *message)
{
  return buf_text (&message->text);
}

const char *
htp_method (const struct htp_message *message)
{
  return http_method_str ((enum http_method)message->method);
}

const char *
htp_header_name (const struct htp_message *message, unsigned index)
{
  return (const char *)message->text.data
         + message->headers[index].name_offset;
}

const char *
htp_header_value (const struct htp_message *message, unsigned index)
{
  return (const char *)message->text.data
         + message->headers[index].value_offset;
}

const char *
htp_find_header (const struct htp_message *message, const char *name)
{
  for (unsigned i = 0; i < message->header_count; i++)
    if (strcasecmp (htp_header_name (message, i), name) == 0)
      return htp_header_value (message, i);
  return NULL;
}

int
htp_parse_method (const char *name)
{
  static const char *const names[] = {
#define NAME(number, symbol, text) [number] = #text,
    HTTP_METHOD_MAP (NAME)
#undef NAME
  };

  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    if (names[i] != NULL && strcmp (names[i], name) == 0)
      return (int)i;
  return -1;
}

bool
htp_is_hop_by_hop (const char *name)
{
  for (size_t i = 0; i < sizeof hop_by_hop / sizeof *hop_by_hop; i++)
    if (strcasecmp (name, hop_by_hop[i]) == 0)
      return true;
  return false;
}

void
htp_put_request (struct buf *output, const char *method, const char *target)
{
  buf_printf (output, "%s %s HTTP/1.1\r\n", method, target);
}

void
htp_put_status (struct buf *output, unsigned status)
{
  buf_printf (output, "HTTP/1.1 %u %s\r\n", status,
              http_status_str ((enum http_status)status));
}

bool
htp_put_header (struct buf *output, const char *name, const char *value)
{
  if (strpbrk (name, "\r\n:") != NULL || strpbrk (value, "\r\n") != NULL)
    return false;
  buf_append (output, name, strlen (name));
  buf_append (output, ": ", 2);
  buf_append (output, value, strlen (value));
  buf_append (output, "\r\n", 2);
  return true;
}

void
htp_put_body (struct buf *output, const void *body, size_t length)
{
  buf_printf (output, "Content-Length: %zu\r\n\r\n", length);
  if (length > 0)
    buf_append (output, body, length);
}
