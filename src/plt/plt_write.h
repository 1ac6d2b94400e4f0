/* Writing an environment's document, as a state machine without input or
   output of its own.  */

#ifndef MULBERRYSHIFT_PLT_PLT_WRITE_H
#define MULBERRYSHIFT_PLT_PLT_WRITE_H

#include "plt/plt.h"
#include "plt/plt_config.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* What to write.  CONFIG's version is ignored: the writer chooses it.  */
  struct plt_write_request
  {
    const char *environment;
    struct plt_config config; /* copied */
    clk_time deadline;        /* of the whole write */
    uint64_t seed;            /* of the back-off */
    /* Switch mechanisms off, for tests that show what they prevent.  */
    bool without_read_back;   /* takes an unknown outcome as a failure */
    bool without_old_history; /* does not complete the history first */
    bool without_reports;     /* ignores the versions in status reports */
  };

  enum plt_write_action
  {
    PLT_WRITE_GET,  /* read KEY */
    PLT_WRITE_LIST, /* list the prefix KEY */
    PLT_WRITE_PUT,  /* write VALUE to KEY under CONDITION and ETAG */
    PLT_WRITE_WAIT, /* go on at UNTIL */
    PLT_WRITE_END   /* see plt_write_get_outcome */
  };

  /* One action; the pointers hold until the next step.  UNTIL is the deadline
     of a call or the end of a wait.  */
  struct plt_write_step
  {
    enum plt_write_action action;
    char key[PLT_KEY_SIZE];
    enum plt_condition condition;
    const char *etag;
    const struct buf *value;
    clk_time until;
  };

  /* The result of the last action.  OBJECT belongs to a get, LIST to a list;
     both are only read.  After a wait STATUS is PLT_OK.  */
  struct plt_write_event
  {
    enum plt_status status;
    const struct plt_object *object;
    const struct plt_list *list;
  };

  enum plt_write_result
  {
    PLT_WRITE_DONE,     /* the change took effect */
    PLT_WRITE_NOT_DONE, /* it did not and never will */
    PLT_WRITE_CONFLICT, /* another writer was first; it never will */
    PLT_WRITE_UNKNOWN   /* it may have, or may yet */
  };

  struct plt_write_outcome
  {
    enum plt_write_result result;
    uint64_t version;        /* number chosen; 0 when none was */
    enum plt_status cause;   /* last failure, PLT_OK when there was none */
    bool history_missing;    /* the next writer completes the history */
    bool superseded;         /* done, and another version replaced it */
    bool winner_known;       /* the winner fields are filled in */
    uint64_t winner_version; /* the object that was found instead */
    char winner_author[64];
    uint64_t winner_written_at; /* wall clock, ms since the epoch */
  };

  struct plt_write;

  /* Starts a write.  Returns PLT_INVALID with err_set when the document is
     not UTF-8 or too large for an object; else the caller frees *WRITE with
     plt_write_destroy and takes the first step with a null event.  */
  enum plt_status plt_write_create (const struct plt_write_request *request,
                                    struct plt_write **write);

  /* Frees a write; null is allowed.  */
  void plt_write_destroy (struct plt_write *write);

  /* Takes the result of the last action and stores the next one in STEP.  */
  void plt_write_next (struct plt_write *write,
                       const struct plt_write_event *event, clk_time now,
                       struct plt_write_step *step);

  /* Returns the outcome, which holds after the action PLT_WRITE_END.  */
  const struct plt_write_outcome *
  plt_write_get_outcome (const struct plt_write *write);

  /* Time for plt_write_run; replaced in tests.  */
  struct plt_write_clock
  {
    void *context;
    clk_time (*now) (void *context);
    void (*sleep_until) (void *context, clk_time until);
  };

  /* Runs a write over CLIENT until its end.  CLOCK null is the monotonic
     clock.  Returns PLT_INVALID as plt_write_create does, else PLT_OK.  */
  enum plt_status plt_write_run (struct plt_client *client,
                                 const struct plt_write_request *request,
                                 const struct plt_write_clock *clock,
                                 struct plt_write_outcome *outcome);

  /* Fills in a random change ID.  */
  void plt_write_change_id (char id[PLT_CHANGE_ID_SIZE]);

#ifdef __cplusplus
}
#endif

#endif
