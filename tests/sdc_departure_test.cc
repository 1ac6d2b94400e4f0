/* Tests sidecars whose upstream has left and serves on, while its node stops
   and starts again and a heartbeat from before the departure arrives late.  */

#include "support/sidecars.h"

#include "pfm_names.h"
#include "pub/pub.h"

#include <string>

class Departures : public Sidecars
{
protected:
  /* The VM whose upstream leaves, and that upstream.  */
  static const size_t vm = 1;
  std::string upstream = "i-vm-1-1";

  const json_t *
  stored_record () const
  {
    return sst_get (store, PUB_KIND, vms[vm].name.c_str ());
  }
  bool
  is_stored_as_leaving () const
  {
    return json_is_true (
        json_object_get (stored_record (), "upstream_leaving"));
  }
  /* Keeps the start time of the upstream for late heartbeats.  */
  void
  note_start ()
  {
    born = (uint64_t)json_integer_value (
        json_object_get (stored_record (), "upstream_born"));
    ASSERT_GT (born, 0u);
  }
  /* The upstream deregisters without a draining heartbeat, and serves on.  */
  void
  deregister ()
  {
    sup_deregister (vms[vm].upstream);
    ASSERT_TRUE (run_until (
        [&] { return sup_is_drain_acknowledged (vms[vm].upstream); }, 2500));
    arrivals = sup_request_count (vms[vm].upstream);
  }
  /* Stops the node as the platform does with SIGTERM.  */
  void
  stop_node ()
  {
    sdc_terminate (vms[vm].sidecar);
    ASSERT_TRUE (
        run_until ([&] { return sdc_has_stopped (vms[vm].sidecar); }, 6500));
    kill_sidecar (vm);
  }
  /* Delivers a heartbeat in the name of the upstream and returns the status.
   */
  int
  deliver_heartbeat (uint64_t sequence, bool with_born = true)
  {
    char address[NET_TEXT_SIZE];
    Peer peer = Peer::connect (address_of (vm, control_port));

    net_format (address_of (vm, upstream_port), address);
    std::string body = json_of (
        "{'" PFM_ADDRESS "':'" + std::string (address) + "',"
        + (with_born ? "'" PFM_BORN "':" + std::to_string (born) + "," : "")
        + "'" PFM_INFO "':{'" PFM_SERVICE "':'stock','" PFM_ZONE
          "':'a','" PFM_SOFTWARE_VERSION "':'v1','" PFM_SLOTS
          "':4},'" PFM_STATUS "':{'" PFM_STATE "':'ready','" PFM_SEQ "':"
        + std::to_string (sequence) + ",'" PFM_COLD_LEFT_S "':0}}");

    peer.send ("POST " PFM_HEARTBEAT_PATH + upstream
               + " HTTP/1.1\r\nContent-Length: "
               + std::to_string (body.size ()) + "\r\n\r\n" + body);
    EXPECT_TRUE (run_until_received (peer, "\r\n\r\n"));
    return response_status (peer);
  }
  /* Delivers the first heartbeat, which the network held back.  */
  void
  deliver_late_heartbeat ()
  {
    EXPECT_EQ (deliver_heartbeat (1), 200);
  }
  /* Sends calls at all nodes and checks that none reaches the upstream.  */
  void
  expect_no_requests ()
  {
    for (int i = 0; i < 40; i++)
      EXPECT_EQ (status_of (i % 4, "/stock/"), 200);
    EXPECT_EQ (sup_request_count (vms[vm].upstream), arrivals);
  }
  /* Ends the upstream and starts the next one of this VM.  */
  void
  replace_with_next_upstream ()
  {
    kill_upstream (vm);
    start_upstream (vm);
    upstream = "i-vm-1-" + std::to_string (vms[vm].upstream_starts);
    ASSERT_TRUE (run_until ([&] {
      return stored_record () != nullptr
             && upstream
                    == json_string_value (
                        json_object_get (stored_record (), "upstream"));
    }));
  }
  /* Plays a planned stop and a new start of the node.  */
  void
  restart_after_departure (bool health_passes)
  {
    start_mesh ();
    note_start ();
    sup_set_health_passing (vms[vm].upstream, health_passes);
    deregister ();
    stop_node ();
    start_sidecar (vm);
    ASSERT_TRUE (run_until_converged (1));
    deliver_late_heartbeat ();
    expect_no_requests ();
  }

