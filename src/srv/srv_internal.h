/* Private state and functions of the HTTP server.

   srv_connection.c reads and parses, srv_exchange.c starts and ends requests,
   srv_output.c sends responses in order, srv_memory.c charges what is held and
   closes slow connections.  */

#ifndef MULBERRYSHIFT_SRV_SRV_INTERNAL_H
#define MULBERRYSHIFT_SRV_SRV_INTERNAL_H

#include "srv/srv.h"

enum srv_exchange_state
{
  SRV_WAITING,  /* read, and not passed to the handler yet */
  SRV_HANDLING, /* the handler has it */
  SRV_FINISHED, /* the response waits for those before it */
  SRV_SENDING,  /* the response is being sent */
  SRV_ENDED     /* freed at the end of the loop iteration */
};

struct srv_exchange
{
  struct srv_connection *connection;
  struct srv_exchange *next;       /* of the connection, in order */
  struct srv_exchange *next_ended; /* of the server */
  enum srv_exchange_state state;
  struct htp_message message; /* while it waits */
  struct buf head;            /* of the response */
  uint8_t *body;
  size_t body_length;
  size_t sent_length;   /* bytes of HEAD and BODY that were sent */
  size_t request_bytes; /* read ahead, until it is answered */
  size_t held_bytes;    /* of the response, as charged to the account */
  void *data;           /* pointer of the handler */
  bool keep_alive;      /* the caller allows a further request */
  bool is_head;         /* the response must have no body */
  bool is_rejection;    /* a request that could not be read */
  bool is_borrowed;     /* BODY belongs to the caller of srv_finish_response */
};

enum srv_state
{
  SRV_OPEN,
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
  struct buf input;           /* bytes beyond what may be parsed now */
  struct srv_exchange *first; /* queue of exchanges in order */
  struct srv_exchange *last;
  size_t exchange_count;
  size_t unanswered;    /* exchanges that wait or are handled */
  size_t handling;      /* exchanges that are handled */
  size_t request_bytes; /* of the exchanges */
  size_t ahead_bytes;   /* charged to the account */
  size_t held_bytes;    /* of the responses */
  clk_time progress_at; /* when bytes were last sent, or began to be held */
  bool reading;         /* part of a request was received, nothing before it is
                           unanswered, and its timer runs */
  bool last_read;       /* no further request is read */
  bool closing;         /* the last response is being sent */
  bool advancing;       /* inside srv_advance or the parser */
  bool taking_memory;   /* must not be closed for memory now */
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
  struct srv_exchange *ended;    /* to be freed by free_task */
  struct evl_task free_task;     /* runs srv_free_closed */
  bool draining;
  bool destroying;
  bool provisional;          /* see srv_set_provisional */
  struct htp_budget *budget; /* see srv_set_budget; null: none */
  struct acc *account;       /* see srv_set_account; null: none */
};

/* Frees closed connections and ended exchanges.  Reports the exchanges of
   closed connections that were being handled.  */
void srv_free_closed (void *context);

/* Creates a connection that takes ownership of an accepted socket.  */
void srv_open_connection (struct srv *server, int descriptor);

/* Closes a connection.  Its memory stays valid until the end of the loop
   iteration, when its handled exchanges are reported.  */
void srv_close_connection (struct srv_connection *connection);

/* Returns whether nothing of a request was read and nothing is to be sent.  */
bool srv_is_unused (const struct srv_connection *connection);

/* Sets what the loop watches on the connection's socket.  */
void srv_update_events (struct srv_connection *connection);

/* Starts the timer that fits the state: none while a request is handled.  */
void srv_restart_timer (struct srv_connection *connection);

/* Continues after the last unanswered request got its response.  */
void srv_end_wait (struct srv_connection *connection);

/* Parses LENGTH bytes as far as requests may be read now.  Returns the number
   of bytes used.  */
size_t srv_parse (struct srv_connection *connection, const uint8_t *data,
                  size_t length);

/* Returns whether a further request may be read now.  */
bool srv_can_read (const struct srv_connection *connection);

/* Starts the requests that may start and parses the bytes that were read
   ahead.  */
void srv_advance (struct srv_connection *connection);

/* Adds the request in the reader to the queue.  */
void srv_add_request (struct srv_connection *connection);

/* Starts the requests that may start.  Returns whether there was one.  */
bool srv_start_requests (struct srv_connection *connection);

/* Adds a response with STATUS and an empty body to the queue; it closes.  */
void srv_reject (struct srv_connection *connection, unsigned status);

/* Takes a sent exchange out of the queue.  */
void srv_end_exchange (struct srv_exchange *exchange);

/* Puts the responses whose turn has come on the wire, as much as the socket
   takes.  Returns false when the connection was closed.  */
bool srv_flush (struct srv_connection *connection);

/* Charges the request bytes that are held ahead.  */
void srv_charge_ahead (struct srv_connection *connection);

/* Charges the unsent response of EXCHANGE.  Returns false when it does not fit
   although all slower connections were closed.  */
bool srv_charge_response (struct srv_exchange *exchange);

/* Charges what is left of a response after a part was sent, and frees memory
   that is no longer needed.  */
void srv_shrink_response (struct srv_exchange *exchange);

/* Returns the bytes of a response to the account.  */
void srv_release_response (struct srv_exchange *exchange);

/* Closes a connection for whose response of LENGTH bytes there is no memory.
 */
void srv_close_unaffordable (struct srv_connection *connection, size_t length);

/* Closes the connection whose unsent responses have made no progress for the
   longest time; see acc_close_slowest.  */
bool srv_close_slowest (void *context);

#endif
