/* Parser of HTTP/1.1 responses.  */

#include "up/up_parse.h"

#include "base/err.h"
#include "htp/htp.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Longest line between chunks: a size, or a trailer field.  */
#define MAX_LINE 4096u

/* Most bytes of heads, chunk sizes and trailers: a fixed number, and some for
   each byte of the body, which may come in small chunks.  */
#define MAX_OVERHEAD (2u * UP_MAX_HEAD)
#define MAX_OVERHEAD_PER_BYTE 16u

/* Highest status of a response (RFC 9110, section 15).  */
#define MAX_STATUS 599u

void
up_parser_init (struct up_parser *parser, bool head_request)
{
  memset (parser, 0, sizeof *parser);
  parser->head_request = head_request;
}

static void
free_headers (struct up_parser *parser)
{
  for (size_t i = 0; i < parser->header_count; i++)
    mesh__header__free_unpacked (parser->headers[i], NULL);
  free (parser->headers);
  parser->headers = NULL;
  parser->header_count = 0;
}

void
up_parser_close (struct up_parser *parser)
{
  free_headers (parser);
  buf_close (&parser->line);
  buf_close (&parser->body);
}

static enum up_parse_status
fail (const char *reason)
{
  err_set ("the upstream's response %s", reason);
  return UP_PARSE_INVALID;
}

/* Headers of the connection, and those that only the mesh may set.  The
   upstream passes on that the retries of its own nested call are spent; the
   sender must see it.  */
static bool
is_dropped (const char *name)
{
  static const char *const names[]
      = { "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
          "Upgrade",    "TE",         "Proxy-Connection",  "Trailer" };

  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    if (strcasecmp (names[i], name) == 0)
      return true;
  return strncasecmp (name, "Mulberryshift-", 14) == 0
         && strcasecmp (name, "Mulberryshift-Retries") != 0;
}

/* Stores a header that is passed on.  */
static void
add_header (struct up_parser *parser, const char *name, const char *value)
{
  Mesh__Header *header = malloc (sizeof *header);

  if (parser->headers == NULL)
    parser->headers = malloc (UP_MAX_HEADERS * sizeof (Mesh__Header *));
  if (header == NULL || parser->headers == NULL)
    abort ();
  mesh__header__init (header);
  header->name = strdup (name);
  header->value = strdup (value);
  if (header->name == NULL || header->value == NULL)
    abort ();
  parser->headers[parser->header_count++] = header;
}

/* Reads a decimal or hexadecimal size of at most UP_MAX_BODY.  Returns the
   first character after it, or null.  */
static const char *
read_size (const char *text, unsigned base, size_t *size)
{
  const char *start = text;

  *size = 0;
  for (;; text++)
    {
      unsigned digit;

      if (*text >= '0' && *text <= '9')
        digit = (unsigned)(*text - '0');
      else if (base == 16 && (*text | 32) >= 'a' && (*text | 32) <= 'f')
        digit = (unsigned)((*text | 32) - 'a' + 10);
      else
        return text > start ? text : NULL;
      *size = *size * base + digit;
      if (*size > UP_MAX_BODY)
        return NULL;
    }
}

static enum up_parse_status
use_header (struct up_parser *parser, const char *name, const char *value)
{
  size_t length;
  const char *end;

  if (strcasecmp (name, "Content-Length") == 0)
    {
      end = read_size (value, 10, &length);
      if (end == NULL || *end != '\0'
          || (parser->has_length && parser->length != length))
        return fail ("has an invalid or too great length");
      parser->has_length = true;
      parser->length = length;
    }
  else if (strcasecmp (name, "Transfer-Encoding") == 0)
    {
      if (strcasecmp (value, "chunked") != 0 || parser->chunked)
        return fail ("has an unknown transfer encoding");
      parser->chunked = true;
    }
  else if (strcasecmp (name, "Connection") == 0)
    parser->keep_alive
        = strcasestr (value, "close") == NULL
          && (parser->keep_alive || strcasestr (value, "keep-alive") != NULL);
  return UP_PARSE_MORE;
}

/* Returns whether TEXT has no control character but tabs: a CR or LF alone
   could hide a header field.  */
static bool
is_text (const char *text)
{
  for (; *text != '\0'; text++)
    if ((unsigned char)*text < ' ' && *text != '\t')
      return false;
  return true;
}

