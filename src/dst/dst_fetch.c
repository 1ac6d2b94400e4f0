/* Fetches from other nodes: start, reply, time limit and back-off.  */

#include "dst/dst_state.h"

#include <string.h>

#define FIRST_BACKOFF (200 * CLK_MILLISECOND)
#define LONGEST_BACKOFF (5 * CLK_SECOND)

bool
dst_is_fetching (const struct dst *dst, enum dst_purpose purpose)
{
  for (size_t i = 0; i < DST_MAX_FETCHES; i++)
    if (dst->fetches[i].id != 0 && dst->fetches[i].purpose == purpose)
      return true;
  return false;
}

static bool
is_far (const struct dst *dst, struct net_address address)
{
  for (size_t i = 1; i < mbr_count (dst->mbr); i++)
    {
      const struct mbr_member *member = &mbr_at (dst->mbr, i)->member;

      if (net_equal (member->address, address))
        return strcmp (member->region, mbr_self (dst->mbr)->region) != 0;
    }
  return false;
}

struct dst_fetch *
dst_start_fetch (struct dst *dst, enum dst_purpose purpose,
                 struct net_address address, bool want_members, clk_time now,
                 struct dst_actions *actions)
{
  struct dst_fetch *fetch = NULL;
  struct dst_action *action;

  for (size_t i = 0; i < DST_MAX_FETCHES && fetch == NULL; i++)
    if (dst->fetches[i].id == 0)
      fetch = &dst->fetches[i];
  if (fetch == NULL)
    return NULL;
  fetch->id = ++dst->next_fetch;
  fetch->purpose = purpose;
  fetch->address = address;
  fetch->want_members = want_members;
  fetch->deadline = now + DST_FETCH_TIMEOUT;
  action = dst_actions_add (actions, DST_FETCH);
  action->id = fetch->id;
  action->address = address;
  action->stamp = dst->held;
  action->want_document = purpose == DST_FETCH_DOCUMENT;
  action->want_members = want_members;
  action->push_self = dst->joined;
  dst_count (dst, DST_FETCHES, is_far (dst, address), 40 + DST_TCP_HEADERS);
  return fetch;
}

/* Decompresses and offers the document of a reply.  Returns whether the reply
   was of use.  */
static bool
take_document (struct dst *dst, const Mesh__FetchReply *reply, clk_time now,
               struct dst_actions *actions)
{
  struct snp_stamp result = dst_from_wire (reply->result);
  struct snp_stamp base = dst_from_wire (reply->base_stamp);
  const struct ver_document *document = ver_recent_find (&dst->recent, base);
  struct buf payload = { .data = reply->payload.data,
                         .length = reply->payload.len,
                         .capacity = reply->payload.len };
  struct buf text = { 0 };
  bool valid = reply->payload.len > 0 && dst_wants (dst, result)
               && (base.version == 0 || document != NULL);

  valid = valid
          && ver_decode (document != NULL ? buf_text (&document->text) : "",
                         document != NULL ? document->text.length : 0,
                         reply->payload.data, reply->payload.len, &text)
                 == VER_OK
          && (dst->settings.options.no_hash_check
              || snp_hash (buf_text (&text), text.length) == result.hash);
  if (valid)
    dst_offer (dst, result, buf_text (&text), text.length, &dst->behind.origin,
               base, document != NULL ? &payload : NULL, now, actions);
  buf_close (&text);
  return valid;
}

static void
back_off (struct dst *dst, uint32_t retry_after_ms, clk_time now)
{
  clk_time delay = FIRST_BACKOFF;

  for (uint32_t i = 0; i < dst->behind.failures && delay < LONGEST_BACKOFF;
       i++)
    delay *= 2;
  if (delay > LONGEST_BACKOFF)
    delay = LONGEST_BACKOFF;
  dst->behind.failures++;
  dst->behind.due
      = now + (clk_time)(rnd_unit (&dst->random) * (double)delay)
        + (retry_after_ms < 5000 ? retry_after_ms : 5000) * CLK_MILLISECOND;
}

/* The reply brought no document.  */
static void
give_up_or_wait (struct dst *dst, const Mesh__FetchReply *reply, clk_time now)
{
  struct snp_stamp result = dst_from_wire (reply->result);

  if (reply->retry_after_ms == 0 && result.version < dst->behind.stamp.version)
    /* The peer does not hold what its datagram seemed to say; asking for
       a version that nobody holds would hide those that are held.  */
    memset (&dst->behind, 0, sizeof dst->behind);
  else
    back_off (dst, reply->retry_after_ms, now);
}

void
dst_fetched (struct dst *dst, uint64_t id, const Mesh__FetchReply *reply,
             clk_time now, struct dst_actions *actions)
{
  struct dst_fetch fetch = { 0 };

  for (size_t i = 0; i < DST_MAX_FETCHES; i++)
    if (dst->fetches[i].id == id && id != 0)
      {
        fetch = dst->fetches[i];
        dst->fetches[i].id = 0;
      }
  if (fetch.id == 0)
    return;
  if (fetch.purpose == DST_FETCH_DOCUMENT)
    {
      if (reply == NULL)
        back_off (dst, 0, now);
      else if (!take_document (dst, reply, now, actions))
        give_up_or_wait (dst, reply, now);
    }
  else if (reply != NULL)
    {
      if (reply->n_members > 0)
        dst_sync_reply (dst, reply, now);
      if (fetch.purpose == DST_FETCH_JOIN)
        dst_join_reply (dst, &fetch, reply, now, actions);
    }
  dst_finish (dst, now, actions);
}

void
dst_fetch_tick (struct dst *dst, clk_time now, struct dst_actions *actions)
{
  struct dst_behind *behind = &dst->behind;

  for (size_t i = 0; i < DST_MAX_FETCHES; i++)
    if (dst->fetches[i].id != 0 && now >= dst->fetches[i].deadline)
      dst_fetched (dst, dst->fetches[i].id, NULL, now, actions);
  if (behind->stamp.version == 0 || now < behind->due
      || dst_is_fetching (dst, DST_FETCH_DOCUMENT))
    return;
  if (dst_wants (dst, behind->stamp))
    dst_start_fetch (dst, DST_FETCH_DOCUMENT, behind->address, false, now,
                     actions);
  else
    memset (behind, 0, sizeof *behind);
}

clk_time
dst_fetch_wake (const struct dst *dst)
{
  clk_time wake = CLK_NEVER;

  for (size_t i = 0; i < DST_MAX_FETCHES; i++)
    if (dst->fetches[i].id != 0 && dst->fetches[i].deadline < wake)
      wake = dst->fetches[i].deadline;
  if (dst->behind.stamp.version != 0 && dst->behind.due < wake
      && !dst_is_fetching (dst, DST_FETCH_DOCUMENT))
    wake = dst->behind.due;
  return wake;
}
