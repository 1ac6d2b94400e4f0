/* Nodes with quotas on a virtual clock: the real module quo with links, timers
   and a clock of the simulation, in place of hub and evl.  It defines
   functions of theirs, so only one source of a test program includes it.  */

#ifndef TESTS_SUPPORT_QUOTA_SIM_H
#define TESTS_SUPPORT_QUOTA_SIM_H

#include "base/mem.h"
#include "base/rnd.h"
#include "quo/quo.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

static const clk_time ms = CLK_MILLISECOND;

/* Clock and events of the simulation.  */
struct evl
{
  struct event
  {
    clk_time at;
    uint64_t order;
    std::function<void ()> action;

    bool
    operator<(const event &other) const
    {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void
  at (clk_time time, std::function<void ()> action)
  {
    events.push ({ std::max (time, now), ++count, std::move (action) });
  }

  /* Runs what is due until END.  */
  void
  run (clk_time end)
  {
    while (step (end))
      {
      }
    now = end;
  }

  clk_time now = 100 * CLK_SECOND;
  uint64_t count = 0;
  std::priority_queue<event> events;
  std::set<std::pair<clk_time, struct evl_timer *> > timers;

private:
  bool
  step (clk_time end)
  {
    clk_time event_at = events.empty () ? CLK_NEVER : events.top ().at;
    clk_time timer_at = timers.empty () ? CLK_NEVER : timers.begin ()->first;

    if (std::min (event_at, timer_at) > end)
      return false;
    if (timer_at < event_at)
      {
        struct evl_timer *timer = timers.begin ()->second;

        now = std::max (now, timer_at);
        evl_timer_stop (timer);
        timer->callback (timer->context);
        return true;
      }
    event next = events.top ();

    events.pop ();
    now = std::max (now, event_at);
    next.action ();
    return true;
  }
};

clk_time
evl_now (const struct evl *loop)
{
  return loop->now;
}

void
evl_timer_init (struct evl_timer *timer, struct evl *loop,
                evl_callback callback, void *context)
{
  timer->loop = loop;
  timer->callback = callback;
  timer->context = context;
  timer->deadline = CLK_NEVER;
}

void
evl_timer_stop (struct evl_timer *timer)
{
  if (timer->deadline != CLK_NEVER)
    timer->loop->timers.erase ({ timer->deadline, timer });
  timer->deadline = CLK_NEVER;
}

void
evl_timer_set (struct evl_timer *timer, clk_time deadline)
{
  evl_timer_stop (timer);
  timer->deadline = deadline;
  if (deadline != CLK_NEVER)
    timer->loop->timers.insert ({ deadline, timer });
}

class QuotaSim;

/* The links of one node.  */
struct hub
{
  struct peer
  {
    uint64_t link = 0; /* 0: none */
    enum hub_health health = HUB_HEALTHY;
    bool overdue = false;
    clk_time heard_at = 0;
    bool is_watched = false;
  };

  QuotaSim *sim;
  dir_handle node;
  std::vector<peer> peers;
};

struct hub_inbound_link
{
  dir_handle from;
  dir_handle to;
  uint64_t from_start; /* of the sender's process */
};

/* Nodes in data centres, which are killed, restarted and cut off.  */
class QuotaSim : public testing::Test
{
public:
  struct vm
  {
    struct hub hub;
    struct quo *quota = nullptr; /* null: killed */
    uint64_t starts = 0;
    unsigned side = 0; /* nodes of other sides cannot be reached */
  };

  /* A caller's request.  */
  struct request
  {
    QuotaSim *sim;
    const struct doc_tenant *tenant;
    dir_handle at;
    bool comes_back;
  };

  /* What became of a tenant's requests.  */
  struct tally
  {
    std::vector<clk_time> runs;
    size_t refused = 0;
    std::vector<clk_time> retries; /* Retry-After of the refused */
  };

  QuotaSim () { use_seed (seed); }

  ~QuotaSim () override
  {
    for (vm &each : nodes)
      quo_destroy (each.quota);
    dir_destroy (directory);
    for (request *sent : requests)
      delete sent;
    for (struct snp_snapshot *snapshot : snapshots)
      snp_release (snapshot);
  }

  /* Starts the random numbers anew.  */
  void
  use_seed (unsigned long the_seed)
  {
    seed = the_seed;
    rnd_init (&random, seed);
  }

