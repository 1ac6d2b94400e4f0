/* Stand-in of the platform's store.  */

#include "sst.h"

#include "base/lst.h"
#include "base/mem.h"
#include "pfm_names.h"
#include "srv/srv.h"

#include <inttypes.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define MAX_OBJECTS 12288
#define MAX_EVENTS 1024
#define MAX_FAULTS 64
#define NAME_SIZE 128
#define MAX_TEXTS 16

/* Stands for the text with this number in a dumped reply.  */
#define TEXT_MARK "\"@text %zu@\""
#define LATE_WRITE CLK_SECOND

/* One object; a removed one keeps its place as an event.  */
struct object
{
  char kind[NAME_SIZE];
  char name[NAME_SIZE];
  uint64_t revision;
  uint64_t created;
  json_t *spec;
  json_t *status; /* null: none */
};

/* One change.  */
struct change
{
  char kind[NAME_SIZE];
  uint64_t revision;
  json_t *event;
};

struct fault
{
  uint32_t ip; /* 0: all callers */
  enum sst_fault fault;
};

/* A call that waits: for a change, for its delay, or to be done late.  */
struct waiting
{
  struct sst *store;
  struct srv_exchange *exchange; /* null: the caller is gone */
  struct htp_message message;
  bool is_watch;
  bool is_late; /* a write whose answer was lost */
  char kind[NAME_SIZE];
  uint64_t revision;
  struct evl_timer timer;
  struct lst_entry list;
};

struct sst
{
  struct evl *loop;
  struct srv *server;
  uint64_t revision;
  uint64_t oldest; /* changes after this revision are in the history */
  struct object objects[MAX_OBJECTS];
  size_t object_count;
  struct change changes[MAX_EVENTS];
  size_t change_count;
  struct fault faults[MAX_FAULTS];
  size_t fault_count;
  clk_time delay;
  struct lst waiting;
  uint64_t calls;
  uint64_t writes;
  uint64_t status_writes; /* that took effect */
  size_t page_size;       /* 0: all objects in one page */
  bool stale_lists_limited;
  size_t stale_count;     /* objects of a stale list */
  char *texts[MAX_TEXTS]; /* contents that are sent as they stand */
  size_t text_count;
  char entry_kind[NAME_SIZE]; /* of ENTRY_MARK; "": none */
  size_t entry_text;
};

static void perform (struct sst *store, struct srv_exchange *exchange,
                     struct htp_message *message);

static json_t *
object_json (const struct object *object)
{
  return json_pack ("{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:O?}", PFM_METADATA,
                    PFM_NAME, object->name, PFM_REVISION,
                    (json_int_t)object->revision, "CreatedRev",
                    (json_int_t)object->created, "Finalizers", PFM_DELETING, 0,
                    PFM_SPEC, object->spec, PFM_STATUS, object->status);
}

static struct object *
find_object (const struct sst *store, const char *kind, const char *name)
{
  for (size_t i = 0; i < store->object_count; i++)
    if (strcmp (store->objects[i].kind, kind) == 0
        && strcmp (store->objects[i].name, name) == 0)
      return (struct object *)&store->objects[i];
  return NULL;
}

/* Appends TEXT to OUTPUT with each mark replaced by its text.  */
static void
replace_marks (const struct sst *store, const char *text, struct buf *output)
{
  while (*text != '\0')
    {
      const char *mark = strstr (text, "\"@text ");
      size_t number;

      if (mark == NULL || sscanf (mark, TEXT_MARK, &number) != 1)
        break;
      buf_append (output, text, (size_t)(mark - text));
      buf_append (output, store->texts[number], strlen (store->texts[number]));
      text = strchr (mark + 1, '"') + 1;
    }
  buf_append (output, text, strlen (text));
}

static void
answer (const struct sst *store, struct srv_exchange *exchange,
        unsigned status, json_t *body)
{
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT) : NULL;
  struct buf content = { 0 };
  struct buf *output;

  if (exchange != NULL)
    {
      output = srv_start_response (exchange, status);
      htp_put_header (output, "Content-Type", "application/json");
      if (text != NULL)
        replace_marks (store, text, &content);
      srv_finish_response (exchange, content.data, content.length);
    }
  buf_close (&content);
  json_decref (body);
  free (text);
}

