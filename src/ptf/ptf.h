/* Interface to the platform on which the mesh runs: names of header fields and
   the wire formats of calls to the platform's store, of upstreams' heartbeats
   and of the operator's document.  An implementation only translates and makes
   no decisions; platform/ has one.  */

#ifndef MULBERRYSHIFT_PTF_PTF_H
#define MULBERRYSHIFT_PTF_PTF_H

#include "base/buf.h"
#include "base/clk.h"
#include "base/net.h"
#include "doc/doc.h"
#include "htp/htp.h"
#include "sto/sto_request.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Size of the name of an upstream, service or data centre, with the
   terminating null byte; equal to MBR_NAME_SIZE.  */
#define PTF_NAME_SIZE 64

  enum ptf_status
  {
    PTF_OK,
    PTF_INVALID /* see err_last */
  };

  /* Header fields that the mesh reads or writes.  */
  enum ptf_header
  {
    PTF_CALL_ID,         /* identifies one attempt of a caller */
    PTF_REMAINING_MS,    /* time that the sender still waits for the answer */
    PTF_SIGNATURE,       /* shows that the upstream itself sent the answer */
    PTF_TARGET_UPSTREAM, /* name of the upstream that must run the request */
    PTF_NOT_RUN,         /* says that the upstream did not run the request */
    PTF_CALLER_SERVICE,  /* service of the VM where the request started */
    PTF_UPSTREAM_NAME,   /* name of the upstream that answers a health check */
    PTF_TENANT,          /* tenant of the caller, set by the mesh */
    PTF_CREDENTIALS,     /* scheme and key of the caller's tenant */
    PTF_HEADER_COUNT
  };

  /* Kind of a request to the control address.  */
  enum ptf_control
  {
    PTF_CONTROL_UNKNOWN,   /* none of these; answered with status 404 */
    PTF_CONTROL_HEARTBEAT, /* periodic message of a running upstream */
    PTF_CONTROL_DEREGISTER /* an upstream leaves for good */
  };

  /* Content of a heartbeat or, with name and start_ms only, of a
     deregistration.  */
  struct ptf_heartbeat
  {
    char name[PTF_NAME_SIZE]; /* of the upstream; a later one may reuse it */
    char service[PTF_NAME_SIZE];
    char data_centre[PTF_NAME_SIZE];
    char version[PTF_NAME_SIZE]; /* of its software; "" if missing */
    struct net_address address;
    uint32_t slots;       /* calls that it can run at the same time */
    bool leaving;         /* draining: takes no new calls */
    uint64_t sequence;    /* increases with each heartbeat of one process */
    uint64_t start_ms;    /* process start, ms since the epoch; 0: not stated,
                             in a deregistration */
    clk_time warmup_left; /* remaining warm-up time, ns */
  };

  /* State of a roll-out in its status.  */
  enum ptf_rollout_state
  {
    PTF_ROLLOUT_NO_STATE, /* missing, or a word that the mesh does not write */
    PTF_ROLLOUT_RUNNING,
    PTF_ROLLOUT_COMPLETED,
    PTF_ROLLOUT_ROLLED_BACK
  };

  /* The operator's order to roll out a version of a service, and what its
     status says.  */
  struct ptf_rollout
  {
    char service[PTF_NAME_SIZE];
    char version[PTF_NAME_SIZE];
    double duration_s; /* as ordered; any number */
    enum ptf_rollout_state state;
    char status_version[PTF_NAME_SIZE]; /* "" if missing */
  };

  /* An implementation of the interface.  */
  struct ptf_platform
  {
    const char *headers[PTF_HEADER_COUNT]; /* field names by ptf_header */
    const char *key_scheme;   /* scheme of credentials that hold a key */
    const char *ready_target; /* request target of the readiness probe */
    const char *config_kind; /* kind of the operator's document in the store */
    const char *config_name; /* its name */
    const char *rollout_kind; /* kind of the orders of roll-outs */

    /* Reads a request to the control address.  Fills in all of HEARTBEAT for
       PTF_CONTROL_HEARTBEAT, and name and start_ms for
       PTF_CONTROL_DEREGISTER.  Returns PTF_INVALID with err_set when the body
       is invalid.  */
    enum ptf_status (*read_control) (const struct htp_message *message,
                                     enum ptf_control *control,
                                     struct ptf_heartbeat *heartbeat);

    /* Reads the operator's document, the content of its object in the store.
       On PTF_OK the caller frees *DOCUMENT with doc_destroy; otherwise
       err_last says what is wrong.  */
    enum ptf_status (*read_config) (const json_t *content, uint64_t *version,
                                    struct doc_document **document);

    /* Reads the object of a roll-out.  Returns PTF_INVALID with err_set when a
       field of the order is missing or has another type.  A status that cannot
       be read counts as missing.  */
    enum ptf_status (*read_rollout) (const struct sto_object *object,
                                     struct ptf_rollout *rollout);

    /* Returns the status of a roll-out of VERSION as the content of an
       STO_SET_STATUS.  The caller owns the reference.  */
    json_t *(*make_rollout_status) (enum ptf_rollout_state state,
                                    const char *version);

    /* Appends REQUEST to OUTPUT as an HTTP request to the store at HOST.  */
    void (*put_store_request) (const struct sto_request *request,
                               const char *host, struct buf *output);

    /* Reads the response to REQUEST.  The caller frees the content of REPLY
       with sto_reply_close.  */
    void (*read_store_reply) (const struct sto_request *request,
                              const struct htp_message *response,
                              struct sto_reply *reply);
  };

#ifdef __cplusplus
}
#endif

#endif
