/* What the mesh needs from the platform that it runs on: names of header
   fields, the form of calls to its store, of upstreams' announcements and of
   the operator's document.  An implementation translates and decides nothing;
   platform/ has one.  */

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

/* Longest name of an upstream, service or data centre, with the null; as
   MBR_NAME_SIZE.  */
#define PTF_NAME_SIZE 64

  enum ptf_status
  {
    PTF_OK,
    PTF_INVALID /* see err_last */
  };

  /* Header fields with a meaning to the mesh.  */
  enum ptf_header
  {
    PTF_CALL_ID,         /* of one attempt of a caller */
    PTF_REMAINING_MS,    /* how long the sender waits for the answer */
    PTF_SIGNATURE,       /* proves that an answer is the upstream's own */
    PTF_TARGET_UPSTREAM, /* the upstream that must run the request */
    PTF_NOT_RUN,         /* the upstream did not run the request */
    PTF_CALLER_SERVICE,  /* service on the VM where the request began */
    PTF_HEADER_COUNT
  };

  /* A call to the control address.  */
  enum ptf_control
  {
    PTF_CONTROL_UNKNOWN,
    PTF_CONTROL_HEARTBEAT, /* an upstream announces itself */
    PTF_CONTROL_DEREGISTER /* an upstream leaves for good */
  };

  /* What an upstream says of itself.  */
  struct ptf_heartbeat
  {
    char name[PTF_NAME_SIZE]; /* of the upstream; may be used again */
    char service[PTF_NAME_SIZE];
    char data_centre[PTF_NAME_SIZE];
    struct net_address address;
    uint32_t slots;       /* requests that it runs at the same time */
    bool leaving;         /* takes no new work */
    uint64_t sequence;    /* rises with each announcement of one start */
    uint64_t start_ms;    /* its start, ms since the epoch; 0: not told */
    clk_time warmup_left; /* ns for which it is still slow after its start */
  };

  struct ptf_platform
  {
    const char *headers[PTF_HEADER_COUNT];
    const char *ready_target; /* of the readiness probe */
    const char *config_kind;  /* of the operator's document in the store */
    const char *config_name;

    /* Tells what a request to the control address is; fills in ANNOUNCEMENT
       for PTF_CONTROL_HEARTBEAT, and name and born for PTF_CONTROL_DEREGISTER.
       PTF_INVALID when the body is not an announcement.  */
    enum ptf_status (*read_control) (const struct htp_message *message,
                                     enum ptf_control *control,
                                     struct ptf_heartbeat *announcement);

    /* Reads the operator's document as the store holds it.  On PTF_OK the
       caller frees *DOCUMENT with doc_destroy.  */
    enum ptf_status (*read_config) (const json_t *content, uint64_t *version,
                                    struct doc_document **document);

    /* Appends a call to the store at HOST.  */
    void (*put_store_request) (const struct sto_request *request,
                               const char *host, struct buf *output);

    /* Reads the response to REQUEST.  */
    void (*read_store_reply) (const struct sto_request *request,
                              const struct htp_message *response,
                              struct sto_reply *reply);
  };

#ifdef __cplusplus
}
#endif

#endif
