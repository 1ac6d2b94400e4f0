/* History of the attempts of a call, for its log lines.  Used inside this
   module.

   Load that it answers: under load most lines on the steps of a request are
   left out.  The line on a request that fails therefore says what became of
   each of its attempts.  */

#ifndef MULBERRYSHIFT_FWD_FWD_HISTORY_H
#define MULBERRYSHIFT_FWD_FWD_HISTORY_H

#include "base/buf.h"
#include "dir/dir.h"
#include "gat/gat.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Attempts of one call that are kept; the first ones count.  */
#define FWD_HISTORY_SIZE 8

  /* How an attempt ended.  */
  enum fwd_end
  {
    FWD_UNDER_WAY,
    FWD_ANSWERED,  /* the upstream's answer came */
    FWD_NOT_RUN,   /* the gate refused it */
    FWD_LOST,      /* the gate has lost the answer */
    FWD_LINK_LOST, /* the link to the gate's node has closed */
    FWD_CANCELLED, /* this node gave it up */
    FWD_END_COUNT
  };

  struct fwd_attempt
  {
    uint32_t number; /* of the attempt on its link */
    dir_handle peer;
    enum fwd_end end;
    enum gat_refusal refusal; /* of one that was not run */
    bool ping_overdue;        /* its node did not answer a ping in time */
    clk_time sent_at;
    clk_time ended_at;
  };

  struct fwd_history
  {
    struct fwd_attempt attempts[FWD_HISTORY_SIZE];
    unsigned count;   /* that are kept */
    unsigned omitted; /* attempts beyond those */
  };

  /* An attempt was sent to PEER, ended, or its node did not answer a ping in
     time.  Nothing happens for a number that is not kept or has ended.  */
  void fwd_history_add (struct fwd_history *history, uint32_t number,
                        dir_handle peer, clk_time now);
  void fwd_history_end (struct fwd_history *history, uint32_t number,
                        enum fwd_end end, enum gat_refusal refusal,
                        clk_time now);
  void fwd_history_note_overdue (struct fwd_history *history, uint32_t number);

  /* Returns the name of an end, for logs and metrics.  */
  const char *fwd_end_name (enum fwd_end end);

  /* Appends the attempts to TEXT as "NODE START+TIME END, ...": START in ms
     from ARRIVAL, TIME in ms until the end or NOW.  Nodes that DIRECTORY lacks
     are
     "(gone)".  */
  void fwd_history_print (const struct fwd_history *history,
                          const struct dir *directory, clk_time arrival,
                          clk_time now, struct buf *text);

#ifdef __cplusplus
}
#endif

#endif
