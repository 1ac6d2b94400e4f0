/* Parser of HTTP/1.1 responses.  Pure: bytes in, answer out.  A response must
   state its length, by Content-Length or chunks: one that ends with its
   connection cannot be distinguished from a truncated one and is invalid.  */

#ifndef MULBERRYSHIFT_UP_UP_PARSE_H
#define MULBERRYSHIFT_UP_UP_PARSE_H

#include "base/buf.h"
#include "wire/mesh.pb-c.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Limits on a response, in bytes; headers are counted as well.  */
#define UP_MAX_HEAD (64u * 1024u)
#define UP_MAX_HEADERS 128u
#define UP_MAX_BODY (8u * 1024u * 1024u)

  enum up_parse_status
  {
    UP_PARSE_MORE,   /* the response is not whole yet */
    UP_PARSE_WHOLE,  /* the response is whole */
    UP_PARSE_INVALID /* malformed or over a limit; see err_last */
  };

  enum up_parse_stage
  {
    UP_STAGE_HEAD,
    UP_STAGE_BODY, /* LEFT bytes of a body with a stated length */
    UP_STAGE_CHUNK_SIZE,
    UP_STAGE_CHUNK, /* LEFT bytes of a chunk and its line end */
    UP_STAGE_TRAILER,
    UP_STAGE_WHOLE
  };

  struct up_parser
  {
    enum up_parse_stage stage;
    bool head_request; /* the method is HEAD: no body follows */
    bool keep_alive;   /* the connection may be used again */
    bool chunked;
    bool has_length;
    size_t length;
    size_t left;
    size_t overhead; /* bytes read that are not of the body */
    struct buf line; /* the head, or one line between chunks */
    struct buf body;
    uint32_t status;
    Mesh__Header **headers;
    size_t header_count;
  };

  /* Prepares for one response.  */
  void up_parser_init (struct up_parser *parser, bool head_request);

  /* Frees what the parser still holds.  */
  void up_parser_close (struct up_parser *parser);

  /* Consumes LENGTH bytes.  Bytes after a whole response make it invalid,
     because no second request was sent.  */
  enum up_parse_status up_parser_feed (struct up_parser *parser,
                                       const uint8_t *data, size_t length);

  /* Moves a whole response into ANSWER.  */
  void up_parser_take (struct up_parser *parser, Mesh__Answer *answer);

#ifdef __cplusplus
}
#endif

#endif
