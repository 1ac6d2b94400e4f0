/* Publishes this node's record in the platform's store: one object that only
   this node writes.  Each write depends on the revision of the one before, so
   that a write whose reply was lost cannot take effect after a newer one.  */

#ifndef MULBERRYSHIFT_PUB_PUB_H
#define MULBERRYSHIFT_PUB_PUB_H

#include "dir/dir.h"
#include "sto/sto.h"

#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Kind of the objects that hold the nodes' records.  */
#define PUB_KIND "mesh-nodes"

  struct pub;

  struct pub_handlers
  {
    /* The store holds the record with this sequence, or a later one.  */
    void (*record_stored) (void *context, uint64_t sequence);
    /* The store holds a record of this node that the publisher did not
       write: of an earlier process.  */
    void (*record_found) (void *context, const struct mbr_member *record);
  };

  /* Creates a publisher that has nothing to write.  */
  struct pub *pub_create (struct evl *loop, struct sto *store,
                          const struct pub_handlers *handlers, void *context);

  /* Ends a write under way and frees the publisher.  Null is allowed.  */
  void pub_destroy (struct pub *publisher);

  /* Tells of the object as the store listed it.  */
  void pub_note_stored (struct pub *publisher, const struct sto_object *object,
                        const struct mbr_member *record);

  /* Writes RECORD, now and again until it is stored.  A record that differs
     from the stored one in its incarnation and sequence only is not
     written.  */
  void pub_set_record (struct pub *publisher, const struct mbr_member *record);

  /* The object is gone from the store: it is written again.  */
  void pub_note_removed (struct pub *publisher);

  /* Removes the object, now and again until it is gone; the node leaves for
     good.  */
  void pub_withdraw (struct pub *publisher);

  /* Returns whether nothing is left to write.  */
  bool pub_is_up_to_date (const struct pub *publisher);

#ifdef __cplusplus
}
#endif

#endif
