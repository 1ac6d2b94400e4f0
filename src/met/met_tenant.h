/* Series of tenants.  The operator chooses their names and may change them
   with each version, so their number is bounded: further tenants are summed
   under the name "other".  A series exists once it has a value.  */

#ifndef MULBERRYSHIFT_MET_MET_TENANT_H
#define MULBERRYSHIFT_MET_MET_TENANT_H

#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Tenants with series of their own.  */
#define MET_MAX_TENANTS 64

  /* Adds 1 to the counter NAME of TENANT with the further label LABEL.  A null
     TENANT counts under the name "none".  Any thread may call this and the
     next function.  */
  void met_count_tenant (const char *name, const char *tenant,
                         const char *label, const char *value);

  /* Records TIME, in ns, in the histogram NAME of TENANT.  */
  void met_time_tenant (const char *name, const char *tenant, uint64_t time);

#ifdef __cplusplus
}
#endif

#endif
