/* Client of the platform's store on an event loop.  It sends each call once
   and reports its result; retries are the caller's decision.

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

  /* A call in progress.  */
  struct sto_call;

  /* Reports the end of a call, which is already freed.  REQUEST has no strings
     and no content; REPLY is valid until this returns.  */
  typedef void (*sto_callback) (void *context,
                                const struct sto_request *request,
                                const struct sto_reply *reply);

  /* The store came back from a copy: its era has changed from BEFORE to ERA.
   */
  typedef void (*sto_restored) (void *context, uint64_t before, uint64_t era);

  /* Creates a client of the store at ADDRESS without opening a connection.  */
  struct sto *sto_create (struct evl *loop, struct net_address address,
                          const struct ptf_platform *platform);

  /* Cancels all calls and frees the client.  Null is allowed.  */
  void sto_destroy (struct sto *store);

  /* Starts a call.  The strings and the content of REQUEST must live only
     until this returns.  A call without a reply by DEADLINE ends with
     STO_UNKNOWN.  For STO_GET and STO_LIST the time until DEADLINE counts from
     the last bytes received, up to 8 s after the start in all.  */
  struct sto_call *sto_start (struct sto *store,
                              const struct sto_request *request,
                              clk_time deadline, sto_callback callback,
                              void *context);

  /* Returns whether bytes of the reply have arrived and its time has not
     ended.  */
  bool sto_is_arriving (const struct sto_call *call);

  /* Cancels a call: closes its connection, and CALLBACK is not called.  Null
     is allowed.  */
  void sto_cancel (struct sto_call *call);

  /* Returns the number of calls started so far.  */
  uint64_t sto_call_count (const struct sto *store);

  /* Returns the time of the last reply by which the store served a call, 0
     before the first one.  Replies with STO_BUSY and STO_INVALID do not
     count.  */
  clk_time sto_last_answer_time (const struct sto *store);

  /* Sets the function that is called when the era has changed, after the
     callback of the call whose reply shows it.  */
  void sto_set_restored (struct sto *store, sto_restored restored,
                         void *context);

  /* Returns how often the era has changed, as the replies show.  What was read
     or written at an earlier count may be gone.  */
  uint64_t sto_restore_count (const struct sto *store);

  /* Returns the era that the store has stated last, 0 before it has.  */
  uint64_t sto_era (const struct sto *store);

  /* Opens an idle connection, which measures the round trip time before the
     first call uses it.  */
  void sto_connect (struct sto *store);

  /* Returns the shortest round trip time to the store, in ns; 0 before the
     first connection is established.  */
  clk_time sto_round_trip_time (const struct sto *store);

#ifdef __cplusplus
}
#endif

#endif
