/* Placement of a call, and what follows a try.  */

#include "base/log.h"
#include "base/mem.h"
#include "fwd/fwd_internal.h"

#include <string.h>

/* What a peer has told of its load is used for this long; later only the calls
   that this node has sent there count.  */
#define LOAD_AGE CLK_SECOND

/* Round trips assumed before one was measured.  */
static const clk_time assumed_round_trip[PLC_LOCALITIES]
    = { CLK_MILLISECOND, 4 * CLK_MILLISECOND, 20 * CLK_MILLISECOND };

/* Nodes considered for one call.  */
#define MAX_CANDIDATES 256

/* Shortest and longest time after which a refused caller is asked to come
   back.  */
#define SHORTEST_RETRY (50 * CLK_MILLISECOND)
#define LONGEST_RETRY (2 * CLK_SECOND)

struct fwd_peer *
fwd_peer (struct fwd *forwarder, dir_handle peer)
{
  dir_handle count = peer + 1;

  if (peer >= forwarder->peer_count)
    {
      forwarder->peers
          = mem_resize (forwarder->peers, count, sizeof *forwarder->peers);
      memset (forwarder->peers + forwarder->peer_count, 0,
              (count - forwarder->peer_count) * sizeof *forwarder->peers);
      forwarder->peer_count = count;
    }
  return &forwarder->peers[peer];
}

static bool
was_tried (const struct fwd_call *call, dir_handle peer)
{
  for (unsigned i = 0; i < call->tried_count; i++)
    if (call->tried[i] == peer)
      return true;
  return false;
}

static enum plc_locality
locality_of (const struct fwd *forwarder, const struct mbr_member *member)
{
  const struct mbr_member *self
      = dir_get (forwarder->parts.directory, forwarder->parts.self);

  if (strcmp (self->data_centre, member->data_centre) == 0)
    return PLC_SAME_DATA_CENTRE;
  return strcmp (self->region, member->region) == 0 ? PLC_SAME_REGION
                                                    : PLC_OTHER_REGION;
}

static struct plc_candidate
make_candidate (const struct fwd_call *call, dir_handle peer,
                const struct mbr_member *member)
{
  struct fwd *forwarder = call->forwarder;
  const struct fwd_peer *known = fwd_peer (forwarder, peer);
  clk_time now = evl_now (forwarder->parts.loop);
  struct plc_candidate candidate = { 0 };

  candidate.locality = (uint8_t)locality_of (forwarder, member);
  candidate.usable
      = !was_tried (call, peer) && hub_can_send (forwarder->parts.hub, peer)
        && !member->upstream_leaving && member->state == MBR_ALIVE;
  candidate.slots = member->slots;
  candidate.in_system = known->sent;
  candidate.service = known->service;
  candidate.round_trip = hub_round_trip (forwarder->parts.hub, peer);
  if (candidate.round_trip == 0 && peer != forwarder->parts.self)
    candidate.round_trip = assumed_round_trip[candidate.locality];
  if (known->heard != 0 && now - known->heard < LOAD_AGE)
    {
      candidate.slots = known->slots;
      candidate.in_system += known->running + known->waiting;
      candidate.failed = known->failed;
    }
  return candidate;
}

/* Collects the nodes with an upstream of the call's service.  */
static size_t
collect (const struct fwd_call *call, struct plc_candidate *candidates,
         dir_handle *peers)
{
  const struct dir *directory = call->forwarder->parts.directory;
  size_t count = 0;

  for (dir_handle i = 0; i < dir_end (directory) && count < MAX_CANDIDATES;
       i++)
    {
      const struct mbr_member *member = dir_get (directory, i);

      if (member == NULL || strcmp (member->service, call->service) != 0)
        continue;
      peers[count] = i;
      candidates[count++] = make_candidate (call, i, member);
    }
  return count;
}

/* Answers that the call was not run, with the time after which room is
   expected.  */
static void
refuse (struct fwd_call *call)
{
  clk_time retry = call->shortest_wait;

  if (retry < SHORTEST_RETRY)
    retry = SHORTEST_RETRY;
  if (retry > LONGEST_RETRY)
    retry = LONGEST_RETRY;
  fwd_fail (call, 503, "not run: no upstream has room\n", retry);
}

/* Gives up a call that cannot be sent to another upstream.  */
static void
give_up (struct fwd_call *call)
{
  if (call->may_have_run)
    fwd_fail (call, 502, "the upstream's answer was lost\n", 0);
  else
    refuse (call);
}

void
fwd_place (struct fwd_call *call)
{
  struct plc_candidate candidates[MAX_CANDIDATES];
  dir_handle peers[MAX_CANDIDATES];
  struct fwd *forwarder = call->forwarder;
  clk_time now = evl_now (forwarder->parts.loop);

  for (;;)
    {
      size_t count = collect (call, candidates, peers);
      struct plc_choice choice
          = plc_choose (candidates, count, call->target - now,
                        call->deadline - now, &forwarder->random);

      if (choice.index == PLC_NONE || call->tried_count == FWD_MAX_TRIED)
        {
          give_up (call);
          return;
        }
      if (fwd_send (call, peers[choice.index], choice.max_wait))
        return;
      call->tried[call->tried_count++] = peers[choice.index];
    }
}

