/* Order keys: which call was the first with an Idempotency-Key.  Behind a
   table of function pointers with two methods, "memory" and "platform".  */

#ifndef MULBERRYSHIFT_KEY_KEY_H
#define MULBERRYSHIFT_KEY_KEY_H

#include "base/clk.h"
#include "out/out_table.h"
#include "plt/plt.h"

#ifdef __cplusplus
extern "C"
{
#endif

/* Keys that "memory" remembers at most, and for how long.  */
#define KEY_MEMORY_ENTRIES 131072u
#define KEY_MEMORY_TIME (600 * CLK_SECOND)

  enum key_status
  {
    KEY_NEW,        /* this call holds the key and may run */
    KEY_DUPLICATE,  /* an earlier call holds it; this one must not run */
    KEY_FULL,       /* too many keys are remembered; do not run */
    KEY_UNAVAILABLE /* the platform did not decide in time; do not run */
  };

  /* Functions of one method; any thread.  */
  struct key_operations
  {
    /* Claims KEY for call ID until DEADLINE.  On KEY_DUPLICATE, *FIRST is the
       call that holds it.  */
    enum key_status (*claim) (void *state, const char *key, struct out_id id,
                              clk_time now, clk_time deadline,
                              struct out_id *first);
    /* Gives the key back; its call did not run.  While the platform cannot be
       reached the key stays, and repeats are answered "already received";
       later claims try again to remove it.  */
    void (*release) (void *state, const char *key, struct out_id id,
                     clk_time deadline);
    void (*destroy) (void *state);
  };

  struct key_store
  {
    const struct key_operations *operations;
    void *state;
  };

  /* Opens clients of the platform.  */
  struct key_factory
  {
    void *context;
    struct plt_client (*open) (void *context);
  };

  /* Opens the method "memory": ENTRIES keys, each for KEY_MEMORY_TIME after
     its claim.  */
  struct key_store key_open_memory (uint32_t entries);

  /* Opens the method "platform": a key is the object
     orders/ENVIRONMENT/<XXH3-128 of the key in hex>, created if absent.  The
     objects stay: a sweep that removes those older than 24 h is still to be
     written.  */
  struct key_store key_open_platform (const char *environment,
                                      const struct key_factory *factory);

  /* Closes a store.  No other thread may be using it.  */
  void key_close (struct key_store *store);

#ifdef __cplusplus
}
#endif

#endif
