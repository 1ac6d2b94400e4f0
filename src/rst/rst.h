/* Decides what to do with the node records of a store that came back from a
   copy: records written since are gone, and removed ones are back.  Pure.  */

#ifndef MULBERRYSHIFT_RST_RST_H
#define MULBERRYSHIFT_RST_RST_H

#include "mbr/mbr_member.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum rst_action
  {
    RST_KEEP,  /* the store holds what it should */
    RST_WRITE, /* write the known record */
    RST_REMOVE /* remove the record of a dead node */
  };

  /* Returns what to do with a node whose newest known record is KNOWN and for
     which the store holds STORED, or none when that is null.  A node that is
     leaving or suspected is left to the usual checks, but for the departure of
     its upstream.  */
  enum rst_action rst_decide (const struct mbr_member *known,
                              const struct mbr_member *stored);

#ifdef __cplusplus
}
#endif

#endif