  /* Starts COUNT nodes in four data centres.  */
  void
  start_nodes (dir_handle count)
  {
    directory = dir_create ();
    nodes.resize (count);
    for (dir_handle i = 0; i < count; i++)
      {
        struct mbr_member member = {};
        dir_handle handle;

        snprintf (member.name, sizeof member.name, "node-%u", i);
        snprintf (member.data_centre, sizeof member.data_centre, "dc-%u",
                  i % 4);
        member.incarnation = 1;
        dir_merge (directory, &member, 0, &handle);
      }
    for (dir_handle i = 0; i < count; i++)
      start (i);
  }

  /* Puts a document with these tenants into effect on all nodes: rate and
     burst by name.  */
  void
  configure (const std::map<std::string, std::pair<double, double> > &tenants)
  {
    struct doc_document *document
        = (struct doc_document *)mem_alloc (1, sizeof *document);

    document->tenants = (struct doc_tenant *)mem_alloc (
        tenants.size (), sizeof *document->tenants);
    for (const auto &[name, limit] : tenants)
      {
        struct doc_tenant *tenant
            = &document->tenants[document->tenant_count++];

        tenant->name = mem_copy_string (name.c_str ());
        tenant->rate = limit.first;
        tenant->burst = limit.second;
      }
    doc_sort_tenants (document);
    snapshots.push_back (snp_compile (snapshots.size () + 1, 0, document));
    for (vm &each : nodes)
      if (each.quota != nullptr)
        quo_set_snapshot (each.quota, snapshots.back ());
  }

  const struct doc_tenant *
  tenant (const std::string &name)
  {
    return doc_find_tenant (snapshots.back ()->document, name.c_str ());
  }

  void
  kill (dir_handle index)
  {
    vm &killed = nodes[index];

    quo_destroy (killed.quota);
    killed.quota = nullptr;
    killed.starts++;
    for (dir_handle i = 0; i < nodes.size (); i++)
      if (nodes[i].quota != nullptr && nodes[i].hub.peers[index].link != 0)
        loop.at (loop.now + delay (i, index), [=] { lose (i, index); });
  }

  /* Starts a node; the others are connected again within a second.  */
  void
  start (dir_handle index)
  {
    vm &started = nodes[index];
    struct quo_options options
        = { &loop, &started.hub, directory, index, rnd_bits64 (&random) };
    uint64_t start = ++started.starts;

    started.hub.sim = this;
    started.hub.node = index;
    started.hub.peers.assign (nodes.size (), hub::peer ());
    started.quota = quo_create (&options);
    if (!snapshots.empty ())
      quo_set_snapshot (started.quota, snapshots.back ());
    quo_set_ready (started.quota, loop.now + between (20, 200) * ms);
    for (dir_handle i = 0; i < nodes.size (); i++)
      loop.at (loop.now + between (20, 300) * ms, [=] {
        if (nodes[index].starts == start && i != index
            && nodes[i].quota != nullptr
            && nodes[i].hub.peers[index].health == HUB_DISCONNECTED)
          nodes[i].hub.peers[index] = hub::peer ();
      });
  }

  /* Puts each node on the side that SIDE_OF returns.  */
  void
  part (const std::function<unsigned (dir_handle)> &side_of)
  {
    for (dir_handle i = 0; i < nodes.size (); i++)
      nodes[i].side = side_of (i);
    for (dir_handle i = 0; i < nodes.size (); i++)
      for (dir_handle j = 0; j < nodes.size (); j++)
        if (is_linked (i, j) && nodes[i].hub.peers[j].health != HUB_HEALTHY)
          loop.at (loop.now + between (50, 1050) * ms, [=] {
            if (!is_linked (i, j))
              return;
            nodes[i].hub.peers[j] = hub::peer ();
            if (nodes[i].quota != nullptr)
              quo_note_health (nodes[i].quota, j, HUB_HEALTHY);
          });
  }

  /* Sends a request of a tenant to a node.  */
  void
  send (const std::string &name, dir_handle at, bool comes_back = false)
  {
    request *sent = new request{ this, tenant (name), at, comes_back };

    requests.insert (sent);
    issue (sent);
  }

  /* Sends requests of a tenant from now until END, RATE a second at random
     times, to nodes that CHOOSE returns.  */
  void
  send_many (const std::string &name, double rate, clk_time end,
             const std::function<dir_handle ()> &choose,
             bool comes_back = false)
  {
    clk_time next
        = loop.now
          + (clk_time)(-std::log (1 - rnd_unit (&random)) / rate * CLK_SECOND);

    if (next >= end)
      return;
    loop.at (next, [=] {
      send (name, choose (), comes_back);
      send_many (name, rate, end, choose, comes_back);
    });
  }

