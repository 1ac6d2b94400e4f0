/* Frames on a link whose other end the test plays itself.  */

#ifndef TESTS_SUPPORT_LINK_FRAMES_H
#define TESTS_SUPPORT_LINK_FRAMES_H

#include "support/loop_test.h"
#include "wire/frm.h"

#include <cstdint>
#include <functional>

/* Passes the whole frames that LINK has received on and removes them.  */
void take_frames (Peer &link,
                  const std::function<void (const Mesh__Frame &)> &take_frame);

void send_frame (const Peer &link, const Mesh__Frame &frame);

/* Cancels the call with this number.  */
void send_cancel (const Peer &link, uint64_t number);

#endif
