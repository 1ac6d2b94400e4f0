/* Parts of a version whose payload does not fit one frame.  Pure: no I/O, no
   clock.

   A collector puts the parts of one version together.  Both parents of a node
   may send the same version at the same time; the collector then follows the
   sender that was first, as long as its parts come in time.  */

#ifndef MULBERRYSHIFT_SYN_SYN_PART_H
#define MULBERRYSHIFT_SYN_SYN_PART_H

#include "base/buf.h"
#include "base/clk.h"
#include "dir/dir.h"
#include "snp/snp.h"

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Bytes of the payload in one part.  The frame of a part takes at most 64 KiB,
   so that it delays others on a link of 10 Mbit/s by 52 ms at most.  */
#define SYN_PART_LENGTH (63u * 1024u)

/* Maximum length of a collected payload, in bytes.  */
#define SYN_PART_MAX_TOTAL (2u * 1024u * 1024u)

/* Time after which a fetch without a reply is followed by another one.  Each
   part of a reply restarts it.  */
#define SYN_FETCH_TIMEOUT (300 * CLK_MILLISECOND)

  /* One part as received.  */
  struct syn_part
  {
    dir_handle sender;
    struct snp_stamp base; /* version 0: the payload is a whole document */
    struct snp_stamp result;
    uint32_t index;
    uint32_t count;
    const uint8_t *data;
    size_t length;
  };

  enum syn_part_status
  {
    SYN_PART_ADDED,
    SYN_PART_COMPLETE,  /* it was the last one */
    SYN_PART_IGNORED,   /* of another sender than the one being followed */
    SYN_PART_DISCARDED, /* out of order, too long or invalid; the collector is
                           empty now */
    SYN_PART_UNEXPECTED /* the same, and the collector was empty before */
  };

  /* The parts of one version collected so far.  Zero-initialize.  */
  struct syn_collector
  {
    dir_handle sender;
    struct snp_stamp base;
    struct snp_stamp result;
    uint32_t count;    /* 0: nothing is collected */
    uint32_t next;     /* index of the part that is expected */
    clk_time deadline; /* parts of other senders are ignored until then */
    struct buf payload;
  };

  /* Returns the number of parts that a payload of LENGTH bytes takes.  */
  uint32_t syn_part_count (size_t length);

  /* Adds PART, received at NOW.  After SYN_PART_COMPLETE the payload is whole
     and the caller empties the collector.  */
  enum syn_part_status syn_collector_add (struct syn_collector *collector,
                                          const struct syn_part *part,
                                          clk_time now);

  /* Frees what was collected.  */
  void syn_collector_clear (struct syn_collector *collector);

#ifdef __cplusplus
}
#endif

#endif
