/* Publisher of this node's record in the platform's store: an object that this
   node alone writes.  Each write requires the revision that the previous one
   left, so that a write whose reply was lost cannot take effect after a newer
   one.  */

#ifndef MULBERRYSHIFT_PUB_PUB_H
#define MULBERRYSHIFT_PUB_PUB_H

#include "dir/dir.h"
#include "sto/sto.h"

#include <stdbool.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Kind of the objects that hold node records.  */
#define PUB_KIND "mesh-nodes"

  struct pub;

  struct pub_handlers
  {
    /* The store holds the record with this sequence, or one that differs from
       it in incarnation, sequence, state or round trip time only.  */
    void (*record_stored) (void *context, uint64_t sequence);
    /* A write found a stored record of this node from an earlier process.  */
    void (*record_found) (void *context, const struct mbr_member *record);
  };

  /* Creates a publisher without a record to write.  */
  struct pub *pub_create (struct evl *loop, struct sto *store,
                          const struct pub_handlers *handlers, void *context);

  /* Cancels a call in progress and frees the publisher.  Null is allowed.  */
  void pub_destroy (struct pub *publisher);

  /* Notes that the store holds RECORD in OBJECT, as read by a watch.  Ignored
     during a call, and unless OBJECT is later than the known revision.  */
  void pub_note_stored (struct pub *publisher, const struct sto_object *object,
                        const struct mbr_member *record);

  /* Notes that the store holds an object of this node's name at REVISION that
     is not a valid record; it is replaced.  */
  void pub_note_invalid (struct pub *publisher, uint64_t revision);

  /* Sets the record to publish and writes it, with retries until it is stored.
     A record that differs from the stored one in incarnation, sequence, state
     or round trip time only is not written.  */
  void pub_set_record (struct pub *publisher, const struct mbr_member *record);

  /* Notes that the object was removed from the store; it is written again.  */
  void pub_note_removed (struct pub *publisher);

  /* Writes the record again, or removes it again after pub_withdraw, because
     the store came back from a copy; not when it was seen there since.  */
  void pub_handle_restore (struct pub *publisher);

  /* Removes the object because the node leaves for good, with retries until it
     is removed.  */
  void pub_withdraw (struct pub *publisher);

  /* Returns whether the store is known to hold an object of this node.  */
  bool pub_is_stored (const struct pub *publisher);

  /* Returns whether the store holds the record that was set with SEQUENCE, or
     a later one.  */
  bool pub_holds (const struct pub *publisher, uint64_t sequence);

#ifdef __cplusplus
}
#endif

#endif
