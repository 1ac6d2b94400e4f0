/* Views: the snapshot and the members that a call sees, under a mesh that
   loses deltas, loses members and removes services.  */

#include "support/scenario.h"
#include "support/support.h"
#include "view/view.h"

#include <atomic>
#include <gtest/gtest.h>
#include <thread>

#define MEMBERS 64

/* A random choice of 12 services in random order; the route "/NAME" goes to
   the service NAME, so that a wrong index is seen.  */
static std::string
make_document (struct rnd *random)
{
  std::vector<std::string> names;
  std::string text;

  for (int i = 0; i < 12; i++)
    if (rnd_below (random, 3) != 0)
      names.insert (names.begin ()
                        + rnd_below (random, (uint32_t)names.size () + 1),
                    "s" + std::to_string (i));
  if (names.empty ())
    names.push_back ("s0");
  for (auto &name : names)
    text += "[[service]]\nname = \"" + name + "\"\n";
  for (size_t i = names.size (); i-- > 0;)
    text += "[[route]]\npath = \"/" + names[i] + "\"\nservice = \"" + names[i]
            + "\"\nclass = \"once\"\n";
  return text;
}

/* Counts the routes of DOCUMENT that do not lead to a service of VIEW of the
   right name, or to members that do not announce it.  */
static size_t
count_faults (const struct doc_document *document, const struct view *view)
{
  size_t faults = 0;

  for (size_t i = 0; i < document->route_count; i++)
    {
      const struct doc_route *route = &document->routes[i];
      const struct doc_document *owner = view->snapshot->document;

      if (route->service >= owner->service_count
          || strcmp (owner->services[route->service].name, route->path + 1)
                 != 0)
        {
          faults++;
          continue;
        }
      const struct view_service &service = view->services[route->service];
      for (uint32_t j = 0; j < service.candidate_count; j++)
        faults
            += service.candidate_members[j] >= view->member_count
               || strcmp (view->members[service.candidate_members[j]].service,
                          route->path + 1)
                      != 0;
    }
  return faults;
}

/* The views of the nodes of a scenario, and those that calls still hold.  */
struct observer
{
  std::map<std::string, struct view *> current;
  std::vector<struct view *> held;
  size_t faults = 0, naive_faults = 0, published = 0;

  ~observer ()
  {
    for (auto &[name, view] : current)
      view_release (view);
    for (auto *view : held)
      view_release (view);
  }

  /* Calls hold the last 40 replaced views, whatever their node does.  */
  void
  replace (scenario_node &node, struct snp_snapshot *snapshot)
  {
    struct mbr_member members[MEMBERS];
    size_t count = dst_members (node.dst, members, MEMBERS);
    struct view *view
        = view_create (snapshot, members, count, dst_self (node.dst));
    struct view *&slot = current[node.name];

    /* What a call would see after a first step that replaces the routes and
       before a second one that replaces the services.  */
    if (slot != nullptr)
      naive_faults += count_faults (snapshot->document, slot) > 0;
    faults += count_faults (view->snapshot->document, view);
    published++;
    if (slot != nullptr)
      held.push_back (slot);
    slot = view;
    if (held.size () > 40)
      {
        faults += count_faults (held[0]->snapshot->document, held[0]);
        view_release (held[0]);
        held.erase (held.begin ());
      }
  }

  bool
  compile (scenario_node &node, struct snp_stamp stamp,
           const std::string &text)
  {
    struct snp_snapshot *snapshot;

    if (snp_create (stamp.version, text.data (), text.size (), &snapshot)
        != SNP_OK)
      return false;
    replace (node, snapshot);
    snp_release (snapshot);
    return true;
  }

  void
  members_changed (scenario_node &node)
  {
    if (node.held != 0 && current[node.name] != nullptr)
      {
        struct snp_snapshot *snapshot
            = snp_retain (current[node.name]->snapshot);

        replace (node, snapshot);
        snp_release (snapshot);
      }
  }
};

static void
run_changes (scenario &mesh, struct observer &seen, unsigned long seed)
{
  struct rnd random;

  rnd_init (&random, seed);
  mesh.compile = [&seen] (auto &node, auto stamp, auto &text) {
    return seen.compile (node, stamp, text);
  };
  mesh.on_members_changed
      = [&seen] (auto &node) { seen.members_changed (node); };
  mesh.run ("topology west:a,b north:c,d nodes 6\nlink all loss 0.2\n"
            "link all reorder 0.3\nlink all duplicate 0.3\n"
            "link all corrupt 0.1\n5s measure");
  for (int change = 0; change < 40; change++)
    {
      auto &joining = *mesh.nodes[rnd_below (&random, 24)];
      auto &leaving = *mesh.nodes[rnd_below (&random, 24)];

      mesh.announce_upstream (joining,
                              "s" + std::to_string (rnd_below (&random, 12)));
      mesh.announce_upstream (leaving, "");
      if (change % 8 == 7)
        mesh.execute ("restart " + joining.name);
      mesh.write_version (make_document (&random));
      mesh.run_until (mesh.now + rnd_below (&random, 2000) * CLK_MILLISECOND);
    }
  mesh.execute ("link all loss 0");
  mesh.run_until (mesh.now + 10 * CLK_SECOND);
}

