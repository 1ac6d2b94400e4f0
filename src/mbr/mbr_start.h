/* Starts of upstreams: an upstream that starts again under the name that it
   had is another one, with a later start time.  Pure.  */

#ifndef MULBERRYSHIFT_MBR_MBR_START_H
#define MULBERRYSHIFT_MBR_MBR_START_H

#include "mbr/mbr_member.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* Start of an upstream.  */
  struct mbr_start
  {
    const char *name; /* of the upstream */
    uint64_t born;    /* ms since the epoch; 0: unknown */
  };

  /* Returns the start that RECORD names; it points into RECORD.  */
  struct mbr_start mbr_start_of (const struct mbr_member *record);

  /* Returns whether both are the same start, as far as is known.  */
  bool mbr_start_equal (struct mbr_start left, struct mbr_start right);

  /* Returns whether START is known to be later than OTHER.  */
  bool mbr_start_is_later (struct mbr_start start, struct mbr_start other);

  /* Returns whether the departure that DEPARTED shows need not be remembered
     beside RECORD, a record of the same node: RECORD shows it too, or names
     an upstream that followed.  */
  bool mbr_start_covers (const struct mbr_member *record,
                         const struct mbr_member *departed);

#ifdef __cplusplus
}
#endif

#endif