  uint64_t born = 0;
  uint64_t arrivals = 0;
};

/* Guards against an upstream that gets calls although its departure was
   acknowledged: a node that stopped as planned removed its record, which held
   the departure, while the upstream still served.  */
TEST_F (Departures, OutliveAPlannedRestartOfTheNode)
{
  restart_after_departure (false);
}

/* The same with an upstream whose health check passes until it ends.  */
TEST_F (Departures, OutliveAPlannedRestartOfTheNodeWhateverHealthChecksSay)
{
  restart_after_departure (true);
}

/* Guards against a departure that only other nodes hold and that a new process
   of the node replaces there by a record without it: the node is killed while
   the store is away.  */
TEST_F (Departures, OutliveAKillWithoutTheStore)
{
  start_mesh ();
  note_start ();
  sup_set_health_passing (vms[vm].upstream, true);
  sst_set_fault (store, SST_NO_RESPONSE, 0);
  deregister ();
  kill_sidecar (vm);
  start_sidecar (vm);
  ASSERT_TRUE (run_until_converged (1));
  deliver_late_heartbeat ();
  expect_no_requests ();
  sst_clear_faults (store);
  EXPECT_TRUE (run_until ([&] { return is_stored_as_leaving (); }));
  expect_no_requests ();
}

/* The same, and the late heartbeat arrives before the node has a link with
   another one.  */
TEST_F (Departures, OutliveAHeartbeatThatArrivesBeforeTheOtherNodesConnect)
{
  heartbeat = CLK_SECOND;
  start_mesh ();
  note_start ();
  sup_set_health_passing (vms[vm].upstream, true);
  sst_set_fault (store, SST_NO_RESPONSE, 0);
  deregister ();
  kill_sidecar (vm);
  start_sidecar (vm);
  deliver_late_heartbeat ();
  ASSERT_TRUE (run_until_converged (1));
  run_for (300);
  arrivals = sup_request_count (vms[vm].upstream);
  expect_no_requests ();
}

/* The same with a planned stop: the node cannot write its record, and the
   store holds an earlier one when the node is back.  */
TEST_F (Departures, OutliveAPlannedRestartWithoutTheStore)
{
  start_mesh ();
  note_start ();
  sup_set_health_passing (vms[vm].upstream, true);
  sst_set_fault (store, SST_NO_RESPONSE, 0);
  deregister ();
  stop_node ();
  sst_clear_faults (store);
  start_sidecar (vm);
  ASSERT_TRUE (run_until_converged (1));
  run_for (300);
  arrivals = sup_request_count (vms[vm].upstream);
  deliver_late_heartbeat ();
  expect_no_requests ();
}

/* Guards against a departure that is lost in a chain of processes: each is
   killed before it has learned of it.  */
TEST_F (Departures, OutliveTwoKillsInARowWithoutTheStore)
{
  start_mesh ();
  note_start ();
  sup_set_health_passing (vms[vm].upstream, true);
  sst_set_fault (store, SST_NO_RESPONSE, 0);
  deregister ();
  for (int i = 0; i < 2; i++)
    {
      kill_sidecar (vm);
      start_sidecar (vm);
      run_for (i == 0 ? 20 : 1);
    }
  ASSERT_TRUE (run_until_converged (1));
  deliver_late_heartbeat ();
  expect_no_requests ();
}

/* Guards against a departure that nobody holds any more but the upstream: all
   nodes are killed while the store is away.  A heartbeat that arrives before a
   node can ask anybody proves nothing.  */
TEST_F (Departures, OutliveAKillOfAllNodesWithoutTheStore)
{
  heartbeat = CLK_SECOND;
  start_mesh ();
  note_start ();
  sst_set_fault (store, SST_NO_RESPONSE, 0);
  deregister ();
  restart_all_sidecars ();
  deliver_late_heartbeat ();
  run_for (700);
  sst_clear_faults (store);
  ASSERT_TRUE (run_until_converged (1));
  run_for (200);
  expect_no_requests ();
}

/* Guards against an upstream that stays out of use because its heartbeat
   arrived before its node could ask anybody.  */
