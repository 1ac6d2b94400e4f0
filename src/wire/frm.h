/* Frame codec: a 4-byte big-endian length, then a protobuf Frame.  */

#ifndef MULBERRYSHIFT_WIRE_FRM_H
#define MULBERRYSHIFT_WIRE_FRM_H

#include "base/buf.h"
#include "base/clk.h"
#include "wire/mesh.pb-c.h"

#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Version of the protocol between nodes; a peer with another one is
   rejected.  */
#define FRM_PROTOCOL 1

/* Longest payload of a frame, in bytes; the length field does not count.  */
#define FRM_MAX_LENGTH (256u * 1024u)

/* Longest body of a call or an answer that is sent in several frames, in
   bytes.  */
#define FRM_MAX_BODY_LENGTH (64u * 1024u * 1024u)

/* Size of the length field, in bytes.  */
#define FRM_HEADER_LENGTH 4u

  /* Every failure also sets err_last.  */
  enum frm_status
  {
    FRM_OK,
    FRM_CLOSED,    /* the connection ended between two frames */
    FRM_TRUNCATED, /* the connection ended inside a frame */
    FRM_TOO_LONG,  /* the length field exceeds FRM_MAX_LENGTH */
    FRM_INVALID,   /* the payload is not a Frame with a body */
    FRM_TIMEOUT,   /* the deadline has passed */
    FRM_IO         /* a socket operation failed */
  };

  /* Appends the length field and the encoded FRAME to OUTPUT.  Returns
     FRM_TOO_LONG and appends nothing when it exceeds FRM_MAX_LENGTH.  */
  enum frm_status frm_encode (const Mesh__Frame *frame, struct buf *output);

  /* Decodes a payload of LENGTH bytes, without its length field.  On FRM_OK
     the caller frees *FRAME with frm_free; otherwise *FRAME is null.  */
  enum frm_status frm_decode (const uint8_t *payload, size_t length,
                              Mesh__Frame **frame);

  /* Frees a frame that frm_decode or frm_read has returned.  Null is
     allowed.  */
  void frm_free (Mesh__Frame *frame);

  /* Reads one frame from a blocking socket until DEADLINE.  *FRAME is as for
     frm_decode.  */
  enum frm_status frm_read (int socket, clk_time deadline,
                            Mesh__Frame **frame);

  /* Writes one frame to a blocking socket until DEADLINE.  *SENT is set to the
     number of bytes that were sent, also on failure.  */
  enum frm_status frm_write (int socket, clk_time deadline,
                             const Mesh__Frame *frame, size_t *sent);

  /* Returns the value of the first of COUNT headers with NAME, which is
     compared without case; null when there is none.  */
  const char *frm_find_header (Mesh__Header *const *headers, size_t count,
                               const char *name);

#ifdef __cplusplus
}
#endif

#endif
