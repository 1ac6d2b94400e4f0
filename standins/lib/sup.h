/* Stand-in of an upstream on the users' platform: runs requests in slots,
   sends heartbeats, and has the faults that servers may have.  */

#ifndef MULBERRYSHIFT_STANDINS_SUP_H
#define MULBERRYSHIFT_STANDINS_SUP_H

#include "base/net.h"
#include "evl/evl.h"
#include "htp/htp.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct sup;

  struct sup_settings
  {
    struct net_address address;
    struct net_address control; /* of its sidecar */
    const char *name;
    const char *service;
    const char *data_centre;
    const char *version; /* of its software; null: v1 */
    uint32_t slots;
    clk_time service_time;       /* time of a request, ns */
    clk_time heartbeat_interval; /* interval, ns */
    /* Where others reach it, when that is not ADDRESS; port 0: the same.  */
    struct net_address announced_address;
    /* A request begins to run; may be null.  */
    void (*on_run) (const struct htp_message *message);
    /* The connection of a running request ended, so it stopped; may be null.
     */
    void (*on_cut) (const char *id);
  };

  /* How an upstream misbehaves.  */
  enum sup_fault
  {
    SUP_HEALTHY,
    SUP_EXTRA_RESPONSE, /* sends a response without an id before each */
    SUP_TRUNCATE,       /* breaks off responses */
    SUP_MALFORMED,      /* sends bytes that are no response */
    SUP_UNSIGNED,       /* leaves out its signature */
    SUP_LOSE_RESPONSE,  /* runs requests and resets their connections */
    SUP_SHED,           /* refuses requests as not run */
    SUP_FAIL,           /* answers 500 */
    SUP_SILENT          /* never answers, nor anything more on that connection
                         */
  };

  /* Opens the upstream and starts its heartbeats.  Returns null with err_set
     when the address cannot be used.  */
  struct sup *sup_create (struct evl *loop,
                          const struct sup_settings *settings);

  /* Ends the upstream at once, as a crash does.  Null is allowed.  */
  void sup_destroy (struct sup *upstream);

  /* Frees the address for another upstream, as when the VM of this one loses
     its network: no heartbeats, no answers, and open connections stay open. */
  void sup_go_dark (struct sup *upstream);

  /* Sets the fault of the requests that follow.  */
  void sup_set_fault (struct sup *upstream, enum sup_fault fault);

  /* How a raw answer ends.  */
  enum sup_end
  {
    SUP_CLOSE,
    SUP_RESET
  };

  /* Answers the requests that follow with the first LENGTH bytes of TEXT, in
     which each "@" stands for the request's id, and ends their connections as
     END says.  TEXT null: answers as before.  TEXT must outlive the
     upstream.  */
  void sup_set_raw_answer (struct sup *upstream, const char *text,
                           size_t length, enum sup_end end);

  /* Limits damaged, lost and failed responses to requests whose target begins
     with PATH, null for all.  PATH must outlive the upstream.  */
  void sup_set_fault_path (struct sup *upstream, const char *path);

  /* Sends a whole copy of the answer or refusal before, with its id, when the
     next request begins to run, or has no id.  */
  void sup_set_late_copies (struct sup *upstream, bool on);

  /* Sends such a copy now, on the connection of the request that was answered
     or refused last.  */
  void sup_send_late_copy (struct sup *upstream);

  /* Answers the requests that follow with START and then FILLER again and
     again, until the caller closes.  WITH_HEAD: a status line, the request's
     id and a signature come first.  Ends with FILLER null.  The texts must
     outlive the upstream.  */
  void sup_set_flood (struct sup *upstream, bool with_head, const char *start,
                      const char *filler);

  /* Sends at most BYTES of FILLER in one answer, which then stays open.  */
  void sup_set_flood_limit (struct sup *upstream, uint64_t bytes);

  /* Returns the bytes of FILLER sent so far, and the connections that get
     them.  */
  uint64_t sup_flood_bytes (const struct sup *upstream);
  size_t sup_flood_count (const struct sup *upstream);

  /* Sets the least size of the bodies of answers, in bytes.  */
  void sup_set_body_size (struct sup *upstream, size_t bytes);

  /* Sets the time of the requests that follow, in ns.  */
  void sup_set_service_time (struct sup *upstream, clk_time work);

  /* Says in heartbeats that the upstream leaves.  */
  void sup_drain (struct sup *upstream);

  /* Sends no more heartbeats but deregistrations, again and again until one is
     acknowledged.  The upstream goes on to serve.  */
  void sup_deregister (struct sup *upstream);

  /* Delivers a heartbeat from before the departure, in which the upstream
     takes calls, as the network may do seconds late.  */
  void sup_send_late_heartbeat (struct sup *upstream);

  /* Returns whether the departure was acknowledged.  */
  bool sup_is_drain_acknowledged (const struct sup *upstream);

  /* Returns the requests that ran, and those that reached the upstream.  */
  uint64_t sup_run_count (const struct sup *upstream);
  uint64_t sup_request_count (const struct sup *upstream);

  /* Returns the requests that ran more than once.  */
  uint64_t sup_duplicate_count (const struct sup *upstream);

  /* Returns the header fields of the request that began to run last, as lines
     "NAME: VALUE"; "" before the first.  Valid until the next one.  */
  const char *sup_last_fields (const struct sup *upstream);

  /* Returns how often the request with this id ran.  */
  unsigned sup_runs_of (const struct sup *upstream, const char *id);

  /* Sets whether health checks fail, whatever the state of the upstream.  */
  void sup_set_health_failing (struct sup *upstream, bool on);

  /* Sets whether health checks pass, whatever the state of the upstream.  */
  void sup_set_health_passing (struct sup *upstream, bool on);

  /* Returns the health checks received so far.  */
  uint64_t sup_health_check_count (const struct sup *upstream);

  /* Returns when a request last arrived, 0 when none did.  */
  clk_time sup_last_request_time (const struct sup *upstream);

#ifdef __cplusplus
}
#endif

#endif
