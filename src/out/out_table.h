/* Outcome table of a gate: what became of each call.  Pure; the caller locks.

   An entry is kept 60 s after its call finished.  Call numbers of one origin
   only grow, so the table remembers for each origin the highest number that
   it has removed: a call or query at or below it that has no entry may be one
   that the table has forgotten, and is answered "unknown".  */

#ifndef MULBERRYSHIFT_OUT_OUT_TABLE_H
#define MULBERRYSHIFT_OUT_OUT_TABLE_H

#include "base/buf.h"
#include "base/clk.h"
#include "doc/doc.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define OUT_TABLE_ENTRIES 65536u
#define OUT_KEEP_TIME (60 * CLK_SECOND)
#define OUT_MAX_ANSWER (32u * 1024u)
#define OUT_MAX_ANSWERS (4u * 1024u * 1024u)
/* Origins whose removed numbers are remembered, and how long after the last
   removal: longer than any frame can stay on its way to the gate.  */
#define OUT_MAX_ORIGINS 4096u
#define OUT_ORIGIN_TIME (600 * CLK_SECOND)

/* Not a handle.  */
#define OUT_NONE UINT32_MAX

  /* State of a call in QueryReply.  */
  enum out_state
  {
    OUT_STATE_NOT_RUN,  /* never started; from now on forbidden */
    OUT_STATE_RUNNING,  /* queued or running: ask again later */
    OUT_STATE_FINISHED, /* with its answer if that was kept */
    OUT_STATE_UNKNOWN   /* another incarnation, or forgotten */
  };

  enum out_status
  {
    OUT_OK,        /* new: the call may go on */
    OUT_FORBIDDEN, /* a query came first: the call must not run */
    OUT_REPEATED,  /* this call is known already: do not run it again */
    OUT_FORGOTTEN, /* the table cannot tell whether the call is new */
    OUT_FULL       /* no place: the call must not run */
  };

  struct out_limits
  {
    uint32_t entries; /* at most OUT_TABLE_ENTRIES */
    size_t answers;   /* bytes of kept answers in all */
  };

  /* A call's identity.  ORIGIN includes the sender's name, because two nodes
     can start in the same millisecond.  */
  struct out_id
  {
    uint64_t origin;
    uint64_t number;
  };

  struct out_table;

  /* Creates an empty table.  */
  struct out_table *out_table_create (const struct out_limits *limits);

  /* Frees the table and the kept answers.  */
  void out_table_destroy (struct out_table *table);

  /* Records a call that arrived at NOW; *HANDLE is set on OUT_OK.  FINGERPRINT
     is a hash of the request, so that another call with the same ID never
     gets this call's answer.  */
  enum out_status out_begin (struct out_table *table, struct out_id id,
                             enum doc_class call_class, uint64_t fingerprint,
                             clk_time now, uint32_t *handle);

  /* Removes a call that was reported as "not run" in its answer.  */
  void out_discard (struct out_table *table, uint32_t handle);

  /* Forbids a call that has not started; a query finds "not run".  */
  void out_forbid (struct out_table *table, uint32_t handle, clk_time now);

  /* Ends a call at NOW.  ANSWER (the packed message) is copied if the limits
     allow; LENGTH 0 keeps none.  */
  void out_finish (struct out_table *table, uint32_t handle,
                   const uint8_t *answer, size_t length, clk_time now);

  /* Answers a query.  A call without an entry becomes forbidden.  ANSWER gets
     the kept answer, or stays empty.  */
  enum out_state out_query (struct out_table *table, struct out_id id,
                            clk_time now, struct buf *answer);

  /* Appends the kept answer of a finished call to ANSWER.  Returns false when
     there is none, or when FINGERPRINT differs.  */
  bool out_replay (const struct out_table *table, struct out_id id,
                   uint64_t fingerprint, struct buf *answer);

  /* Removes entries whose time is over.  Also done by out_begin.  */
  void out_expire (struct out_table *table, clk_time now);

  /* Returns the number of entries.  */
  uint32_t out_count (const struct out_table *table);

  /* Returns the bytes of kept answers.  */
  size_t out_kept (const struct out_table *table);

#ifdef __cplusplus
}
#endif

#endif
