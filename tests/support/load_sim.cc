/* Replay of a load on one service.  */

#include "support/load_sim.h"

#include "ovr/ovr.h"
#include "que/que.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>

namespace
{

const size_t centres_per_region = 2;
const int max_busy_refusals = 3;
const clk_time one_way[PLC_LOCALITY_COUNT]
    = { CLK_MILLISECOND / 10, CLK_MILLISECOND / 2, 8 * CLK_MILLISECOND };

clk_time
ms (double value)
{
  return (clk_time)(value * (double)CLK_MILLISECOND);
}

struct call
{
  const sim_call_type *kind;
  size_t node;
  clk_time start;
  clk_time work;
  int busy_refusals = 0;
  uint32_t handle = SHR_NONE; /* of its tenant at the gate */
};

struct server
{
  size_t centre;
  double speed;
  uint32_t running = 0;
  clk_time slot = 0;
  std::vector<clk_time> service = {}; /* mean time of each kind; 0: unknown */
  double late_share = 1;
  struct que queue = {};
};

class replay
{
public:
  replay (const struct sim_config &the_load,
          const sim_placement &the_placement)
      : load (the_load), placement (the_placement)
  {
    rnd_init (&random, load.seed);
    rnd_init (&choices, load.seed + 1);
    for (size_t centre = 0; centre < load.data_centres; centre++)
      for (size_t i = 0; i < load.servers; i++)
        {
          servers.push_back (std::make_unique<server> ());
          servers.back ()->centre = centre;
          servers.back ()->service.resize (load.call_types.size ());
          servers.back ()->speed
              = load.speeds[servers.size () % load.speeds.size ()];
        }
    for (size_t i = 0; i < load.data_centres * load.nodes; i++)
      reports.push_back (ovr_create ());
    result.types.resize (load.call_types.size ());
    known.resize (load.data_centres * load.nodes * servers.size ());
    for (struct plc_load &entry : known)
      entry.slots = load.slots;
  }

  /* Frees the calls that wait when the load ends.  */
  ~replay ()
  {
    for (const std::unique_ptr<server> &gate : servers)
      for (size_t i = 0; i < gate->queue.count; i++)
        drop (gate->queue.items[i].call);
    for (struct ovr *table : reports)
      ovr_destroy (table);
  }

  replay (const replay &) = delete;
  replay &operator= (const replay &) = delete;

  struct sim_result
  play ()
  {
    for (const sim_call_type &kind : load.call_types)
      plan_arrival (&kind);
    while (!events.empty () && events.top ().when < ms (load.seconds * 1e3))
      {
        event next = events.top ();

        events.pop ();
        now = next.when;
        next.action ();
      }
    return result;
  }

private:
  struct event
  {
    clk_time when;
    uint64_t order;
    std::function<void ()> action;
    bool
    operator<(const event &other) const
    {
      return when != other.when ? when > other.when : order > other.order;
    }
  };

  void
  at (clk_time when, std::function<void ()> action)
  {
    events.push ({ when, ++order, std::move (action) });
  }

  const sim_event *
  current () const
  {
    for (const sim_event &entry : load.events)
      if (now >= ms (entry.from_s * 1e3) && now < ms (entry.to_s * 1e3))
        return &entry;
    return nullptr;
  }

  double
  normal ()
  {
    return std::sqrt (-2 * std::log (1 - rnd_unit (&random)))
           * std::cos (2 * M_PI * rnd_unit (&random));
  }

  void
  plan_arrival (const sim_call_type *kind)
  {
    const sim_event *entry = current ();
    bool changed = entry != nullptr
                   && (entry->tenant == 0 || entry->tenant == kind->tenant);
    double rate = kind->calls_per_s * (changed ? entry->load_factor : 1);

    at (now + ms (-std::log (1 - rnd_unit (&random)) * 1e3 / rate),
        [this, kind] { arrive (kind); });
  }

  void
  arrive (const sim_call_type *kind)
  {
    const sim_event *entry = current ();
    auto item = std::make_shared<call> ();
    size_t node
        = rnd_below (&random, (uint32_t)(load.data_centres * load.nodes));

    if (entry != nullptr && entry->source_centre >= 0)
      node = (size_t)entry->source_centre * load.nodes + node % load.nodes;
    plan_arrival (kind);
    item->kind = kind;
    item->node = node;
    item->start = now;
    item->work = ms (
        kind->service_ms
        * std::exp (kind->sigma * normal () - kind->sigma * kind->sigma / 2));
    result.calls++;
    tally (item).calls++;
    place (item);
  }

  uint8_t
  locality (size_t node, size_t index) const
  {
    size_t centre = node / load.nodes;

    if (centre == servers[index]->centre)
      return PLC_SAME_DATA_CENTRE;
    return centre / centres_per_region
                   == servers[index]->centre / centres_per_region
               ? PLC_SAME_REGION
               : PLC_OTHER_REGION;
  }

