/* Offers of the directory at the start of a large mesh: a relay that has
   joined sends its records to the nodes of its data centre that have no link
   with it, and a node that watches the store to the relays of the other data
   centres.  A node that has not joined joins with them and need not list the
   nodes in the store; see docs/design/large-start.md.  */

#include "base/log.h"
#include "base/mem.h"
#include "jpl/jpl_offers.h"
#include "syn/syn_internal.h"

#include <stdlib.h>
#include <string.h>

/* Maximum number of records in one frame.  */
#define RECORDS_PER_FRAME 128

/* Delay between rounds of offers, so that other frames are sent in between. */
#define ROUND_INTERVAL (10 * CLK_MILLISECOND)

struct syn_offers
{
  struct jpl_offers *plan;
  struct evl_timer timer; /* next round */
  clk_time next_round_at; /* earliest time of the next round */
  size_t offered_count;   /* since the last log line */
};

static void run_round (void *context);

void
syn_create_offers (struct syn *sync)
{
  sync->offers = mem_alloc (1, sizeof *sync->offers);
  sync->offers->plan = jpl_offers_create ();
  evl_timer_init (&sync->offers->timer, sync->loop, run_round, sync);
}

void
syn_destroy_offers (struct syn *sync)
{
  evl_timer_stop (&sync->offers->timer);
  jpl_offers_destroy (sync->offers->plan);
  free (sync->offers);
}

void
syn_note_learned (struct syn *sync, dir_handle peer)
{
  jpl_offers_learned (sync->offers->plan, peer, evl_now (sync->loop));
}

void
syn_note_hello (struct syn *sync, dir_handle peer)
{
  if (peer != DIR_NONE)
    jpl_offers_linked (sync->offers->plan, peer);
}

/* Schedules the next round: when an offer is due, but not right after another
   round.  */
static void
schedule_round (struct syn *sync)
{
  clk_time next = jpl_offers_next (sync->offers->plan);

  evl_timer_set (&sync->offers->timer, next > sync->offers->next_round_at
                                           ? next
                                           : sync->offers->next_round_at);
}

void
syn_plan_offers (struct syn *sync, const struct rel_node *nodes,
                 const dir_handle *handles, size_t count, size_t self,
                 const struct rel_roles *roles)
{
  bool *is_relay = mem_alloc (count, sizeof *is_relay);
  bool is_large = dir_alive_count (sync->directory) > JPL_SMALL_MESH;

  if (is_large && roles->is_watcher)
    rel_mark_relays (nodes, count, self, is_relay);
  for (size_t i = 0; i < count; i++)
    {
      bool same = strcmp (nodes[i].data_centre, nodes[self].data_centre) == 0;

      jpl_offers_set_target (
          sync->offers->plan, handles[i],
          is_large && i != self && nodes[i].alive
              && (same ? roles->is_relay : roles->is_watcher && is_relay[i]));
    }
  free (is_relay);
  schedule_round (sync);
}

/* Sends records to PEER.  The last frame of an offer carries OFFER.  */
static void
send_records (struct syn *sync, dir_handle peer, Mesh__Member **members,
              size_t count, Mesh__Offer *offer)
{
  Mesh__Members message = MESH__MEMBERS__INIT;
  Mesh__Frame frame = MESH__FRAME__INIT;
  uint64_t link;

  message.members = members;
  message.n_members = count;
  message.offer = offer;
  frame.body_case = MESH__FRAME__BODY_MEMBERS;
  frame.members = &message;
  hub_send (sync->hub, peer, &frame, 0, &link);
}

/* Sends all records and the stamp of the held version to PEER.  */
static void
send_offer (struct syn *sync, dir_handle peer)
{
  Mesh__Member messages[RECORDS_PER_FRAME];
  Mesh__Member *pointers[RECORDS_PER_FRAME];
  Mesh__Offer offer = MESH__OFFER__INIT;
  size_t count = 0;

  offer.from = (char *)dir_get (sync->directory, sync->self)->name;
  offer.config_version = syn_held_stamp (sync).version;
  for (dir_handle i = 0; i < dir_handle_limit (sync->directory); i++)
    {
      const struct mbr_member *member = dir_get (sync->directory, i);

      if (member == NULL)
        continue;
      if (count == RECORDS_PER_FRAME)
        {
          send_records (sync, peer, pointers, count, NULL);
          count = 0;
        }
      mbr_member_to_wire (member, &messages[count]);
      pointers[count] = &messages[count];
      count++;
    }
  send_records (sync, peer, pointers, count, &offer);
}

static void
run_round (void *context)
{
  struct syn *sync = context;
  dir_handle peers[JPL_OFFERS_PER_ROUND];
  size_t count
      = jpl_offers_take (sync->offers->plan, evl_now (sync->loop), peers);

  for (size_t i = 0; i < count; i++)
    if (hub_can_send (sync->hub, peers[i])
        && !hub_is_connected (sync->hub, peers[i]))
      {
        send_offer (sync, peers[i]);
        sync->offers->offered_count++;
      }
  sync->offers->next_round_at = evl_now (sync->loop) + ROUND_INTERVAL;
  schedule_round (sync);
  if (sync->offers->timer.deadline == sync->offers->next_round_at
      || sync->offers->offered_count == 0)
    return;
  log_write (LOG_INFO, "syn", "offered the directory to %zu nodes",
             sync->offers->offered_count);
  sync->offers->offered_count = 0;
}

void
syn_handle_offer (struct syn *sync, const Mesh__Members *message)
{
  dir_handle peer;

  if (message->offer == NULL)
    return;
  sync->hooks.directory_offered (sync->hooks.context, message->offer->from);
  peer = dir_find (sync->directory, message->offer->from);
  if (peer != DIR_NONE)
    syn_note_peer_version (sync, peer, message->offer->config_version);
}
