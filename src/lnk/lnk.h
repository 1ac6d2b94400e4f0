/* Links: TCP connections to the mesh addresses of other nodes.  Many calls
   share a link; answers are matched by call ID.  The thread that waits for an
   answer reads the link if no other thread does, so an uncontended call needs
   no hand-off between threads.  */

#ifndef MULBERRYSHIFT_LNK_LNK_H
#define MULBERRYSHIFT_LNK_LNK_H

#include "base/clk.h"
#include "base/net.h"
#include "wire/mesh.pb-c.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Bytes of a body in one frame, and unacknowledged in one direction.  */
#define LNK_CHUNK (32u * 1024u)
#define LNK_WINDOW (256u * 1024u)

/* Longest answer body, and bytes of unfinished answers in a pool.  */
#define LNK_MAX_BODY (16u * 1024u * 1024u)
#define LNK_MAX_BUFFERED (64u * 1024u * 1024u)

/* Links in a pool.  */
#define LNK_MAX_LINKS 1024

/* A link without a call for this long is closed at the next use of the pool.
 */
#define LNK_IDLE_LIMIT (60 * CLK_SECOND)

  enum lnk_status
  {
    LNK_OK,
    LNK_NOT_SENT, /* no byte of the request left this node, or the peer refused
                     the link before it accepted a frame */
    LNK_LOST,     /* the request may have left; no whole response came */
    LNK_TIMEOUT   /* likewise, because the deadline passed; cancelled */
  };

  /* Who this node is; sent in the Hello frame of each link.  */
  struct lnk_identity
  {
    const char *name;
    uint64_t incarnation;
    uint64_t mesh; /* XXH3 of the environment's name */
  };

  /* For tests: the flags switch mechanisms off, and a limit other than 0
     replaces LNK_IDLE_LIMIT or LNK_MAX_BUFFERED.  */
  struct lnk_options
  {
    uint32_t links_per_peer; /* 1 to 8 */
    bool ignore_ids;         /* an answer goes to the oldest call */
    bool accept_truncated;   /* a broken link completes started answers */
    bool assume_not_sent;    /* every lost call counts as not sent */
    clk_time idle_limit;
    size_t max_buffered; /* bytes */
  };

  struct lnk_pool;

  /* Creates an empty pool.  IDENTITY's name must outlive it.  */
  struct lnk_pool *lnk_pool_create (const struct lnk_identity *identity);

  /* Replaces the options; before the first call.  */
  void lnk_pool_set_options (struct lnk_pool *pool,
                             const struct lnk_options *options);

  /* Closes all links and frees the pool.  No request may be running.  */
  void lnk_pool_destroy (struct lnk_pool *pool);

  /* Returns the number of open links.  Any thread.  */
  size_t lnk_pool_count (struct lnk_pool *pool);

  /* Sends CALL, whose id must not be in use, and waits for its whole answer
     until DEADLINE; any thread.  On LNK_OK the caller frees *ANSWER with
     mesh__answer__free_unpacked; else it is null and err_last gives the
     reason.  A call given up at the deadline is cancelled; its late answer is
     dropped. */
  enum lnk_status lnk_call (struct lnk_pool *pool, struct net_address address,
                            const Mesh__Call *call, clk_time deadline,
                            Mesh__Answer **answer);

  /* Sends REQUEST (Query or FetchRequest) on a connection of its own and waits
     for its response until DEADLINE; any thread.  On LNK_OK the caller frees
     *RESPONSE with frm_free.  */
  enum lnk_status lnk_request (struct lnk_pool *pool,
                               struct net_address address,
                               const Mesh__Frame *request, clk_time deadline,
                               Mesh__Frame **response);

#ifdef __cplusplus
}
#endif

#endif
