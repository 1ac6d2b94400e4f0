/* Trace of the last calls of this node, in a bounded table.  Used inside this
   module.  */

#ifndef MULBERRYSHIFT_CALL_CALL_TRACE_H
#define MULBERRYSHIFT_CALL_CALL_TRACE_H

#include "base/clk.h"
#include "doc/doc.h"
#include "out/out.h"

#include <jansson.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Calls kept, and tries of one call: more than RTY_MAX_RETRIES allows.  */
#define CALL_TRACE_CALLS 1024
#define CALL_TRACE_TRIES 4
#define CALL_TRACE_NAME_SIZE 64

/* Most nested calls that one answer lists.  */
#define CALL_TRACE_CHILDREN 64

  /* One try.  */
  struct call_trace_try
  {
    char member[CALL_TRACE_NAME_SIZE];
    uint64_t number; /* of the try's call ID */
    enum out_outcome outcome;
    uint32_t status;
    uint32_t queries;
    clk_time begun;   /* since the call began, ns */
    clk_time elapsed; /* ns */
  };

  /* One call.  */
  struct call_trace_call
  {
    uint64_t origin;
    uint64_t number;
    uint64_t parent_origin; /* the call whose upstream made this one */
    uint64_t parent_number; /* 0: none */
    uint64_t wall_ms;       /* begin, ms since the epoch */
    clk_time elapsed;
    char service[CALL_TRACE_NAME_SIZE];
    enum doc_class call_class;
    enum out_outcome outcome;
    uint32_t depth;
    uint32_t try_count;
    struct call_trace_try tries[CALL_TRACE_TRIES];
  };

  struct call_trace;

  /* Creates an empty trace.  */
  struct call_trace *call_trace_create (void);

  /* Frees the trace.  */
  void call_trace_destroy (struct call_trace *trace);

  /* Copies CALL in, replacing the oldest one.  Any thread.  */
  void call_trace_add (struct call_trace *trace,
                       const struct call_trace_call *call);

  /* Returns as JSON the call with this ID or with a try that has it.  Its
     member "children" lists the calls whose parent is that ID or one of those
     tries, at most CALL_TRACE_CHILDREN; "children_left_out" counts the others.
     When only children are known, these two members are the whole object;
     null when nothing is known.  Any thread.  */
  json_t *call_trace_find (struct call_trace *trace, uint64_t origin,
                           uint64_t number);

#ifdef __cplusplus
}
#endif

#endif
