/* Gate: the server side of links.  It alone sends work to the upstream beside
   this node, and it answers fetches for the control thread.  */

#ifndef MULBERRYSHIFT_GATE_GATE_H
#define MULBERRYSHIFT_GATE_GATE_H

#include "base/clk.h"
#include "cfg/cfg.h"
#include "doc/doc.h"
#include "key/key.h"
#include "up/up_lease.h"
#include "wire/mesh.pb-c.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  enum gate_status
  {
    GATE_OK,
    GATE_NO_LISTENER /* the mesh address cannot be used */
  };

  /* What the configuration in effect says of a call.  */
  struct gate_policy
  {
    enum doc_class preference[DOC_CLASS_COUNT];
    bool tenant_known;   /* the tenant stands in the document */
    uint32_t tenant_max; /* its calls in progress; 0: no limit */
  };

  /* Mechanisms that a proof test switches off, to show what they prevent.  A
     node never sets them.  */
  enum gate_mechanism
  {
    GATE_REPEAT_CHECK = 1,      /* a call ID runs once */
    GATE_FORBID = 2,            /* a query forbids a call that never started */
    GATE_INCARNATION_CHECK = 4, /* calls for another incarnation are refused */
    GATE_LEAVE_CHECK = 8,       /* a leaving gate starts no call */
    GATE_KEY_CHECK = 16,        /* an order key runs once */
    GATE_EXACT_OUTCOME = 32,    /* "not run" only if no byte was sent */
    GATE_WHOLE_CHECK = 64       /* truncated responses are not passed on */
  };

  /* What the gate needs from the rest of the node.  */
  struct gate_hooks
  {
    void *context;
    /* Fills in REPLY; the strings and bytes in it are freed with free.  Called
       from any gate thread.  */
    void (*fetch) (void *context, const Mesh__FetchRequest *request,
                   Mesh__FetchReply *reply);
    /* Fills in POLICY for a call of TENANT; any gate thread.  Null: once calls
       first and no tenant limits.  */
    void (*policy) (void *context, const char *tenant,
                    struct gate_policy *policy);
    /* Opens platform clients for order keys.  Its open may be null: calls
       whose keys the platform keeps are then not run.  */
    struct key_factory platform;
    /* For tests only: mechanisms switched off (enum gate_mechanism), and the
       time that a silent peer has, 0 for the built-in times.  */
    unsigned disabled;
    unsigned peer_limit_ms;
  };

  struct gate;

  /* Opens the listener of SETTINGS and starts the gate's threads.  LEASE and
     SETTINGS must outlive the gate.  */
  enum gate_status gate_create (const struct cfg_settings *settings,
                                uint64_t incarnation, struct up_lease *lease,
                                const struct gate_hooks *hooks,
                                struct gate **gate);

  /* Refuses new and waiting calls from now on, as not run.  Running calls
     finish.  */
  void gate_leave (struct gate *gate);

  /* Returns the number of calls accepted and not yet answered, and of links
     whose output the peer's system has not acknowledged; 0 means that a
     leaving node may exit.  */
  size_t gate_in_progress (struct gate *gate);

  /* Closes all links, stops the threads and frees the gate.  */
  void gate_destroy (struct gate *gate);

#ifdef __cplusplus
}
#endif

#endif
