/* Names of outcomes.  */

#include "out/out.h"

const char *
out_name (enum out_outcome outcome)
{
  static const char *const names[] = { "answered", "not-run", "unknown" };

  return names[outcome];
}
