/* Sending node's side of a call: matches the route, chooses members, tries
   again within the retry budget and decides the outcome.  */

#ifndef MULBERRYSHIFT_CALL_CALL_H
#define MULBERRYSHIFT_CALL_CALL_H

#include "base/clk.h"
#include "lnk/lnk.h"
#include "wire/mesh.pb-c.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Longest text of a call ID, "<16 hex>-<decimal>", and the null.  */
#define CALL_ID_SIZE 40

  /* The flags switch mechanisms off, for tests.  */
  struct call_options
  {
    bool no_query;    /* an unknown outcome is returned without a question */
    bool resend_lost; /* a lost call is sent again, whatever its class */
  };

  struct call_runner;

  /* Creates a runner that sends over POOL, which must outlive it.  ORIGIN is
     this process's incarnation and the first half of its call IDs.  */
  struct call_runner *call_create (struct lnk_pool *pool, uint64_t origin);

  /* Replaces the options; before the first call.  */
  void call_set_options (struct call_runner *runner,
                         const struct call_options *options);

  /* Frees the runner; no call may be running.  */
  void call_destroy (struct call_runner *runner);

  /* Runs one call; any thread.  CALL has method, target, headers, body,
     tenant and the context from the caller: remaining_us (0: none), depth (of
     the calling hop; 0: no hop before) and, if depth is not 0, retries_left
     and parent (null: unknown). The rest is filled in here.  HOST is the
     request's Host header.  Returns an answer, never null, with the outcome
     and the call's ID in it; the caller frees it with
     mesh__answer__free_unpacked.  */
  Mesh__Answer *call_run (struct call_runner *runner, const char *host,
                          Mesh__Call *call);

  /* Writes a call ID as text.  */
  void call_print_id (const Mesh__CallId *id, char text[CALL_ID_SIZE]);

  /* Returns what this node knows of one of its last calls and of the calls
     that its upstream made, by its ID as text, as call_trace_find does; the
     caller drops the reference.  Any thread.  */
  json_t *call_trace (struct call_runner *runner, const char *id);

#ifdef __cplusplus
}
#endif

#endif