/* Guards against a route that leads to a service which the node lacks (I2),
   while deltas are lost, reordered, duplicated and damaged, members join and
   leave, and services are removed while calls hold a view.  */
TEST (View, RoutesLeadToServicesOfTheSameSnapshot)
{
  for (unsigned long seed = 1; seed <= 5; seed++)
    {
      struct observer seen;
      scenario mesh (seed);

      run_changes (mesh, seen, seed);
      EXPECT_EQ (seen.faults, 0u) << test_seed_note (seed);
      EXPECT_EQ (mesh.count_stale_nodes (), 0u) << test_seed_note (seed);
      EXPECT_EQ (mesh.wrong_documents, 0u) << test_seed_note (seed);
      EXPECT_GT (seen.published, 500u) << test_seed_note (seed);
      /* Replacing routes and services in two steps fails the same check.  */
      EXPECT_GT (seen.naive_faults, 0u) << test_seed_note (seed);
    }
}

static struct snp_snapshot *
make_snapshot (uint64_t version)
{
  std::string name = "s" + std::to_string (version);
  std::string text = "[[service]]\nname = \"" + name
                     + "\"\n[[route]]\npath = \"/" + name + "\"\nservice = \""
                     + name + "\"\nclass = \"once\"\n";
  struct snp_snapshot *snapshot = nullptr;

  EXPECT_EQ (snp_create (version, text.data (), text.size (), &snapshot),
             SNP_OK);
  return snapshot;
}

/* Publishes a view of version VERSION.  */
static void
publish (uint64_t version)
{
  static const struct mbr_member self = {};
  struct snp_snapshot *snapshot = make_snapshot (version);

  view_publish (view_create (snapshot, nullptr, 0, &self));
  snp_release (snapshot);
}

/* Returns how many references a watched snapshot has, besides the test's own,
   after its view was replaced while a call used it.  */
static int
references_after_replacement (bool call_holds_reference)
{
  static const struct mbr_member self = {};
  struct snp_snapshot *snapshot = make_snapshot (1);

  view_publish (view_create (snapshot, nullptr, 0, &self));
  struct view *view = view_acquire ();
  if (!call_holds_reference)
    view_release (view);
  publish (2);
  int references = __atomic_load_n (&snapshot->references, __ATOMIC_ACQUIRE);
  if (call_holds_reference)
    view_release (view);
  snp_release (snapshot);
  return references - 1;
}

/* Guards against a view that is freed while a call uses it.  Without the
   call's own reference the replacement frees it.  */
TEST (View, ACallsReferenceOutlivesTheReplacement)
{
  EXPECT_EQ (references_after_replacement (true), 1);
  EXPECT_EQ (references_after_replacement (false), 0);
  view_publish (nullptr);
}

/* Guards against calls whose view changes or is freed under them; the
   sanitizers watch the accesses.  */
TEST (View, CallsKeepTheViewTheyStartedWith)
{
  std::atomic<bool> stopping = false;
  std::atomic<uint64_t> changed = 0, calls = 0, overtaken = 0;
  std::vector<std::thread> callers;

  publish (1);
  for (int i = 0; i < 4; i++)
    callers.emplace_back ([&] {
      while (!stopping)
        {
          struct view *view = view_acquire ();
          uint64_t version = view->snapshot->stamp.version;

          std::this_thread::yield ();
          changed += view->snapshot->stamp.version != version
                     || count_faults (view->snapshot->document, view) > 0
                     || view->snapshot->document->services[0].name
                            != "s" + std::to_string (version);
          struct view *now = view_acquire ();
          overtaken += now->snapshot->stamp.version > version;
          changed += now->snapshot->stamp.version < version;
          view_release (now);
          view_release (view);
          calls++;
        }
    });
  for (uint64_t version = 2; version <= 500 || overtaken == 0; version++)
    publish (version);
  stopping = true;
  for (auto &caller : callers)
    caller.join ();
  EXPECT_EQ (changed, 0u);
  EXPECT_GT (calls, 0u);
  view_publish (nullptr);
}
