/* Replies to the fetches of other nodes, at a bounded rate.  */

#include "base/mem.h"
#include "dst/dst_state.h"

#include <stdlib.h>
#include <string.h>

/* Documents and member lists given out per second, and at once: a relay that
   many nodes ask after a mass restart keeps its processor and link budget.  */
#define ADMISSIONS_PER_SECOND 32
#define ADMISSION_BURST 32
#define RETRY_AFTER_MS 500

static bool
admit (struct dst *dst, clk_time now)
{
  dst->admission += (double)(now - dst->admission_at) / (double)CLK_SECOND
                    * ADMISSIONS_PER_SECOND;
  dst->admission_at = now;
  if (dst->admission > ADMISSION_BURST)
    dst->admission = ADMISSION_BURST;
  if (dst->admission < 1)
    return false;
  dst->admission -= 1;
  return true;
}

static Mesh__Stamp *
copy_stamp (struct snp_stamp stamp)
{
  Mesh__Stamp *copy = mem_alloc (1, sizeof *copy);

  *copy = dst_to_wire (stamp);
  return copy;
}

static void
add_document (struct dst *dst, struct snp_stamp held, Mesh__FetchReply *reply)
{
  const struct ver_document *result
      = ver_recent_find (&dst->recent, dst->held);
  const struct ver_document *base = dst->settings.options.no_delta
                                        ? NULL
                                        : ver_recent_find (&dst->recent, held);
  struct buf payload = { 0 };

  if (result == NULL || ver_equal (held, dst->held))
    return;
  if (base != NULL && ver_equal (held, dst->delta_base)
      && dst->delta.length > 0)
    buf_append (&payload, dst->delta.data, dst->delta.length);
  else
    ver_encode (base != NULL ? buf_text (&base->text) : "",
                base != NULL ? base->text.length : 0, buf_text (&result->text),
                result->text.length, &payload);
  if (base != NULL)
    reply->base_stamp = copy_stamp (held);
  reply->payload.data = payload.data;
  reply->payload.len = payload.length;
}

/* Appends all records; dead ones too, so that the asker does not keep them
   alive.  Each is one allocation with its strings.  */
static void
add_members (const struct dst *dst, Mesh__FetchReply *reply)
{
  size_t count = mbr_count (dst->mbr);

  /* An array of pointers.  */
  reply->members = mem_alloc (
      count, sizeof *reply->members); /* NOLINT(bugprone-sizeof-expression) */
  for (size_t i = 0; i < count; i++)
    {
      struct
      {
        Mesh__Member message;
        struct mbr_member member;
      } *copy = mem_alloc (1, sizeof *copy);

      copy->member = mbr_at (dst->mbr, i)->member;
      mbr_member_to_wire (&copy->member, &copy->message);
      reply->members[reply->n_members++] = &copy->message;
    }
}

void
dst_answer_fetch (struct dst *dst, const Mesh__FetchRequest *request,
                  clk_time now, Mesh__FetchReply *reply,
                  struct dst_actions *actions)
{
  bool far = false;

  mesh__fetch_reply__init (reply);
  for (size_t i = 0; i < request->n_members; i++)
    {
      struct mbr_member member;

      if (!mbr_member_from_wire (request->members[i], &member))
        dst->counters.invalid++;
      else
        mbr_merge (dst->mbr, &member, MBR_GOSSIP, now);
      far = strcmp (request->members[i]->region, mbr_self (dst->mbr)->region)
            != 0;
    }
  reply->result = copy_stamp (dst->held);
  if ((request->want_document || request->want_members) && !admit (dst, now))
    {
      dst->counters.busy_replies++;
      reply->retry_after_ms
          = RETRY_AFTER_MS + rnd_below (&dst->random, RETRY_AFTER_MS);
    }
  else
    {
      if (request->want_document)
        add_document (dst, dst_from_wire (request->held), reply);
      if (request->want_members)
        add_members (dst, reply);
    }
  dst_count (dst, DST_FETCHES, far,
             mesh__fetch_reply__get_packed_size (reply) + DST_TCP_HEADERS);
  dst_finish (dst, now, actions);
}

void
dst_reply_close (Mesh__FetchReply *reply)
{
  for (size_t i = 0; i < reply->n_members; i++)
    free (reply->members[i]);
  free (reply->members);
  free (reply->payload.data);
  free (reply->base_stamp);
  free (reply->result);
  mesh__fetch_reply__init (reply);
}
