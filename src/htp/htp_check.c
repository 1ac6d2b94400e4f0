/* Checks of messages that http_parser leaves out.  */

#include "htp/htp_check.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

/* Returns whether NAME is a token (RFC 9110, section 5.6.2).  http_parser
   accepts names with spaces.  */
static bool
is_token (const char *name)
{
  static const char symbols[] = "!#$%&'*+-.^_`|~";

  for (const char *at = name; *at != '\0'; at++)
    if (!isalnum ((unsigned char)*at) && strchr (symbols, *at) == NULL)
      return false;
  return name[0] != '\0';
}

/* Returns whether http_parser skips BYTE where the stored part of the status
   line ends: line ends before it, and spaces before the status.  */
static bool
is_skipped (const struct htp_reader *reader, char byte)
{
  if (reader->status_line_length == 0)
    return byte == '\r' || byte == '\n';
  return reader->status_line_length == HTP_STATUS_OFFSET && byte == ' ';
}

void
htp_store_status_line (struct htp_reader *reader, const char *data,
                       size_t length)
{
  for (size_t i = 0;
       i < length && reader->status_line_length < HTP_STATUS_LINE_START; i++)
    if (!is_skipped (reader, data[i]))
      reader->status_line[reader->status_line_length++] = data[i];
}

/* Form of a status line up to its status; each 0 stands for a digit.  */
static const char status_line_form[] = "HTTP/0.0 000";

static bool
fits_form (char byte, char form)
{
  return form == '0' ? isdigit ((unsigned char)byte) != 0 : byte == form;
}

bool
htp_search_status_line (size_t *matched, const char *data, size_t length)
{
  for (size_t i = 0; i < length; i++)
    {
      if (fits_form (data[i], status_line_form[*matched]))
        (*matched)++;
      else
        *matched = data[i] == status_line_form[0] ? 1 : 0;
      if (*matched == sizeof status_line_form - 1)
        return true;
    }
  return false;
}

bool
htp_has_valid_status (const struct htp_reader *reader)
{
  const char *line = reader->status_line;
  unsigned status = reader->parser.status_code;

  if (reader->status_line_length < HTP_STATUS_LINE_START)
    return false;
  for (size_t i = 0; i < HTP_STATUS_LINE_START - 1; i++)
    if (!fits_form (line[i], status_line_form[i]))
      return false;
  if (strchr (" \r\n", line[HTP_STATUS_LINE_START - 1]) == NULL)
    return false;
  return htp_is_final_status (status)
         || (status >= 100 && status < HTP_MIN_FINAL_STATUS && status != 101);
}

bool
htp_has_valid_fields (const struct htp_message *message)
{
  bool is_chunked = false;

  for (unsigned i = 0; i < message->header_count; i++)
    {
      const char *name = htp_header_name (message, i);

      if (!is_token (name))
        return false;
      if (strcasecmp (name, "Transfer-Encoding") != 0)
        continue;
      if (is_chunked
          || strcasecmp (htp_header_value (message, i), "chunked") != 0)
        return false;
      is_chunked = true;
    }
  return true;
}

void
htp_check_line_ends (struct htp_reader *reader, const char *end)
{
  for (; reader->unchecked < end; reader->unchecked++)
    {
      char byte = *reader->unchecked;

      if (reader->after_return ? byte != '\n'
                               : reader->after_body && byte != '\r')
        reader->has_invalid_line_end = true;
      reader->after_return = byte == '\r';
      reader->after_body = false;
    }
}
