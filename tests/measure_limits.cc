/* Fixed against learned limits and timeouts, and a naive sender, in a seeded
   simulation of the balancer, the retry budget and the admission on a virtual
   clock.  Prints Markdown.

   Usage: measure_limits [SEED]

   Four servers of 6 slots and 20 ms (exponential around 10 + 10 ms), so the
   capacity is 1,200 calls/s; deadline 500 ms; 20 % once; 20 s.  Above its true
   slots a server shares its capacity among the calls that run.  */

#include "adm/adm.h"
#include "bal/bal.h"
#include "base/rnd.h"
#include "rty/rty.h"
#include "support/learned.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <queue>
#include <string>
#include <vector>

namespace
{
const uint32_t kServers = 4;
const uint32_t kSlots = 6;
const double kCapacity = 1200;
const clk_time kDeadline = 500 * CLK_MILLISECOND;
const clk_time kEnd = 20 * CLK_SECOND;
const clk_time kWire = CLK_MILLISECOND / 10;

struct policy
{
  const char *name;
  bool learned_limit;
  bool learned_timeout;
  bool naive; /* round robin, three tries, no budget, no admission */
};

struct fault
{
  const char *name;
  double load;
  uint32_t announced; /* slots of server 0 */
  double slowness;    /* of server 0 */
  bool dead;          /* server 0 */
  bool refuses;       /* server 0 closes connections beyond its slots */
};

struct server
{
  struct adm *adm = nullptr;
  uint32_t running = 0;
  struct limiter limiter;
  struct timeout timeout;
};

struct call
{
  enum doc_class call_class;
  clk_time arrival;
  uint32_t tries = 0;
  uint64_t tried[3] = {};
  bool over = false;
};

enum attempt_state
{
  WAITING,
  RUNNING,
  ENDED
};

struct attempt
{
  size_t call;
  uint32_t server;
  clk_time begun;
  clk_time started;
  int handle;
  enum attempt_state state;
};

enum event_kind
{
  ARRIVE,
  TRY,
  FINISH,
  FAIL, /* the server is dead or closes the connection */
  EXPIRE
};

struct event
{
  clk_time at;
  uint64_t order;
  enum event_kind kind;
  size_t index;

  bool
  operator> (const event &other) const
  {
    return at != other.at ? at > other.at : order > other.order;
  }
};

class simulation
{
public:
  simulation (const struct policy &policy, const struct fault &fault,
              uint64_t seed)
      : policy_ (policy), fault_ (fault)
  {
    rnd_init (&random_, seed);
    bal_ = bal_create (seed, nullptr);
    rty_budget_init (&budget_);
    for (uint32_t i = 0; i < kServers; i++)
      {
        std::string name = "m" + std::to_string (i);
        candidates_.push_back ({ bal_key (name.c_str (), 1),
                                 bal_key (name.c_str (), 0), 0, false, true });
        servers_[i].adm = adm_create (&limits_);
        servers_[i].limiter.limit = announced (i);
        set_limit (i, announced (i));
      }
  }

  ~simulation ()
  {
    bal_destroy (bal_);
    for (auto &server : servers_)
      adm_destroy (server.adm);
  }

  simulation (const simulation &) = delete;
  simulation &operator= (const simulation &) = delete;

  void
  run ()
  {
    push (0, ARRIVE, 0);
    while (!events_.empty ())
      {
        struct event event = events_.top ();

        events_.pop ();
        now_ = event.at;
        handle (event);
      }
    print ();
  }

private:
  uint32_t
  announced (uint32_t index) const
  {
    if (policy_.naive)
      return ADM_MAX_RUNNING;
    return index == 0 && fault_.announced > 0 ? fault_.announced : kSlots;
  }

  void
  set_limit (uint32_t index, uint32_t slots)
  {
    struct adm_limits limits = limits_;

    limits.slots = slots;
    adm_set_limits (servers_[index].adm, &limits);
  }

  void
  push (clk_time at, enum event_kind kind, size_t index)
  {
    events_.push ({ at, order_++, kind, index });
  }

  void
  handle (const struct event &event)
  {
    if (event.kind == ARRIVE)
      arrive ();
    else if (event.kind == TRY)
      begin (event.index);
    else if (attempts_[event.index].state == ENDED)
      return;
    else if (event.kind == FINISH)
      end (event.index, OUT_ANSWERED, BAL_SERVED);
    else if (event.kind == FAIL)
      end (event.index, fault_.dead ? OUT_NOT_RUN : OUT_UNKNOWN, BAL_FAILED);
    else
      expire (event.index);
  }

