/* The record that a node publishes about itself, and its form on the wire.  */

#ifndef MULBERRYSHIFT_MBR_MBR_MEMBER_H
#define MULBERRYSHIFT_MBR_MBR_MEMBER_H

#include "base/net.h"
#include "wire/mesh.pb-c.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define MBR_NAME_SIZE 64

  enum mbr_state
  {
    MBR_ALIVE,
    MBR_SUSPECT,
    MBR_LEAVING,
    MBR_DEAD
  };

  /* A record.  Only the node that it describes raises incarnation (process
     start, ms since the epoch) and sequence; others may only set the state of
     the pair that they know.  */
  struct mbr_member
  {
    char name[MBR_NAME_SIZE];
    char data_centre[MBR_NAME_SIZE];
    char region[MBR_NAME_SIZE];
    char service[MBR_NAME_SIZE]; /* "" while no upstream is announced */
    char upstream[MBR_NAME_SIZE];
    char version[MBR_NAME_SIZE]; /* of the upstream's software; "" if it did
                                    not say */
    uint64_t incarnation;
    uint64_t sequence;
    struct net_address address; /* mesh address, TCP and UDP */
    uint32_t slots;             /* of the upstream */
    enum mbr_state state;
    uint64_t upstream_born;     /* start of the upstream, ms since the epoch */
    bool upstream_leaving;      /* the upstream takes no new calls */
    uint32_t platform_distance; /* round trip to the platform, ms */
    uint32_t capacity;          /* processor, thousandths of a core */
    uint32_t mesh_size;         /* nodes that it knew, 0: unknown; only in the
                                   store, not compared */
  };

  /* Fills in a wire message whose strings point into MEMBER.  */
  void mbr_member_to_wire (const struct mbr_member *member,
                           Mesh__Member *message);

  /* Copies a wire message.  Returns false when a field is out of range.  */
  bool mbr_member_from_wire (const Mesh__Member *message,
                             struct mbr_member *member);

  /* Returns whether all fields but mesh_size are equal.  */
  bool mbr_member_equal (const struct mbr_member *left,
                         const struct mbr_member *right);

  /* Returns whether two records differ at most in incarnation, sequence,
     state, round trip time to the platform and mesh_size: a store that holds
     one of them need not be written for the other.  */
  bool mbr_member_equivalent (const struct mbr_member *left,
                              const struct mbr_member *right);

  /* Returns "alive", "suspect", "leaving" or "dead".  */
  const char *mbr_state_name (enum mbr_state state);

#ifdef __cplusplus
}
#endif

#endif
