/* Frame codec.  */

#include "wire/frm.h"

#include "base/err.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

/* Longest single wait in poll, after which the deadline is checked again.  */
#define MAX_POLL_MS 60000

enum frm_status
frm_encode (const Mesh__Frame *frame, struct buf *output)
{
  size_t length = mesh__frame__get_packed_size (frame);
  uint8_t *header;

  if (length > FRM_MAX_LENGTH)
    {
      err_set ("frame of %zu bytes exceeds the limit of %u", length,
               FRM_MAX_LENGTH);
      return FRM_TOO_LONG;
    }
  buf_reserve (output, FRM_HEADER_LENGTH + length);
  header = output->data + output->length;
  header[0] = (uint8_t)(length >> 24);
  header[1] = (uint8_t)(length >> 16);
  header[2] = (uint8_t)(length >> 8);
  header[3] = (uint8_t)length;
  mesh__frame__pack (frame, header + FRM_HEADER_LENGTH);
  output->length += FRM_HEADER_LENGTH + length;
  return FRM_OK;
}

enum frm_status
frm_decode (const uint8_t *payload, size_t length, Mesh__Frame **frame)
{
  *frame = mesh__frame__unpack (NULL, length, payload);
  if (*frame != NULL && (*frame)->body_case != MESH__FRAME__BODY__NOT_SET)
    return FRM_OK;
  frm_free (*frame);
  *frame = NULL;
  err_set ("frame of %zu bytes cannot be decoded", length);
  return FRM_INVALID;
}

void
frm_free (Mesh__Frame *frame)
{
  if (frame != NULL)
    mesh__frame__free_unpacked (frame, NULL);
}

/* Waits until SOCKET is ready for EVENTS or DEADLINE has passed.  */
static enum frm_status
wait_ready (int socket, short events, clk_time deadline)
{
  for (;;)
    {
      clk_time now = clk_now ();
      struct pollfd item = { .fd = socket, .events = events };
      int ready;

      if (now >= deadline)
        {
          err_set ("timed out waiting for the peer");
          return FRM_TIMEOUT;
        }
      ready = poll (&item, 1, clk_poll_timeout (now, deadline, MAX_POLL_MS));
      if (ready > 0)
        return FRM_OK;
      if (ready < 0 && errno != EINTR)
        {
          err_set ("poll failed: %s", strerror (errno));
          return FRM_IO;
        }
    }
}

/* Reads exactly LENGTH bytes.  Returns FRM_CLOSED only if no byte was
   received.  */
static enum frm_status
read_bytes (int socket, clk_time deadline, uint8_t *data, size_t length)
{
  size_t received = 0;

  while (received < length)
    {
      ssize_t count
          = recv (socket, data + received, length - received, MSG_DONTWAIT);

      if (count > 0)
        received += (size_t)count;
      else if (count == 0)
        {
          err_set ("the peer closed the connection");
          return received == 0 ? FRM_CLOSED : FRM_TRUNCATED;
        }
      else if (errno == EAGAIN || errno == EWOULDBLOCK)
        {
          enum frm_status status = wait_ready (socket, POLLIN, deadline);

          if (status != FRM_OK)
            return status;
        }
      else if (errno != EINTR)
        {
          err_set ("receive failed: %s", strerror (errno));
          return FRM_IO;
        }
    }
  return FRM_OK;
}

enum frm_status
frm_read (int socket, clk_time deadline, Mesh__Frame **frame)
{
  uint8_t header[FRM_HEADER_LENGTH];
  enum frm_status status;
  uint8_t *payload;
  size_t length;

  *frame = NULL;
  status = read_bytes (socket, deadline, header, sizeof header);
  if (status != FRM_OK)
    return status;
  length = (size_t)header[0] << 24 | (size_t)header[1] << 16
           | (size_t)header[2] << 8 | header[3];
  if (length > FRM_MAX_LENGTH)
    {
      err_set ("frame of %zu bytes exceeds the limit of %u", length,
               FRM_MAX_LENGTH);
      return FRM_TOO_LONG;
    }
  payload = malloc (length + 1);
  if (payload == NULL)
    abort ();
  status = read_bytes (socket, deadline, payload, length);
  if (status == FRM_CLOSED)
    status = FRM_TRUNCATED;
  if (status == FRM_OK)
    status = frm_decode (payload, length, frame);
  free (payload);
  return status;
}

enum frm_status
frm_write (int socket, clk_time deadline, const Mesh__Frame *frame,
           size_t *sent)
{
  struct buf output = { 0 };
  enum frm_status status = frm_encode (frame, &output);

  *sent = 0;
  while (status == FRM_OK && *sent < output.length)
    {
      ssize_t count = send (socket, output.data + *sent, output.length - *sent,
                            MSG_DONTWAIT | MSG_NOSIGNAL);

      if (count >= 0)
        *sent += (size_t)count;
      else if (errno == EAGAIN || errno == EWOULDBLOCK)
        status = wait_ready (socket, POLLOUT, deadline);
      else if (errno != EINTR)
        {
          err_set ("send failed: %s", strerror (errno));
          status = FRM_IO;
        }
    }
  buf_close (&output);
  return status;
}

const char *
frm_find_header (Mesh__Header *const *headers, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (strcasecmp (headers[i]->name, name) == 0)
      return headers[i]->value;
  return NULL;
}
