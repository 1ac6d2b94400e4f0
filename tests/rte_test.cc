/* Route match, compared with a linear search.  */

#include "base/rnd.h"
#include "rte/rte.h"
#include "rte/rte_index.h"
#include "support/support.h"

#include <algorithm>
#include <cstring>
#include <gtest/gtest.h>
#include <string>
#include <strings.h>
#include <time.h>
#include <tuple>
#include <vector>

/* Prefers exact hosts, then longer host patterns, longer paths, routes with
   methods, and the earlier one.  */
static bool
is_preferred (const doc_route *left, const doc_route *right)
{
  auto key = [] (const doc_route *route) {
    int kind = route->host[0] == '\0' ? 0 : route->host[0] == '*' ? 1 : 2;
    size_t host = kind == 1 ? strlen (route->host) : 0;

    return std::make_tuple (kind, host, strlen (route->path),
                            route->methods != 0);
  };

  if (key (left) != key (right))
    return key (left) > key (right);
  return left < right;
}

static bool
host_matches (const char *pattern, const char *host)
{
  size_t length = rte_host_length (host);
  size_t tail;

  if (pattern[0] == '\0')
    return true;
  if (pattern[0] != '*')
    return strlen (pattern) == length
           && strncasecmp (pattern, host, length) == 0;
  tail = strlen (pattern + 1);
  return length > tail
         && strncasecmp (pattern + 1, host + length - tail, tail) == 0;
}

static bool
path_matches (const char *prefix, const char *path)
{
  size_t length = strlen (prefix);

  if (strncmp (prefix, path, length) != 0)
    return false;
  return prefix[length - 1] == '/' || path[length] == '\0'
         || path[length] == '/' || path[length] == '?';
}

static const doc_route *
find_linearly (const snp_snapshot *snapshot, const char *host,
               const char *path, const char *method)
{
  const doc_document *document = snapshot->document;
  const doc_route *best = nullptr;

  for (size_t i = 0; i < document->route_count; i++)
    {
      const doc_route *route = &document->routes[i];

      if ((route->methods == 0
           || (route->methods & doc_method_bit (method)) != 0)
          && host_matches (route->host, host)
          && path_matches (route->path, path)
          && (best == nullptr || is_preferred (route, best)))
        best = route;
    }
  return best;
}

static std::string
pick (rnd *random, const std::vector<std::string> &from)
{
  return from[rnd_below (random, from.size ())];
}

static std::string
random_path (rnd *random)
{
  std::string path;

  for (uint32_t i = rnd_below (random, 4); i > 0; i--)
    path += pick (random, { "/a", "/b", "/ab", "/a%20" });
  return path.empty () || rnd_below (random, 4) == 0 ? path + "/" : path;
}

static const std::vector<std::string> hosts
    = { "", "", "a.org", "A.org", "*.org", "*.a.org", "*.b.a.org", "org" };
static const std::vector<std::string> methods
    = { "GET", "HEAD", "POST", "PUT", "DELETE" };

/* Adds routes one by one and leaves out those that the document refuses as
   never matching.  */
static snp_snapshot *
random_snapshot (rnd *random, int count)
{
  std::string text = "[[service]]\nname = \"s\"\n";
  snp_snapshot *snapshot = nullptr;

  for (int i = 0; i < count; i++)
    {
      std::string longer = text + "[[route]]\nservice = \"s\"\nclass = "
                           + "\"once\"\npath = \"" + random_path (random)
                           + "\"\n";
      std::string host = pick (random, hosts);
      uint32_t mask = rnd_below (random, 8);
      snp_snapshot *next;

      if (!host.empty ())
        longer += "host = \"" + host + "\"\n";
      if (mask != 0)
        {
          longer += "methods = [";
          for (int bit = 0; bit < 3; bit++)
            if ((mask & 1u << bit) != 0)
              longer += "\"" + methods[bit] + "\", ";
          longer += "]\n";
        }
      if (snp_create (1, longer.data (), longer.size (), &next) != SNP_OK)
        continue;
      snp_release (snapshot);
      snapshot = next;
      text = longer;
    }
  return snapshot;
}

/* Guards against an index that prefers another route than the specified order,
   or finds none where there is one.  */
