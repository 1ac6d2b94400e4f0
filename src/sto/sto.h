/* Client of the platform's store on an event loop.  It sends a call once and
   reports how it ended; what is tried again is the caller's decision.

   Example:

     struct sto_request request = { STO_GET, "config", "main" };

     call = sto_start (store, &request, deadline, on_reply, context);  */

#ifndef MULBERRYSHIFT_STO_STO_H
#define MULBERRYSHIFT_STO_STO_H

#include "base/net.h"
#include "evl/evl.h"
#include "ptf/ptf.h"
#include "sto/sto_request.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct sto;
  struct sto_call;

  /* The call has ended; it is freed when this returns.  */
  typedef void (*sto_callback) (void *context,
                                const struct sto_request *request,
                                const struct sto_reply *reply);

  /* Creates a client without connections.  */
  struct sto *sto_create (struct evl *loop, struct net_address address,
                          const struct ptf_platform *platform);

  /* Ends all calls without a report and frees the client.  */
  void sto_destroy (struct sto *store);

  /* Starts a call; REQUEST's strings and content must live until this returns,
     and the report has none of them.  At DEADLINE the call ends as
     STO_UNKNOWN.  */
  struct sto_call *sto_start (struct sto *store,
                              const struct sto_request *request,
                              clk_time deadline, sto_callback done,
                              void *context);

  /* Ends a call without a report.  */
  void sto_cancel (struct sto_call *call);

  /* Returns the calls started so far.  */
  uint64_t sto_call_count (const struct sto *store);

  /* Returns when the store last served a call, 0 when it never did.  */
  clk_time sto_last_answer_time (const struct sto *store);

  /* Opens a connection for the first call, which tells the distance.  */
  void sto_connect (struct sto *store);

  /* Returns the shortest round trip to the store, in ns; 0 while no connection
     was accepted.  */
  clk_time sto_round_trip_time (const struct sto *store);

#ifdef __cplusplus
}
#endif

#endif
