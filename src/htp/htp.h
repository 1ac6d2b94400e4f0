/* HTTP/1.1 messages: a reader that assembles whole requests or responses from
   the bytes of a connection, and functions that write them.  The syntax is
   checked by http_parser in its strict mode.

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

/* Header fields that a message may have.  */
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
    HTP_INVALID,          /* not HTTP/1.x, or not framed without doubt */
    HTP_HEADER_TOO_LARGE, /* more than the limit, or HTP_MAX_HEADERS */
    HTP_BODY_TOO_LARGE    /* more than the limit */
  };

  /* Largest sizes accepted, in bytes.  */
  struct htp_limits
  {
    size_t max_header_bytes; /* start line and header fields */
    size_t max_body_bytes;
  };

  /* Offsets of a header field in the text of its message.  */
  struct htp_header
  {
    uint32_t name_offset;
    uint32_t value_offset;
  };

  /* A request or response.  Strings lie in TEXT, each with a null.  */
  struct htp_message
  {
    struct buf text; /* starts with the target of a request */
    struct buf body;
    struct htp_header *headers;
    unsigned header_count;
    unsigned header_capacity;
    unsigned char method; /* enum http_method */
    unsigned short status;
    bool keep_alive;      /* the connection stays open after the message */
    bool close_delimited; /* no length was stated */
  };

  /* State of a connection's incoming direction.  */
  struct htp_reader
  {
    http_parser parser;
    enum htp_kind kind;
    struct htp_limits limits;
    struct htp_message message;
    size_t header_bytes;
    enum htp_status failure;
    bool in_value;        /* the last header bytes were of a value */
    bool started;         /* bytes of the current message have come */
    bool header_complete; /* its header is complete */
    bool complete;        /* it is complete */
    bool without_body;    /* response to HEAD: set before reading */
  };

  /* Prepares a reader without a message.  */
  void htp_reader_init (struct htp_reader *reader, enum htp_kind kind,
                        const struct htp_limits *limits);

  /* Frees what the reader holds.  */
  void htp_reader_close (struct htp_reader *reader);

  /* Forgets the last message and prepares for the next; keeps the limits.  */
  void htp_reader_reset (struct htp_reader *reader);

  /* Reads at most LENGTH bytes and sets *USED to those that belong to the
     message; bytes after its end stay unread.  After HTP_COMPLETE call
     htp_reader_reset before the next message.  Interim responses (1xx) are
     skipped.  */
  enum htp_status htp_read (struct htp_reader *reader, const void *data,
                            size_t length, size_t *used);

  /* Tells the reader that the connection has ended in order.  HTP_COMPLETE
     when that completes a message, HTP_INCOMPLETE when none had started,
     HTP_INVALID when it was cut short.  */
  enum htp_status htp_read_eof (struct htp_reader *reader);

  /* Moves the message out of the reader, which is reset.  */
  void htp_take_message (struct htp_reader *reader,
                         struct htp_message *message);

  /* Frees what a message holds.  */
  void htp_message_close (struct htp_message *message);

  /* Returns the target of a request.  */
  const char *htp_target (const struct htp_message *message);

  /* Returns the method's name.  */
  const char *htp_method (const struct htp_message *message);

  /* Returns the name and value of header field INDEX.  */
  const char *htp_header_name (const struct htp_message *message,
                               unsigned index);
  const char *htp_header_value (const struct htp_message *message,
                                unsigned index);

  /* Returns the value of the first field NAME, whatever its case; null when
     there is none.  */
  const char *htp_find_header (const struct htp_message *message,
                               const char *name);

  /* Returns the method of this name, -1 when there is none.  */
  int htp_parse_method (const char *name);

  /* Returns whether a field concerns one connection only, or the framing of
     the body, and is therefore not forwarded.  */
  bool htp_is_hop_by_hop (const char *name);

  /* Appends a request line.  */
  void htp_put_request (struct buf *output, const char *method,
                        const char *target);

  /* Appends a status line with the usual phrase.  */
  void htp_put_status (struct buf *output, unsigned status);

  /* Appends a header field; values with line ends or nulls are left out and
     reported as false.  */
  bool htp_put_header (struct buf *output, const char *name,
                       const char *value);

  /* Appends the length field, the empty line and the body.  */
  void htp_put_body (struct buf *output, const void *body, size_t length);

#ifdef __cplusplus
}
#endif

#endif
