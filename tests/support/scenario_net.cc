/* The fake network, the fake platform and the nodes of scenarios.  */

#include "snp/snp.h"
#include "support/scenario.h"
#include "wire/frm.h"

#include <algorithm>
#include <cstring>

/* TCP and HTTP headers of an exchange, in bytes.  */
#define TCP_BYTES 360
#define HTTP_BYTES 500
#define WATCH_LENGTH (5 * CLK_SECOND)

void
scenario::after (clk_time delay, std::function<void ()> action)
{
  events.push ({ now + delay, order++, std::move (action) });
}

void
scenario::run_until (clk_time end)
{
  while (!events.empty () && events.top ().time <= end)
    {
      event next = events.top ();

      events.pop ();
      now = next.time;
      next.action ();
    }
  now = end;
}

bool
scenario::chance (double share)
{
  return share > 0 && rnd_unit (&random) < share;
}

scenario_node *
scenario::find (struct net_address address)
{
  auto found = by_ip.find (address.ip);

  return found != by_ip.end () ? found->second : nullptr;
}

/* Names the kind of link between two nodes; 0 near, 1 region, 2 far.  */
static const char *
kind_of (const scenario_node &from, const scenario_node &to)
{
  return from.region != to.region             ? "far"
         : from.data_centre != to.data_centre ? "region"
                                              : "near";
}

struct link_faults &
scenario::faults (const scenario_node &from, const scenario_node &to)
{
  return links[kind_of (from, to)];
}

/* TO null means the platform.  */
bool
scenario::is_cut (const scenario_node &from, const scenario_node *to) const
{
  auto belongs = [] (const scenario_node *node, const std::string &group) {
    return node == nullptr ? group == "platform"
                           : group == node->name || group == node->data_centre
                                 || group == node->region;
  };

  for (auto &[left, right] : cuts)
    if ((belongs (&from, left) && belongs (to, right))
        || (belongs (&from, right) && belongs (to, left)))
      return true;
  return to == nullptr
         && std::any_of (cuts.begin (), cuts.end (), [&] (auto &cut) {
              /* The platform is in its region.  */
              return from.region != platform_region
                     && ((cut.first == platform_region
                          && belongs (&from, cut.second))
                         || (cut.second == platform_region
                             && belongs (&from, cut.first)));
            });
}

clk_time
scenario::delay (const scenario_node &from, const scenario_node *to)
{
  clk_time base = to != nullptr ? delays[kind_of (from, *to)]
                  : from.region == platform_region ? CLK_MILLISECOND
                                                   : delays["far"];

  return base + (clk_time)(rnd_unit (&random) * (double)base / 10);
}

void
scenario::count (scenario_node &from, scenario_node &to, size_t bytes)
{
  from.sent += bytes;
  to.received += bytes;
  if (from.region != to.region)
    inter_region_bytes += bytes;
}

void
scenario::deliver (scenario_node &node, std::function<void ()> action)
{
  if (!node.up)
    return;
  if (node.frozen)
    node.backlog.push_back (std::move (action));
  else
    action ();
}

/* Schedules ACTION for this process of NODE.  */
void
scenario::later (scenario_node &node, clk_time delay,
                 std::function<void ()> action)
{
  uint64_t incarnation = node.incarnation;

  after (delay, [this, &node, incarnation, action = std::move (action)] {
    if (node.incarnation == incarnation)
      deliver (node, action);
  });
}

void
scenario::start (scenario_node &node)
{
  struct dst_settings settings = {};
  std::string previous;

  node.up = true;
  node.started = now;
  node.incarnation = (uint64_t)(now / CLK_MILLISECOND) + 1000 + order;
  snprintf (settings.self.name, MBR_NAME_SIZE, "%s", node.name.c_str ());
  snprintf (settings.self.data_centre, MBR_NAME_SIZE, "%s",
            node.data_centre.c_str ());
  snprintf (settings.self.region, MBR_NAME_SIZE, "%s", node.region.c_str ());
  snprintf (settings.platform_region, MBR_NAME_SIZE, "%s",
            platform_region.c_str ());
  settings.self.address = node.address;
  settings.self.incarnation = node.incarnation;
  settings.mesh = 42;
  settings.seed = rnd_bits64 (&random);
  settings.options = options;
  /* Five seeds of the own data centre, then one of each other.  */
  for (auto &other : nodes)
    if (other->data_centre == node.data_centre && settings.seed_count < 5)
      settings.seeds[settings.seed_count++] = other->address;
  for (auto &other : nodes)
    if (other->data_centre != node.data_centre
        && other->data_centre != previous && settings.seed_count < 16)
      {
        previous = other->data_centre;
        settings.seeds[settings.seed_count++] = other->address;
      }
  if (naive)
    later (node, (clk_time)(rnd_unit (&random) * CLK_SECOND),
           [this, &node] { poll_naive (node); });
  else
    {
      node.dst = dst_create (&settings, now);
      node.next_wake = CLK_NEVER;
      tick (node);
    }
}

