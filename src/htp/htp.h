/* HTTP/1.1 messages: a reader that assembles complete requests or responses
   from the bytes of a connection, and functions that write messages.
   http_parser checks the syntax in its strict mode.

   Example:

     struct htp_reader reader;

     htp_reader_init (&reader, HTP_REQUEST, &limits);
     status = htp_read (&reader, data, length, &used);
     if (status == HTP_COMPLETE)
       handle (&reader.message);  */

#ifndef MULBERRYSHIFT_HTP_HTP_H
#define MULBERRYSHIFT_HTP_HTP_H

#include "base/buf.h"

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Most header fields of a message.  */
#define HTP_MAX_HEADERS 100

  enum htp_kind
  {
    HTP_REQUEST,
    HTP_RESPONSE
  };

  enum htp_status
  {
    HTP_INCOMPLETE,       /* the message is not complete */
    HTP_COMPLETE,         /* the message is complete */
    HTP_INVALID,          /* not HTTP/1.x, or ambiguous framing */
    HTP_HEADER_TOO_LARGE, /* exceeds its limit or HTP_MAX_HEADERS */
    HTP_BODY_TOO_LARGE,   /* exceeds its limit */
    HTP_NO_MEMORY,        /* the budget has not enough left for the body */
    HTP_INVALID_STATUS    /* of a response: not three digits, or neither an
                             interim nor a final one; 101 is neither */
  };

  /* Largest sizes accepted.  */
  struct htp_limits
  {
    size_t max_header_bytes; /* start line and header fields */
    size_t max_body_bytes;
  };

  /* Memory that the bodies of several messages share.  */
  struct htp_budget
  {
    size_t max_bytes;
    size_t used_bytes;
  };

  /* Takes LENGTH bytes from BUDGET.  Returns false when they are not left.  */
  bool htp_budget_take (struct htp_budget *budget, size_t length);

  /* Gives LENGTH bytes back.  */
  void htp_budget_return (struct htp_budget *budget, size_t length);

  /* A header field, as offsets into the text of its message.  */
  struct htp_header
  {
    uint32_t name_offset;
    uint32_t value_offset;
  };

  /* A request or response.  Its strings are in TEXT, each with a terminating
     null byte.  */
  struct htp_message
  {
    struct buf text; /* starts with the target of a request */
    struct buf body;
    struct htp_budget *budget; /* of the body; null: none */
    size_t budgeted_bytes;     /* taken from it; htp_message_close returns
                                  them */
    struct htp_header *headers;
    unsigned header_count;
    unsigned header_capacity;
    unsigned char method; /* enum http_method */
    unsigned short status;
    bool keep_alive;      /* the connection stays open after the message */
    bool close_delimited; /* a response without a length: the end of the
                             connection ends its body (RFC 9112) */
  };

  /* Statuses of final responses.  */
#define HTP_MIN_FINAL_STATUS 200u
#define HTP_MAX_FINAL_STATUS 599u

  /* Bytes of a status line before its status, and up to the one after it.  */
