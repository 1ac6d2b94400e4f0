/* A mesh of sidecars on one event loop.  */

#include "support/sidecar_mesh.h"

#include "base/err.h"
#include "pfm.h"
#include "pfm_names.h"

#include <algorithm>
#include <csignal>
#include <cstring>
#include <set>
#include <unistd.h>

SidecarMesh::SidecarMesh ()
    /* Below the ports that the system gives to outgoing connections, whose
       remains would be in the way.  */
    : base_port ((uint16_t)(10000 + 10 * (getpid () % 2200)))
{
  signal (SIGPIPE, SIG_IGN);
  store = sst_create (loop, { 0, (uint16_t)(base_port + store_port) });
  EXPECT_NE (store, nullptr) << err_last ();
}

SidecarMesh::~SidecarMesh ()
{
  for (Vm &vm : vms)
    {
      sdc_destroy (vm.sidecar);
      sup_destroy (vm.upstream);
    }
  sst_destroy (store);
  run_for (5);
}

struct net_address
SidecarMesh::address_of (size_t vm, uint16_t port) const
{
  return { vms[vm].ip, (uint16_t)(base_port + port) };
}

size_t
SidecarMesh::add_vm (const std::string &service,
                     const std::string &data_centre, const std::string &region,
                     bool first_start)
{
  Vm vm;

  vm.name = "vm-" + std::to_string (vms.size ());
  vm.data_centre = data_centre;
  vm.region = region;
  vm.service = service;
  vm.ip = 0x7f000101 + (uint32_t)vms.size ();
  vms.push_back (vm);
  start_sidecar (vms.size () - 1, first_start);
  start_upstream (vms.size () - 1);
  return vms.size () - 1;
}

static void
copy_name (char *to, const std::string &from)
{
  memcpy (to, from.c_str (), from.size () + 1);
}

void
SidecarMesh::start_sidecar (size_t index, bool first_start)
{
  struct cfg_sidecar settings = {};
  Vm &vm = vms[index];

  copy_name (settings.name, vm.name);
  copy_name (settings.data_centre, vm.data_centre);
  copy_name (settings.region, vm.region);
  copy_name (settings.service, vm.service);
  settings.first_start = first_start;
  settings.memory_mb = 256;
  settings.calls = address_of (index, calls_port);
  settings.links = address_of (index, links_port);
  settings.ready = address_of (index, ready_port);
  settings.control = address_of (index, control_port);
  settings.metrics = address_of (index, metrics_port);
  settings.upstream = address_of (index, upstream_port);
  settings.heartbeat = heartbeat;
  settings.platform = address_of (index, store_port);
  settings.drain = 2 * CLK_SECOND;
  settings.grace = grace;
  settings.retry_ratio = 0.2;
  settings.retry_slack = retry_slack;
  settings.retry_window = 10 * CLK_SECOND;
  vm.sidecar = sdc_create (loop, &settings, nullptr, &pfm_platform);
  ASSERT_NE (vm.sidecar, nullptr);
}

void
SidecarMesh::kill_sidecar (size_t vm)
{
  sdc_destroy (vms[vm].sidecar);
  vms[vm].sidecar = nullptr;
  run_for (1);
}

void
SidecarMesh::start_upstream (size_t index)
{
  Vm &vm = vms[index];
  std::string name = "i-" + vm.name + "-" + std::to_string (++vm.starts);
  struct sup_settings settings = { address_of (index, upstream_port),
                                   address_of (index, control_port),
                                   name.c_str (),
                                   vm.service.c_str (),
                                   vm.data_centre.c_str (),
                                   slots,
                                   work,
                                   heartbeat };

  vm.upstream = sup_create (loop, &settings);
  ASSERT_NE (vm.upstream, nullptr);
}

void
SidecarMesh::kill_upstream (size_t vm)
{
  sup_destroy (vms[vm].upstream);
  vms[vm].upstream = nullptr;
  run_for (1);
}

