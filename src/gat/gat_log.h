/* Log lines and metrics of the gate.  Used inside this module.  */

#ifndef MULBERRYSHIFT_GAT_GAT_LOG_H
#define MULBERRYSHIFT_GAT_GAT_LOG_H

#include "gat/gat_internal.h"

/* The call waits for a slot, for WAIT as expected.  */
void gat_log_queued (const struct gat_call *call, clk_time wait);

/* The gate asks for the long body of the call, which would wait for WAIT as
   expected, the time for the body included.  */
void gat_log_receiving (const struct gat_call *call, clk_time wait);

/* The call is sent to the upstream.  */
void gat_log_started (const struct gat_call *call);

/* The upstream has answered with STATUS.  */
void gat_log_ended (const struct gat_call *call, unsigned status);

/* The call is not run, or its answer will not come.  */
void gat_log_refused (const struct gat_call *call, enum gat_refusal refusal);
void gat_log_unknown (const struct gat_call *call, const char *reason);

/* The call ends without an answer: its sender has cancelled it, or the link to
   its sender has closed.  */
void gat_log_cancelled (const struct gat_call *call, const char *reason);

#endif
