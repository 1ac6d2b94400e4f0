/* Frames that come over a link.  */

#include "gate/gate_internal.h"

#include "base/log.h"
#include "wire/frm.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static void
refuse (struct gate_link *link, const char *reason)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Refusal refusal = MESH__REFUSAL__INIT;

  refusal.protocol = FRM_PROTOCOL;
  refusal.reason = (char *)reason;
  frame.body_case = MESH__FRAME__BODY_REFUSAL;
  frame.refusal = &refusal;
  gate_link_send_frame (link, &frame);
  log_write (LOG_WARNING, "gate", "refused a link: %s", reason);
}

static bool
handle_hello (struct gate_link *link, const Mesh__Hello *hello)
{
  char reason[128];

  if (link->introduced)
    return false;
  if (hello->protocol != FRM_PROTOCOL)
    {
      snprintf (reason, sizeof reason,
                "protocol version %" PRIu32 " is not spoken here, only %d",
                hello->protocol, FRM_PROTOCOL);
      refuse (link, reason);
      return false;
    }
  if (hello->mesh != link->gate->mesh)
    {
      refuse (link, "this node belongs to another mesh");
      return false;
    }
  link->introduced = true;
  link->peer = XXH3_64bits (hello->from, strlen (hello->from));
  return true;
}

static void
answer_fetch (struct gate_link *link, const Mesh__FetchRequest *request)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__FetchReply *reply = malloc (sizeof *reply);
  const struct gate_hooks *hooks = &link->gate->hooks;

  if (reply == NULL)
    abort ();
  mesh__fetch_reply__init (reply);
  hooks->fetch (hooks->context, request, reply);
  frame.body_case = MESH__FRAME__BODY_FETCH_REPLY;
  frame.fetch_reply = reply;
  gate_link_send_frame (link, &frame);
  mesh__fetch_reply__free_unpacked (reply, NULL);
}

/* Handles all frames but calls.  */
static bool
handle_other (struct gate_link *link, const Mesh__Frame *frame)
{
  switch (frame->body_case)
    {
    case MESH__FRAME__BODY_CALL_BODY:
      return gate_call_part (link, frame->call_body);
    case MESH__FRAME__BODY_CANCEL:
      if (frame->cancel->id == NULL)
        return false;
      gate_call_cancel (link, frame->cancel->id);
      return true;
    case MESH__FRAME__BODY_QUERY:
      if (frame->query->id == NULL)
        return false;
      gate_call_query (link, frame->query);
      return true;
    case MESH__FRAME__BODY_WINDOW_GRANT:
      if (frame->window_grant->id == NULL)
        return false;
      gate_answer_grant (link, frame->window_grant);
      return true;
    case MESH__FRAME__BODY_FETCH_REQUEST:
      if (link->gate->hooks.fetch == NULL)
        return false;
      answer_fetch (link, frame->fetch_request);
      return true;
    default:
      return false;
    }
}

bool
gate_handle_frame (struct gate_link *link, Mesh__Frame *frame)
{
  bool valid;

  if (frame->body_case == MESH__FRAME__BODY_CALL && link->introduced)
    return gate_call_begin (link, frame);
  if (frame->body_case == MESH__FRAME__BODY_HELLO)
    valid = handle_hello (link, frame->hello);
  else
    valid = link->introduced && handle_other (link, frame);
  frm_free (frame);
  return valid;
}