  /* Returns the most runs of a tenant in any 5 s, of those that end after
     FROM.  */
  size_t
  most_runs (const std::string &name, clk_time from = 0)
  {
    const std::vector<clk_time> &runs = tallies[name].runs;
    size_t most = 0;
    size_t first = 0;

    for (size_t i = 0; i < runs.size (); i++)
      {
        while (runs[first] <= runs[i] - 5 * CLK_SECOND || runs[first] < from)
          if (++first > i)
            break;
        if (first <= i)
          most = std::max (most, i + 1 - first);
      }
    return most;
  }

  /* Returns when the 5 s with the most runs of a tenant end.  */
  clk_time
  most_runs_end (const std::string &name)
  {
    const std::vector<clk_time> &runs = tallies[name].runs;
    size_t most = most_runs (name);

    for (size_t i = most - 1; i < runs.size (); i++)
      if (runs[i + 1 - most] > runs[i] - 5 * CLK_SECOND)
        return runs[i];
    return 0;
  }

  /* Returns the runs between two times.  */
  size_t
  runs_between (const std::string &name, clk_time from, clk_time to)
  {
    const std::vector<clk_time> &runs = tallies[name].runs;

    return (size_t)std::count_if (
        runs.begin (), runs.end (),
        [=] (clk_time at) { return at >= from && at < to; });
  }

  /* The bound of the requirement.  */
  static double
  bound (double rate, double burst)
  {
    return (rate * 5 + burst) * 1.1 + 20;
  }

  dir_handle
  owner_of (const std::string &name)
  {
    return own_find_owner (
        directory, QUO_OWNER_KIND, name.c_str (),
        [] (void *, dir_handle) { return true; }, nullptr);
  }

  dir_handle
  any_node ()
  {
    return rnd_below (&random, (uint32_t)nodes.size ());
  }

  clk_time
  between (clk_time low, clk_time high)
  {
    return low + rnd_below (&random, (uint32_t)(high - low + 1));
  }

  /* What follows is for the functions of hub.  */

  bool
  is_linked (dir_handle i, dir_handle j) const
  {
    return nodes[i].side == nodes[j].side;
  }

  /* One way: 8 ms between regions of two data centres each.  */
  static clk_time
  delay (dir_handle i, dir_handle j)
  {
    return i % 4 / 2 != j % 4 / 2 ? 8 * ms : ms / 2;
  }

  void
  lose (dir_handle from, dir_handle to)
  {
    hub::peer &peer = nodes[from].hub.peers[to];
    uint64_t link = peer.link;

    if (nodes[from].quota == nullptr || link == 0)
      return;
    peer = hub::peer ();
    peer.health = HUB_DISCONNECTED;
    quo_handle_link_closed (nodes[from].quota, link);
    if (nodes[to].quota != nullptr)
      loop.at (loop.now + between (50, 1050) * ms, [=] {
        if (nodes[to].quota != nullptr && is_linked (from, to))
          nodes[from].hub.peers[to] = hub::peer ();
      });
  }

  /* Notices that a peer does not answer, as the pings of a link do.  */
  void
  watch (dir_handle from, dir_handle to)
  {
    hub::peer &peer = nodes[from].hub.peers[to];
    uint64_t link = peer.link;
    clk_time sent_at = loop.now;

    if (peer.is_watched)
      return;
    peer.is_watched = true;
    loop.at (loop.now + 230 * ms, [=] {
      hub::peer &now = nodes[from].hub.peers[to];

      if (now.link == link && now.heard_at < sent_at)
        now.overdue = true;
    });
    loop.at (loop.now + 400 * ms, [=] {
      hub::peer &now = nodes[from].hub.peers[to];

      now.is_watched = false;
      if (now.link != link || now.heard_at >= sent_at)
        return;
      now.link = 0;
      now.health = HUB_TIMED_OUT;
      if (nodes[from].quota != nullptr)
        quo_note_health (nodes[from].quota, to, HUB_TIMED_OUT);
    });
  }

  void
  deliver_request (dir_handle from, dir_handle to, uint64_t link,
                   uint64_t from_start, uint32_t number,
                   const std::string &name, uint32_t wanted, uint32_t returned)
  {
    Mesh__QuotaRequest message = MESH__QUOTA_REQUEST__INIT;
    Mesh__Frame frame = MESH__FRAME__INIT;
    struct hub_inbound_link inbound = { from, to, from_start };

    if (!is_linked (from, to))
      return;
    if (nodes[to].quota == nullptr)
      {
        if (nodes[from].hub.peers[to].link == link)
          loop.at (loop.now + delay (from, to), [=] { lose (from, to); });
        return;
      }
    message.number = number;
    message.tenant = (char *)name.c_str ();
    message.wanted = wanted;
    message.returned = returned;
    frame.body_case = MESH__FRAME__BODY_QUOTA_REQUEST;
    frame.quota_request = &message;
    quo_handle_request (nodes[to].quota, &inbound, &frame);
  }

