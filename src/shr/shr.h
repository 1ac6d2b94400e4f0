/* Shares: how much of an upstream's slots each tenant has used lately, and
   which tenants use more than their part.  Pure.

   Load that it answers: one tenant sends four to eight times its usual for
   some seconds, while the others send theirs and the upstream has not enough
   slots for all.  The others are to be served as in calm, so calls of tenants
   within their share go first; slots that they do not use are lent.  */

#ifndef MULBERRYSHIFT_SHR_SHR_H
#define MULBERRYSHIFT_SHR_SHR_H

#include "base/clk.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Tenants that are distinguished; further ones are never over their share.  */
#define SHR_MAX_TENANTS 128

/* Handle of no tenant.  */
#define SHR_NONE UINT32_MAX

  /* One tenant with calls at this gate.  */
  struct shr_tenant
  {
    uint32_t hash;  /* of its name; 0: the place is free */
    uint32_t calls; /* that refer to it */
    double weight;  /* its part relative to the others; 0: as an average one */
    double used;    /* time in slots, ns, of which older parts fade */
  };

  /* All tenants.  Zero-initialise.  */
  struct shr
  {
    struct shr_tenant tenants[SHR_MAX_TENANTS];
    double used;         /* sum of all tenants */
    double weight;       /* sum of those that used slots or wait for one */
    double mean_weight;  /* of those that have one */
    double service_time; /* mean time of a call in a slot, ns */
    clk_time faded_at;   /* when USED was last reduced */
  };

  /* Returns the handle of the tenant with this hash for one more call of it,
     SHR_NONE when there is no place or HASH is 0.  Each handle is given back
     with shr_release.  */
  uint32_t shr_acquire (struct shr *shares, uint32_t hash, double weight,
                        clk_time now);

  /* Ends a call of a tenant; SHR_NONE is allowed.  */
  void shr_release (struct shr *shares, uint32_t tenant);

  /* Counts a call that takes a slot for about SERVICE_TIME ns.  */
  void shr_charge (struct shr *shares, uint32_t tenant, clk_time service_time,
                   clk_time now);

  /* Reduces the use that lies back.  To be called before shr_is_over at a
     later time.  */
  void shr_fade (struct shr *shares, clk_time now);

  /* Returns whether a tenant uses more than its share.  */
  bool shr_is_over (const struct shr *shares, uint32_t tenant);

#ifdef __cplusplus
}
#endif

#endif