/* Parses "Name: value"; LINE is changed.  */
static enum up_parse_status
parse_header (struct up_parser *parser, char *line)
{
  char *colon = strchr (line, ':');
  char *value;
  char *end;

  if (colon == NULL || colon == line || parser->header_count == UP_MAX_HEADERS)
    return fail ("has a malformed header or too many");
  for (const char *c = line; c < colon; c++)
    if (*c <= ' ' || *c >= 127)
      return fail ("has a malformed header");
  *colon = '\0';
  value = colon + 1;
  value += strspn (value, " \t");
  end = value + strlen (value);
  while (end > value && (end[-1] == ' ' || end[-1] == '\t'))
    *--end = '\0';
  if (!is_text (value))
    return fail ("has a malformed header");
  if (!is_dropped (line))
    add_header (parser, line, value);
  return use_header (parser, line, value);
}

/* Decides how the body is delimited, after the head.  */
static enum up_parse_status
start_body (struct up_parser *parser)
{
  bool no_body
      = parser->head_request || parser->status == 204 || parser->status == 304;

  parser->line.length = 0;
  if (parser->status == 101)
    return fail ("switches protocols");
  if (parser->status < 200)
    {
      free_headers (parser);
      parser->has_length = false;
      parser->chunked = false;
      return UP_PARSE_MORE;
    }
  if (parser->chunked && parser->has_length)
    return fail ("states two lengths");
  if (!no_body && !parser->chunked && !parser->has_length)
    return fail ("states no length, so its end cannot be checked");
  parser->left = parser->length;
  if (no_body || (!parser->chunked && parser->left == 0))
    parser->stage = UP_STAGE_WHOLE;
  else
    parser->stage = parser->chunked ? UP_STAGE_CHUNK_SIZE : UP_STAGE_BODY;
  return UP_PARSE_MORE;
}

/* Parses the head in LINE, which ends with an empty line.  */
static enum up_parse_status
parse_head (struct up_parser *parser)
{
  char *text = (char *)parser->line.data;
  char *end = strstr (text, "\r\n");
  size_t status;
  size_t matched = 0;
  const char *rest;

  if (strlen (text) != parser->line.length)
    return fail ("has a null byte in its head");
  if (htp_search_status_line (&matched, text + 1, parser->line.length - 1))
    return fail ("has a second status line in its head");
  *end = '\0';
  rest = strncmp (text, "HTTP/1.", 7) == 0
                 && (text[7] == '0' || text[7] == '1') && text[8] == ' '
             ? read_size (text + 9, 10, &status)
             : NULL;
  if (rest != text + 12 || status < 100 || (*rest != ' ' && *rest != '\0')
      || !is_text (rest))
    return fail ("has a malformed status line");
  if (status > MAX_STATUS)
    return fail ("has a status that no response has");
  parser->status = (uint32_t)status;
  parser->keep_alive = text[7] == '1';
  for (char *line = end + 2; line[0] != '\r'; line = end + 2)
    {
      end = strstr (line, "\r\n");
      *end = '\0';
      if (parse_header (parser, line) == UP_PARSE_INVALID)
        return UP_PARSE_INVALID;
    }
  return start_body (parser);
}

/* Consumes head bytes up to the empty line.  */
static enum up_parse_status
feed_head (struct up_parser *parser, const uint8_t *data, size_t length,
           size_t *used)
{
  size_t old = parser->line.length;
  size_t from = old > 3 ? old - 3 : 0;
  const uint8_t *end;
  size_t head;

  buf_append (&parser->line, data, length);
  end = memmem (parser->line.data + from, parser->line.length - from,
                "\r\n\r\n", 4);
  head = end != NULL ? (size_t)(end - parser->line.data) + 4
                     : parser->line.length;
  if (head > UP_MAX_HEAD)
    return fail ("has too long headers");
  *used = head - old;
  if (end == NULL)
    return UP_PARSE_MORE;
  parser->line.length = head;
  parser->line.data[head] = '\0';
  return parse_head (parser);
}

/* Consumes body bytes, of the whole body or of one chunk.  The two bytes
   after a chunk must be a line end.  */