TEST_F (Departures, LeaveUpstreamsThatAnnounceThemselvesDuringAStartInUse)
{
  uint64_t runs;

  heartbeat = 20 * CLK_SECOND;
  start_mesh ();
  note_start ();
  runs = sup_run_count (vms[vm].upstream);
  kill_sidecar (vm);
  start_sidecar (vm);
  deliver_late_heartbeat ();
  EXPECT_TRUE (run_until (
      [&] {
        status_of (vm, "/stock/");
        return sup_run_count (vms[vm].upstream) > runs;
      },
      1000));
}

/* Guards against a departure that the store loses while the node is stopped:
   the other nodes know it and must write it again.  */
TEST_F (Departures, OutliveAStoreThatGoesBackDuringAPlannedStop)
{
  start_mesh ();
  note_start ();
  sst_take_copy (store);
  deregister ();
  run_for (300);
  stop_node ();
  sst_restore (store);
  ASSERT_FALSE (is_stored_as_leaving ());
  EXPECT_TRUE (run_until ([&] { return is_stored_as_leaving (); }));
  start_sidecar (vm);
  ASSERT_TRUE (run_until_converged (1));
  deliver_late_heartbeat ();
  expect_no_requests ();
}

/* Guards against a departure that a process removes without knowing it: it is
   stopped before the store has answered with the record of the node.  */
TEST_F (Departures, OutliveAStopThatComesDuringAStart)
{
  start_mesh ();
  note_start ();
  deregister ();
  ASSERT_TRUE (run_until ([&] { return is_stored_as_leaving (); }));
  kill_sidecar (vm);
  sst_set_fault (store, SST_NO_RESPONSE, vms[vm].ip);
  start_sidecar (vm);
  sdc_terminate (vms[vm].sidecar);
  run_for (1000);
  sst_clear_faults (store);
  ASSERT_TRUE (
      run_until ([&] { return sdc_has_stopped (vms[vm].sidecar); }, 6500));
  kill_sidecar (vm);
  run_for (300);
  EXPECT_TRUE (is_stored_as_leaving ());
  start_sidecar (vm);
  ASSERT_TRUE (run_until_converged (1));
  deliver_late_heartbeat ();
  expect_no_requests ();
}

/* Guards against a departure that is acknowledged and ignored: a heartbeat of
   another writer lacks the start time and has a higher sequence than those of
   the upstream, or has the start time as well.  */
TEST_F (Departures, CountBesideHeartbeatsOfAnotherWriter)
{
  for (bool with_born : { false, true })
    {
      if (vms.empty ())
        start_mesh ();
      note_start ();
      EXPECT_EQ (deliver_heartbeat (1000000, with_born),
                 with_born ? 200 : 400);
      sup_drain (vms[vm].upstream);
      ASSERT_TRUE (run_until (
          [&] { return sup_is_drain_acknowledged (vms[vm].upstream); }));
      arrivals = sup_request_count (vms[vm].upstream);
      expect_no_requests ();
      replace_with_next_upstream ();
    }
}

/* Guards against a departure that binds the upstream which follows: it starts
   at the same VM while the node is stopped, and must get calls at once.  */
TEST_F (Departures, DoNotBindTheNextUpstream)
{
  start_mesh ();
  deregister ();
  stop_node ();
  kill_upstream (vm);
  start_upstream (vm);
  start_sidecar (vm);
  EXPECT_TRUE (run_until (
      [&] {
        status_of (vm, "/stock/");
        return sup_run_count (vms[vm].upstream) > 0;
      },
      2000));
}

/* The same without the store, where the other nodes know of the departure. */
TEST_F (Departures, DoNotBindTheNextUpstreamWithoutTheStore)
{
  start_mesh ();
  sst_set_fault (store, SST_NO_RESPONSE, 0);
  deregister ();
  kill_sidecar (vm);
  kill_upstream (vm);
  start_sidecar (vm);
  start_upstream (vm);
  EXPECT_TRUE (run_until (
      [&] {
        status_of (vm, "/stock/");
        return sup_run_count (vms[vm].upstream) > 0;
      },
      3000));
  run_for (500);
  EXPECT_EQ (status_of (vm, "/stock/"), 200);
}
