/* Private state and functions of the HTTP server.  */

#ifndef MULBERRYSHIFT_SRV_SRV_INTERNAL_H
#define MULBERRYSHIFT_SRV_SRV_INTERNAL_H

#include "srv/srv.h"

enum srv_state
{
  SRV_IDLE,      /* between requests */
  SRV_READING,   /* part of a request was received */
  SRV_HANDLING,  /* the handler has a request without a response yet */
  SRV_LINGERING, /* lingering close: the last response was sent; the caller is
                    to close the connection */
  SRV_CLOSED     /* freed at the end of the loop iteration */
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
  struct buf input; /* bytes read beyond the end of the current request */
  struct buf output;
  size_t sent_length;      /* bytes of OUTPUT that were sent */
  size_t unsent_responses; /* completed, and not wholly sent */
  void *data;              /* pointer of the handler */
  bool keep_alive;         /* the caller allows a further request */
  bool is_head;            /* the response must have no body */
  bool closing;            /* no further request is read */
  bool parsing;            /* inside handle_input, which parses all requests */
};

struct srv
{
  struct evl *loop;
  int listener;
  struct evl_socket socket;
  struct evl_timer accept_timer; /* resumes accepting */
  const struct srv_handlers *handlers;
  void *context;
  struct srv_limits limits;
  struct srv_connection *connections;
  size_t connection_count;
  size_t request_count;
  clk_time last_request_time;    /* 0: none yet */
  struct srv_connection *closed; /* to be freed by free_task; list by next */
  struct evl_task free_task;     /* runs srv_free_closed */
  bool draining;
  bool provisional;          /* see srv_set_provisional */
  struct htp_budget *budget; /* see srv_set_budget; null: none */
};

/* Frees closed connections.  */
void srv_free_closed (void *context);

/* Creates a connection that takes ownership of an accepted socket.  */
void srv_open_connection (struct srv *server, int descriptor);

/* Closes a connection.  Its memory stays valid until the end of the loop
   iteration, so that functions further up the stack can still read its
   state.  */
void srv_close_connection (struct srv_connection *connection);

/* Parses the bytes that were read beyond the last request.  */
void srv_parse (struct srv_connection *connection);

/* Sends as much of the output as the socket takes.  Returns false when the
   connection was closed.  */
bool srv_flush (struct srv_connection *connection);

/* Sends a response with STATUS and an empty body, and closes.  */
void srv_reject (struct srv_connection *connection, unsigned status);

#endif