#define HTP_STATUS_OFFSET (sizeof "HTTP/1.1 " - 1)
#define HTP_STATUS_LINE_START (sizeof "HTTP/1.1 200 " - 1)

  /* Reader of one direction of a connection.  */
  struct htp_reader
  {
    http_parser parser;
    enum htp_kind kind;
    struct htp_limits limits;
    struct htp_budget *budget; /* of the bodies that are read; null: none */
    struct htp_message message;
    char status_line[HTP_STATUS_LINE_START]; /* of a response */
    size_t status_line_length;
    size_t inner_line_length; /* of a second status line in the reason phrase
                                 or a value, see htp_search_status_line */
    size_t header_bytes;      /* read of the current message */
    size_t idle_bytes;        /* read since the last byte of a body */
    enum htp_status failure;  /* HTP_INCOMPLETE: none */
    bool in_value;         /* the last bytes of the header were of a value */
    const char *unchecked; /* bytes whose line ends were not checked yet */
    bool after_return;     /* the last byte outside the body was a CR */
    bool after_body;       /* the last byte was one of the body */
    bool has_invalid_line_end; /* of the current message */
    bool started;              /* bytes of the current message were read */
    bool header_complete;      /* of the current message */
    bool complete;             /* the current message is complete */
    bool without_body; /* a response to HEAD; to be set before reading */
  };

  /* Looks for a status line in a text that comes in parts, of which DATA is
     the next one.  *MATCHED is 0 before the first part.  Returns whether a
     status line, up to its status, ends in DATA.  A header holds one inside
     when its sender broke off a response and sent another one behind it.  */
  bool htp_search_status_line (size_t *matched, const char *data,
                               size_t length);

  /* Initializes a reader; LIMITS is copied.  */
  void htp_reader_init (struct htp_reader *reader, enum htp_kind kind,
                        const struct htp_limits *limits);

  /* Makes the bodies that are read from now on take their memory from BUDGET,
     until their message is closed; null: from none.  What the current message
     has taken is given back.  BUDGET must outlive the messages.  A request
     with a Content-Length takes all of it before its body is read.  */
  void htp_reader_set_budget (struct htp_reader *reader,
                              struct htp_budget *budget);

  /* Frees the memory of the reader.  */
  void htp_reader_close (struct htp_reader *reader);

  /* Frees the current message and prepares for the next.  The limits stay.  */
  void htp_reader_reset (struct htp_reader *reader);

  /* Reads up to LENGTH bytes and sets *USED to the number of those that belong
     to the current message; bytes after its end are not read.  After
     HTP_COMPLETE call htp_reader_reset or htp_take_message before the next
     message.  Interim responses (1xx) are skipped.  Bytes without end that
     bring no body, wherever they stand, end with HTP_HEADER_TOO_LARGE.  */
  enum htp_status htp_read (struct htp_reader *reader, const void *data,
                            size_t length, size_t *used);

  /* Handles the orderly end of the connection.  Returns HTP_COMPLETE when it
     completes a message, HTP_INCOMPLETE when no message had started and
     HTP_INVALID when it truncates one.  */
  enum htp_status htp_read_eof (struct htp_reader *reader);

  /* Moves the current message to MESSAGE, which the caller then owns, and
     resets the reader.  */
  void htp_take_message (struct htp_reader *reader,
                         struct htp_message *message);

  /* Frees the memory of a message and empties it.  */
  void htp_message_close (struct htp_message *message);

  /* Returns whether a final response can have this status.  */
  bool htp_is_final_status (unsigned status);

  /* Returns what STATUS says of a message that cannot be read, for logs.  */
  const char *htp_describe (enum htp_status status);

  /* Returns the request target.  */
  const char *htp_target (const struct htp_message *message);

  /* Returns the name of the method.  */
  const char *htp_method (const struct htp_message *message);

  /* Return the name and the value of header field INDEX.  */
  const char *htp_header_name (const struct htp_message *message,
                               unsigned index);
  const char *htp_header_value (const struct htp_message *message,
                                unsigned index);

  /* Returns the value of the first header field NAME, which is compared
     without case; null when there is none.  */
  const char *htp_find_header (const struct htp_message *message,
                               const char *name);

  /* Returns the enum http_method of this name, -1 when there is none.  */
  int htp_parse_method (const char *name);

  /* Returns whether a header field is not to be forwarded: it concerns a
     single connection or the framing of the body.  */
  bool htp_is_hop_by_hop (const char *name);

  /* Appends a request line.  */
  void htp_put_request (struct buf *output, const char *method,
                        const char *target);

  /* Appends a status line with the standard reason phrase.  */
  void htp_put_status (struct buf *output, unsigned status);

  /* Appends a header field.  Returns false and appends nothing when NAME
     contains a line end or a colon, or VALUE a line end.  */
  bool htp_put_header (struct buf *output, const char *name,
                       const char *value);

  /* Appends Content-Length, the empty line that ends the header, and LENGTH
     bytes of BODY.  */
  void htp_put_body (struct buf *output, const void *body, size_t length);

#ifdef __cplusplus
}
#endif

#endif
