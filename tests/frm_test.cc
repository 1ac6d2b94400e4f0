/* Frame codec and context encoding.  */

#include "wire/ctx.h"
#include "wire/frm.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

/* Guards against a context whose fields change by encoding and decoding.  */
TEST (Context, DecodesWhatItEncodes)
{
  struct ctx sent = { UINT64_MAX, UINT64_MAX, UINT32_MAX, 8, 2 };
  struct ctx received = {};
  char text[CTX_TEXT_SIZE];

  ctx_encode (&sent, text);
  ASSERT_EQ (ctx_decode (text, &received), CTX_OK) << text;
  EXPECT_EQ (received.origin, sent.origin);
  EXPECT_EQ (received.number, sent.number);
  EXPECT_EQ (received.remaining_ms, sent.remaining_ms);
  EXPECT_EQ (received.depth, sent.depth);
  EXPECT_EQ (received.retries, sent.retries);
}

/* Guards against a malformed header that is accepted or changes the stored
   context.  */
TEST (Context, RejectsMalformedText)
{
  const char *bad[]
      = { "",
          "id=1-1;remaining_ms=1;depth=1;retries=1",
          "id=0000000000000001-1;remaining_ms=1;depth=1",
          "id=0000000000000001-1;remaining_ms=1;depth=1;retries=1;",
          "id=0000000000000001-1;remaining_ms=-1;depth=1;retries=1",
          "id=0000000000000001-1;remaining_ms=4294967296;depth=1;retries=1",
          ("id=0000000000000001-18446744073709551616;remaining_ms=1;depth=1;"
           "retries=1"),
          "id=0000000000000001-1;remaining_ms=01;depth=1;retries=1" };

  for (const char *text : bad)
    {
      struct ctx context = { 7, 7, 7, 7, 7 };

      EXPECT_EQ (ctx_decode (text, &context), CTX_INVALID) << text;
      EXPECT_EQ (context.origin, 7u);
      EXPECT_EQ (context.depth, 7u);
    }
}

static struct buf
encode_cancel (void)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Cancel cancel = MESH__CANCEL__INIT;
  Mesh__CallId id = MESH__CALL_ID__INIT;
  struct buf bytes = {};

  id.origin = 5;
  id.number = 9;
  cancel.id = &id;
  frame.body_case = MESH__FRAME__BODY_CANCEL;
  frame.cancel = &cancel;
  EXPECT_EQ (frm_encode (&frame, &bytes), FRM_OK);
  return bytes;
}

/* Guards against a truncated frame that is accepted as a complete one.  */
TEST (Frame, IsRejectedWhenTruncatedAtAnyByte)
{
  struct buf bytes = encode_cancel ();

  for (size_t cut = 0; cut <= bytes.length; cut++)
    {
      int pair[2];
      Mesh__Frame *frame;
      enum frm_status status;

      ASSERT_EQ (socketpair (AF_UNIX, SOCK_STREAM, 0, pair), 0);
      ASSERT_EQ (write (pair[0], bytes.data, cut), (ssize_t)cut);
      close (pair[0]);
      status = frm_read (pair[1], clk_now () + CLK_SECOND, &frame);
      EXPECT_EQ (status, cut == 0              ? FRM_CLOSED
                         : cut == bytes.length ? FRM_OK
                                               : FRM_TRUNCATED)
          << cut;
      frm_free (frame);
      close (pair[1]);
    }
  buf_close (&bytes);
}

/* Guards against allocating memory for an arbitrary length that a peer
   sends.  */
TEST (Frame, RejectsALengthAboveTheLimit)
{
  const uint8_t header[] = { 0, 4, 0, 1 };
  Mesh__Frame *frame;
  int pair[2];

  ASSERT_EQ (socketpair (AF_UNIX, SOCK_STREAM, 0, pair), 0);
  ASSERT_EQ (write (pair[0], header, sizeof header), 4);
  EXPECT_EQ (frm_read (pair[1], clk_now () + CLK_SECOND, &frame),
             FRM_TOO_LONG);
  close (pair[0]);
  close (pair[1]);
}