void
scenario::stop (scenario_node &node)
{
  node.up = false;
  node.incarnation++;
  node.frozen = node.watching = false;
  node.watch_generation++;
  node.seen_etag = 0;
  node.backlog.clear ();
  node.held = 0;
  dst_destroy (node.dst);
  node.dst = nullptr;
}

/* Ends NODE before it has reported the version that it applies; it starts
   again after a second.  */
void
scenario::crash (scenario_node &node)
{
  crashes++;
  node.crash_on_apply = false;
  stop (node);
  after (CLK_SECOND, [this, &node] {
    if (!node.up)
      start (node);
  });
}

void
scenario::freeze (scenario_node &node, bool on)
{
  std::vector<std::function<void ()> > backlog;

  node.frozen = on;
  if (on || !node.up)
    return;
  backlog.swap (node.backlog);
  for (auto &action : backlog)
    action ();
  if (!naive)
    tick (node);
}

void
scenario::announce_upstream (scenario_node &node, const std::string &service)
{
  struct dst_actions actions = {};

  if (!node.up)
    return;
  dst_set_upstream (node.dst, service.c_str (),
                    service.empty () ? "" : node.name.c_str (), 4, now,
                    &actions);
  carry_out (node, actions);
}

void
scenario::tick (scenario_node &node)
{
  struct dst_actions actions = {};

  dst_tick (node.dst, now, &actions);
  carry_out (node, actions);
}

void
scenario::carry_out (scenario_node &node, struct dst_actions &actions)
{
  for (size_t i = 0; i < actions.count; i++)
    {
      const struct dst_action action = actions.items[i];

      switch (action.kind)
        {
        case DST_SEND:
          send (node, action);
          break;
        case DST_FETCH:
          fetch (node, action);
          break;
        case DST_PUBLISH:
          if (node.crash_on_apply)
            {
              crash (node);
              dst_actions_close (&actions);
              return;
            }
          publish (node, actions, i);
          break;
        case DST_WATCH:
          node.watching = action.on;
          node.watch_generation++;
          if (action.on)
            watch (node, node.watch_generation);
          break;
        case DST_READ:
          call_platform (node, document.size (), [this, &node] (bool done) {
            struct dst_actions list = {};

            if (done && version > 0)
              dst_object_seen (node.dst, version, document.data (),
                               document.size (), now, &list);
            else
              dst_platform_done (node.dst, DST_REQUEST_READ, done, now, &list);
            carry_out (node, list);
          });
          break;
        case DST_READ_DIRECTORY:
          read_directory (node);
          break;
        case DST_WRITE_DIRECTORY:
        case DST_WRITE_STATUS:
          {
            bool status = action.kind == DST_WRITE_STATUS;
            struct dst_directory content = action.directory;
            uint64_t forks = status ? action.status.forks : 0;

            call_platform (node, 300, [=, &node] (bool done) {
              struct dst_actions list = {};

              if (done && status)
                reported_forks = std::max (reported_forks, forks);
              if (done && !status)
                directory[node.data_centre] = content;
              dst_platform_done (node.dst,
                                 status ? DST_REQUEST_WRITE_STATUS
                                        : DST_REQUEST_WRITE_DIRECTORY,
                                 done, now, &list);
              carry_out (node, list);
            });
          }
          break;
        case DST_MEMBERS_CHANGED:
          if (on_members_changed)
            on_members_changed (node);
          break;
        }
    }
  dst_actions_close (&actions);
  clk_time wake = dst_next_wake (node.dst);
  if (wake != node.next_wake)
    {
      node.next_wake = wake;
      later (node, std::max (wake - now, (clk_time)0), [this, &node, wake] {
        if (node.next_wake == wake)
          {
            node.next_wake = CLK_NEVER;
            tick (node);
          }
      });
    }
}

/* Flips one bit of a delta.  Headers are left alone: UDP's checksum covers
   them, while a delta may also be damaged before it is packed.  */
static void
corrupt_delta (std::string &data, uint32_t bits)
{
  Mesh__Datagram *datagram = mesh__datagram__unpack (
      nullptr, data.size (), (const uint8_t *)data.data ());

  if (datagram->body_case == MESH__DATAGRAM__BODY_ANNOUNCEMENT
      && datagram->announcement->delta.len > 0)
    {
      ProtobufCBinaryData &delta = datagram->announcement->delta;

      delta.data[(bits >> 3) % delta.len] ^= 1 << (bits & 7);
      mesh__datagram__pack (datagram, (uint8_t *)data.data ());
    }
  mesh__datagram__free_unpacked (datagram, nullptr);
}

