/* State of the HTTP server.  Used inside this module.  */

#ifndef MULBERRYSHIFT_SRV_SRV_INTERNAL_H
#define MULBERRYSHIFT_SRV_SRV_INTERNAL_H

#include "srv/srv.h"

enum srv_state
{
  SRV_IDLE,      /* between requests */
  SRV_READING,   /* part of a request has come */
  SRV_WORKING,   /* the handler owes an answer */
  SRV_LINGERING, /* answered for the last time; waits for the caller to
                    close */
  SRV_CLOSED     /* freed at the end of the round */
};

struct srv_connection
{
  struct srv *server;
  struct srv_connection *next;
  struct srv_connection *previous;
  int descriptor;
  struct evl_socket socket;
  struct evl_timer timer;
  enum srv_state state;
  struct htp_reader reader;
  struct buf input; /* read beyond the end of the request under way */
  struct buf output;
  size_t sent;       /* bytes of OUTPUT that have left */
  void *data;        /* of the handler */
  bool caller_keeps; /* the request allows another one after it */
  bool is_head;      /* the answer must have no body */
  bool last;         /* no further request is read */
  bool parsing;      /* inside srv_parse, which continues by itself */
};

struct srv
{
  struct evl *loop;
  int listener;
  struct evl_socket socket;
  struct evl_timer retry; /* accepting stopped for lack of descriptors */
  const struct srv_handlers *handlers;
  void *context;
  struct srv_limits limits;
  struct srv_connection *connections;
  size_t connection_count;
  size_t in_progress;
  struct srv_connection *closed; /* to be freed; linked by next */
  struct evl_task sweep;
  bool draining;
};

/* Frees closed connections.  */
void srv_sweep (void *context);

/* Takes over an accepted socket.  */
void srv_open_connection (struct srv *server, int descriptor);

/* Closes a connection.  Its memory lives until the end of the round, so that
   functions further up the stack can still look at its state.  */
void srv_close_connection (struct srv_connection *connection);

/* Handles complete requests in the bytes read so far.  */
void srv_parse (struct srv_connection *connection);

/* Sends what is in the output.  Returns false when the connection was
   closed.  */
bool srv_flush (struct srv_connection *connection);

/* Answers with a status of the server's own and closes.  */
void srv_reject (struct srv_connection *connection, unsigned status);

#endif
