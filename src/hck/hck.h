/* Health check of an upstream: one request that asks whether the upstream of a
   name is there, healthy and not about to leave.

   Example:

     struct hck_request request
         = { address, "/health", "X-Instance", "i-7", now + CLK_SECOND };

     check = hck_start (loop, &request, on_checked, context);  */

#ifndef MULBERRYSHIFT_HCK_HCK_H
#define MULBERRYSHIFT_HCK_HCK_H

#include "base/net.h"
#include "evl/evl.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct hck;

  enum hck_result
  {
    HCK_HEALTHY,   /* the upstream of this name takes calls */
    HCK_UNHEALTHY, /* it says that it does not, or has another name */
    HCK_REFUSED,   /* no process listens at its address */
    HCK_NO_ANSWER  /* the connection was lost, or the deadline has passed */
  };

  struct hck_request
  {
    struct net_address address;
    const char *path;        /* request target of the check */
    const char *name_header; /* response field with the upstream's name */
    const char *name;        /* the name that it must have */
    clk_time deadline;
  };

  /* Reports the result, once, outside hck_start.  The check is freed
     afterwards.  */
  typedef void (*hck_callback) (void *context, enum hck_result result);

  /* Starts a check.  The strings of REQUEST need not outlive the call, except
     NAME_HEADER.  */
  struct hck *hck_start (struct evl *loop, const struct hck_request *request,
                         hck_callback callback, void *context);

  /* Ends a check without a report and frees it.  Null is allowed.  */
  void hck_cancel (struct hck *check);

  /* Returns a short text, for logs.  */
  const char *hck_result_name (enum hck_result result);

#ifdef __cplusplus
}
#endif

#endif