  sim_tally &
  tally (const std::shared_ptr<call> &item)
  {
    return result.types[(size_t)(item->kind - load.call_types.data ())];
  }

  struct ovr_key
  key_of (const std::shared_ptr<call> &item, size_t index) const
  {
    return { item->kind->tenant, (uint32_t)index,
             (uint32_t)(item->kind - load.call_types.data ()) };
  }

  /* Sets what the reports on the call's tenant say.  Returns whether there are
     any.  */
  bool
  apply_reports (const std::shared_ptr<call> &item,
                 std::vector<struct plc_candidate> &candidates) const
  {
    bool found = false;

    for (size_t i = 0; i < candidates.size (); i++)
      {
        struct ovr_key key = key_of (item, i);
        const struct ovr_report *report
            = ovr_find (reports[item->node], &key, now);

        if (report == nullptr)
          continue;
        candidates[i].load.expected_wait = report->wait;
        candidates[i].load.reported_at = now;
        found = true;
      }
    return found;
  }

  /* Chooses as fwd_place does.  */
  struct plc_choice
  choose (const std::shared_ptr<call> &item,
          const std::vector<struct plc_candidate> &candidates,
          const struct plc_call &wanted)
  {
    std::vector<struct plc_candidate> reported = candidates;
    bool found = apply_reports (item, reported);
    struct plc_choice choice = placement (reported.data (), reported.size (),
                                          &wanted, now, &choices);

    if (choice.index == PLC_NONE && found && item->busy_refusals == 0
        && rnd_below (&choices, OVR_SAMPLE_INTERVAL) == 0)
      choice = placement (candidates.data (), candidates.size (), &wanted, now,
                          &choices);
    return choice;
  }

  void
  place (const std::shared_ptr<call> &item)
  {
    std::vector<struct plc_candidate> candidates (servers.size ());
    struct plc_call wanted
        = { ms (item->kind->target_ms),
            item->start + ms (item->kind->target_ms) - now,
            item->start + ms (item->kind->deadline_ms) - now,
            item->busy_refusals >= max_busy_refusals, false };

    for (size_t i = 0; i < servers.size (); i++)
      {
        candidates[i].load = known[item->node * servers.size () + i];
        candidates[i].locality = locality (item->node, i);
        candidates[i].usable = true;
        candidates[i].round_trip = 2 * one_way[candidates[i].locality];
      }
    struct plc_choice choice = choose (item, candidates, wanted);
    if (choice.index == PLC_NONE
        || item->busy_refusals > 2 * max_busy_refusals)
      {
        result.refused++;
        (item->busy_refusals == 0 ? tally (item).unsent
                                  : tally (item).wasted)++;
        return;
      }
    tally (item).sent++;
    known[item->node * servers.size () + choice.index].sent_since_report++;
    known[item->node * servers.size () + choice.index].last_sent_at = now;
    at (now + one_way[candidates[choice.index].locality],
        [this, item, choice] { admit (item, choice); });
  }

  clk_time &
  service_of (const std::shared_ptr<call> &item, server &gate)
  {
    return gate.service[(size_t)(item->kind - load.call_types.data ())];
  }

  struct que_item
  make_item (const std::shared_ptr<call> &item, server &gate)
  {
    clk_time service = service_of (item, gate);

    return { new std::shared_ptr<call> (item),
             item->kind->priority,
             service > 0 ? service : gate.slot,
             item->start + ms (item->kind->target_ms),
             item->start + ms (item->kind->deadline_ms),
             item->handle,
             false };
  }

  clk_time
  expect_wait (server &gate, const struct que_item &item)
  {
    if (gate.running < load.slots)
      return 0;
    gate.queue.dequeue_interval
        = (gate.slot > 0 ? gate.slot : item.service_time) / load.slots;
    return que_estimate_wait (&gate.queue, &item, now);
  }

  void
  admit (const std::shared_ptr<call> &item, struct plc_choice choice)
  {
    server &gate = *servers[choice.index];
    item->handle = shr_acquire (&gate.queue.shares, item->kind->tenant,
                                item->kind->weight, now);
    struct que_item entry = make_item (item, gate);
    clk_time wait = expect_wait (gate, entry);

    if (gate.running < load.slots)
      {
        drop (entry.call);
        run (item, choice.index);
      }
    else if (wait > choice.max_wait
             || now + wait + entry.service_time > entry.deadline
             || !que_push (&gate.queue, &entry))
      {
        drop (entry.call);
        answer (item, choice.index, false);
      }
  }

  static void
  drop (void *entry)
  {
    delete static_cast<std::shared_ptr<call> *> (entry);
  }

