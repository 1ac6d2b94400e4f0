/* HTTP/1.1 client to the upstream beside this node.  It sends a request once:
   it never repeats one by itself, whatever happens to the connection.  */

#ifndef MULBERRYSHIFT_UP_UP_H
#define MULBERRYSHIFT_UP_UP_H

#include "base/clk.h"
#include "base/net.h"
#include "wire/mesh.pb-c.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  enum up_status
  {
    UP_OK,
    UP_NOT_SENT, /* no byte of the request left this node */
    UP_LOST      /* a byte left; no whole response came by the deadline */
  };

  struct up_request
  {
    struct net_address address;
    const Mesh__Call *call; /* method, target and headers */
    const uint8_t *body;
    size_t body_length;
    const char *context; /* value of the header Mulberryshift-Context */
    clk_time deadline;
    bool accept_truncated; /* tests only: the end of the connection ends the
                              response */
  };

  struct up_client;

  /* Creates a client for one thread; it keeps its connection open.  */
  struct up_client *up_create (void);

  /* Closes the connection and frees the client.  */
  void up_destroy (struct up_client *client);

  /* Forgets an earlier up_cancel.  Call it before the request can be
     cancelled.  */
  void up_reset (struct up_client *client);

  /* Aborts the request that the client runs, or runs next; any thread.  */
  void up_cancel (struct up_client *client);

  /* Sends REQUEST.  On UP_OK, ANSWER has status, headers and the whole body,
     allocated with malloc as protobuf-c frees them; otherwise ANSWER is
     unchanged and err_last gives the reason.  */
  enum up_status up_send (struct up_client *client,
                          const struct up_request *request,
                          Mesh__Answer *answer);

#ifdef __cplusplus
}
#endif

#endif