  void
  arrive ()
  {
    double gap = -std::log (1 - rnd_unit (&random_))
                 / (fault_.load * kCapacity) * (double)CLK_SECOND;
    enum doc_class call_class
        = rnd_unit (&random_) < 0.2 ? DOC_AT_MOST_ONCE : DOC_IDEMPOTENT;

    calls_.push_back ({ call_class, now_ });
    begin (calls_.size () - 1);
    if (now_ + (clk_time)gap < kEnd)
      push (now_ + (clk_time)gap, ARRIVE, 0);
  }

  uint32_t
  choose (const struct call &call)
  {
    if (!policy_.naive)
      return bal_choose (bal_, candidates_.data (), kServers, call.tried,
                         call.tries, now_);
    bal_start (bal_, candidates_[turn_ % kServers].key, now_);
    return turn_++ % kServers;
  }

  void
  begin (size_t index)
  {
    struct call &call = calls_[index];
    uint32_t server = choose (call);
    clk_time deadline = call.arrival + kDeadline;
    clk_time limit = deadline;
    struct adm_request request = { call.call_class, 0, 0, deadline };
    int evicted = ADM_NONE;

    if (server == BAL_NONE)
      return;
    call.tried[call.tries++] = candidates_[server].key;
    tries_++;
    attempts_.push_back ({ index, server, now_, 0, ADM_NONE, WAITING });
    size_t self = attempts_.size () - 1;
    if (server == 0 && fault_.dead)
      {
        push (now_ + kWire, FAIL, self);
        return;
      }
    if (policy_.learned_timeout && call.call_class == DOC_IDEMPOTENT)
      limit
          = std::min (limit, now_ + servers_[server].timeout.get (kDeadline));
    enum adm_status status = adm_offer (servers_[server].adm, &request, now_,
                                        &attempts_[self].handle, &evicted);
    if (evicted != ADM_NONE)
      end (find (server, evicted), OUT_NOT_RUN, BAL_REFUSED);
    if (status != ADM_RUN && status != ADM_QUEUED)
      {
        end (self, OUT_NOT_RUN, BAL_REFUSED);
        return;
      }
    if (status == ADM_RUN)
      start (self);
    push (limit, EXPIRE, self);
  }

  size_t
  find (uint32_t server, int handle) const
  {
    size_t index = attempts_.size () - 1;

    while (
        attempts_[index].server != server || attempts_[index].handle != handle
        || attempts_[index].state == ENDED || index == attempts_.size () - 1)
      index--;
    return index;
  }

  void
  start (size_t index)
  {
    struct attempt &attempt = attempts_[index];
    struct server &server = servers_[attempt.server];
    double time = 10 - 10 * std::log (1 - rnd_unit (&random_));

    attempt.state = RUNNING;
    attempt.started = now_;
    if (attempt.server == 0 && fault_.refuses && server.running >= kSlots)
      {
        server.running++;
        push (now_ + kWire, FAIL, index);
        return;
      }
    executions_++;
    server.running++;
    if (attempt.server == 0)
      time *= fault_.slowness;
    time *= std::max (1.0, (double)server.running / kSlots);
    push (now_ + (clk_time)(time * (double)CLK_MILLISECOND), FINISH, index);
  }

  void
  expire (size_t index)
  {
    if (attempts_[index].state == WAITING)
      end (index, OUT_NOT_RUN, BAL_REFUSED);
    else
      end (index, OUT_UNKNOWN, BAL_FAILED);
  }

  /* Learns from an attempt that ran and lets others run in its place.  */
  void
  leave (struct attempt &attempt, enum out_outcome outcome)
  {
    struct server &server = servers_[attempt.server];
    clk_time latency = now_ - attempt.started;
    uint32_t announced_now = announced (attempt.server);

    server.running--;
    adm_finish (server.adm, attempt.handle,
                outcome == OUT_ANSWERED ? latency : -1);
    if (outcome == OUT_ANSWERED)
      server.timeout.add (now_ - attempt.begun);
    if (policy_.learned_limit)
      {
        server.limiter.add (latency, announced_now);
        set_limit (attempt.server, (uint32_t)server.limiter.limit);
      }
  }

  void
  pump (uint32_t server)
  {
    int handle;

    while ((handle = adm_next (servers_[server].adm, now_)) != ADM_NONE)
      for (size_t i = attempts_.size (); i-- > 0;)
        if (attempts_[i].server == server && attempts_[i].handle == handle
            && attempts_[i].state == WAITING)
          {
            start (i);
            break;
          }
  }

  void
  end (size_t index, enum out_outcome outcome, enum bal_result result)
  {
    struct attempt attempt = attempts_[index];
    enum attempt_state state = attempt.state;

    attempts_[index].state = ENDED;
    if (state == RUNNING)
      leave (attempt, outcome);
    else if (attempt.handle != ADM_NONE)
      adm_remove (servers_[attempt.server].adm, attempt.handle);
    pump (attempt.server);
    bal_finish (bal_, candidates_.data (), kServers, attempt.server, result,
                now_ - attempt.begun, now_);
    decide (attempt.call, outcome);
  }

