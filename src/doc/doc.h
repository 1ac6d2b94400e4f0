/* An environment's document: TOML text, parsed and validated whole.

   Example:

     [[service]]
     name = "stock"

     [[route]]
     path = "/stock"
     methods = ["GET"]
     service = "stock"
     class = "repeatable"
     deadline_ms = 1000  */

#ifndef MULBERRYSHIFT_DOC_DOC_H
#define MULBERRYSHIFT_DOC_DOC_H

#include "base/buf.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Largest document, in bytes: even one that does not compress fits into one
   frame of FRM_MAX_LENGTH.  */
#define DOC_MAX_LENGTH (192u * 1024u)
#define DOC_MAX_SERVICES 1024
#define DOC_MAX_ROUTES 2048
#define DOC_MAX_TENANTS 1024
#define DOC_MAX_SERVICE_UPSTREAMS 256 /* entries of one service */

/* Longest host and path of a route, in bytes.  */
#define DOC_MAX_HOST_LENGTH 253
#define DOC_MAX_PATH_LENGTH 1024

/* Start of an upstream entry that stands for all upstreams of a data
   centre.  */
#define DOC_DATA_CENTRE_PREFIX "data-centre:"

  enum doc_status
  {
    DOC_OK,
    DOC_INVALID /* the report lists every fault */
  };

  enum doc_class
  {
    DOC_IDEMPOTENT,   /* may run more than once */
    DOC_AT_MOST_ONCE, /* runs at most once */
    DOC_CLASS_COUNT
  };

  enum doc_key_store
  {
    DOC_KEY_STORE_PLATFORM, /* keys are created in the platform */
    DOC_KEY_STORE_MEMORY    /* keys are remembered by the gate */
  };

  /* Bits of struct doc_route's methods; 0 means any method.  */
  enum doc_method
  {
    DOC_GET = 1,
    DOC_HEAD = 2,
    DOC_POST = 4,
    DOC_PUT = 8,
    DOC_DELETE = 16,
    DOC_PATCH = 32,
    DOC_OPTIONS = 64
  };

  /* Part of a route's requests that goes to one service.  */
  struct doc_weighted_service
  {
    uint32_t service; /* index into services */
    uint32_t weight;  /* relative to the other shares of the route */
  };

  /* What callers may send and how long they may take; 0 where the document
     does not say.  */
  struct doc_caller_limits
  {
    uint64_t max_header_bytes; /* start line and header fields */
    uint64_t max_body_bytes;
    uint32_t header_timeout_ms; /* for a request's header to arrive */
    uint32_t
        idle_timeout_ms; /* that a connection may stay without a request */
  };

  struct doc_service
  {
    char *name;
    char **upstreams; /* upstream names, or "data-centre:NAME"; none: any */
    size_t upstream_count;
    bool cross_region; /* may be served from the other region */
    char *health_path; /* request target of health checks; null: none */
    enum doc_key_store key_store;
    unsigned line; /* where it starts in the text */
  };

  struct doc_route
  {
    char *host; /* "" matches any host, "*.x.y" every host below x.y; made by
                   str_create, as PATH */
    char *path; /* prefix */
    uint32_t methods;
    uint32_t service; /* index into services */
    enum doc_class call_class;
    uint32_t deadline_ms;
    struct doc_weighted_service
        *weighted_services; /* services by weight; none: SERVICE alone */
    size_t weighted_service_count;
    uint32_t target_latency_ms; /* latency within which an answer is on time;
                           0: the deadline */
    uint32_t max_attempts; /* upstreams that one call may be sent to; 0: the
                              program's limit */
    uint32_t priority;     /* rank under load; 0 is the highest */
    bool is_public;        /* needs no key, also where tenants have keys */
    bool is_bulk;          /* its bodies are long */
    unsigned line;         /* where it starts in the text */
  };

/* Size of the digest of a key, in bytes.  */
#define DOC_KEY_SIZE 16

  /* Digest of a secret key.  Documents hold no key itself, so that none can
     end up in a log, a diff or a message to another node.  */
  struct doc_key
  {
    uint8_t digest[DOC_KEY_SIZE];
  };

  /* A tenant, on whose behalf callers send requests.  */
  struct doc_tenant
  {
    char *name;
    uint32_t max_in_progress; /* at one gate */
    struct doc_key *keys;     /* by which its callers are recognized */
    size_t key_count;
    uint32_t priority; /* rank under load, before that of the route; 0 is the
                          highest */
    double rate;       /* requests per second on all nodes together; 0: no
                          limit */
    double burst;      /* requests beyond the rate, on all nodes together */
    unsigned line;     /* where it starts in the text */
  };

  struct doc_document
  {
    struct doc_service *services;
    size_t service_count;
    struct doc_route *routes;
    size_t route_count;
    struct doc_tenant *tenants;
    size_t tenant_count;
    bool requires_keys; /* requests on routes that are not public carry the key
                           of a tenant */
    struct doc_caller_limits caller_limits;
    /* Classes by preference under load, the most important first.  */
    enum doc_class preference[DOC_CLASS_COUNT];
  };

  /* Parses and validates LENGTH bytes.  On DOC_OK the caller frees *DOCUMENT
     with doc_destroy.  On DOC_INVALID, REPORT gets one line a fault in source
     order, as "NAME:LINE:COLUMN: what is wrong; how to correct it".  Lines
     whose text starts with "warning: " can also come with DOC_OK.  */
  enum doc_status doc_parse (const char *name, const char *text, size_t length,
                             struct doc_document **document,
                             struct buf *report);

  /* Frees a document; null is allowed.  */
  void doc_destroy (struct doc_document *document);

  /* Sets *KEY to the digest of LENGTH bytes of a secret key.  */
  void doc_hash_key (const char *text, size_t length, struct doc_key *key);

  /* Sorts the tenants by name, as doc_find_tenant needs it.  */
  void doc_sort_tenants (struct doc_document *document);

  /* Returns the tenant of this name, null when there is none.  The tenants
     must be sorted.  */
  const struct doc_tenant *
  doc_find_tenant (const struct doc_document *document, const char *name);

  /* Returns whether two tenants have the same name, keys and limits.  */
  bool doc_equal_tenants (const struct doc_tenant *left,
                          const struct doc_tenant *right);

  /* Makes *COPY a copy of TENANT that doc_destroy frees with its document.  */
  void doc_copy_tenant (const struct doc_tenant *tenant,
                        struct doc_tenant *copy);

  /* Returns the bit of an HTTP method, 0 when it is not one of doc_method.  */
  uint32_t doc_method_bit (const char *method);

  /* Compares two routes of one document, as qsort needs it: by host and path,
     and within these as they are matched, that is routes with methods first,
     then by their order in the text.  */
  int doc_compare_routes (const struct doc_route *left,
                          const struct doc_route *right);

  /* Returns "once" or "repeatable".  */
  const char *doc_class_name (enum doc_class call_class);

  /* Returns whether TEXT can be the target of a health check: a path of
     printable characters.  */
  bool doc_is_health_path (const char *text);

  /* Returns "platform" or "memory".  */
  const char *doc_key_store_name (enum doc_key_store order_keys);

  /* Appends the methods as "GET, POST", "any" for 0.  */
  void doc_print_methods (uint32_t methods, struct buf *output);

#ifdef __cplusplus
}
#endif

#endif
