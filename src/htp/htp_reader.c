/* Reader of messages, based on http_parser.  */

#include "base/mem.h"
#include "htp/htp_check.h"

#include <stdlib.h>
#include <string.h>

/* Number of header fields that are allocated at first.  */
#define INITIAL_HEADER_CAPACITY 12

/* Bytes of a header that its limit does not count: the first line and the
   separators of its fields.  */
#define MAX_SEPARATOR_BYTES (4u * HTP_MAX_HEADERS + 256u)

/* Header limit of http_parser, in bytes.  It is set higher than any limit of a
   reader, which counts the bytes itself.  */
#define PARSER_MAX_HEADER_BYTES (64u * 1024u * 1024u)

static int
fail (struct htp_reader *reader, enum htp_status failure)
{
  reader->failure = failure;
  return 1;
}

/* Adds LENGTH to the header bytes.  Returns 0 while they are within the limit,
   otherwise 1.  */
static int
count_header_bytes (struct htp_reader *reader, size_t length)
{
  reader->header_bytes += length;
  if (reader->header_bytes > reader->limits.max_header_bytes)
    return fail (reader, HTP_HEADER_TOO_LARGE);
  return 0;
}

static int
on_message_begin (http_parser *parser)
{
  struct htp_reader *reader = parser->data;

  reader->started = true;
  return 0;
}

static int
on_url (http_parser *parser, const char *data, size_t length)
{
  struct htp_reader *reader = parser->data;

  if (count_header_bytes (reader, length) != 0)
    return 1;
  buf_append (&reader->message.text, data, length);
  return 0;
}

/* Appends the terminating null byte of the last string.  */
static void
terminate_string (struct htp_message *message)
{
  buf_append (&message->text, "", 1);
}

/* Removes trailing whitespace, which is not part of a value, from the last
   value.  */
static void
trim_value (struct htp_message *message)
{
  size_t start;

  if (message->header_count == 0)
    return;
  start = message->headers[message->header_count - 1].value_offset;
  while (message->text.length > start
         && (message->text.data[message->text.length - 1] == ' '
             || message->text.data[message->text.length - 1] == '\t'))
    message->text.length--;
}

static int
add_header (struct htp_reader *reader)
{
  struct htp_message *message = &reader->message;

  trim_value (message);
  if (message->header_count == HTP_MAX_HEADERS)
    return fail (reader, HTP_HEADER_TOO_LARGE);
  if (message->header_count == message->header_capacity)
    {
      message->header_capacity = message->header_capacity == 0
                                     ? INITIAL_HEADER_CAPACITY
                                     : 2 * message->header_capacity;
      message->headers
          = mem_resize (message->headers, message->header_capacity,
                        sizeof *message->headers);
    }
  terminate_string (message);
  message->headers[message->header_count++]
      = (struct htp_header){ .name_offset = (uint32_t)message->text.length };
  return 0;
}

/* Checks a part of a reason phrase or of the value of a field.  Returns 0 when
   it is valid, otherwise 1.  */
static int
check_text (struct htp_reader *reader, const char *data, size_t length)
{
  if (reader->kind == HTP_RESPONSE
      && htp_search_status_line (&reader->inner_line_length, data, length))
    return fail (reader, HTP_INVALID);
  return 0;
}

static int
on_status (http_parser *parser, const char *data, size_t length)
{
  return check_text (parser->data, data, length);
}

static int
on_header_field (http_parser *parser, const char *data, size_t length)
{
  struct htp_reader *reader = parser->data;

  if (count_header_bytes (reader, length) != 0)
    return 1;
  /* Trailer fields follow the body; they are read and ignored.  */
  if (reader->header_complete)
    return 0;
  if (reader->in_value || reader->message.header_count == 0)
    {
      if (add_header (reader) != 0)
        return 1;
      reader->in_value = false;
    }
  buf_append (&reader->message.text, data, length);
  return 0;
}

static int
on_header_value (http_parser *parser, const char *data, size_t length)
{
  struct htp_reader *reader = parser->data;
  struct htp_message *message = &reader->message;

  if (count_header_bytes (reader, length) != 0)
    return 1;
  if (reader->header_complete)
    return 0;
  if (!reader->in_value)
    {
      terminate_string (message);
      message->headers[message->header_count - 1].value_offset
          = (uint32_t)message->text.length;
      reader->in_value = true;
      reader->inner_line_length = 0;
    }
  if (check_text (reader, data, length) != 0)
    return 1;
  buf_append (&message->text, data, length);
  return 0;
}

