/* Directory of the known nodes, with the upstream beside each.  Records arrive
   from the platform's store and from other nodes in any order; of two records
   of a node, the newer one is kept.  The record of a dead node is kept until
   dir_purge_dead removes it, so that an older record that arrives later does
   not revive the node.

   A process that starts knows nothing of what the process before it knew, so
   its records may lack the departure of the upstream beside it.  The directory
   keeps the earlier record that shows the departure until a later one shows it
   too or names an upstream that followed.

   A node keeps its handle until its record is removed.

   Has no I/O and no global state; the caller passes the time in.  */

#ifndef MULBERRYSHIFT_DIR_DIR_H
#define MULBERRYSHIFT_DIR_DIR_H

#include "mbr/mbr_member.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Maximum number of nodes in a directory.  */
#define DIR_MAX_NODES 4096

  /* Identifies a node in a directory.  */
  typedef uint32_t dir_handle;

/* Handle of no node.  */
#define DIR_NONE UINT32_MAX

  /* What dir_merge did.  */
  enum dir_change
  {
    DIR_NEW,     /* the node was not known */
    DIR_CHANGED, /* the record replaced an older one */
    DIR_SAME,    /* an equal record was known; nothing changed */
    DIR_OLDER,   /* a newer record was known; nothing changed */
    DIR_FULL     /* the directory holds DIR_MAX_NODES; nothing changed */
  };

  struct dir;

  /* Creates an empty directory.  */
  struct dir *dir_create (void);

  /* Frees a directory.  Null is allowed.  */
  void dir_destroy (struct dir *directory);

  /* Adds a copy of MEMBER, or replaces the known record of the node if MEMBER
     is newer.  NOW is the time of the update.  *HANDLE is set unless the
     result is DIR_FULL.  */
  enum dir_change dir_merge (struct dir *directory,
                             const struct mbr_member *member, clk_time now,
                             dir_handle *handle);

  /* Removes the records of dead nodes that were last updated before
     DEAD_BEFORE.  */
  void dir_purge_dead (struct dir *directory, clk_time dead_before);

  /* Removes a node; its handle may be reused for another node.  */
  void dir_remove (struct dir *directory, dir_handle handle);

  /* Returns the node of this name, DIR_NONE when it is not known.  */
  dir_handle dir_find (const struct dir *directory, const char *name);

  /* Returns the record of a node, null when HANDLE is not in use.  The pointer
     is valid until the next dir_merge.  */
  const struct mbr_member *dir_get (const struct dir *directory,
                                    dir_handle handle);

  /* Returns the newest record of a node that says that its upstream leaves,
     null when there is none or an upstream followed.  It may be of an earlier
     process than the record of dir_get.  The pointer is valid until the next
     dir_merge.  */
  const struct mbr_member *dir_departure (const struct dir *directory,
                                          dir_handle handle);

  /* Returns a limit above all handles in use, for loops over all nodes.  */
  dir_handle dir_handle_limit (const struct dir *directory);

  /* Returns the number of records, those of dead nodes included.  */
  size_t dir_count (const struct dir *directory);

  /* Returns the number of nodes that are not dead.  */
  size_t dir_alive_count (const struct dir *directory);

  /* Returns a digest of all records that does not depend on their order.  */
  uint64_t dir_digest (const struct dir *directory);

  /* Returns the number of changes since dir_create.  */
  uint64_t dir_change_count (const struct dir *directory);

  /* Returns a record as the content of an object in the platform's store.  The
     caller owns the reference.  */
  json_t *dir_to_json (const struct mbr_member *member);

  /* Reads what dir_to_json wrote.  Returns false with err_set when a field is
     missing or invalid.  */
  bool dir_from_json (const json_t *content, struct mbr_member *member);

#ifdef __cplusplus
}
#endif

#endif