/* Returns the call of a place in the list, null after the last.  */
static struct waiting *
waiting_at (const struct lst_entry *at)
{
  return at != NULL ? LST_ITEM (at, struct waiting, list) : NULL;
}

static void
free_waiting (struct waiting *entry)
{
  lst_remove (&entry->store->waiting, &entry->list);
  evl_timer_stop (&entry->timer);
  htp_message_close (&entry->message);
  free (entry);
}

/* Answers a watch with the changes after its revision.  Returns false when
   there are none yet.  */
static bool
answer_watch (struct sst *store, struct srv_exchange *exchange,
              const char *kind, uint64_t revision, bool even_empty)
{
  json_t *events = json_array ();

  for (size_t i = 0; i < store->change_count; i++)
    if (store->changes[i].revision > revision
        && strcmp (store->changes[i].kind, kind) == 0)
      json_array_append (events, store->changes[i].event);
  if (json_array_size (events) == 0 && !even_empty)
    {
      json_decref (events);
      return false;
    }
  answer (store, exchange, 200,
          json_pack ("{s:o, s:I}", PFM_EVENTS, events, PFM_AS_OF,
                     (json_int_t)store->revision));
  return true;
}

static void
wake_watches (struct sst *store, const char *kind)
{
  struct waiting *next;

  for (struct waiting *entry = waiting_at (store->waiting.first);
       entry != NULL; entry = next)
    {
      next = waiting_at (entry->list.next);
      if (entry->is_watch && entry->exchange != NULL
          && strcmp (entry->kind, kind) == 0
          && answer_watch (store, entry->exchange, kind, entry->revision,
                           false))
        free_waiting (entry);
    }
}

static void
add_change (struct sst *store, const struct object *object, bool deleted)
{
  struct change *change;

  if (store->change_count == MAX_EVENTS)
    {
      json_decref (store->changes[0].event);
      store->oldest = store->changes[0].revision;
      memmove (store->changes, store->changes + 1,
               (MAX_EVENTS - 1) * sizeof *store->changes);
      store->change_count--;
    }
  change = &store->changes[store->change_count++];
  memcpy (change->kind, object->kind, sizeof change->kind);
  change->revision = store->revision;
  change->event = json_pack ("{s:o, s:b}", PFM_OBJECT, object_json (object),
                             PFM_DELETED, deleted ? 1 : 0);
}

static struct object *
put_object (struct sst *store, const char *kind, const char *name,
            json_t *spec)
{
  struct object *object = find_object (store, kind, name);

  if (object != NULL && json_equal (object->spec, spec))
    {
      json_decref (spec);
      return object;
    }
  store->revision++;
  if (object == NULL)
    {
      if (store->object_count == MAX_OBJECTS)
        abort ();
      object = &store->objects[store->object_count++];
      memset (object, 0, sizeof *object);
      snprintf (object->kind, sizeof object->kind, "%s", kind);
      snprintf (object->name, sizeof object->name, "%s", name);
      object->created = store->revision;
    }
  json_decref (object->spec);
  object->spec = spec;
  object->revision = store->revision;
  add_change (store, object, false);
  wake_watches (store, kind);
  return object;
}

static void
remove_object (struct sst *store, struct object *object)
{
  struct object copy = *object;

  store->revision++;
  add_change (store, object, true);
  store->object_count--;
  memmove (object, object + 1,
           (size_t)(store->objects + store->object_count - object)
               * sizeof *object);
  wake_watches (store, copy.kind);
  json_decref (copy.spec);
  json_decref (copy.status);
}

/* Copies the value of a query parameter.  Returns false when there is none. */
static bool
read_query (const char *target, const char *name, char *value, size_t size)
{
  const char *at = strchr (target, '?');
  size_t length = strlen (name);

  while (at != NULL)
    {
      at++;
      if (strncmp (at, name, length) == 0 && at[length] == '=')
        {
          snprintf (value, size, "%.*s", (int)strcspn (at + length + 1, "&"),
                    at + length + 1);
          return true;
        }
      at = strchr (at, '&');
    }
  return false;
}

static uint64_t
read_number (const char *target, const char *name)
{
  char text[32];

  return read_query (target, name, text, sizeof text)
             ? strtoull (text, NULL, 10)
             : 0;
}

/* Returns the first object of KIND by name after AFTER, null when there is
   none.  */
