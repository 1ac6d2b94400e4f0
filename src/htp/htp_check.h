/* Checks of messages that http_parser leaves out, as distributions build it.
   Used inside this module.  */

#ifndef MULBERRYSHIFT_HTP_HTP_CHECK_H
#define MULBERRYSHIFT_HTP_HTP_CHECK_H

#include "htp/htp.h"

/* Stores the start of the status line from the next LENGTH bytes of the
   current message.  */
void htp_store_status_line (struct htp_reader *reader, const char *data,
                            size_t length);

/* Returns whether the status has three digits and is one of an interim or a
   final response.  http_parser takes any number below 1000, with any number of
   digits.  No request asks for another protocol, so 101 is not valid.  */
bool htp_has_valid_status (const struct htp_reader *reader);

/* Returns whether the fields of the header are valid.  http_parser ignores
   transfer codings other than chunked, which nothing here can undo.  */
bool htp_has_valid_fields (const struct htp_message *message);

/* Checks the line ends in the bytes before END that were not checked yet and
   are no body: each CR is followed by an LF, and each chunk by a line end.
   http_parser, as distributions build it, takes any byte in these places.  */
void htp_check_line_ends (struct htp_reader *reader, const char *end);

#endif