static enum up_parse_status
feed_body (struct up_parser *parser, const uint8_t *data, size_t length,
           size_t *used)
{
  size_t tail = parser->stage == UP_STAGE_CHUNK ? 2 : 0;
  size_t count;

  if (parser->left > tail)
    {
      count = parser->left - tail < length ? parser->left - tail : length;
      buf_append (&parser->body, data, count);
    }
  else
    {
      count = 1;
      if (*data != (parser->left == 2 ? '\r' : '\n'))
        return fail ("has a malformed chunk");
    }
  parser->left -= count;
  *used = count;
  if (parser->left == 0)
    parser->stage = parser->stage == UP_STAGE_CHUNK ? UP_STAGE_CHUNK_SIZE
                                                    : UP_STAGE_WHOLE;
  return UP_PARSE_MORE;
}

static enum up_parse_status
use_chunk_size (struct up_parser *parser)
{
  size_t size;
  const char *end = read_size (buf_text (&parser->line), 16, &size);

  if (end != NULL)
    end += strspn (end, " \t");
  if (end == NULL || (*end != '\0' && *end != ';')
      || parser->body.length + size > UP_MAX_BODY)
    return fail ("has a malformed or too great chunk");
  parser->left = size + 2;
  parser->stage = size > 0 ? UP_STAGE_CHUNK : UP_STAGE_TRAILER;
  return UP_PARSE_MORE;
}

/* Consumes a line between chunks or of the trailer, which is dropped.  */
static enum up_parse_status
feed_line (struct up_parser *parser, const uint8_t *data, size_t length,
           size_t *used)
{
  const uint8_t *end = memchr (data, '\n', length);
  size_t count = end != NULL ? (size_t)(end - data) + 1 : length;
  struct buf *line = &parser->line;
  enum up_parse_status status = UP_PARSE_MORE;

  *used = count;
  buf_append (line, data, count);
  if (line->length > MAX_LINE)
    return fail ("has a too long line between chunks");
  if (end == NULL)
    return UP_PARSE_MORE;
  if (line->length < 2 || line->data[line->length - 2] != '\r')
    return fail ("has a malformed line between chunks");
  line->length -= 2;
  line->data[line->length] = '\0';
  if (parser->stage == UP_STAGE_CHUNK_SIZE)
    status = use_chunk_size (parser);
  else if (line->length == 0)
    parser->stage = UP_STAGE_WHOLE;
  line->length = 0;
  return status;
}

/* Counts USED bytes, by which the body has grown from BODY bytes.  Returns
   whether the response may go on.  */
static bool
count_overhead (struct up_parser *parser, size_t used, size_t body)
{
  parser->overhead += used - (parser->body.length - body);
  return parser->overhead
         <= MAX_OVERHEAD + MAX_OVERHEAD_PER_BYTE * parser->body.length;
}

enum up_parse_status
up_parser_feed (struct up_parser *parser, const uint8_t *data, size_t length)
{
  enum up_parse_status status = UP_PARSE_MORE;

  while (length > 0 && status == UP_PARSE_MORE)
    {
      size_t body = parser->body.length;
      size_t used = 0;

      switch (parser->stage)
        {
        case UP_STAGE_HEAD:
          status = feed_head (parser, data, length, &used);
          break;
        case UP_STAGE_BODY:
        case UP_STAGE_CHUNK:
          status = feed_body (parser, data, length, &used);
          break;
        case UP_STAGE_CHUNK_SIZE:
        case UP_STAGE_TRAILER:
          status = feed_line (parser, data, length, &used);
          break;
        default:
          return fail ("is followed by more bytes");
        }
      if (status == UP_PARSE_MORE && !count_overhead (parser, used, body))
        return fail ("has too many bytes beside its body");
      data += used;
      length -= used;
    }
  if (status == UP_PARSE_MORE && parser->stage == UP_STAGE_WHOLE)
    return UP_PARSE_WHOLE;
  return status;
}

void
up_parser_take (struct up_parser *parser, Mesh__Answer *answer)
{
  answer->status = parser->status;
  answer->headers = parser->headers;
  answer->n_headers = parser->header_count;
  answer->body.data = parser->body.data;
  answer->body.len = parser->body.length;
  parser->headers = NULL;
  parser->header_count = 0;
  buf_init (&parser->body);
}