static const struct object *
next_object (const struct sst *store, const char *kind, const char *after)
{
  const struct object *next = NULL;

  for (size_t i = 0; i < store->object_count; i++)
    {
      const struct object *object = &store->objects[i];

      if (strcmp (object->kind, kind) == 0 && strcmp (object->name, after) > 0
          && (next == NULL || strcmp (object->name, next->name) < 0))
        next = object;
    }
  return next;
}

static json_t *
text_mark (size_t number)
{
  return json_sprintf ("@text %zu@", number);
}

/* Replaces the escapes of a query value by their characters.  */
static void
decode_escapes (char *value)
{
  char *to = value;
  unsigned byte;

  for (const char *from = value; *from != '\0'; from++)
    if (*from == '%' && sscanf (from + 1, "%2x", &byte) == 1)
      {
        *to++ = (char)byte;
        from += 2;
      }
    else
      *to++ = *from;
  *to = '\0';
}

static void
list (struct sst *store, struct srv_exchange *exchange, const char *kind,
      const char *target)
{
  json_t *items = json_array ();
  char after[3 * NAME_SIZE] = "";
  bool is_stale = store->stale_lists_limited
                  && strstr (target, PFM_ALLOW_STALE "=1") != NULL;
  const struct object *object;

  if (read_query (target, PFM_AFTER, after, sizeof after))
    decode_escapes (after);
  else if (strcmp (store->entry_kind, kind) == 0)
    json_array_append_new (items, text_mark (store->entry_text));
  object = is_stale && store->stale_count == 0
               ? NULL
               : next_object (store, kind, after);
  for (size_t i = 0;
       object != NULL && (store->page_size == 0 || i < store->page_size); i++)
    {
      json_array_append_new (items, object_json (object));
      object = next_object (store, kind, object->name);
      if (is_stale && i + 1 >= store->stale_count)
        object = NULL;
    }
  answer (store, exchange, 200,
          json_pack ("{s:o, s:b, s:I}", PFM_ITEMS, items, PFM_MORE,
                     object != NULL ? 1 : 0, PFM_AS_OF,
                     (json_int_t)store->revision));
}

/* The longest wait of a watch, the delay of a call, or the time of a late
   write is over.  */
static void
on_timer (void *context)
{
  struct waiting *entry = context;
  struct sst *store = entry->store;
  struct srv_exchange *exchange = entry->exchange;
  struct htp_message message = entry->message;
  bool is_watch = entry->is_watch;
  uint64_t revision = entry->revision;
  char kind[NAME_SIZE];

  memcpy (kind, entry->kind, sizeof kind);
  entry->message = (struct htp_message){ 0 };
  free_waiting (entry);
  if (is_watch)
    answer_watch (store, exchange, kind, revision, true);
  else
    perform (store, exchange, &message);
  htp_message_close (&message);
}

static struct waiting *
add_waiting (struct sst *store, struct srv_exchange *exchange,
             clk_time deadline)
{
  struct waiting *entry = mem_alloc (1, sizeof *entry);

  entry->store = store;
  entry->exchange = exchange;
  lst_push_front (&store->waiting, &entry->list);
  evl_timer_init (&entry->timer, store->loop, on_timer, entry);
  evl_timer_set (&entry->timer, deadline);
  return entry;
}

static void
watch (struct sst *store, struct srv_exchange *exchange, const char *kind,
       const char *target)
{
  uint64_t revision = read_number (target, PFM_WATCH);
  struct waiting *entry;

  if (revision < store->oldest)
    answer (store, exchange, 410, NULL);
  else if (!answer_watch (store, exchange, kind, revision, false))
    {
      entry = add_waiting (store, exchange,
                           evl_now (store->loop)
                               + (clk_time)read_number (target, PFM_WAIT_MS)
                                     * CLK_MILLISECOND);
      entry->is_watch = true;
      entry->revision = revision;
      snprintf (entry->kind, sizeof entry->kind, "%s", kind);
    }
}

/* Answers a write whose condition does not hold.  Returns whether it did.  */
static bool
refuse_condition (const struct sst *store, struct srv_exchange *exchange,
                  const struct object *object, uint64_t revision)
{
  if (revision == 0 || object->revision == revision)
    return false;
  answer (store, exchange, 409, object_json (object));
  return true;
}

