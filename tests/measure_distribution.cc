/* Prints how fast and at what cost a version reaches every node, for the real
   version and the naive one (every node polls the whole document each
   second), on the virtual clock of the scenarios.  Usage:
   measure_distribution [SEED] [budget|restart]

   "budget" runs 750 nodes for ten virtual minutes instead; "restart" compares
   staging on and off for nodes that restart while cut off.  */

#include "support/scenario.h"

#include <cstdio>
#include <cstring>

struct result
{
  double p50, p99, maximum, node_bytes, paid_bytes, paid_platform_bytes, calls;
};

/* Runs a mesh of 4 data centres with COUNT nodes and, if CHANGE is not empty,
   5 changes 20 s apart.  */
static struct result
run (size_t count, const char *change, bool naive, unsigned long seed,
     size_t document)
{
  scenario mesh (seed);
  std::string text = "document " + std::to_string (document)
                     + "\ntopology west:a,b north:c,d nodes "
                     + std::to_string (count / 4)
                     + "\n10s apply line\n150s measure\n";

  mesh.naive = naive;
  if (*change != '\0')
    text += "every 20s until 240s apply " + std::string (change) + "\n";
  mesh.run (text + "250s expect never-older\n");
  return { mesh.convergence (0.5),
           mesh.convergence (0.99),
           mesh.convergence (1),
           mesh.bytes_per_node_second (false) * 100,
           (double)mesh.inter_region_bytes,
           (double)mesh.inter_region_platform_bytes,
           (double)mesh.platform_calls / 100 };
}

static void
print_rows (unsigned long seed)
{
  printf ("nodes version change      p50 ms  p99 ms  max ms  bytes/change/node"
          "  paid bytes/change  paid to platform  platform calls/s\n");
  for (size_t count : { 8, 32, 96, 192 })
    for (const char *change : { "line", "endpoint", "whole" })
      for (bool naive : { false, true })
        {
          size_t size = strcmp (change, "whole") == 0 ? 100000 : 20000;
          struct result idle = run (count, "", naive, seed, size);
          struct result busy = run (count, change, naive, seed, size);
          /* Changes at 160, 180, 200, 220 and 240 s.  Polling costs the same
             without a change, so the naive version's whole cost is shared
             out.  */
          double changes = 5;

          if (naive)
            idle = {};
          printf ("%5zu %-7s %-8s %9.1f %7.1f %7.1f %18.0f %18.0f %17.0f "
                  "%17.2f\n",
                  count, naive ? "naive" : "real", change, busy.p50, busy.p99,
                  busy.maximum, (busy.node_bytes - idle.node_bytes) / changes,
                  (busy.paid_bytes - idle.paid_bytes) / changes,
                  (busy.paid_platform_bytes - idle.paid_platform_bytes)
                      / changes,
                  busy.calls);
        }
}

static void
print_budget (unsigned long seed)
{
  scenario mesh (seed);
  const double seconds = 600;

  mesh.run_file ("tests/scenarios/budget_750.scn");
  printf ("750 nodes, seed %lu: bytes/s a node, sent and received: mean %.0f, "
          "highest %.0f; paid link %.0f B/s between nodes, %.0f B/s to the "
          "platform; platform calls/s %.2f; convergence ms p50 %.1f p99 %.1f "
          "max %.1f\n",
          seed, mesh.bytes_per_node_second (false),
          mesh.bytes_per_node_second (true),
          (double)mesh.inter_region_bytes / seconds,
          (double)mesh.inter_region_platform_bytes / seconds,
          (double)mesh.platform_calls / seconds, mesh.convergence (0.5),
          mesh.convergence (0.99), mesh.convergence (1));
  for (auto &failure : mesh.failures)
    printf ("not met: %s\n", failure.c_str ());
}

/* A data centre of 16 nodes is cut off while a version spreads in it with
   LOSS; then one of the nodes that have it in effect restarts.  */
static void
print_restarts (unsigned long seed, double loss, bool staging)
{
  const unsigned runs = 200;
  unsigned restarted = 0, regressed = 0;

  for (unsigned i = 0; i < runs; i++)
    {
      scenario mesh (seed + i);
      std::string cut = std::to_string (60.02 + i * 0.01);
      std::string victim;

      mesh.options.staging = staging;
      mesh.run ("topology west:a,b north:c,d nodes 16\n10s apply line\n"
                "60s link near loss "
                + std::to_string (loss) + "\n60s apply line\n" + cut
                + "s cut d west\n" + cut + "s cut d c\n");
      for (auto &node : mesh.nodes)
        if (node->data_centre == "d" && node->held == mesh.latest_version)
          victim = node->name;
      if (victim.empty ())
        continue;
      restarted++;
      mesh.execute ("restart " + victim);
      mesh.run_until (mesh.now + 6 * CLK_SECOND);
      regressed += mesh.restart_regressions > 0;
    }
  printf ("loss %.2f staging %-3s: of %u runs, %u had the version in effect "
          "on a node that restarted, %u came back with the older one\n",
          loss, staging ? "on" : "off", runs, restarted, regressed);
}

static void
print_staging (unsigned long seed)
{
  for (bool staging : { false, true })
    {
      scenario mesh (seed);

      mesh.options.staging = staging;
      mesh.run ("topology west:a,b north:c,d nodes 48\n10s apply line\n"
                "100s measure\nevery 10s until 150s apply line\n"
                "160s expect never-older\n");
      printf ("192 nodes, staging %-3s: convergence ms p50 %.1f p99 %.1f max "
              "%.1f; %.0f bytes/s a node\n",
              staging ? "on" : "off", mesh.convergence (0.5),
              mesh.convergence (0.99), mesh.convergence (1),
              mesh.bytes_per_node_second (false));
    }
  for (double loss : { 0.2, 0.5, 0.8 })
    for (bool staging : { false, true })
      print_restarts (seed, loss, staging);
}

int
main (int argc, char **argv)
{
  unsigned long seed = argc > 1 ? strtoul (argv[1], nullptr, 10) : 1;

  if (argc > 2 && strcmp (argv[2], "budget") == 0)
    print_budget (seed);
  else if (argc > 2 && strcmp (argv[2], "restart") == 0)
    print_staging (seed);
  else
    print_rows (seed);
  return 0;
}