  void
  decide (size_t index, enum out_outcome outcome)
  {
    struct call &call = calls_[index];
    clk_time remaining = call.arrival + kDeadline - now_;
    struct rty_attempt state = {};
    bool again;

    state.call_class = call.call_class;
    state.outcome = outcome;
    state.status = 200;
    state.gate_queried = true;
    state.retries_left = 3 - call.tries;
    state.time_left = remaining;
    if (policy_.naive)
      again = outcome != OUT_ANSWERED && call.tries < 3 && remaining > 0
              && (outcome == OUT_NOT_RUN || call.call_class == DOC_IDEMPOTENT);
    else
      again = rty_decide (&state, &budget_) == RTY_RETRY_ELSEWHERE;
    if (again)
      {
        push (now_
                  + (policy_.naive
                         ? 0
                         : rty_backoff_delay (call.tries + 1, &random_)),
              TRY, index);
        return;
      }
    record (call, outcome);
  }

  void
  record (const struct call &call, enum out_outcome outcome)
  {
    clk_time latency = now_ - call.arrival;

    if (outcome == OUT_UNKNOWN)
      unknown_++;
    if (outcome != OUT_ANSWERED || latency > kDeadline)
      return;
    rty_budget_refill (&budget_);
    good_[call.call_class]++;
    latencies_.push_back (latency);
  }

  void
  print ()
  {
    double count[DOC_CLASS_COUNT] = {};
    double total = (double)calls_.size ();
    double good = (double)latencies_.size ();

    for (const auto &call : calls_)
      count[call.call_class]++;
    std::sort (latencies_.begin (), latencies_.end ());
    auto quantile = [&] (double share) {
      return latencies_.empty ()
                 ? 0.0
                 : (double)latencies_[(size_t)(share * (good - 1))]
                       / (double)CLK_MILLISECOND;
    };
    printf ("| %s | %.1f | %s | %.1f | %.1f | %.0f | %d | %.1f | %.1f | %.3f "
            "| %.0f |\n",
            fault_.name, fault_.load, policy_.name,
            100.0 * good_[DOC_AT_MOST_ONCE] / count[DOC_AT_MOST_ONCE],
            100.0 * good_[DOC_IDEMPOTENT] / count[DOC_IDEMPOTENT], good / 20,
            unknown_, quantile (0.5), quantile (0.99), tries_ / total,
            executions_ - good);
  }

  struct policy policy_;
  struct fault fault_;
  struct adm_limits limits_
      = { kSlots, 48, 32, { 0, 0 }, { DOC_AT_MOST_ONCE, DOC_IDEMPOTENT } };
  struct rnd random_;
  struct bal *bal_;
  struct rty_budget budget_;
  std::vector<bal_candidate> candidates_;
  struct server servers_[kServers];
  std::vector<struct call> calls_;
  std::vector<struct attempt> attempts_;
  std::priority_queue<event, std::vector<event>, std::greater<event> > events_;
  uint64_t order_ = 0;
  clk_time now_ = 0;
  uint32_t turn_ = 0;
  double tries_ = 0;
  double executions_ = 0;
  int unknown_ = 0;
  int good_[DOC_CLASS_COUNT] = {};
  std::vector<clk_time> latencies_;
};

const struct policy policies[] = { { "fixed", false, false, false },
                                   { "learned timeout", false, true, false },
                                   { "learned limit", true, false, false },
                                   { "both learned", true, true, false },
                                   { "naive", false, false, true } };

const struct fault faults[]
    = { { "healthy", 0.6, 0, 1, false, false },
        { "overload", 1.0, 0, 1, false, false },
        { "overload", 3.0, 0, 1, false, false },
        { "dead", 0.6, 0, 1, true, false },
        { "slow 10x", 0.6, 0, 10, false, false },
        { "100 slots", 0.6, 100, 1, false, false },
        { "100 slots", 1.5, 100, 1, false, false },
        { "100 slots, closes", 0.6, 100, 1, false, true },
        { "100 slots, closes", 1.5, 100, 1, false, true } };
}

int
main (int count, char **arguments)
{
  uint64_t seed = count > 1 ? strtoull (arguments[1], nullptr, 10) : 1;

  printf ("| server 0 | load | policy | once %% | repeatable %% | goodput/s | "
          "unknown | p50 ms | p99 ms | tries/call | wasted |\n"
          "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
          "|\n");
  for (const auto &fault : faults)
    for (const auto &policy : policies)
      simulation (policy, fault, seed).run ();
  return 0;
}