static void
write_object (struct sst *store, struct srv_exchange *exchange,
              const char *kind, const char *name,
              const struct htp_message *message)
{
  json_t *root
      = json_loadb (buf_text (&message->body), message->body.length, 0, NULL);
  const json_t *metadata = json_object_get (root, PFM_METADATA);
  uint64_t revision = (uint64_t)json_integer_value (
      json_object_get (metadata, PFM_REVISION));
  json_t *spec = json_object_get (root, PFM_SPEC);
  bool create = message->method == HTTP_POST;
  struct object *object;

  if (create)
    name = json_string_value (json_object_get (metadata, PFM_NAME));
  object = name != NULL ? find_object (store, kind, name) : NULL;
  if (name == NULL || spec == NULL)
    answer (store, exchange, 400, NULL);
  else if (create && object != NULL)
    answer (store, exchange, 409, object_json (object));
  else if (!create && object == NULL)
    answer (store, exchange, 404, NULL);
  else if (create || !refuse_condition (store, exchange, object, revision))
    answer (store, exchange, 200,
            object_json (put_object (store, kind, name, json_incref (spec))));
  json_decref (root);
}

/* Replaces the status of an object.  */
static void
write_status (struct sst *store, struct srv_exchange *exchange,
              const char *kind, const char *name,
              const struct htp_message *message)
{
  json_t *root
      = json_loadb (buf_text (&message->body), message->body.length, 0, NULL);
  const json_t *metadata = json_object_get (root, PFM_METADATA);
  uint64_t revision = (uint64_t)json_integer_value (
      json_object_get (metadata, PFM_REVISION));
  json_t *status = json_object_get (root, PFM_STATUS);
  struct object *object = find_object (store, kind, name);

  if (status == NULL)
    answer (store, exchange, 400, NULL);
  else if (object == NULL)
    answer (store, exchange, 404, NULL);
  else if (!refuse_condition (store, exchange, object, revision))
    {
      store->status_writes++;
      store->revision++;
      json_decref (object->status);
      object->status = json_incref (status);
      object->revision = store->revision;
      add_change (store, object, false);
      wake_watches (store, kind);
      answer (store, exchange, 200, object_json (object));
    }
  json_decref (root);
}

/* Cuts the path of a status off a name.  Returns whether it had one.  */
static bool
cut_status (char *name)
{
  size_t length = strlen (name);
  size_t end = strlen (PFM_STATUS_PATH);

  if (length <= end || strcmp (name + length - end, PFM_STATUS_PATH) != 0)
    return false;
  name[length - end] = '\0';
  return true;
}

static void
remove_call (struct sst *store, struct srv_exchange *exchange,
             struct object *object, const char *target)
{
  if (object == NULL)
    answer (store, exchange, 404, NULL);
  else if (!refuse_condition (store, exchange, object,
                              read_number (target, PFM_REVISION)))
    {
      remove_object (store, object);
      answer (store, exchange, 200, json_object ());
    }
}

/* Does what a call asks for; CONNECTION is null when its answer is lost.  */
static void
perform (struct sst *store, struct srv_exchange *exchange,
         struct htp_message *message)
{
  const char *target = htp_target (message);
  size_t prefix = strlen (PFM_OBJECTS_PATH);
  char path[NAME_SIZE];
  char *name;

  if (strncmp (target, PFM_OBJECTS_PATH, prefix) != 0)
    {
      answer (store, exchange, 404, NULL);
      return;
    }
  snprintf (path, sizeof path, "%.*s", (int)strcspn (target + prefix, "?"),
            target + prefix);
  name = strchr (path, '/');
  if (name != NULL)
    {
      *name++ = '\0';
      decode_escapes (name);
    }
  if (message->method == HTTP_PUT && name != NULL && cut_status (name))
    write_status (store, exchange, path, name, message);
  else if (message->method == HTTP_POST || message->method == HTTP_PUT)
    write_object (store, exchange, path, name, message);
  else if (message->method == HTTP_DELETE && name != NULL)
    remove_call (store, exchange, find_object (store, path, name), target);
  else if (name != NULL)
    {
      struct object *object = find_object (store, path, name);

      answer (store, exchange, object != NULL ? 200 : 404,
              object != NULL ? object_json (object) : NULL);
    }
  else if (strstr (target, PFM_WATCH "=") != NULL)
    watch (store, exchange, path, target);
  else
    list (store, exchange, path, target);
}

