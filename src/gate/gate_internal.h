/* Parts shared by the files of the gate.

   Locking: the gate's lock guards all calls, the admission, the outcome table
   and the link table; a link's write lock guards its output.  A thread that
   holds a write lock never takes the gate's lock.  No lock is held while a
   thread waits for the network.  */

#ifndef MULBERRYSHIFT_GATE_GATE_INTERNAL_H
#define MULBERRYSHIFT_GATE_GATE_INTERNAL_H

#include "adm/adm.h"
#include "base/buf.h"
#include "gate/gate.h"
#include "out/out.h"
#include "out/out_table.h"
#include "up/up.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

/* Connections at a time, and calls of one link.  */
#define GATE_MAX_LINKS 2048u
#define GATE_MAX_LINK_CALLS 1024u

/* Body bytes unacknowledged for one call and direction, and in one frame.  */
#define GATE_WINDOW (256u * 1024u)
#define GATE_PART (32u * 1024u)

/* Body bytes held for one call, one link and in all.  Answers are counted but
   cannot be refused any more; they exceed the sum by at most the upstream's
   slots times its longest response.  */
#define GATE_MAX_CALL_BODY (8u * 1024u * 1024u)
#define GATE_MAX_LINK_BUFFER (16u * 1024u * 1024u)
#define GATE_MAX_BUFFER (32u * 1024u * 1024u)

/* A peer must introduce itself, complete a frame and take output in these
   times; a link without a frame for GATE_IDLE_LIMIT is closed.  */
#define GATE_HELLO_LIMIT (5 * CLK_SECOND)
#define GATE_FRAME_LIMIT (10 * CLK_SECOND)
#define GATE_WRITE_LIMIT (10 * CLK_SECOND)
#define GATE_IDLE_LIMIT (300 * CLK_SECOND)
/* An answer whose receiver grants nothing for this long is dropped.  */
#define GATE_GRANT_LIMIT (10 * CLK_SECOND)
/* Output waiting for one link; a peer that lets more pile up is cut off.  */
#define GATE_MAX_OUTPUT (4u * 1024u * 1024u)

/* Threads that always stay free to read frames.  */
#define GATE_READERS 2

struct gate_link
{
  struct gate *gate;
  uint32_t index; /* in the table of links */
  uint32_t generation;
  int references;
  int socket;
  int write_socket; /* a duplicate, so that output has its own epoll event */
  bool closed;
  bool introduced;
  uint64_t peer; /* hash of the peer's name */
  struct buf input;
  atomic_int_fast64_t idle_until;
  atomic_int_fast64_t
      frame_until; /* of an unfinished frame or Hello; else CLK_NEVER */
  struct gate_call *calls;
  uint32_t call_count;
  size_t buffered; /* body bytes of its calls */
  pthread_mutex_t write_lock;
  struct buf output; /* from here on with the write lock */
  size_t output_done;
  atomic_int_fast64_t write_until; /* CLK_NEVER: nothing waits */
};

enum gate_state
{
  GATE_ADMITTING, /* the thread that read it decides about it */
  GATE_RECEIVING, /* body parts are still to come */
  GATE_QUEUED,
  GATE_RUNNING,
  GATE_ANSWERING /* body parts are still to be sent */
};

struct gate_call
{
  struct gate_link *link;
  struct gate_call *next; /* of the same link */
  struct gate_call *ready_next;
  Mesh__Frame *frame; /* owns CALL */
  Mesh__Call *call;
  struct out_id id;
  uint64_t fingerprint;
  uint64_t tenant;
  uint32_t tenant_max;
  bool tenant_known;
  enum doc_class call_class;
  enum gate_state state;
  uint32_t outcome; /* handle in the outcome table */
  int admission;    /* handle in the admission */
  clk_time arrival;
  clk_time started;
  clk_time deadline;
  struct up_client *client; /* that runs it; null otherwise */
  bool cancelled;
  bool orphan;   /* its link is closed: nobody takes the answer */
  bool key_held; /* it holds its order key */
  struct buf body;
  size_t credit;         /* bytes the sender, or this gate, may still send */
  size_t unacknowledged; /* received and not yet granted again */
  size_t counted;        /* bytes counted as buffered */
  Mesh__Answer *answer;
  size_t answer_done;
  clk_time grant_until;
};

struct gate
{
  const struct cfg_settings *settings;
  uint64_t incarnation;
  uint64_t mesh;
  struct up_lease *lease;
  struct gate_hooks hooks;
  int listener;
  int epoll;
  int ready_event; /* semaphore: one count a call of the ready list */
  int stop_event;
  pthread_t *threads;
  size_t thread_count;
  pthread_t sweeper;
  atomic_bool leaving;
  atomic_bool stopping;
  pthread_mutex_t lock; /* everything below */
  struct adm *adm;
  struct adm_limits limits;
  struct out_table *outcomes;
  struct key_store keys[2];                   /* by enum doc_key_store */
  struct gate_call *admitted[ADM_TABLE_SIZE]; /* by admission handle */
  struct gate_call *ready;
  struct gate_call **ready_end;
  size_t calls;
  size_t buffered;
  struct gate_link *links[GATE_MAX_LINKS];
  uint32_t generations[GATE_MAX_LINKS];
  uint32_t link_count;
  struct gate_meters *meters;
};

