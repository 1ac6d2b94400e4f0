/* Decision which of two versions replaces the other.  */

#include "ver/ver.h"

enum ver_decision
ver_decide (struct snp_stamp held, struct snp_stamp offered)
{
  if (offered.version > held.version)
    return VER_ACCEPT;
  if (offered.version == held.version && offered.version != 0
      && offered.hash != held.hash)
    return VER_FORK;
  return VER_IGNORE;
}

bool
ver_equal (struct snp_stamp left, struct snp_stamp right)
{
  return left.version == right.version && left.hash == right.hash;
}