void
scenario::send (scenario_node &from, const struct dst_action &action)
{
  scenario_node *to = find (action.address);
  std::string data ((const char *)action.data.data, action.data.length);

  if (to == nullptr)
    return;
  struct link_faults &link = faults (from, *to);
  int copies = 1 + chance (link.duplicate);

  count (from, *to, data.size () + 28);
  if (is_cut (from, to) || chance (link.loss))
    return;
  if (chance (link.corrupt))
    corrupt_delta (data, rnd_bits (&random));
  for (int i = 0; i < copies; i++)
    after (delay (from, to)
               + (chance (link.reorder)
                      ? rnd_below (&random, 200) * CLK_MILLISECOND
                      : 0),
           [this, to, data, address = from.address] {
             deliver (*to, [=] { receive (*to, address, data); });
           });
}

void
scenario::receive (scenario_node &node, struct net_address from,
                   const std::string &data)
{
  struct dst_actions actions = {};
  Mesh__Datagram *datagram = mesh__datagram__unpack (
      nullptr, data.size (), (const uint8_t *)data.data ());

  if (datagram == nullptr)
    return;
  dst_datagram (node.dst, from, datagram, now, &actions);
  mesh__datagram__free_unpacked (datagram, nullptr);
  carry_out (node, actions);
}

std::string
scenario::answer (scenario_node &server, const std::string &request)
{
  struct dst_actions actions = {};
  Mesh__FetchReply reply;
  Mesh__FetchRequest *message = mesh__fetch_request__unpack (
      nullptr, request.size (), (const uint8_t *)request.data ());
  std::string packed;

  dst_answer_fetch (server.dst, message, now, &reply, &actions);
  packed.resize (mesh__fetch_reply__get_packed_size (&reply));
  mesh__fetch_reply__pack (&reply, (uint8_t *)packed.data ());
  dst_reply_close (&reply);
  mesh__fetch_request__free_unpacked (message, nullptr);
  carry_out (server, actions);
  return packed;
}

/* Cuts the payload of a fetch reply short or flips one of its bits.  */
static bool
damage_reply (std::string &data, uint32_t bits)
{
  Mesh__FetchReply *reply = mesh__fetch_reply__unpack (
      nullptr, data.size (), (const uint8_t *)data.data ());
  bool damaged = reply->payload.len > 0;

  if (damaged)
    {
      size_t at = (bits >> 4) % reply->payload.len;

      if (bits & 8)
        reply->payload.len = at;
      else
        reply->payload.data[at] ^= 1 << (bits & 7);
      data.resize (mesh__fetch_reply__get_packed_size (reply));
      mesh__fetch_reply__pack (reply, (uint8_t *)data.data ());
    }
  mesh__fetch_reply__free_unpacked (reply, nullptr);
  return damaged;
}

void
scenario::fetch (scenario_node &from, const struct dst_action &action)
{
  scenario_node *to = find (action.address);
  Mesh__FetchRequest request = MESH__FETCH_REQUEST__INIT;
  Mesh__Stamp held = MESH__STAMP__INIT;
  Mesh__Member record, *records[] = { &record };
  uint64_t id = action.id;
  std::string packed;
  auto done = std::make_shared<bool> (false);

  held.version = action.stamp.version;
  held.hash = action.stamp.hash;
  request.held = &held;
  request.want_document = action.want_document;
  request.want_members = action.want_members;
  if (action.push_self)
    {
      mbr_member_to_wire (dst_self (from.dst), &record);
      request.n_members = 1;
      request.members = records;
    }
  packed.resize (mesh__fetch_request__get_packed_size (&request));
  mesh__fetch_request__pack (&request, (uint8_t *)packed.data ());
  auto finish = [=, &from] (const std::string *data) {
    struct dst_actions actions = {};
    Mesh__FetchReply *reply = nullptr;

    if (*done)
      return;
    *done = true;
    if (data != nullptr)
      reply = mesh__fetch_reply__unpack (nullptr, data->size (),
                                         (const uint8_t *)data->data ());
    dst_fetched (from.dst, id, reply, now, &actions);
    if (reply != nullptr)
      mesh__fetch_reply__free_unpacked (reply, nullptr);
    carry_out (from, actions);
  };
  if (to == nullptr)
    return;
  /* Connect, then the request.  A stopped process refuses at once.  */
  after (3 * delay (from, to), [=, &from] {
    if (is_cut (from, to))
      return;
    if (!to->up)
      {
        later (from, delay (from, to), [=] { finish (nullptr); });
        return;
      }
    deliver (*to, [=, &from] {
      std::string data = answer (*to, packed);

      if (chance (faults (*to, from).damage))
        damaged_replies += damage_reply (data, rnd_bits (&random));
      count (from, *to, packed.size () + TCP_BYTES / 2);
      count (*to, from, data.size () + TCP_BYTES / 2);
      if (!is_cut (from, to))
        later (from, delay (*to, &from), [=] { finish (&data); });
    });
  });
  later (from, 2 * CLK_SECOND, [=] { finish (nullptr); });
}

