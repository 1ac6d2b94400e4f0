/* Statements and expectations of scenarios.  */

#include "support/scenario.h"

#include "snp/snp.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

static clk_time
parse_time (const std::string &word)
{
  return (clk_time)(std::stod (word) * CLK_SECOND);
}

scenario::scenario (unsigned long seed)
{
  rnd_init (&random, seed);
  delays = { { "near", CLK_MILLISECOND / 2 },
             { "region", CLK_MILLISECOND / 2 },
             { "far", 8 * CLK_MILLISECOND } };
  document.assign (20000, ' ');
}

scenario::~scenario ()
{
  for (auto &node : nodes)
    dst_destroy (node->dst);
}

void
scenario::run_file (const std::string &file)
{
  std::ifstream input (file);
  std::stringstream text;

  if (!input)
    throw std::runtime_error ("cannot read " + file);
  text << input.rdbuf ();
  run (text.str ());
}

void
scenario::run (const std::string &text)
{
  std::istringstream lines (text);
  std::string line;
  clk_time end = now;

  while (std::getline (lines, line))
    {
      std::istringstream input (line.substr (0, line.find ('#')));
      std::string first, word, statement;

      if (!(input >> first))
        continue;
      if (first == "every")
        {
          std::string interval, until, last;

          input >> interval >> until >> last;
          std::getline (input, statement);
          for (clk_time at = parse_time (interval); at <= parse_time (last);
               at += parse_time (interval))
            after (at - now, [this, statement] { execute (statement); });
          end = std::max (end, parse_time (last));
        }
      else if (std::isdigit (first[0]))
        {
          std::getline (input, statement);
          after (parse_time (first) - now,
                 [this, statement] { execute (statement); });
          end = std::max (end, parse_time (first));
        }
      else
        execute (line.substr (0, line.find ('#')));
    }
  run_until (end);
}

void
scenario::execute (const std::string &statement)
{
  std::istringstream input (statement);
  words list;
  std::string word;

  while (input >> word)
    list.push_back (word);
  const std::string &verb = list.at (0);
  if (verb == "topology")
    topology (list);
  else if (verb == "delay")
    delays[list.at (1)] = (clk_time)(std::stod (list.at (2)) * 1e6);
  else if (verb == "link")
    set_link (list);
  else if (verb == "document")
    document.assign (std::stoul (list.at (1)), ' ');
  else if (verb == "apply")
    apply (list);
  else if (verb == "platform")
    platform (list);
  else if (verb == "cut")
    cuts.insert ({ list.at (1), list.at (2) });
  else if (verb == "heal")
    cuts.erase ({ list.at (1), list.at (2) });
  else if (verb == "expect")
    expect (list);
  else if (verb == "measure")
    {
      measure_start = now;
      inter_region_bytes = inter_region_platform_bytes = platform_calls = 0;
      convergence_ms.clear ();
      for (auto &node : nodes)
        node->sent = node->received = 0;
    }
  else if (verb == "kill" || verb == "restart")
    for (auto *node : select (list.at (1)))
      {
        stop (*node);
        if (verb == "restart")
          start (*node);
      }
  else if (verb == "crash")
    for (auto *node : select (list.at (1)))
      node->crash_on_apply = true;
  else if (verb == "freeze" || verb == "resume")
    for (auto *node : select (list.at (1)))
      freeze (*node, verb == "freeze");
  else
    throw std::runtime_error ("unknown statement: " + statement);
}

void
scenario::topology (const words &statement)
{
  size_t count = std::stoul (statement.back ());
  uint32_t ip = 1;

  for (size_t i = 1; i + 2 < statement.size (); i++)
    {
      std::string region = statement[i].substr (0, statement[i].find (':'));
      std::istringstream list (statement[i].substr (region.size () + 1));
      std::string centre;

      if (i == 1)
        platform_region = region;
      while (std::getline (list, centre, ','))
        for (size_t j = 0; j < count; j++)
          {
            auto node = std::make_unique<scenario_node> ();

            node->name = centre + "-" + std::to_string (j);
            node->data_centre = centre;
            node->region = region;
            node->address = { ip, 7000 };
            by_ip[ip++] = node.get ();
            nodes.push_back (std::move (node));
          }
    }
  for (auto &node : nodes)
    start (*node);
}

