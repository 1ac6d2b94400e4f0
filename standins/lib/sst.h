/* Stand-in of the users' platform: its store of objects, with watches, and the
   faults that it may have.  The names of its wire come from
   platform/pfm_names.h.  */

#ifndef MULBERRYSHIFT_STANDINS_SST_H
#define MULBERRYSHIFT_STANDINS_SST_H

#include "base/net.h"
#include "evl/evl.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct sst;

  /* What the store does with calls.  */
  enum sst_fault
  {
    SST_HEALTHY,
    SST_NO_RESPONSE,   /* reads calls and answers none */
    SST_BUSY,          /* refuses calls; nothing is done */
    SST_RESET,         /* resets connections */
    SST_LOSE_RESPONSE, /* does writes and loses their answers */
    SST_DELAY_WRITE    /* loses answers and does the writes a second later */
  };

  /* Opens a store without objects at ADDRESS.  With IP 0 it answers at every
     address of this host; callers, who all come from one address here, are
     then distinguished by the one that they call.  Returns null with err_set
     when the address cannot be used.  */
  struct sst *sst_create (struct evl *loop, struct net_address address);

  /* Closes the store.  Null is allowed.  */
  void sst_destroy (struct sst *store);

  /* Sets the fault for callers of the store at this IP address, or for all
     when IP is 0.  */
  void sst_set_fault (struct sst *store, enum sst_fault fault, uint32_t ip);

  /* Ends all faults.  */
  void sst_clear_faults (struct sst *store);

  /* Answers every call this much later, in ns.  */
  void sst_set_delay (struct sst *store, clk_time delay);

  /* Drops the history, as after HistoryS: watches are cut and answered with
     410 afterwards.  */
  void sst_compact (struct sst *store);

  /* Takes the copy to which sst_restore goes back, in place of an earlier
     one.  */
  void sst_take_copy (struct sst *store);

  /* Goes back to the copy, its revision included, whose later changes are
     lost.  Raises the era, and cuts the watches.  */
  void sst_restore (struct sst *store);

  /* Sets the era that replies state.  It is 1 at first; 0: replies state
     none.  */
  void sst_set_era (struct sst *store, uint64_t era);

  /* Returns the revision of the last change.  */
  uint64_t sst_revision (const struct sst *store);

  /* Writes an object as the operator does, at once and whatever the fault;
     takes over SPEC.  */
  void sst_put (struct sst *store, const char *kind, const char *name,
                json_t *spec);

  /* Writes an object of another writer, whose content is TEXT as it stands,
     even if it is not valid JSON or beyond what a parser reads.  */
  void sst_put_text (struct sst *store, const char *kind, const char *name,
                     const char *text);

  /* Adds TEXT as it stands to the entries of each list of KIND, as the first
     one.  */
  void sst_add_entry (struct sst *store, const char *kind, const char *text);

  /* Sets the largest number of objects in one page of a list.  */
  void sst_set_page_size (struct sst *store, size_t count);

  /* Makes lists that may be out of date hold the first COUNT objects only.  */
  void sst_limit_stale_lists (struct sst *store, size_t count);

  /* Removes an object, at once and whatever the fault.  */
  void sst_remove (struct sst *store, const char *kind, const char *name);

  /* Returns the content of an object, null when there is none.  */
  const json_t *sst_get (const struct sst *store, const char *kind,
                         const char *name);

  /* Returns the status of an object, null when there is none.  */
  const json_t *sst_get_status (const struct sst *store, const char *kind,
                                const char *name);

  /* Writes the status of an object as another writer does, at once and
     whatever the fault; takes over STATUS.  */
  void sst_put_status (struct sst *store, const char *kind, const char *name,
                       json_t *status);

  /* Returns the number of callers' writes of a status that took effect.  */
  uint64_t sst_status_write_count (const struct sst *store);

  /* Returns the number of objects of a kind.  */
  size_t sst_count (const struct sst *store, const char *kind);

  /* Returns whether a caller of the store at this IP address waits for
     changes.  */
  bool sst_is_watched_by (const struct sst *store, uint32_t ip);

  /* Returns the calls received so far, and those of them that write.  */
  uint64_t sst_call_count (const struct sst *store);
  uint64_t sst_write_count (const struct sst *store);

#ifdef __cplusplus
}
#endif

#endif
