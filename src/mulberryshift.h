/* The whole program in one header, in reading order.  Start here: each
   section says what its modules do, and each module's own header documents
   every call.

   A node is assembled like this (see node/node_run.c):

     struct up_lease *lease = up_lease_create ();
     struct lnk_pool *pool = lnk_pool_create (&identity);
     struct ctl_parts parts = { &settings, incarnation, lease, pool };
     struct ctl *ctl;
     struct gate *gate;

     ctl_create (&parts, &ctl);
     gate_create (&settings, incarnation, lease, &hooks, &gate);
     ...
     gate_destroy (gate);
     ctl_destroy (ctl);
     lnk_pool_destroy (pool);
     up_lease_destroy (lease);

   Conventions: status enums whose zero value means success, with a sentence
   in err_last; create/destroy or init/close pairs; deadlines of type clk_time;
   decisions are pure functions of (state, event, now).  */

#ifndef MULBERRYSHIFT_MULBERRYSHIFT_H
#define MULBERRYSHIFT_MULBERRYSHIFT_H

/* Base: messages, time, memory, buffers, rings, random numbers, files,
   sockets, logs.  */
#include "base/buf.h"
#include "base/clk.h"
#include "base/err.h"
#include "base/file.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/net.h"
#include "base/ring.h"
#include "base/rnd.h"
#include "base/thr.h"

/* Metrics: counters and histograms with bounded memory.  */
#include "met/hst.h"
#include "met/met.h"

/* What operators write: settings of a process, documents of an
   environment.  */
#include "cfg/cfg.h"
#include "doc/doc.h"
#include "doc/doc_diff.h"
#include "jsn/jsn.h"
#include "toml/toml.h"
#include "toml/toml_report.h"

/* Configuration as nodes hold it: versions and deltas, snapshots, routes, the
   view of a call.  */
#include "rte/rte.h"
#include "rte/rte_index.h"
#include "snp/snp.h"
#include "ver/ver.h"
#include "view/view.h"

/* The platform: its client, its objects, and how a document is written.  */
#include "plt/plt.h"
#include "plt/plt_backoff.h"
#include "plt/plt_budget.h"
#include "plt/plt_config.h"
#include "plt/plt_directory.h"
#include "plt/plt_limited.h"
#include "plt/plt_list.h"
#include "plt/plt_order.h"
#include "plt/plt_status_report.h"
#include "plt/plt_write.h"

/* Between nodes: the context of a call, frames, links.  */
#include "lnk/lnk.h"
#include "wire/ctx.h"
#include "wire/frm.h"

/* Control: membership and distribution decide; the control thread acts.  */
#include "ctl/ctl.h"
#include "dst/dst.h"
#include "dst/dst_action.h"
#include "mbr/mbr.h"
#include "mbr/mbr_member.h"

/* The sending side of a call: front, balancer, retries, tries.  */
#include "bal/bal.h"
#include "call/call.h"
#include "http/http.h"
#include "rty/rty.h"

/* The gate's side of a call: admission, outcomes, order keys, the upstream. */
#include "adm/adm.h"
#include "gate/gate.h"
#include "key/key.h"
#include "out/out.h"
#include "out/out_table.h"
#include "up/up.h"
#include "up/up_lease.h"

/* The process: assembly, administration server, command line.  */
#include "cli/cli.h"
#include "http/http_admin.h"
#include "node/node.h"

#endif
