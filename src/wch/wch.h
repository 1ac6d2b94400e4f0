/* Follows all objects of one kind in the platform's store: lists them, then
   waits for changes, and lists again when the history is gone.  */

#ifndef MULBERRYSHIFT_WCH_WCH_H
#define MULBERRYSHIFT_WCH_WCH_H

#include "base/rnd.h"
#include "sto/sto.h"

#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct wch;

  /* How the store seems from here.  */
  enum wch_health
  {
    WCH_STARTING,   /* nothing was listed yet */
    WCH_CURRENT,    /* all changes up to now are known */
    WCH_UNREACHABLE /* the store does not answer; changes may be missing */
  };

  struct wch_handlers
  {
    /* An object that exists, as listed or after a change.  */
    void (*object_updated) (void *context, const struct sto_object *object);
    /* An object that is gone.  */
    void (*object_removed) (void *context, const char *name);
    /* A list begins; objects that are not named until LISTED are gone.  */
    void (*list_started) (void *context);
    void (*list_finished) (void *context);
    /* The health has changed.  */
    void (*health_changed) (void *context, enum wch_health health);
  };

  /* How calls are made.  */
  struct wch_timing
  {
    uint32_t wait_ms; /* longest wait for a change in one call: a store that
                         does not reply by then is noticed */
    clk_time batch_delay; /* pause after changes have come, so that those of a
                     series come together; ns */
  };

  /* Follows KIND; KIND must live as long as the watch.  */
  struct wch *wch_create (struct evl *loop, struct sto *store,
                          const char *kind, struct wch_timing timing,
                          const struct wch_handlers *handlers, void *context);

  /* Starts to follow, or continues after wch_stop.  */
  void wch_start (struct wch *watch);

  /* Ends the call under way.  */
  void wch_stop (struct wch *watch);

  /* The store is known not to answer: the watch is blind and makes no call
     until wch_resume; the one under way may go on.  */
  void wch_suspend (struct wch *watch);

  /* The store is known to answer again: a blind watch makes a new call at
     once.  */
  void wch_resume (struct wch *watch);

  /* Frees the watch.  Null is allowed.  */
  void wch_destroy (struct wch *watch);

  /* Returns the health.  */
  enum wch_health wch_health (const struct wch *watch);

  /* Returns whether the watch is started.  */
  bool wch_is_started (const struct wch *watch);

#ifdef __cplusplus
}
#endif

#endif