  void
  run (const std::shared_ptr<call> &item, size_t index)
  {
    const sim_event *entry = current ();
    server &gate = *servers[index];
    double slow
        = entry != nullptr && is_slow (*entry, index) ? entry->slow_factor : 1;
    clk_time time = (clk_time)((double)item->work * slow / gate.speed);

    gate.running++;
    shr_charge (&gate.queue.shares, item->handle, service_of (item, gate),
                now);
    at (now + time, [this, item, index, time] { end (item, index, time); });
  }

  void
  end (const std::shared_ptr<call> &item, size_t index, clk_time time)
  {
    server &gate = *servers[index];
    clk_time &service = service_of (item, gate);
    void *next;

    gate.running--;
    service = service == 0 ? time : service + (time - service) / 16;
    gate.slot = gate.slot == 0 ? time : gate.slot + (time - gate.slot) / 32;
    answer (item, index, true);
    while ((next = que_expire (&gate.queue, now)) != nullptr)
      {
        result.refused++; /* as fwd does: it is not placed again */
        tally (*static_cast<std::shared_ptr<call> *> (next)).wasted++;
        shr_release (&gate.queue.shares,
                     (*static_cast<std::shared_ptr<call> *> (next))->handle);
        drop (next);
      }
    next = que_pop (&gate.queue, now);
    if (next != nullptr)
      {
        run (*static_cast<std::shared_ptr<call> *> (next), index);
        drop (next);
      }
  }

  static bool
  is_slow (const sim_event &entry, size_t index)
  {
    return entry.slow_server == SIM_ALL_SERVERS
           || entry.slow_server == (int)index;
  }

  /* Sends an answer, or that the gate is busy, with the gate's load.  */
  void
  answer (const std::shared_ptr<call> &item, size_t index, bool done)
  {
    server &gate = *servers[index];
    shr_fade (&gate.queue.shares, now);
    struct que_item entry = make_item (item, gate);
    bool over
        = load.uses_reports && shr_is_over (&gate.queue.shares, entry.tenant);
    clk_time over_wait = 0;

    if (over)
      {
        entry.target_time += now - item->start;
        entry.deadline += now - item->start;
        over_wait = expect_wait (gate, entry);
      }
    struct plc_load report
        = { gate.running,
            load.slots,
            gate.slot,
            service_of (item, gate),
            expect_wait (gate, entry),
            gate.slot * (clk_time)gate.queue.count / load.slots,
            0,
            0,
            0,
            0.,
            0 };

    drop (entry.call);
    shr_release (&gate.queue.shares, item->handle);
    at (now + one_way[locality (item->node, index)],
        [this, item, index, done, report, over, over_wait] {
          take_share (item, index, over, over_wait);
          take_report (item, index, done, over, report);
        });
  }

  void
  take_share (const std::shared_ptr<call> &item, size_t index, bool over,
              clk_time wait)
  {
    struct ovr_key key = key_of (item, index);

    if (over)
      ovr_add (reports[item->node], &key, wait, now);
    else
      ovr_clear_tenant (reports[item->node], key.tenant, key.peer, now);
  }

  void
  take_report (const std::shared_ptr<call> &item, size_t index, bool done,
               bool over, struct plc_load report)
  {
    uint8_t way = locality (item->node, index);

    report.reported_at = now;
    if (over)
      {
        /* The wait is that of the tenant over its share.  */
        const struct plc_load &old
            = known[item->node * servers.size () + index];

        report.expected_wait = old.expected_wait;
        report.reported_at = old.reported_at;
      }
    known[item->node * servers.size () + index] = report;
    if (!done)
      {
        item->busy_refusals++;
        result.refused_busy++;
        place (item);
        return;
      }
    result.cross_centre += way == PLC_SAME_REGION;
    result.cross_region += way == PLC_OTHER_REGION;
    if (now <= item->start + ms (item->kind->target_ms))
      {
        result.on_time++;
        tally (item).on_time++;
      }
    else if (now <= item->start + ms (item->kind->deadline_ms))
      result.late++;
    else
      {
        result.refused++;
        tally (item).wasted++;
      }
  }

  const struct sim_config &load;
  const sim_placement &placement;
  struct sim_result result = {};
  struct rnd random;
  struct rnd choices;
  clk_time now = 1;
  uint64_t order = 0;
  std::priority_queue<event> events;
  std::vector<std::unique_ptr<server> > servers;
  std::vector<struct plc_load> known; /* by node and server */
  std::vector<struct ovr *> reports;  /* by node */
};

} // namespace

struct sim_result
sim_run (const struct sim_config &load, const sim_placement &placement)
{
  return replay (load, placement).play ();
}

double
sim_on_time_share (const struct sim_result &result)
{
  return (double)result.on_time / (double)result.calls;
}