/* Returns the longest number of upstreams that the call may be sent to.  */
static unsigned
max_runs (const struct fwd_call *call)
{
  return call->route->max_attempts > 0 ? call->route->max_attempts : 2;
}

/* Sends the call again after a try that reached an upstream; the budget must
   allow it.  */
static void
repeat (struct fwd_call *call)
{
  struct fwd *forwarder = call->forwarder;

  forwarder->parts.budget.nodes = dir_count (forwarder->parts.directory);
  if ((call->may_have_run && call->route->call_class != DOC_REPEATABLE)
      || call->runs >= max_runs (call)
      || !bud_take (forwarder->budget, call->service, &forwarder->parts.budget,
                    evl_now (forwarder->parts.loop)))
    {
      give_up (call);
      return;
    }
  fwd_place (call);
}

static void
take_load (struct fwd *forwarder, dir_handle peer, const Mesh__Load *load)
{
  struct fwd_peer *known = fwd_peer (forwarder, peer);

  if (load == NULL)
    return;
  known->running = load->running;
  known->waiting = load->waiting;
  known->slots = load->slots;
  known->service = (clk_time)load->service_us * CLK_MICROSECOND;
  known->failed = load->failed_permille / 1000.;
  known->heard = evl_now (forwarder->parts.loop);
  known->sent = 0;
}

/* The gate did not run the call.  */
static void
take_refusal (struct fwd_call *call, const Mesh__Answer *answer)
{
  const struct fwd_peer *known = fwd_peer (call->forwarder, call->peer);
  struct plc_candidate candidate
      = { .slots = known->slots,
          .in_system = known->running + known->waiting,
          .service = known->service };
  clk_time wait = plc_expect_wait (&candidate);

  call->refusal = (enum gat_refusal)answer->refusal;
  if (call->refusal == GAT_BUSY
      && (call->shortest_wait == 0 || wait < call->shortest_wait))
    call->shortest_wait = wait;
  if (call->refusal == GAT_SHED)
    {
      call->runs++;
      repeat (call);
    }
  else
    fwd_place (call);
}

static struct fwd_call *
find_call (const struct fwd *forwarder, const Mesh__CallId *id)
{
  struct fwd_call *call = forwarder->calls;

  while (call != NULL
         && (id == NULL || call->number == 0 || call->number != id->number))
    call = call->next;
  return call;
}

static void
take_answer (struct fwd_call *call, const Mesh__Answer *answer)
{
  call->number = 0;
  if (call->tried_count < FWD_MAX_TRIED)
    call->tried[call->tried_count++] = call->peer;
  if (answer->outcome == OUT_ANSWERED)
    fwd_answer (call, answer);
  else if (answer->outcome == OUT_NOT_RUN)
    take_refusal (call, answer);
  else
    {
      call->runs++;
      call->may_have_run = true;
      repeat (call);
    }
}

/* Adds a part to an answer that came in several frames.  */
static void
add_body (struct fwd_call *call, const Mesh__BodyPart *part)
{
  Mesh__Answer *answer = call->answer;

  if (answer == NULL)
    return;
  answer->body.data
      = mem_resize (answer->body.data, answer->body.len + part->data.len, 1);
  if (part->data.len > 0)
    memcpy (answer->body.data + answer->body.len, part->data.data,
            part->data.len);
  answer->body.len += part->data.len;
  if (!part->more)
    take_answer (call, answer);
}

bool
fwd_take_reply (struct fwd *forwarder, dir_handle peer, Mesh__Frame *frame)
{
  struct fwd_call *call;

  if (frame->body_case == MESH__FRAME__BODY_ANSWER_BODY)
    {
      call = find_call (forwarder, frame->answer_body->id);
      if (call != NULL)
        add_body (call, frame->answer_body);
      return false;
    }
  if (frame->body_case != MESH__FRAME__BODY_ANSWER)
    return false;
  take_load (forwarder, peer, frame->answer->load);
  call = find_call (forwarder, frame->answer->id);
  if (call == NULL)
    return false;
  hub_settle (forwarder->parts.hub, call->link);
  if (frame->answer->more)
    {
      frm_free (call->frame);
      call->frame = frame;
      call->answer = frame->answer;
      return true;
    }
  take_answer (call, frame->answer);
  return false;
}

void
fwd_link_lost (struct fwd *forwarder, dir_handle peer, uint64_t link)
{
  struct fwd_call *call = forwarder->calls;

  while (call != NULL)
    {
      struct fwd_call *next = call->next;

      if (call->number != 0 && call->link == link && call->peer == peer)
        {
          call->number = 0;
          if (call->tried_count < FWD_MAX_TRIED)
            call->tried[call->tried_count++] = peer;
          call->runs++;
          call->may_have_run = true;
          repeat (call);
        }
      call = next;
    }
}