  void
  deliver_reply (const struct hub_inbound_link &link, Mesh__QuotaReply message)
  {
    Mesh__Frame frame = MESH__FRAME__INIT;
    vm &receiver = nodes[link.from];

    if (!is_linked (link.from, link.to) || receiver.quota == nullptr
        || receiver.starts != link.from_start)
      return;
    receiver.hub.peers[link.to].heard_at = loop.now;
    receiver.hub.peers[link.to].overdue = false;
    frame.body_case = MESH__FRAME__BODY_QUOTA_REPLY;
    frame.quota_reply = &message;
    quo_handle_reply (receiver.quota, &frame);
  }

  struct evl loop;
  struct dir *directory = nullptr;
  std::vector<vm> nodes;
  std::map<std::string, tally> tallies;
  std::vector<struct snp_snapshot *> snapshots;
  struct rnd random;
  uint64_t frames = 0; /* sent in all */
  uint64_t asks = 0;   /* requests for credit among them */
  uint64_t links = 0;
  std::set<request *> requests; /* of which some were killed with their node */
  unsigned long seed = 11;

private:
  void
  finish (request *sent)
  {
    requests.erase (sent);
    delete sent;
  }

  void
  issue (request *sent)
  {
    struct quo_request *waiting;
    clk_time retry_after;
    enum quo_status status;

    if (nodes[sent->at].quota == nullptr)
      {
        finish (sent);
        return;
      }
    status
        = quo_take (nodes[sent->at].quota, sent->tenant, loop.now + 1000 * ms,
                    on_credit, sent, &waiting, &retry_after);
    if (status != QUO_WAITING)
      on_credit (sent, status, retry_after);
  }

  static void
  on_credit (void *context, enum quo_status status, clk_time retry_after)
  {
    request *sent = (request *)context;
    QuotaSim *sim = sent->sim;
    tally &result = sim->tallies[sent->tenant->name];

    if (status == QUO_GRANTED)
      {
        result.runs.push_back (sim->loop.now);
        sim->finish (sent);
        return;
      }
    result.refused++;
    result.retries.push_back (retry_after);
    if (!sent->comes_back)
      {
        sim->finish (sent);
        return;
      }
    sim->loop.at (sim->loop.now + retry_after, [=] {
      sent->at = sim->any_node ();
      sim->issue (sent);
    });
  }
};

bool
hub_is_responsive (const struct hub *hub, dir_handle peer)
{
  return peer == hub->node
         || (hub->peers[peer].health == HUB_HEALTHY
             && !hub->peers[peer].overdue);
}

bool
hub_is_connected (const struct hub *hub, dir_handle peer)
{
  return hub->peers[peer].link != 0 && hub->peers[peer].health == HUB_HEALTHY
         && hub->peers[peer].heard_at != 0;
}

enum hub_health
hub_health (const struct hub *hub, dir_handle peer)
{
  return hub->peers[peer].health;
}

void
hub_end_request (struct hub *, uint64_t)
{
}

enum hub_status
hub_send (struct hub *hub, dir_handle peer, const Mesh__Frame *frame, unsigned,
          uint64_t *link_number)
{
  QuotaSim *sim = hub->sim;
  dir_handle from = hub->node;
  const Mesh__QuotaRequest *message = frame->quota_request;
  std::string name = message->tenant;
  uint32_t number = message->number;
  uint32_t wanted = message->wanted;
  uint32_t returned = message->returned;
  uint64_t start = sim->nodes[from].starts;

  if (hub->peers[peer].health != HUB_HEALTHY)
    return HUB_UNREACHABLE;
  if (hub->peers[peer].link == 0)
    hub->peers[peer].link = ++sim->links;
  *link_number = hub->peers[peer].link;
  sim->frames++;
  sim->asks += !name.empty ();
  sim->watch (from, peer);
  sim->loop.at (sim->loop.now + QuotaSim::delay (from, peer),
                [=, link = *link_number] {
                  sim->deliver_request (from, peer, link, start, number, name,
                                        wanted, returned);
                });
  return HUB_OK;
}

void
hub_reply (struct hub *hub, struct hub_inbound_link *link,
           const Mesh__Frame *frame)
{
  QuotaSim *sim = hub->sim;
  Mesh__QuotaReply message = *frame->quota_reply;
  struct hub_inbound_link inbound = *link;

  sim->frames++;
  sim->loop.at (sim->loop.now + QuotaSim::delay (inbound.to, inbound.from),
                [=] { sim->deliver_reply (inbound, message); });
}

#endif