void
scenario::set_link (const words &statement)
{
  for (const std::string kind : { "near", "region", "far" })
    if (statement.at (1) == kind || statement.at (1) == "all")
      {
        struct link_faults &link = links[kind];
        double share = std::stod (statement.at (3));

        (statement[2] == "loss"        ? link.loss
         : statement[2] == "duplicate" ? link.duplicate
         : statement[2] == "reorder"   ? link.reorder
         : statement[2] == "damage"    ? link.damage
                                       : link.corrupt)
            = share;
      }
}

/* Documents look like tables of services, so that they compress as such.  */
void
scenario::apply (const words &statement)
{
  const std::string &kind = statement.at (1);

  if (!platform_up)
    return;
  if (kind == "whole" || document[0] == ' ')
    {
      size_t length = document.size ();

      document = "# document\n";
      for (size_t i = 0; document.size () < length; i++)
        document += "[[route]]\npath = \"/p" + std::to_string (i)
                    + "\"\nservice = \"s" + std::to_string (rnd_bits (&random))
                    + "\"\ndeadline_ms = 1000\n";
    }
  else if (kind == "endpoint")
    {
      size_t at = document.find ("service = ", document.size () / 2);

      document.replace (at, document.find ('\n', at) - at,
                        "service = \"s" + std::to_string (rnd_bits (&random))
                            + "\"");
    }
  else
    document.insert (document.find ('\n', document.size () / 2) + 1,
                     "# change " + std::to_string (++changes) + "\n");
  uint64_t before = latest_version;

  write_version (kind == "bad" ? "INVALID" + document : document,
                 kind == "fork");
  if (kind == "bad")
    latest_version = before;
  if (kind == "bad")
    after (CLK_SECOND, [this] {
      if (document.rfind ("INVALID", 0) == 0)
        document.erase (0, 7);
    });
}

void
scenario::write_version (const std::string &text, bool fork)
{
  uint64_t highest = version;

  for (auto &node : nodes)
    highest = std::max (highest, node->up ? node->held : 0);
  document = text;
  etag++;
  /* A fork is another document under the number that is in force.  */
  if (!fork)
    {
      version = highest + 1;
      hashes[version] = snp_hash (text.data (), text.size ());
      accepted[version] = now;
    }
  latest_version = version;
  for (auto &node : nodes)
    if (node->watching)
      watch (*node, ++node->watch_generation);
}

void
scenario::platform (const words &statement)
{
  const std::string &verb = statement.at (1);

  if (verb == "slow")
    platform_delay = (clk_time)(std::stod (statement.at (2)) * 1e6);
  else if (verb == "save")
    {
      saved_document = document;
      saved_version = version;
    }
  else if (verb == "restore")
    {
      document = saved_document;
      version = saved_version;
      etag++;
      for (auto &node : nodes)
        if (node->watching)
          watch (*node, ++node->watch_generation);
    }
  else
    platform_up = verb == "up";
}

std::vector<scenario_node *>
scenario::select (const std::string &group)
{
  std::vector<scenario_node *> result;
  size_t colon = group.find (':');

  for (auto &node : nodes)
    {
      bool chosen = group == "all" || group == "everywhere"
                    || group == node->name || group == node->data_centre
                    || group == node->region;

      if (colon != std::string::npos && naive)
        chosen = node->name == group.substr (colon + 1) + "-0";
      else if (colon != std::string::npos && node->up && !node->frozen
               && dst_is_joined (node->dst))
        {
          struct dst_roles roles = dst_roles_of (node->dst);
          std::string role = group.substr (0, colon);
          std::string scope = group.substr (colon + 1);

          chosen = (scope == node->data_centre || scope == node->region)
                   && (role == "relay"          ? roles.relay
                       : role == "standby"      ? roles.standby
                       : role == "region-relay" ? roles.region_relay
                                                : false);
        }
      if (chosen)
        result.push_back (node.get ());
    }
  if (result.empty ())
    failures.push_back ("no node is " + group);
  return result;
}