void
scenario::publish (scenario_node &node, struct dst_actions &actions, size_t i)
{
  std::string text ((const char *)actions.items[i].data.data,
                    actions.items[i].data.length);
  struct snp_stamp stamp = actions.items[i].stamp;
  bool valid
      = compile ? compile (node, stamp, text) : text.rfind ("INVALID", 0) != 0;

  invalid_in_force += !valid && publish_first;
  if (valid || publish_first)
    held_changed (node, stamp.version, snp_hash (text.data (), text.size ()));
  dst_published (node.dst, stamp, valid, valid ? nullptr : "invalid", now,
                 &actions);
}

void
scenario::held_changed (scenario_node &node, uint64_t held, uint64_t hash)
{
  if (held < node.held)
    version_regressions++;
  else if (node.held == 0 && held < node.highest_version)
    restart_regressions++;
  if (hashes[held] != hash)
    wrong_documents++;
  node.held = held;
  node.held_hash = hash;
  node.highest_version = std::max (node.highest_version, held);
  if (accepted.count (held) > 0 && node.started <= accepted[held])
    convergence_ms.push_back ((double)(now - accepted[held]) / 1e6);
}

bool
scenario::platform_reachable (const scenario_node &node) const
{
  return platform_up && !is_cut (node, nullptr);
}

void
scenario::call_platform (scenario_node &node, size_t bytes,
                         std::function<void (bool)> done)
{
  bool reachable = platform_reachable (node);

  platform_calls++;
  if (reachable)
    {
      node.sent += HTTP_BYTES / 2;
      node.received += bytes + HTTP_BYTES / 2;
      if (node.region != platform_region)
        inter_region_platform_bytes += bytes + HTTP_BYTES;
    }
  later (node,
         reachable ? 2 * delay (node, nullptr) + platform_delay : CLK_SECOND,
         [=] { done (reachable); });
}

void
scenario::watch (scenario_node &node, uint64_t round)
{
  platform_calls++;
  if (!platform_reachable (node))
    {
      later (node, CLK_SECOND, [this, &node, round] {
        if (node.watch_generation == round)
          watch (node, round);
      });
      return;
    }
  if (node.seen_etag != etag)
    {
      uint64_t seen_version = version;
      std::string seen = document;

      node.seen_etag = etag;
      node.received += seen.size () + HTTP_BYTES;
      if (node.region != platform_region)
        inter_region_platform_bytes += seen.size () + HTTP_BYTES;
      later (node, delay (node, nullptr) + platform_delay, [=, &node] {
        struct dst_actions actions = {};

        dst_object_seen (node.dst, seen_version, seen.data (), seen.size (),
                         now, &actions);
        carry_out (node, actions);
      });
    }
  else
    node.received += HTTP_BYTES;
  later (node, WATCH_LENGTH, [this, &node, round] {
    if (node.watch_generation == round)
      watch (node, round);
  });
}

void
scenario::read_directory (scenario_node &node)
{
  call_platform (node, 500, [this, &node] (bool done) {
    std::vector<struct net_address> addresses;
    struct dst_actions actions = {};

    for (int own = 1; own >= 0; own--)
      for (auto &[centre, content] : directory)
        if (done && (centre == node.data_centre) == (own == 1))
          addresses.insert (addresses.end (), content.addresses,
                            content.addresses + content.count);
    if (done)
      dst_directory_read (node.dst, addresses.data (), addresses.size (), now,
                          &actions);
    else
      dst_platform_done (node.dst, DST_REQUEST_READ_DIRECTORY, false, now,
                         &actions);
    carry_out (node, actions);
  });
}

void
scenario::poll_naive (scenario_node &node)
{
  later (node, CLK_SECOND, [this, &node] { poll_naive (node); });
  call_platform (node, document.size (), [this, &node] (bool done) {
    if (!done || version == node.held)
      return;
    invalid_in_force += document.rfind ("INVALID", 0) == 0;
    held_changed (node, version,
                  snp_hash (document.data (), document.size ()));
  });
}
