/* Orders of the operator.  */

#include "rol/rol_order.h"

#include "base/err.h"

#include <ctype.h>
#include <string.h>

static enum rol_order_status
invalid (const char *reason)
{
  err_set ("%s", reason);
  return ROL_ORDER_INVALID;
}

/* Returns whether a version consists of printable characters that need no
   quotes in logs and metrics.  */
static bool
is_plain (const char *version)
{
  for (const char *at = version; *at != '\0'; at++)
    if (!isalnum ((unsigned char)*at) && strchr ("-._+~:/", *at) == NULL)
      return false;
  return version[0] != '\0';
}

static enum rol_phase
stored_phase (const struct ptf_rollout *rollout)
{
  if (strcmp (rollout->status_version, rollout->version) != 0)
    return ROL_NONE;
  switch (rollout->state)
    {
    case PTF_ROLLOUT_RUNNING:
      return ROL_CANARY;
    case PTF_ROLLOUT_COMPLETED:
      return ROL_COMPLETED;
    case PTF_ROLLOUT_ROLLED_BACK:
      return ROL_ROLLED_BACK;
    default:
      return ROL_NONE;
    }
}

enum rol_order_status
rol_read_order (const struct ptf_platform *platform,
                const struct sto_object *object, struct rol_order *order)
{
  struct ptf_rollout rollout;

  if (platform->read_rollout (object, &rollout) != PTF_OK)
    return ROL_ORDER_INVALID;
  if (strcmp (rollout.service, object->name) != 0)
    return invalid ("it is the order of another service");
  if (!is_plain (rollout.version))
    return invalid ("the version has characters that versions do not have");
  if (!(rollout.duration_s >= (double)ROL_MIN_DURATION / CLK_SECOND
        && rollout.duration_s <= (double)ROL_MAX_DURATION / CLK_SECOND))
    return invalid ("the duration is out of range");
  memset (order, 0, sizeof *order);
  memcpy (order->service, rollout.service, sizeof order->service);
  memcpy (order->version, rollout.version, sizeof order->version);
  order->duration = (clk_time)(rollout.duration_s * (double)CLK_SECOND);
  order->deadline = CLK_NEVER;
  order->revision = object->revision;
  order->stored = stored_phase (&rollout);
  return ROL_ORDER_OK;
}

const char *
rol_phase_name (enum rol_phase phase)
{
  static const char *const names[]
      = { "none", "canary", "switching", "completed", "rolled back" };

  return phase <= ROL_ROLLED_BACK ? names[phase] : "other";
}
