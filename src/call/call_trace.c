/* Trace of the last calls of this node, in a bounded table.  */

#include "call/call_trace.h"

#include "base/mem.h"
#include "call/call.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>

struct call_trace
{
  pthread_mutex_t lock;
  uint64_t added;
  struct call_trace_call calls[CALL_TRACE_CALLS];
};

struct call_trace *
call_trace_create (void)
{
  struct call_trace *trace = mem_alloc (1, sizeof *trace);

  pthread_mutex_init (&trace->lock, NULL);
  return trace;
}

void
call_trace_destroy (struct call_trace *trace)
{
  if (trace == NULL)
    return;
  pthread_mutex_destroy (&trace->lock);
  free (trace);
}

void
call_trace_add (struct call_trace *trace, const struct call_trace_call *call)
{
  pthread_mutex_lock (&trace->lock);
  trace->calls[trace->added++ % CALL_TRACE_CALLS] = *call;
  pthread_mutex_unlock (&trace->lock);
}

static bool
is_call (const struct call_trace_call *call, uint64_t origin, uint64_t number)
{
  if (call->origin != origin || call->number == 0)
    return false;
  for (uint32_t i = 0; i < call->try_count; i++)
    if (call->tries[i].number == number)
      return true;
  return call->number == number;
}

static void
print_id (uint64_t origin, uint64_t number, char text[CALL_ID_SIZE])
{
  Mesh__CallId id = MESH__CALL_ID__INIT;

  id.origin = origin;
  id.number = number;
  call_print_id (&id, text);
}

static json_t *
to_json (const struct call_trace_call *call)
{
  char id[CALL_ID_SIZE];
  json_t *tries = json_array ();
  json_t *result;

  for (uint32_t i = 0; i < call->try_count; i++)
    {
      const struct call_trace_try *one = &call->tries[i];

      json_array_append_new (
          tries,
          json_pack ("{s:s, s:I, s:s, s:i, s:i, s:I, s:I}", "member",
                     one->member, "number", (json_int_t)one->number, "outcome",
                     out_name (one->outcome), "status", (int)one->status,
                     "queries", (int)one->queries, "begun_us",
                     (json_int_t)(one->begun / CLK_MICROSECOND), "elapsed_us",
                     (json_int_t)(one->elapsed / CLK_MICROSECOND)));
    }
  print_id (call->origin, call->number, id);
  result = json_pack (
      "{s:s, s:I, s:I, s:s, s:s, s:s, s:i, s:I, s:o}", "id", id, "number",
      (json_int_t)call->number, "begun_ms", (json_int_t)call->wall_ms,
      "service", call->service, "class", doc_class_name (call->call_class),
      "outcome", out_name (call->outcome), "depth", (int)call->depth,
      "elapsed_us", (json_int_t)(call->elapsed / CLK_MICROSECOND), "tries",
      tries);
  if (call->parent_number != 0)
    {
      print_id (call->parent_origin, call->parent_number, id);
      json_object_set_new (result, "parent", json_string (id));
    }
  return result;
}

/* What call_trace_find copies while it holds the lock.  */
struct found
{
  bool known;
  struct call_trace_call call;
  size_t child_count;
  size_t left_out;
  struct call_trace_call children[CALL_TRACE_CHILDREN];
};

/* Returns whether CHILD's parent is the call found or, if it is not known, the
   call with this ID.  */
static bool
is_child (const struct call_trace_call *child, const struct found *found,
          uint64_t origin, uint64_t number)
{
  if (child->parent_number == 0)
    return false;
  if (found->known)
    return is_call (&found->call, child->parent_origin, child->parent_number);
  return child->parent_origin == origin && child->parent_number == number;
}

static void
search (const struct call_trace *trace, uint64_t origin, uint64_t number,
        struct found *found)
{
  for (size_t i = 0; i < CALL_TRACE_CALLS && !found->known; i++)
    if (is_call (&trace->calls[i], origin, number))
      {
        found->known = true;
        found->call = trace->calls[i];
      }
  for (size_t i = 0; i < CALL_TRACE_CALLS; i++)
    if (is_child (&trace->calls[i], found, origin, number))
      {
        if (found->child_count < CALL_TRACE_CHILDREN)
          found->children[found->child_count++] = trace->calls[i];
        else
          found->left_out++;
      }
}

json_t *
call_trace_find (struct call_trace *trace, uint64_t origin, uint64_t number)
{
  struct found *found = mem_alloc (1, sizeof *found);
  json_t *result = NULL;
  json_t *children;

  pthread_mutex_lock (&trace->lock);
  search (trace, origin, number, found);
  pthread_mutex_unlock (&trace->lock);
  if (found->known || found->child_count > 0)
    {
      result = found->known ? to_json (&found->call) : json_object ();
      children = json_array ();
      for (size_t i = 0; i < found->child_count; i++)
        json_array_append_new (children, to_json (&found->children[i]));
      json_object_set_new (result, "children", children);
      json_object_set_new (result, "children_left_out",
                           json_integer ((json_int_t)found->left_out));
    }
  free (found);
  return result;
}
