/* Calls to the platform's store and their replies, independent of how they
   are spelled on the wire.  */

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
    STO_GET,     /* one object */
    STO_LIST,    /* objects of a kind, a page */
    STO_WATCH,   /* changes of a kind after a revision */
    STO_CREATE,  /* a new object; fails when the name is taken */
    STO_REPLACE, /* the content of an object */
    STO_REMOVE
  };

  struct sto_request
  {
    enum sto_operation operation;
    const char *kind;
    const char *name;  /* not for STO_LIST and STO_WATCH */
    const char *after; /* STO_LIST: last name of the page before, or null */
    uint64_t revision; /* STO_WATCH: start; writes: condition, 0: none */
    uint32_t wait_ms;  /* STO_WATCH: longest wait for a change */
    bool allow_stale;  /* reads: an answer may be seconds old */
    const json_t *content; /* STO_CREATE, STO_REPLACE */
  };

  enum sto_status
  {
    STO_OK,
    STO_ABSENT,       /* no such object */
    STO_CONFLICT,     /* the condition does not hold; the reply has the
                         object as it is */
    STO_HISTORY_GONE, /* STO_WATCH: list again */
    STO_BUSY,         /* refused; nothing was done */
    STO_UNREACHABLE,  /* nothing was sent */
    STO_UNKNOWN,      /* sent, without a reply; a write may take effect late */
    STO_INVALID       /* the reply cannot be understood; see err_last */
  };

/* Longest kind or name of an object, with the null.  */
#define STO_NAME_SIZE 256

  struct sto_object
  {
    char name[STO_NAME_SIZE];
    uint64_t revision;
    bool removed;          /* STO_WATCH: the object is gone, or going */
    const json_t *content; /* belongs to the reply */
  };

  struct sto_reply
  {
    enum sto_status status;
    struct sto_object *objects;
    size_t object_count;
    bool more;         /* STO_LIST: there is another page */
    uint64_t revision; /* of the store, for the next watch; 0: not told */
    json_t *root;      /* owns the contents */
  };

  /* Frees what a reply holds.  */
  void sto_reply_close (struct sto_reply *reply);

  /* Returns a short name of a status, for logs.  */
  const char *sto_status_name (enum sto_status status);

#ifdef __cplusplus
}
#endif

#endif