TEST (RouteMatch, EqualsTheLinearSearch)
{
  const unsigned long seed = 20260101;
  rnd random;
  int found = 0;

  SCOPED_TRACE (test_seed_note (seed));
  rnd_init (&random, seed);
  for (int round = 0; round < 60; round++)
    {
      snp_snapshot *snapshot = random_snapshot (&random, 1 + round);

      ASSERT_NE (snapshot, nullptr);
      for (int i = 0; i < 500; i++)
        {
          std::string host
              = pick (&random, { "", "a.org", "A.ORG:80", "x.a.org", "b.a.org",
                                 "x.b.a.org:1", ".org", "org", "[::1]:80",
                                 "x..a.org", "other" });
          std::string path
              = random_path (&random)
                + pick (&random, { "", "", "?q=/a/b", "/", "//a", "/a?" });
          std::string method
              = pick (&random, { "GET", "HEAD", "POST", "PUT", "LOCK" });
          const doc_route *route = rte_match (snapshot, host.c_str (),
                                              path.c_str (), method.c_str ());

          ASSERT_EQ (route, find_linearly (snapshot, host.c_str (),
                                           path.c_str (), method.c_str ()))
              << host << " " << path << " " << method << "\n"
              << snapshot->text;
          found += route != nullptr;
        }
      snp_release (snapshot);
    }
  EXPECT_GT (found, 10000);
}

/* Guards against reading outside the tables with the longest hosts and paths,
   or with requests that are longer than any route.  */
TEST (RouteMatch, AcceptsRequestsOfAnyLength)
{
  std::string longest = "/";
  while (longest.size () + 2 <= DOC_MAX_PATH_LENGTH)
    longest += "a/";
  std::string text = "[[service]]\nname = \"s\"\n[[route]]\nservice = \"s\"\n"
                     "class = \"once\"\npath = \""
                     + longest + "\"\nhost = \"*.a.b.c.d.e.f.g\"\n";
  std::string host = "a.b.c.d.e.f.g";
  snp_snapshot *snapshot;

  ASSERT_EQ (snp_create (1, text.data (), text.size (), &snapshot), SNP_OK);
  for (int i = 0; i < 1000; i++)
    host = "x." + host;
  EXPECT_NE (
      rte_match (snapshot, host.c_str (), (longest + longest).c_str (), "GET"),
      nullptr);
  EXPECT_EQ (rte_match (snapshot, host.c_str (),
                        std::string (100000, '/').c_str (), "GET"),
             nullptr);
  EXPECT_EQ (rte_match (snapshot, host.c_str (), "*", "OPTIONS"), nullptr);
  EXPECT_EQ (rte_match (snapshot, "", "", ""), nullptr);
  snp_release (snapshot);
}

/* Returns the processor time of this thread in nanoseconds, which does not
   include waiting for a busy machine.  */
static double
processor_time (void)
{
  timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e9 + (double)now.tv_nsec;
}

/* Guards against a search whose cost grows with the number of routes: prints
   the time of a match and requires only that it is below the linear one, which
   takes about 60 times as long.  */
TEST (RouteMatch, DoesNotDependOnTheNumberOfRoutes)
{
  std::string text = "[[service]]\nname = \"s\"\n";
  snp_snapshot *snapshot;
  const int count = 200000;
  double start;
  double nanoseconds[2];

  for (int i = 0; i < 500; i++)
    text += "[[route]]\nservice = \"s\"\nclass = \"once\"\npath = \"/api/v1/r"
            + std::to_string (i) + "\"\nmethods = [\"GET\"]\n";
  ASSERT_EQ (snp_create (1, text.data (), text.size (), &snapshot), SNP_OK);
  for (int linear = 0; linear < 2; linear++)
    {
      int repeats = linear ? count / 100 : count;

      start = processor_time ();
      for (int i = 0; i < repeats; i++)
        {
          char path[64];

          snprintf (path, sizeof path, "/api/v1/r%d/item?x=1", i % 500);
          ASSERT_NE ((linear ? find_linearly : rte_match) (
                         snapshot, "shop.example.org:8080", path, "GET"),
                     nullptr);
        }
      nanoseconds[linear] = (processor_time () - start) / repeats;
    }
  printf ("500 routes: index %.0f ns, linear %.0f ns a match\n",
          nanoseconds[0], nanoseconds[1]);
  EXPECT_LT (nanoseconds[0], nanoseconds[1]);
  snp_release (snapshot);
}
