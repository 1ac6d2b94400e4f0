/* Registration of the upstream beside this node: which start of which upstream
   is there, and whether it takes new calls.  Announcements may be late,
   repeated or those of an earlier start; they never bring back an upstream
   that has left.  Pure.  */

#ifndef MULBERRYSHIFT_REG_REG_H
#define MULBERRYSHIFT_REG_REG_H

#include "base/clk.h"
#include "mbr/mbr_member.h"
#include "ptf/ptf.h"

#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

  enum reg_state
  {
    REG_NONE,        /* no upstream is known */
    REG_READY,       /* it takes calls */
    REG_LEAVING,     /* it takes no new calls */
    REG_UNREACHABLE, /* announcements have stopped, or its address refuses */
    REG_UNCONFIRMED  /* it may have left; it must say that it takes calls */
  };

  /* What an announcement did.  */
  enum reg_result
  {
    REG_RENEWED, /* nothing changed but the time of the last one */
    REG_CHANGED, /* the state or the upstream changed: publish it */
    REG_STALE    /* of an earlier time or start, and not a departure; ignored
                  */
  };

  /* The registration.  Zero-initialise.  */
  struct reg
  {
    enum reg_state state;
    struct ptf_heartbeat upstream; /* the newest accepted */
    clk_time updated_at;           /* when it was accepted */
    clk_time warmup_until;
    bool deregistered; /* deregistered: announcements of this start are late */
    bool unconfirmed;  /* needs confirmation, also while it is unreachable */
  };

  /* Takes an announcement that arrived at NOW.  */
  enum reg_result
  reg_handle_heartbeat (struct reg *registration,
                        const struct ptf_heartbeat *announcement,
                        clk_time now);

  /* Takes the deregistration of the upstream NAME, started at BORN (0: not
     stated).  It also binds when the upstream is not known, or is a later
     start than the known one: a heartbeat of it that is late changes nothing.
   */
  enum reg_result reg_deregister (struct reg *registration, const char *name,
                                  uint64_t born, clk_time now);

  /* Adopts what an earlier process of this node knew of the upstream at
     ADDRESS, as long as nothing newer is known.  A deregistration that has
     come meanwhile stays in force, unless the record names a later start.  An
     upstream that is not leaving by the record is unconfirmed.  Returns
     whether it did.  */
  bool reg_restore (struct reg *registration, const struct mbr_member *record,
                    struct net_address address, clk_time now);

  /* The announcement that made the upstream ready may be older than a
     departure of which this process cannot know yet: the upstream needs
     confirmation.  */
  void reg_require_confirmation (struct reg *registration);

  /* Returns whether the upstream was restored from a record that says that it
     takes calls, or reg_require_confirmation was called, and it has neither
     announced itself nor been confirmed since.  */
  bool reg_needs_confirmation (const struct reg *registration);

  /* The upstream has said that it takes calls.  */
  void reg_confirm (struct reg *registration, clk_time now);

  /* The upstream refused a connection, or its announcements are overdue.
     Returns whether the state changed.  */
  bool reg_mark_unreachable (struct reg *registration);

  /* Writes the upstream into this node's record.  Returns whether the record
     changed.  */
  bool reg_fill_record (const struct reg *registration,
                        struct mbr_member *record);

  /* Returns "none", "ready", "leaving", "silent" or "unconfirmed".  */
  const char *reg_state_name (enum reg_state state);

#ifdef __cplusplus
}
#endif

#endif
