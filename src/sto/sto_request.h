/* Requests to the platform's store and their replies, independent of their
   form on the wire.  */

#ifndef MULBERRYSHIFT_STO_STO_REQUEST_H
#define MULBERRYSHIFT_STO_STO_REQUEST_H

#include "base/clk.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  enum sto_operation
  {
    STO_GET,     /* reads one object */
    STO_LIST,    /* reads a page of the objects of a kind */
    STO_WATCH,   /* waits for changes of a kind after a revision */
    STO_CREATE,  /* creates an object; STO_CONFLICT when the name is taken */
    STO_REPLACE, /* replaces the content of an object */
    STO_SET_STATUS, /* replaces the status of an object */
    STO_REMOVE      /* removes an object */
  };

  struct sto_request
  {
    enum sto_operation operation;
    const char *kind;
    const char *name;  /* not for STO_LIST and STO_WATCH */
    const char *after; /* STO_LIST: last name of the previous page, or null */
    uint64_t revision; /* STO_WATCH: changes after this one; writes: revision
                          that the object must have, 0 for any */
    uint32_t wait_ms;  /* STO_WATCH: longest wait for a change */
    bool allow_stale;  /* reads: the reply may be seconds out of date */
    const json_t *content; /* STO_CREATE, STO_REPLACE: the new content;
                              STO_SET_STATUS: the new status */
  };

  enum sto_status
  {
    STO_OK,
    STO_ABSENT,       /* the object does not exist */
    STO_CONFLICT,     /* the name is taken, or the object has another revision;
                         the reply holds the object as it is */
    STO_HISTORY_GONE, /* STO_WATCH: the store no longer has all changes since
                         the revision; list again */
    STO_BUSY,         /* rejected; nothing was done */
    STO_UNREACHABLE,  /* no connection; nothing was sent */
    STO_UNKNOWN,      /* sent, no reply; a write may still take effect later */
    STO_INVALID       /* the reply is not valid; see err_last */
  };

/* Size of the kind or name of an object, with the terminating null byte.  */
#define STO_NAME_SIZE 256

  struct sto_object
  {
    char name[STO_NAME_SIZE];
    uint64_t revision;
    bool removed;          /* the object is removed or being removed */
    const json_t *content; /* owned by the reply; null: missing or unreadable
                            */
    const json_t *status;  /* the same of the status */
  };

  struct sto_reply
  {
    enum sto_status status;
    struct sto_object *objects;
    size_t object_count;
    size_t skipped;        /* entries that name no object */
    bool more;             /* STO_LIST: further pages follow */
    const char *last_name; /* STO_LIST: name after which the next page starts,
                              owned by ROOT; null: unknown */
    uint64_t revision;     /* of the store, for the next watch; 0 if missing */
    bool has_era;          /* the store has stated its era */
    uint64_t era; /* rises when the store comes back from a copy, without the
                     changes made since */
    json_t *root; /* owns the contents of the objects */
  };

/* Revisions in replies hold the era of the store in their high bits, since the
   store gives out revisions again after it came back from a copy: later ones
   are higher on all nodes.  */
#define STO_REVISION_BITS 52
#define STO_ERA_BITS 11

  /* Returns REVISION of the store as of ERA; the same when ERA is 0.  */
  uint64_t sto_revision_in_era (uint64_t revision, uint64_t era);

  /* Returns a revision as the store gave it out.  */
  uint64_t sto_plain_revision (uint64_t revision);

  /* Returns whether LEFT is of an earlier era than RIGHT.  */
  bool sto_is_earlier_era (uint64_t left, uint64_t right);

  /* Frees the content of a reply.  */
  void sto_reply_close (struct sto_reply *reply);

  /* Returns the name of a status in log lines.  */
  const char *sto_status_name (enum sto_status status);

#ifdef __cplusplus
}
#endif

#endif
