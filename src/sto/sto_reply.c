/* Replies of the platform's store, and the revisions in them.  */

#include "sto/sto_request.h"

#include <stdlib.h>

void
sto_reply_close (struct sto_reply *reply)
{
  free (reply->objects);
  json_decref (reply->root);
  *reply = (struct sto_reply){ 0 };
}

const char *
sto_status_name (enum sto_status status)
{
  static const char *const names[]
      = { "ok",   "absent",      "conflict", "history gone",
          "busy", "unreachable", "unknown",  "invalid reply" };

  return names[status];
}

uint64_t
sto_revision_in_era (uint64_t revision, uint64_t era)
{
  uint64_t kept = era & ((UINT64_C (1) << STO_ERA_BITS) - 1);

  return revision | kept << STO_REVISION_BITS;
}

uint64_t
sto_plain_revision (uint64_t revision)
{
  return revision & ((UINT64_C (1) << STO_REVISION_BITS) - 1);
}

bool
sto_is_earlier_era (uint64_t left, uint64_t right)
{
  return left >> STO_REVISION_BITS < right >> STO_REVISION_BITS;
}