static json_t *
make_route (const std::string &path, const std::string &service, bool safe)
{
  return json_pack (
      "{s:s, s:{s:s}, s:{s:s, s:s, s:s, s:f, s:f, s:i, s:i, s:s}}",
      PFM_ENTRY_TYPE, PFM_ROUTES, PFM_METADATA, PFM_NAME, path.c_str (),
      PFM_SPEC, PFM_HOST, "mesh.example", PFM_PATH_PREFIX, path.c_str (),
      PFM_ROUTE_TYPE, safe ? PFM_ROUTE_SAFE : PFM_ROUTE_UNSAFE, PFM_TIMEOUT_S,
      1.0, PFM_TARGET_LATENCY_S, 0.3, PFM_PRIORITY, 1, PFM_MAX_ATTEMPTS, 2,
      PFM_SERVICE, service.c_str ());
}

void
SidecarMesh::put_config (uint64_t version,
                         const std::vector<std::string> &more_paths)
{
  json_t *entries = json_array ();
  std::set<std::string> services = { "orders" };

  for (const Vm &vm : vms)
    services.insert (vm.service);
  for (const std::string &service : services)
    {
      json_array_append_new (
          entries, json_pack ("{s:s, s:{s:s}, s:{s:s, s:i}}", PFM_ENTRY_TYPE,
                              PFM_SERVICES, PFM_METADATA, PFM_NAME,
                              service.c_str (), PFM_SPEC, "HealthPath",
                              "/health", PFM_MAX_CONNECTIONS, 100));
      json_array_append_new (entries,
                             make_route ("/" + service + "/", service, true));
    }
  for (const std::string &path : more_paths)
    json_array_append_new (entries, make_route (path, "orders", true));
  json_array_append_new (entries, make_route ("/once/", "orders", false));
  json_array_append_new (
      entries,
      json_pack ("{s:s, s:{}, s:{s:i, s:i, s:f, s:f}}", PFM_ENTRY_TYPE,
                 PFM_LIMITS, PFM_METADATA, PFM_SPEC, PFM_MAX_HEADER_BYTES,
                 16384, PFM_MAX_BODY_BYTES, 1000000, PFM_HEADER_TIMEOUT_S, 3.,
                 PFM_IDLE_TIMEOUT_S, 15.));
  sst_put (store, PFM_CONFIG_KIND, PFM_CONFIG_NAME,
           json_pack ("{s:I, s:o}", PFM_VERSION, (json_int_t)version,
                      PFM_RESOURCES, entries));
}

bool
SidecarMesh::converges (uint64_t version, int limit_ms)
{
  return run_until (
      [&] {
        return std::all_of (vms.begin (), vms.end (), [&] (const Vm &vm) {
          return vm.sidecar == nullptr
                 || (sdc_version (vm.sidecar) == version
                     && sdc_node_count (vm.sidecar) == vms.size ());
        });
      },
      limit_ms);
}

std::string
SidecarMesh::next_id ()
{
  return "id-" + std::to_string (++ids);
}

Peer
SidecarMesh::call (size_t vm, const std::string &path, const std::string &id,
                   int timeout_ms, const std::string &method)
{
  Peer peer = Peer::connect (address_of (vm, calls_port));

  peer.send (method + " " + path + " HTTP/1.1\r\nHost: mesh.example\r\n"
             + PFM_REQUEST_ID ": " + (id.empty () ? next_id () : id) + "\r\n"
             + PFM_TIMEOUT_MS ": " + std::to_string (timeout_ms)
             + "\r\nContent-Length: 0\r\n\r\n");
  return peer;
}

int
SidecarMesh::status_in (const Peer &peer)
{
  if (peer.received.size () < 12
      || peer.received.find ("\r\n\r\n") == std::string::npos)
    return 0;
  return atoi (peer.received.c_str () + 9);
}

int
SidecarMesh::status_of (size_t vm, const std::string &path,
                        const std::string &id, int timeout_ms,
                        const std::string &method)
{
  Peer peer = call (vm, path, id, timeout_ms, method);

  run_until ([&] { return !peer.receive () || status_in (peer) != 0; },
             timeout_ms + 1000);
  return status_in (peer);
}

int
SidecarMesh::ready_status (size_t vm)
{
  Peer peer = Peer::connect (address_of (vm, ready_port));

  peer.send ("GET " PFM_READY_PATH " HTTP/1.1\r\n\r\n");
  run_until ([&] { return !peer.receive () || status_in (peer) != 0; }, 500);
  return status_in (peer);
}
