/* Scenarios: many nodes' decisions on a virtual clock, with a fake network and
   a fake platform.  The network has delay, loss, duplicates, reordering,
   corruption and cuts, nothing else; fetch replies may be damaged.  The
   statements are described in tests/scenarios/README.md.  */

#ifndef MULBERRYSHIFT_TESTS_SCENARIO_H
#define MULBERRYSHIFT_TESTS_SCENARIO_H

#include "base/rnd.h"
#include "dst/dst.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

/* What a link does to datagrams.  */
struct link_faults
{
  double loss = 0, duplicate = 0, reorder = 0, corrupt = 0;
  double damage = 0; /* of fetch replies, not datagrams */
};

struct scenario_node
{
  std::string name, data_centre, region;
  struct net_address address = {};
  struct dst *dst = nullptr;
  bool up = false, frozen = false;
  bool crash_on_apply = false; /* at the next version */
  uint64_t incarnation = 0;
  clk_time next_wake = CLK_NEVER, started = 0;
  std::vector<std::function<void ()> > backlog; /* arrived while frozen */
  uint64_t held = 0, held_hash = 0;             /* of this process */
  uint64_t highest_version = 0; /* of any process of this name */
  uint64_t sent = 0, received = 0;
  bool watching = false;
  uint64_t watch_generation = 0, seen_etag = 0;
};

class scenario
{
public:
  explicit scenario (unsigned long seed);
  ~scenario ();

  /* Runs FILE's statements.  */
  void run_file (const std::string &file);
  /* Runs statements, one a line.  */
  void run (const std::string &text);
  /* Carries out one statement now.  */
  void execute (const std::string &statement);
  /* Runs the virtual clock.  */
  void run_until (clk_time end);

  /* Writes TEXT as the next version to the platform.  */
  void write_version (const std::string &text, bool fork = false);
  /* Announces an upstream of SERVICE at NODE.  */
  void announce_upstream (scenario_node &node, const std::string &service);

  /* Compiles a version; returns whether it is valid.  If not set, a text that
     starts with INVALID is not.  */
  std::function<bool (scenario_node &, struct snp_stamp, const std::string &)>
      compile;
  std::function<void (scenario_node &)> on_members_changed;
  struct dst_options options = {};
  bool naive = false; /* every node polls the whole document each second */
  bool publish_first = false; /* a version is in force before validation */
  std::vector<std::string> failures;

  /* Measurements since the last "measure" statement.  */
  uint64_t inter_region_bytes = 0, inter_region_platform_bytes = 0,
           platform_calls = 0;
  clk_time measure_start = 0;
  double bytes_per_node_second (bool maximum) const;
  uint64_t total_sent () const;
  std::vector<double> convergence_ms; /* of every node and version */
  /* Ever.  */
  uint64_t version_regressions = 0; /* returns to an older version */
  uint64_t restart_regressions = 0; /* a new process came back older */
  uint64_t wrong_documents = 0;     /* in force with another content */
  uint64_t invalid_in_force = 0;    /* in force though invalid */
  uint64_t damaged_replies = 0;
  uint64_t crashes = 0;        /* while a version was applied */
  uint64_t reported_forks = 0; /* in the status, highest */
  uint64_t sum_counter (uint64_t dst_counters::*counter) const;
  uint64_t latest_version = 0;
  clk_time now = 0;
  std::vector<std::unique_ptr<scenario_node> > nodes;
  double convergence (double share); /* ms */
  size_t count_stale_nodes () const; /* running nodes without the latest */

private:
  struct event
  {
    clk_time time;
    uint64_t order;
    std::function<void ()> action;
    bool
    operator<(const event &other) const
    {
      return time != other.time ? time > other.time : order > other.order;
    }
  };
  using words = std::vector<std::string>;

  void after (clk_time delay, std::function<void ()> action);
  void topology (const words &statement);
  void set_link (const words &statement);
  void apply (const words &statement);
  void platform (const words &statement);
  void expect (const words &statement);
  void check_in_force (uint64_t version, const std::string &where);
  std::vector<scenario_node *> select (const std::string &group);
  std::string place (const std::string &group, size_t which);
  void start (scenario_node &node);
  void stop (scenario_node &node);
  void freeze (scenario_node &node, bool on);
  void crash (scenario_node &node);
  void deliver (scenario_node &node, std::function<void ()> action);
  void later (scenario_node &node, clk_time delay,
              std::function<void ()> action);
  bool is_cut (const scenario_node &from, const scenario_node *to) const;
  clk_time delay (const scenario_node &from, const scenario_node *to);
  struct link_faults &faults (const scenario_node &from,
                              const scenario_node &to);
  void count (scenario_node &from, scenario_node &to, size_t bytes);
  void tick (scenario_node &node);
  void carry_out (scenario_node &node, struct dst_actions &actions);
  void send (scenario_node &from, const struct dst_action &action);
  void receive (scenario_node &node, struct net_address from,
                const std::string &data);
  void fetch (scenario_node &from, const struct dst_action &action);
  std::string answer (scenario_node &server, const std::string &request);
  void publish (scenario_node &node, struct dst_actions &actions, size_t i);
  void held_changed (scenario_node &node, uint64_t version, uint64_t hash);
  bool platform_reachable (const scenario_node &node) const;
  void call_platform (scenario_node &node, size_t bytes,
                      std::function<void (bool)> done);
  void watch (scenario_node &node, uint64_t round);
  void read_directory (scenario_node &node);
  void poll_naive (scenario_node &node);
  scenario_node *find (struct net_address address);
  bool chance (double share);

  struct rnd random = {};
  std::priority_queue<event> events;
  uint64_t order = 0;
  std::map<uint32_t, scenario_node *> by_ip;
  std::map<std::string, struct link_faults> links;
  std::map<std::string, clk_time> delays;
  std::set<std::pair<std::string, std::string> > cuts;
  std::string platform_region, document;
  bool platform_up = true;
  clk_time platform_delay = 0;
  uint64_t version = 0, etag = 0, changes = 0;
  std::string saved_document;
  uint64_t saved_version = 0;
  std::map<uint64_t, uint64_t> hashes; /* of all documents written */
  std::map<uint64_t, clk_time> accepted;
  std::map<std::string, struct dst_directory> directory;
  std::string last_status;
};

#endif