/* Returns the IP address of the store that the caller has used.  */
static uint32_t
called_ip (const struct srv_exchange *exchange)
{
  struct sockaddr_in where = { 0 };
  socklen_t size = sizeof where;

  if (getsockname (srv_descriptor (exchange), (struct sockaddr *)&where, &size)
      != 0)
    return 0;
  return ntohl (where.sin_addr.s_addr);
}

static enum sst_fault
fault_of (const struct sst *store, uint32_t ip)
{
  for (size_t i = 0; i < store->fault_count; i++)
    if (store->faults[i].ip == 0 || store->faults[i].ip == ip)
      return store->faults[i].fault;
  return SST_HEALTHY;
}

/* Does a write of which the caller hears nothing.  */
static void
lose (struct sst *store, struct srv_exchange *exchange,
      struct htp_message *message, bool late)
{
  struct waiting *entry;

  srv_abort (exchange);
  if (!late)
    {
      perform (store, NULL, message);
      return;
    }
  entry = add_waiting (store, NULL, evl_now (store->loop) + LATE_WRITE);
  entry->is_late = true;
  entry->message = *message;
  *message = (struct htp_message){ 0 };
}

static void
on_request (void *context, struct srv_exchange *exchange,
            struct htp_message *message)
{
  struct sst *store = context;
  bool is_read = message->method == HTTP_GET;
  struct waiting *entry;

  store->calls++;
  if (!is_read)
    store->writes++;
  switch (fault_of (store, called_ip (exchange)))
    {
    case SST_NO_RESPONSE:
      return;
    case SST_BUSY:
      answer (store, exchange, 503, NULL);
      return;
    case SST_RESET:
      srv_abort (exchange);
      return;
    case SST_LOSE_RESPONSE:
    case SST_DELAY_WRITE:
      if (is_read)
        break;
      lose (store, exchange, message,
            fault_of (store, called_ip (exchange)) == SST_DELAY_WRITE);
      return;
    default:
      break;
    }
  if (store->delay == 0)
    {
      perform (store, exchange, message);
      return;
    }
  entry = add_waiting (store, exchange, evl_now (store->loop) + store->delay);
  entry->message = *message;
  *message = (struct htp_message){ 0 };
}

static void
on_gone (void *context, struct srv_exchange *exchange)
{
  struct sst *store = context;

  for (struct waiting *entry = waiting_at (store->waiting.first);
       entry != NULL; entry = waiting_at (entry->list.next))
    if (entry->exchange == exchange)
      {
        free_waiting (entry);
        return;
      }
}

static const struct srv_handlers handlers = { on_request, on_gone, NULL };

struct sst *
sst_create (struct evl *loop, struct net_address address)
{
  static const struct srv_limits limits = {
    { 16384, 2u * 1024u * 1024u }, 60 * CLK_SECOND, 600 * CLK_SECOND, 0, 0, 0
  };
  struct sst *store = mem_alloc (1, sizeof *store);

  store->loop = loop;
  store->revision = 100;
  if (srv_create (loop, address, &handlers, store, &limits, &store->server)
      == SRV_OK)
    return store;
  free (store);
  return NULL;
}

void
sst_destroy (struct sst *store)
{
  struct lst_entry *link;

  if (store == NULL)
    return;
  while ((link = lst_pop_front (&store->waiting)) != NULL)
    free_waiting (waiting_at (link));
  srv_destroy (store->server);
  for (size_t i = 0; i < store->object_count; i++)
    {
      json_decref (store->objects[i].spec);
      json_decref (store->objects[i].status);
    }
  for (size_t i = 0; i < store->change_count; i++)
    json_decref (store->changes[i].event);
  for (size_t i = 0; i < store->text_count; i++)
    free (store->texts[i]);
  free (store);
}

/* Cuts the calls that wait for callers with this fault.  */
static void
cut_waiting (struct sst *store, enum sst_fault fault, uint32_t ip)
{
  struct waiting *next;

  for (struct waiting *entry = waiting_at (store->waiting.first);
       entry != NULL; entry = next)
    {
      struct srv_exchange *exchange = entry->exchange;

      next = waiting_at (entry->list.next);
      if (exchange == NULL || (ip != 0 && called_ip (exchange) != ip))
        continue;
      if (fault == SST_NO_RESPONSE)
        entry->exchange = NULL;
      else if (fault == SST_BUSY || fault == SST_RESET)
        {
          free_waiting (entry);
          srv_abort (exchange);
        }
    }
}

