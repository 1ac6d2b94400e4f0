/* State of an upstream's stand-in.  Used inside this module.  */

#ifndef MULBERRYSHIFT_STANDINS_SUP_INTERNAL_H
#define MULBERRYSHIFT_STANDINS_SUP_INTERNAL_H

#include "base/lst.h"
#include "cnx/cnx.h"
#include "srv/srv.h"
#include "sup.h"

#define SUP_NAME_SIZE 64
#define SUP_MAX_RUNS 65536
#define SUP_FLOOD_BLOCK 16384

/* A request that takes a slot.  */
struct sup_run
{
  struct sup *upstream;
  struct srv_exchange *exchange;
  char id[SUP_NAME_SIZE];
  bool is_spared; /* the fault is limited to other paths */
  struct evl_timer timer;
  struct lst_entry list;
  size_t body_size; /* of its answer; from the request, else the setting */
  bool is_flood;    /* it is answered without end */
  uint64_t flood_sent;
};

struct sup
{
  struct evl *loop;
  struct sup_settings settings;
  char name[SUP_NAME_SIZE];
  char service[SUP_NAME_SIZE];
  char data_centre[SUP_NAME_SIZE];
  char version[SUP_NAME_SIZE];
  struct srv *server;
  enum sup_fault fault;
  const char *fault_path; /* null: all */
  const char *raw_text;   /* null: none; see sup_set_raw_answer */
  size_t raw_length;
  enum sup_end raw_end;
  bool sends_late_copies;
  size_t body_size;
  char last_id[SUP_NAME_SIZE]; /* of the request answered or refused last */
  bool last_refused;
  int last_descriptor; /* of its connection; -1: none yet */
  bool flood_with_head;
  const char *flood_start;
  const char *flood_filler; /* null: answers end */
  uint64_t flood_limit;     /* bytes of the filler in one answer */
  uint64_t flood_bytes;
  struct buf last_fields; /* of the request that ran last */
  struct lst runs;
  uint32_t running;
  uint64_t done[SUP_MAX_RUNS]; /* hashes of the ids of what ran */
  size_t done_count;
  uint64_t repeats;
  uint64_t arrivals;
  uint64_t health_checks;
  bool health_failing;
  bool health_passing;
  clk_time last_arrival;
  uint64_t born; /* ms since the epoch */
  uint64_t sequence;
  bool draining;
  bool deregistering;
  bool acknowledged;
  struct cnx *heartbeat;
  struct cnx *late_heartbeat; /* null: none is under way */
  struct evl_timer timer;     /* of the next heartbeat */
};

/* Ends a request without an answer.  */
void sup_free_run (struct sup_run *run);

/* Writes bytes that the server would not.  */
void sup_send_raw (const struct srv_exchange *exchange, const char *text);

/* Answers a request as sup_set_raw_answer says.  */
void sup_answer_raw (const struct sup *upstream, struct srv_exchange *exchange,
                     const char *id);

/* Answers a request without end, as sup_set_flood says.  */
void sup_start_flood (struct sup_run *run);

/* Keeps what sup_send_copy repeats.  */
void sup_note_last (struct sup *upstream, struct srv_exchange *exchange,
                    const char *id, bool refused);

/* Sends a copy of the last answer or refusal.  */
void sup_send_copy (const struct sup *upstream, int descriptor);

/* Sends a heartbeat or a deregistration; runs at each interval.  */
void sup_send_heartbeat (void *context);

/* Handlers of the server.  */
void sup_handle_request (void *context, struct srv_exchange *exchange,
                         struct htp_message *message);
void sup_handle_gone (void *context, struct srv_exchange *exchange);

#endif
