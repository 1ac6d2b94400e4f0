/* Split of a node's requests for a service between the versions of its
   upstreams.  Pure.

   Load that it answers: 80 to 750 nodes that each see a part of a service's
   requests, some of them only a few a minute.  The share of the new version
   must hold over all nodes whatever their number, so each node rounds down:
   it sends a request to the new version only when its own requests have
   earned one.  Upstreams are killed and start again meanwhile.  */

#ifndef MULBERRYSHIFT_ROL_ROL_SPLIT_H
#define MULBERRYSHIFT_ROL_ROL_SPLIT_H

#include "rol/rol_phase.h"

#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Part of max_share that nodes send, so that retries and rounding stay under
   it.  */
#define ROL_SHARE_PART 0.8

/* Upstreams of the new version that are used in canary, at least.  */
#define ROL_MIN_CANARIES 2

/* Time for which a node without contact to an owner goes on to send requests
   to the new version in canary.  */
#define ROL_CONTACT_TIME CLK_SECOND

/* Time for which another version must be the most frequent one to become the
   version in use of a service without an order; upstreams that are killed come
   back within it.  */
#define ROL_ADOPTION_TIME (10 * CLK_SECOND)

  /* Which upstreams may run a call.  */
  enum rol_side
  {
    ROL_ANY, /* the service has one version only */
    ROL_OLD,
    ROL_NEW
  };

  /* An upstream of the service.  */
  struct rol_upstream
  {
    const char *node;    /* name of its node */
    const char *version; /* of its software */
    uint64_t started_ms; /* since the epoch */
    bool usable;         /* reachable, and takes calls */
    bool is_canary;      /* set by rol_choose_canaries */
  };

  /* The requests of a node for one service during a roll-out.
     Zero-initialise.  */
  struct rol_share
  {
    double earned; /* requests that may go to the new version */
  };

  /* The version in use of a service without an order.  Zero-initialise.  */
  struct rol_in_use
  {
    char version[PTF_NAME_SIZE];
    char other[PTF_NAME_SIZE]; /* the most frequent one, if another */
    clk_time other_since;
  };

  /* Returns the version that most of COUNT upstreams have, of equal ones the
     one that started first, and then the first by name.  EXCLUDED is a version
     that does not count, or null.  Returns null when there is none.  */
  const char *rol_find_version (const struct rol_upstream *upstreams,
                                size_t count, const char *excluded);

  /* Returns the version of the upstream that started first, null when there is
     none.  */
  const char *rol_find_first_version (const struct rol_upstream *upstreams,
                                      size_t count);

  /* Brings the version in use up to date.  It changes at once when no usable
     upstream has it.  Until SETTLED is true it is that of the upstream that
     started first: a node that starts learns of upstreams one by one, and may
     not know yet of an order for a version that most of them have.  */
  void rol_update_in_use (struct rol_in_use *in_use,
                          const struct rol_upstream *upstreams, size_t count,
                          bool settled, clk_time now);

  /* Marks the upstreams of VERSION that are used in canary: about SHARE of
     them, the same on all nodes that see the same ones usable.  */
  void rol_choose_canaries (struct rol_upstream *upstreams, size_t count,
                            const char *service, const char *version,
                            double share);

  /* Returns the share of requests that may go to the new version.  */
  double rol_share_of (enum rol_phase phase, double max_share,
                       clk_time contact_at, clk_time now);

  /* Returns the side of the next request.  Those of ROL_NEW come evenly.  */
  enum rol_side rol_take_side (struct rol_share *state, double share);

  /* Gives back a request of ROL_NEW that went to the old version instead.  */
  void rol_return_side (struct rol_share *state);

#ifdef __cplusplus
}
#endif

#endif