void
sst_set_fault (struct sst *store, enum sst_fault fault, uint32_t ip)
{
  if (store->fault_count == MAX_FAULTS)
    abort ();
  store->faults[store->fault_count++] = (struct fault){ ip, fault };
  cut_waiting (store, fault, ip);
}

void
sst_clear_faults (struct sst *store)
{
  store->fault_count = 0;
  store->delay = 0;
}

void
sst_set_delay (struct sst *store, clk_time delay)
{
  store->delay = delay;
}

void
sst_compact (struct sst *store)
{
  struct waiting *next;

  for (size_t i = 0; i < store->change_count; i++)
    json_decref (store->changes[i].event);
  store->change_count = 0;
  store->revision++;
  store->oldest = store->revision;
  for (struct waiting *entry = waiting_at (store->waiting.first);
       entry != NULL; entry = next)
    {
      struct srv_exchange *exchange = entry->exchange;

      next = waiting_at (entry->list.next);
      if (!entry->is_watch)
        continue;
      free_waiting (entry);
      if (exchange != NULL)
        srv_abort (exchange);
    }
}

void
sst_put (struct sst *store, const char *kind, const char *name, json_t *spec)
{
  put_object (store, kind, name, spec);
}

/* Keeps a copy of TEXT and returns its number.  */
static size_t
add_text (struct sst *store, const char *text)
{
  if (store->text_count == MAX_TEXTS)
    abort ();
  store->texts[store->text_count] = mem_copy_string (text);
  return store->text_count++;
}

void
sst_put_text (struct sst *store, const char *kind, const char *name,
              const char *text)
{
  put_object (store, kind, name, text_mark (add_text (store, text)));
}

void
sst_add_entry (struct sst *store, const char *kind, const char *text)
{
  snprintf (store->entry_kind, sizeof store->entry_kind, "%s", kind);
  store->entry_text = add_text (store, text);
}

void
sst_limit_stale_lists (struct sst *store, size_t count)
{
  store->stale_lists_limited = true;
  store->stale_count = count;
}

void
sst_set_page_size (struct sst *store, size_t count)
{
  store->page_size = count;
}

void
sst_remove (struct sst *store, const char *kind, const char *name)
{
  struct object *object = find_object (store, kind, name);

  if (object != NULL)
    remove_object (store, object);
}

const json_t *
sst_get (const struct sst *store, const char *kind, const char *name)
{
  const struct object *object = find_object (store, kind, name);

  return object != NULL ? object->spec : NULL;
}

size_t
sst_count (const struct sst *store, const char *kind)
{
  size_t count = 0;

  for (size_t i = 0; i < store->object_count; i++)
    if (strcmp (store->objects[i].kind, kind) == 0)
      count++;
  return count;
}

bool
sst_is_watched_by (const struct sst *store, uint32_t ip)
{
  const struct waiting *entry = waiting_at (store->waiting.first);

  while (entry != NULL
         && (!entry->is_watch || entry->exchange == NULL
             || called_ip (entry->exchange) != ip))
    entry = waiting_at (entry->list.next);
  return entry != NULL;
}

uint64_t
sst_write_count (const struct sst *store)
{
  return store->writes;
}

uint64_t
sst_call_count (const struct sst *store)
{
  return store->calls;
}

const json_t *
sst_get_status (const struct sst *store, const char *kind, const char *name)
{
  const struct object *object = find_object (store, kind, name);

  return object != NULL ? object->status : NULL;
}

void
sst_put_status (struct sst *store, const char *kind, const char *name,
                json_t *status)
{
  struct object *object = find_object (store, kind, name);

  if (object == NULL)
    {
      json_decref (status);
      return;
    }
  store->revision++;
  json_decref (object->status);
  object->status = status;
  object->revision = store->revision;
  add_change (store, object, false);
  wake_watches (store, kind);
}

uint64_t
sst_status_write_count (const struct sst *store)
{
  return store->status_writes;
}