size_t
scenario::count_stale_nodes () const
{
  size_t count = 0;

  for (auto &node : nodes)
    count += node->up && !node->frozen && node->held != latest_version;
  return count;
}

void
scenario::check_in_force (uint64_t wanted, const std::string &where)
{
  size_t missing = 0, older_than = 0;
  std::string first;

  for (auto *node : select (where))
    if (node->up && !node->frozen && node->held < wanted)
      {
        missing++;
        if (first.empty ())
          first = node->name;
        older_than = node->held;
      }
  if (missing > 0)
    failures.push_back (std::to_string ((double)now / CLK_SECOND)
                        + " s: version " + std::to_string (wanted)
                        + " is missing on " + std::to_string (missing)
                        + " nodes of " + where + ", first " + first + " with "
                        + std::to_string (older_than));
}

void
scenario::expect (const words &statement)
{
  const std::string &what = statement.at (1);
  double value = 0, limit = 0;

  if (what == "in-force")
    {
      uint64_t wanted = statement.at (2) == "latest"
                            ? latest_version
                            : std::stoul (statement[2]);
      std::string where = statement.at (3);
      clk_time within = parse_time (statement.at (5));

      for (clk_time extra : { (clk_time)0, CLK_SECOND, 3 * CLK_SECOND })
        after (within + extra,
               [this, wanted, where] { check_in_force (wanted, where); });
      return;
    }
  if (what == "never-older")
    value = (double)version_regressions;
  else if (what == "right-documents")
    value = (double)wrong_documents;
  else if (what == "never-invalid")
    value = (double)invalid_in_force;
  else if (what == "replies-damaged")
    value = damaged_replies == 0;
  else if (what == "crashed")
    value = crashes == 0;
  else if (what == "fork-reported")
    value = sum_counter (&dst_counters::forks) == 0 || reported_forks == 0;
  else if (what == "control-bytes-per-node-per-second")
    value = bytes_per_node_second (true);
  else if (what == "paid-link-bytes")
    value = (double)inter_region_bytes;
  else if (what == "platform-calls-per-second")
    value = (double)platform_calls * CLK_SECOND / (now - measure_start);
  else
    throw std::runtime_error ("unknown expectation: " + what);
  if (statement.size () > 3)
    limit = std::stod (statement[3]);
  if (limit == 0 ? value > 0 : value >= limit)
    failures.push_back (what + " is " + std::to_string (value) + ", limit "
                        + std::to_string (limit));
}

double
scenario::bytes_per_node_second (bool maximum) const
{
  double highest = 0, sum = 0;
  double seconds = (double)(now - measure_start) / CLK_SECOND;

  for (auto &node : nodes)
    {
      double bytes = (double)(node->sent + node->received) / seconds;

      highest = std::max (highest, bytes);
      sum += bytes;
    }
  return maximum ? highest : sum / (double)nodes.size ();
}

uint64_t
scenario::total_sent () const
{
  uint64_t sum = 0;

  for (auto &node : nodes)
    sum += node->sent;
  return sum;
}

uint64_t
scenario::sum_counter (uint64_t dst_counters::*counter) const
{
  uint64_t sum = 0;

  for (auto &node : nodes)
    sum += node->dst != nullptr ? dst_counters_of (node->dst)->*counter : 0;
  return sum;
}

double
scenario::convergence (double share)
{
  if (convergence_ms.empty ())
    return -1;
  std::sort (convergence_ms.begin (), convergence_ms.end ());
  return convergence_ms[std::min (
      convergence_ms.size () - 1,
      (size_t)(share * (double)convergence_ms.size ()))];
}
