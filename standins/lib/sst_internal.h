/* State of the store's stand-in.  Used inside this module.  */

#ifndef MULBERRYSHIFT_STANDINS_SST_INTERNAL_H
#define MULBERRYSHIFT_STANDINS_SST_INTERNAL_H

#include "base/lst.h"
#include "srv/srv.h"
#include "sst.h"

#define SST_MAX_OBJECTS 12288
#define SST_MAX_EVENTS 1024
#define SST_MAX_FAULTS 64
#define SST_NAME_SIZE 128
#define SST_MAX_TEXTS 16

/* Stands for the text with this number in a dumped reply.  */
#define SST_TEXT_MARK "\"@text %zu@\""

/* One object; a removed one keeps its place as an event.  */
struct sst_object
{
  char kind[SST_NAME_SIZE];
  char name[SST_NAME_SIZE];
  uint64_t revision;
  uint64_t created;
  json_t *spec;
  json_t *status; /* null: none */
};

/* One change.  */
struct sst_change
{
  char kind[SST_NAME_SIZE];
  uint64_t revision;
  json_t *event;
};

struct sst_caller_fault
{
  uint32_t ip; /* 0: all callers */
  enum sst_fault fault;
};

/* The objects as they were at a revision.  */
struct sst_copy
{
  struct sst_object *objects;
  size_t object_count;
  uint64_t revision;
};

/* A call that waits: for a change, for its delay, or to be done late.  */
struct sst_waiting
{
  struct sst *store;
  struct srv_exchange *exchange; /* null: the caller is gone */
  struct htp_message message;
  bool is_watch;
  bool is_late; /* a write whose answer was lost */
  char kind[SST_NAME_SIZE];
  uint64_t revision;
  struct evl_timer timer;
  struct lst_entry list;
};

struct sst
{
  struct evl *loop;
  struct srv *server;
  uint64_t revision;
  uint64_t era; /* in the replies; 0: none */
  struct sst_copy copy;
  uint64_t oldest; /* changes after this revision are in the history */
  struct sst_object objects[SST_MAX_OBJECTS];
  size_t object_count;
  uint32_t order[SST_MAX_OBJECTS]; /* their places, by kind and name */
  struct sst_change changes[SST_MAX_EVENTS];
  size_t change_count;
  struct sst_caller_fault faults[SST_MAX_FAULTS];
  size_t fault_count;
  clk_time delay;
  struct lst waiting;
  uint64_t calls;
  uint64_t writes;
  uint64_t status_writes; /* that took effect */
  size_t page_size;       /* 0: all objects in one page */
  bool stale_lists_limited;
  size_t stale_count;         /* objects of a stale list */
  char *texts[SST_MAX_TEXTS]; /* contents that are sent as they stand */
  size_t text_count;
  char entry_kind[SST_NAME_SIZE]; /* of ENTRY_MARK; "": none */
  size_t entry_text;
};

/* Returns the object as calls show it.  */
json_t *sst_object_json (const struct sst_object *object);

/* Returns the object with this name, null when there is none.  */
struct sst_object *sst_find_object (const struct sst *store, const char *kind,
                                    const char *name);

/* Sorts the objects again, after all of them were replaced.  */
void sst_sort_objects (struct sst *store);

/* Returns the first object of KIND by name after AFTER, null when there is
   none.  */
const struct sst_object *sst_next_object (const struct sst *store,
                                          const char *kind, const char *after);

/* Writes an object; takes over SPEC.  */
struct sst_object *sst_put_object (struct sst *store, const char *kind,
                                   const char *name, json_t *spec);

void sst_remove_object (struct sst *store, struct sst_object *object);

/* Replaces the status of an object; takes over STATUS.  */
void sst_replace_status (struct sst *store, struct sst_object *object,
                         json_t *status);

/* Frees the copy.  */
void sst_close_copy (struct sst *store);

/* Cuts the watches.  */
void sst_cut_watches (struct sst *store);

/* Returns what stands for the text with this number in a reply.  */
json_t *sst_text_mark (size_t number);

/* Answers a call, or nothing when EXCHANGE is null; takes over BODY.  */
void sst_answer (const struct sst *store, struct srv_exchange *exchange,
                 unsigned status, json_t *body);

/* Returns the value of a query parameter, 0 when there is none.  */
uint64_t sst_read_number (const char *target, const char *name);

/* Does what a call asks for; EXCHANGE is null when its answer is lost.  */
void sst_perform (struct sst *store, struct srv_exchange *exchange,
                  struct htp_message *message);

/* Returns the call of a place in the list, null after the last.  */
struct sst_waiting *sst_waiting_at (const struct lst_entry *at);

void sst_free_waiting (struct sst_waiting *entry);

/* Lets a call wait until DEADLINE; EXCHANGE is null when its caller is
   gone.  */
struct sst_waiting *sst_add_waiting (struct sst *store,
                                     struct srv_exchange *exchange,
                                     clk_time deadline);

/* Answers the watches of KIND that have changes.  */
void sst_wake_watches (struct sst *store, const char *kind);

/* Answers a watch when there are changes or its longest wait is over.  */
void sst_watch (struct sst *store, struct srv_exchange *exchange,
                const char *kind, const char *target);

/* Returns the IP address of the store that the caller has used.  */
uint32_t sst_called_ip (const struct srv_exchange *exchange);

/* Handlers of the server.  */
void sst_handle_request (void *context, struct srv_exchange *exchange,
                         struct htp_message *message);
void sst_handle_gone (void *context, struct srv_exchange *exchange);

#endif
