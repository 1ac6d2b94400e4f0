/* Directory of the nodes that this node knows, with the upstream beside each.
   Records come from the platform's store and from other nodes, in any order;
   the newer one of a node wins.  The record of a dead node stays for a while,
   so that an older one does not bring it back.  Pure.

   A node has the same handle as long as it is known.  */

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

/* Nodes that a directory holds at most.  */
#define DIR_MAX_NODES 4096

  typedef uint32_t dir_handle;

#define DIR_NONE UINT32_MAX

  enum dir_change
  {
    DIR_NEW,     /* the node was not known */
    DIR_CHANGED, /* the record replaced an older one */
    DIR_SAME,    /* the record was known */
    DIR_OLDER,   /* a newer record is known; nothing changed */
    DIR_FULL     /* the directory has no room; nothing changed */
  };

  struct dir;

  /* Creates an empty directory.  */
  struct dir *dir_create (void);

  /* Frees a directory.  */
  void dir_destroy (struct dir *directory);

  /* Adds or replaces the record of a node, learned at NOW.  *HANDLE is set
     unless the result is DIR_FULL.  */
  enum dir_change dir_merge (struct dir *directory,
                             const struct mbr_member *member, clk_time now,
                             dir_handle *handle);

  /* Removes the records of nodes that have been dead since before LIMIT.  */
  void dir_purge_dead (struct dir *directory, clk_time limit);

  /* Removes a node; its handle may be given to another one later.  */
  void dir_remove (struct dir *directory, dir_handle handle);

  /* Returns the node of this name, DIR_NONE when it is not known.  */
  dir_handle dir_find (const struct dir *directory, const char *name);

  /* Returns a node's record, null when HANDLE is not in use.  Valid until the
     next dir_merge.  */
  const struct mbr_member *dir_get (const struct dir *directory,
                                    dir_handle handle);

  /* Returns a number that no handle in use reaches, for loops.  */
  dir_handle dir_handle_limit (const struct dir *directory);

  /* Returns the number of records.  */
  size_t dir_count (const struct dir *directory);

  /* Returns the number of nodes that are not dead.  */
  size_t dir_alive_count (const struct dir *directory);

  /* Returns a digest that is equal for equal sets of records.  */
  uint64_t dir_digest (const struct dir *directory);

  /* Returns a number that changes with every change of the directory.  */
  uint64_t dir_change_count (const struct dir *directory);

  /* Writes a record as the content of an object in the store.  */
  json_t *dir_to_json (const struct mbr_member *member);

  /* Reads it back.  Returns false with err_set when a field is missing or not
     valid.  */
  bool dir_from_json (const json_t *content, struct mbr_member *member);

#ifdef __cplusplus
}
#endif

#endif