/* gate_link.c: links.  */

/* Accepts waiting connections.  */
void gate_accept (struct gate *gate);

/* Returns a link with a reference for an epoll event, or null.  */
struct gate_link *gate_link_get (struct gate *gate, uint64_t data);

/* Adds a reference; with the gate's lock.  */
void gate_link_hold (struct gate_link *link);

/* Drops a reference; with the gate's lock.  */
void gate_link_drop (struct gate_link *link);

/* Closes a link; with the gate's lock.  Calls that have not started are
   forgotten; running ones go on if their class is "once".  */
void gate_link_close (struct gate_link *link);

/* Reads what has come and handles the whole frames in it.  */
void gate_link_read (struct gate_link *link);

/* Continues output.  */
void gate_link_flush (struct gate_link *link);

/* Sends encoded frames, or keeps them for later; without the gate's lock.  */
void gate_link_send (struct gate_link *link, const struct buf *frames);

/* Encodes and sends one frame; without the gate's lock.  */
void gate_link_send_frame (struct gate_link *link, const Mesh__Frame *frame);

/* gate_frame.c: frames.  Returns false when the link must be closed.  */
bool gate_handle_frame (struct gate_link *link, Mesh__Frame *frame);

/* gate_call.c: calls.  */

/* Takes over FRAME, a call.  Returns false for a violation of the protocol. */
bool gate_call_begin (struct gate_link *link, Mesh__Frame *frame);

/* Adds a body part.  Returns false for a violation of the protocol.  */
bool gate_call_part (struct gate_link *link, const Mesh__BodyPart *part);

/* gate_query.c: cancel and query.  */

/* Cancels a call.  */
void gate_call_cancel (struct gate_link *link, const Mesh__CallId *id);

/* Answers a query.  */
void gate_call_query (struct gate_link *link, const Mesh__Query *query);

/* Moves waiting calls to the ready list while slots are free; with the gate's
   lock.  */
void gate_call_pump (struct gate *gate);

/* Takes a call that has not started out of all tables but its link's
   reference; with the gate's lock.  FORBID keeps an entry for later queries.
   Afterwards, without the lock, call gate_call_tell.  */
void gate_call_withdraw (struct gate_call *call, bool forbid);

/* Answers "not run" and frees a withdrawn call; without the gate's lock.  */
void gate_call_tell (struct gate_call *call, const char *reason);

/* Frees a call that is in no list any more; with the gate's lock.  */
void gate_call_free (struct gate_call *call);

/* Takes a call out of its link's list; with the gate's lock.  */
void gate_call_unlink (struct gate_call *call);

/* Changes the bytes counted for a call; with the gate's lock.  */
void gate_call_count (struct gate_call *call, size_t bytes);

/* Finds a call of a link; with the gate's lock.  */
struct gate_call *gate_call_find (struct gate_link *link,
                                  const Mesh__CallId *id);

/* Returns the key of a call in the outcome table.  */
struct out_id gate_call_id (const struct gate_link *link,
                            const Mesh__CallId *id);

/* gate_run.c: running calls.  */

/* Runs calls of the ready list until it is empty.  */
void gate_run_ready (struct gate *gate, struct up_client *client);

/* gate_answer.c: answers.  */

/* Creates an answer for the call with this ID.  */
Mesh__Answer *gate_answer_create (const Mesh__CallId *id,
                                  enum out_outcome outcome,
                                  const char *reason);

/* Sends an answer without a call record.  */
void gate_answer_send (struct gate_link *link, const Mesh__CallId *id,
                       enum out_outcome outcome, const char *reason);

/* Sends the answer of a call that is in its link's list, takes it over, and
   frees the call when all is sent; without the gate's lock.  */
void gate_answer_start (struct gate_call *call, Mesh__Answer *answer);

/* Lets BYTES more of an answer's body be sent.  */
void gate_answer_grant (struct gate_link *link,
                        const Mesh__WindowGrant *grant);

/* gate_sweep.c: deadlines.  */

/* Expires calls and links until the gate stops.  */
void *gate_sweep (void *context);

/* Refuses the calls that wait and whose deadline has passed, or all that have
   not started.  */
void gate_sweep_calls (struct gate *gate, bool all, const char *reason);

/* gate_meter.c: metrics.  */

/* Creates the series of all classes.  */
struct gate_meters *gate_meters_create (void);

/* Frees the meters, not the series.  */
void gate_meters_destroy (struct gate_meters *meters);

/* Counts an ended call; with the gate's lock.  */
void gate_meters_record (struct gate *gate, const struct gate_call *call,
                         enum out_outcome outcome, clk_time now);

#endif
