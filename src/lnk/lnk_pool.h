/* Links by the address of the peer, with back-off after failed connects.
   Internal to the module.  */

#ifndef MULBERRYSHIFT_LNK_LNK_POOL_H
#define MULBERRYSHIFT_LNK_LNK_POOL_H

#include "base/rnd.h"
#include "lnk/lnk_link.h"

#ifdef __cplusplus
extern "C"
{
#endif

#define LNK_MAX_PER_PEER 8
#define LNK_PEER_BUCKETS 256
#define LNK_MAX_IDLE 64

  struct lnk_peer
  {
    struct lnk_peer *next;
    struct net_address address;
    struct lnk_link *links[LNK_MAX_PER_PEER];
    uint32_t link_count;
    uint32_t connecting; /* threads that are opening a link */
    uint32_t waiting;    /* threads in lnk_acquire */
    uint32_t failures;   /* consecutive failed connects */
    clk_time retry_at;   /* no connect before */
  };

  /* An open connection of lnk_request that no request uses.  */
  struct lnk_idle
  {
    struct net_address address;
    int socket;
    clk_time used;
  };

  struct lnk_pool
  {
    struct lnk_identity identity;
    struct lnk_options options;
    atomic_size_t buffered;
    pthread_mutex_t lock; /* guards all that follows */
    pthread_cond_t changed;
    struct lnk_peer *peers[LNK_PEER_BUCKETS];
    size_t link_count;
    clk_time swept;
    struct rnd random;
    struct lnk_idle idle[LNK_MAX_IDLE];
    size_t idle_count;
  };

  /* Connects and introduces this node.  Returns the socket, or -1 with
     err_set.  */
  int lnk_open (struct lnk_pool *pool, struct net_address address,
                clk_time deadline);

  /* Returns a usable link to ADDRESS, opening one when all are in use and the
     limit allows; null with err_set when there is none by DEADLINE.  End its
     use with lnk_release.  */
  struct lnk_link *lnk_acquire (struct lnk_pool *pool,
                                struct net_address address, clk_time deadline);

  /* Ends one use of a link.  */
  void lnk_release (struct lnk_pool *pool, struct lnk_link *link);

#ifdef __cplusplus
}
#endif

#endif
