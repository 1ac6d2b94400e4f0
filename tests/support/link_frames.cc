/* Frames on a link whose other end the test plays itself.  */

#include "support/link_frames.h"

void
take_frames (Peer &link,
             const std::function<void (const Mesh__Frame &)> &take_frame)
{
  size_t at = 0;

  link.receive ();
  while (link.received.size () - at >= FRM_HEADER_LENGTH)
    {
      const uint8_t *data
          = reinterpret_cast<const uint8_t *> (link.received.data ()) + at;
      size_t length = (size_t)data[0] << 24 | (size_t)data[1] << 16
                      | (size_t)data[2] << 8 | data[3];
      Mesh__Frame *frame;

      if (link.received.size () - at < FRM_HEADER_LENGTH + length)
        break;
      ASSERT_EQ (frm_decode (data + FRM_HEADER_LENGTH, length, &frame),
                 FRM_OK);
      take_frame (*frame);
      frm_free (frame);
      at += FRM_HEADER_LENGTH + length;
    }
  link.received.erase (0, at);
}

void
send_frame (const Peer &link, const Mesh__Frame &frame)
{
  struct buf bytes = {};

  frm_encode (&frame, &bytes);
  link.send (
      std::string (reinterpret_cast<const char *> (bytes.data), bytes.length));
  buf_close (&bytes);
}

void
send_cancel (const Peer &link, uint64_t number)
{
  Mesh__CallId id = MESH__CALL_ID__INIT;
  Mesh__Cancel message = MESH__CANCEL__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;

  id.number = number;
  message.id = &id;
  frame.body_case = MESH__FRAME__BODY_CANCEL;
  frame.cancel = &message;
  send_frame (link, frame);
}
