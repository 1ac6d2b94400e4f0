/* Metrics of the forwarder for each tenant.  Calls without a tenant are not
   counted, except those refused for want of a key.  Used inside this
   module.  */

#ifndef MULBERRYSHIFT_FWD_FWD_TENANT_STAT_H
#define MULBERRYSHIFT_FWD_FWD_TENANT_STAT_H

#include "fwd/fwd_internal.h"

/* The caller got an upstream's answer.  */
void fwd_count_tenant_answered (const struct fwd_call *call);

/* The caller got an answer of this node's own.  */
void fwd_count_tenant_failed (const struct fwd_call *call, unsigned status);

/* The caller has left.  */
void fwd_count_tenant_gone (const struct fwd_call *call);

#endif
