/* Control of a node: its threads learn members and configuration versions and
   publish views.

   Two ways are kept behind one table of functions: "tree" drives the decisions
   of dst and mbr; "poll" is the naive version that measurements compare with,
   in which every node watches the platform itself.  */

#ifndef MULBERRYSHIFT_CTL_CTL_H
#define MULBERRYSHIFT_CTL_CTL_H

#include "cfg/cfg.h"
#include "lnk/lnk.h"
#include "up/up_lease.h"
#include "wire/mesh.pb-c.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  enum ctl_status
  {
    CTL_OK,
    CTL_NO_SOCKET /* the mesh address cannot be used */
  };

  /* What the control needs from the rest of the node; all outlive it.  */
  struct ctl_parts
  {
    const struct cfg_settings *settings;
    uint64_t incarnation;
    struct up_lease *lease;
    struct lnk_pool *pool;
  };

  /* One way of control.  STATE is what create returned.  */
  struct ctl_operations
  {
    void *(*create) (const struct ctl_parts *parts); /* null: err_set */
    void (*leave) (void *state);
    void (*fetch) (void *state, const Mesh__FetchRequest *request,
                   Mesh__FetchReply *reply);
    bool (*is_ready) (void *state);
    json_t *(*status) (void *state);
    void (*metrics) (void *state);
    void (*destroy) (void *state);
  };

  extern const struct ctl_operations ctl_tree;
  extern const struct ctl_operations ctl_poll;

  struct ctl;

  /* Opens the UDP socket of the settings and starts the threads.  */
  enum ctl_status ctl_create (const struct ctl_parts *parts, struct ctl **ctl);

  /* Notifies the other nodes that this one is leaving.  */
  void ctl_leave (struct ctl *ctl);

  /* Answers a peer's fetch; any thread.  The caller frees the reply's parts as
     mesh__fetch_reply__free_unpacked does.  */
  void ctl_fetch (struct ctl *ctl, const Mesh__FetchRequest *request,
                  Mesh__FetchReply *reply);

  /* Returns whether this node holds a version and may serve.  */
  bool ctl_is_ready (struct ctl *ctl);

  /* Returns the node's status as JSON; the caller drops the reference.  */
  json_t *ctl_status (struct ctl *ctl);

  /* Copies the counters of control into the metrics.  */
  void ctl_metrics (struct ctl *ctl);

  /* Stops the threads and frees the control.  */
  void ctl_destroy (struct ctl *ctl);

#ifdef __cplusplus
}
#endif

#endif
