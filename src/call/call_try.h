/* One try of a call at one member, and the query for its outcome when the link
   broke.  Used inside this module.  */

#ifndef MULBERRYSHIFT_CALL_CALL_TRY_H
#define MULBERRYSHIFT_CALL_CALL_TRY_H

#include "lnk/lnk.h"
#include "mbr/mbr_member.h"
#include "out/out.h"

#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Returns an answer without headers and body; aborts without memory.  */
  Mesh__Answer *call_try_answer (enum out_outcome outcome, uint32_t status,
                                 const char *reason);

  /* Sends CALL to MEMBER.  Returns an answer, never null.  *LOST is set to
     whether the link broke after the call may have left.  */
  Mesh__Answer *call_try_send (struct lnk_pool *pool,
                               const struct mbr_member *member,
                               Mesh__Call *call, clk_time deadline,
                               bool *lost);

  /* Asks MEMBER's gate what became of the call until it knows or DEADLINE
     passes.  Returns an answer, never null; *COUNT is raised by the number of
     questions.  */
  Mesh__Answer *call_try_query (struct lnk_pool *pool,
                                const struct mbr_member *member,
                                const Mesh__CallId *id, clk_time deadline,
                                uint32_t *count);

#ifdef __cplusplus
}
#endif

#endif