/* Makes the budget cover a body of LENGTH bytes in all.  Returns false when
   not enough is left.  */
static bool
cover_body (struct htp_reader *reader, uint64_t length)
{
  struct htp_message *message = &reader->message;

  if (reader->budget == NULL || length <= message->budgeted_bytes)
    return true;
  if (!htp_budget_take (reader->budget, length - message->budgeted_bytes))
    return false;
  message->budget = reader->budget;
  message->budgeted_bytes = length;
  return true;
}

/* Returns whether the current response has no body whatever its header says:
   the Content-Length of a 304 is that of another response (RFC 9112, section
   6.3).  http_parser would wait for these bytes.  */
static bool
has_no_body (const struct htp_reader *reader)
{
  unsigned status = reader->parser.status_code;

  return reader->kind == HTP_RESPONSE
         && (reader->without_body || status < HTP_MIN_FINAL_STATUS
             || status == 204 || status == 304);
}

static int
on_headers_complete (http_parser *parser)
{
  struct htp_reader *reader = parser->data;
  struct htp_message *message = &reader->message;

  trim_value (message);
  terminate_string (message);
  if (!htp_has_valid_fields (message))
    {
      fail (reader, HTP_INVALID);
      return -1;
    }
  if (reader->kind == HTP_RESPONSE && !htp_has_valid_status (reader))
    {
      fail (reader, HTP_INVALID_STATUS);
      return -1;
    }
  reader->header_complete = true;
  message->method = (unsigned char)parser->method;
  message->status = (unsigned short)parser->status_code;
  message->keep_alive = http_should_keep_alive (parser) != 0;
  message->close_delimited
      = reader->kind == HTP_RESPONSE
        && (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
  parser->upgrade = 0;
  /* A Content-Length beside a chunked body was rejected by http_parser.  One
     above the limit is rejected here, before a byte of the body is stored.  */
  if (reader->kind == HTP_REQUEST && (parser->flags & F_CONTENTLENGTH) != 0
      && parser->content_length > reader->limits.max_body_bytes)
    {
      fail (reader, HTP_BODY_TOO_LARGE);
      return -1;
    }
  if (reader->kind == HTP_REQUEST && (parser->flags & F_CONTENTLENGTH) != 0
      && !cover_body (reader, parser->content_length))
    {
      fail (reader, HTP_NO_MEMORY);
      return -1;
    }
  return has_no_body (reader) ? 1 : 0;
}

void
htp_reader_set_budget (struct htp_reader *reader, struct htp_budget *budget)
{
  struct htp_message *message = &reader->message;

  if (message->budget != NULL)
    htp_budget_return (message->budget, message->budgeted_bytes);
  message->budget = NULL;
  message->budgeted_bytes = 0;
  reader->budget = budget;
}

static int
on_body (http_parser *parser, const char *data, size_t length)
{
  struct htp_reader *reader = parser->data;

  size_t total = reader->message.body.length + length;

  htp_check_line_ends (reader, data);
  reader->unchecked = data + length;
  reader->after_body = true;
  if (total > reader->limits.max_body_bytes)
    return fail (reader, HTP_BODY_TOO_LARGE);
  if (!cover_body (reader, total))
    return fail (reader, HTP_NO_MEMORY);
  buf_append (&reader->message.body, data, length);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  struct htp_reader *reader = parser->data;

  reader->complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_message_begin = on_message_begin,
  .on_url = on_url,
  .on_status = on_status,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

static void
start_message (struct htp_reader *reader)
{
  http_parser_init (&reader->parser, reader->kind == HTP_REQUEST
                                         ? HTTP_REQUEST
                                         : HTTP_RESPONSE);
  reader->parser.data = reader;
  reader->status_line_length = 0;
  reader->inner_line_length = 0;
  reader->header_bytes = 0;
  reader->idle_bytes = 0;
  reader->failure = HTP_INCOMPLETE;
  reader->in_value = false;
  reader->after_return = false;
  reader->after_body = false;
  reader->has_invalid_line_end = false;
  reader->started = false;
  reader->header_complete = false;
  reader->complete = false;
}

void
htp_reader_init (struct htp_reader *reader, enum htp_kind kind,
                 const struct htp_limits *limits)
{
  http_parser_set_max_header_size (PARSER_MAX_HEADER_BYTES);
  *reader = (struct htp_reader){ .kind = kind, .limits = *limits };
  start_message (reader);
}

void
htp_reader_close (struct htp_reader *reader)
{
  htp_message_close (&reader->message);
}

void
htp_reader_reset (struct htp_reader *reader)
{
  htp_message_close (&reader->message);
  reader->without_body = false;
  start_message (reader);
}

/* Resets the reader after an interim response (1xx), so that the final
   response can be read.  Returns false when the message is not an interim
   response.  */
static bool
skip_interim_response (struct htp_reader *reader)
{
  bool without_body = reader->without_body;
  size_t idle_bytes = reader->idle_bytes;

  if (reader->kind != HTP_RESPONSE || reader->message.status < 100
      || reader->message.status >= HTP_MIN_FINAL_STATUS)
    return false;
  htp_reader_reset (reader);
  reader->without_body = without_body;
  reader->idle_bytes = idle_bytes;
  return true;
}

/* Counts LENGTH bytes after a run of the parser that has added BODY_GROWTH
   bytes to the body.  Bytes that bring no body are limited wherever they
   stand: in a reason phrase, a chunk size, trailers, interim responses, or
   between messages.  Returns false when there are too many.  */
static bool
count_idle_bytes (struct htp_reader *reader, size_t length, size_t body_growth)
{
  if (body_growth > 0)
    reader->idle_bytes = 0;
  else
    reader->idle_bytes += length;
  return reader->idle_bytes
         <= reader->limits.max_header_bytes + MAX_SEPARATOR_BYTES;
}

/* Returns the status of the reader after a run of the parser.  */
static enum htp_status
parser_status (struct htp_reader *reader)
{
  if (reader->failure != HTP_INCOMPLETE)
    return reader->failure;
  if (reader->has_invalid_line_end)
    return reader->failure = HTP_INVALID;
  if (reader->complete)
    return HTP_COMPLETE;
  if (HTTP_PARSER_ERRNO (&reader->parser) == HPE_INVALID_STATUS)
    return reader->failure = HTP_INVALID_STATUS;
  if (HTTP_PARSER_ERRNO (&reader->parser) != HPE_OK)
    return reader->failure = HTP_INVALID;
  return HTP_INCOMPLETE;
}

enum htp_status
htp_read (struct htp_reader *reader, const void *data, size_t length,
          size_t *used)
{
  enum htp_status status = parser_status (reader);

  *used = 0;
  while (status == HTP_INCOMPLETE && *used < length)
    {
      const char *rest = (const char *)data + *used;
      size_t body_length = reader->message.body.length;
      size_t parsed;

      if (reader->kind == HTP_RESPONSE)
        htp_store_status_line (reader, rest, length - *used);
      reader->unchecked = rest;
      parsed = http_parser_execute (&reader->parser, &callbacks, rest,
                                    length - *used);
      htp_check_line_ends (reader, rest + parsed);
      *used += parsed;
      status = parser_status (reader);
      if (status == HTP_INCOMPLETE || status == HTP_COMPLETE)
        body_length = reader->message.body.length - body_length;
      if (status == HTP_COMPLETE && skip_interim_response (reader))
        status = HTP_INCOMPLETE;
      if (status == HTP_INCOMPLETE
          && !count_idle_bytes (reader, parsed, body_length))
        status = reader->failure = HTP_HEADER_TOO_LARGE;
    }
  return status;
}

enum htp_status
htp_read_eof (struct htp_reader *reader)
{
  if (!reader->started)
    return HTP_INCOMPLETE;
  if (reader->header_complete && reader->message.close_delimited)
    http_parser_execute (&reader->parser, &callbacks, NULL, 0);
  return reader->complete ? HTP_COMPLETE : HTP_INVALID;
}

void
htp_take_message (struct htp_reader *reader, struct htp_message *message)
{
  *message = reader->message;
  reader->message = (struct htp_message){ 0 };
  htp_reader_reset (reader);
}
