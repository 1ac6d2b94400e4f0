/* One link: frames written in turn, read by one of the threads that wait.
   Internal to the module.  */

#ifndef MULBERRYSHIFT_LNK_LNK_LINK_H
#define MULBERRYSHIFT_LNK_LNK_LINK_H

#include "base/buf.h"
#include "lnk/lnk.h"

#include <pthread.h>
#include <stdatomic.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define LNK_REASON_SIZE 160

  /* A call on a link.  The link's lock guards it.  */
  struct lnk_exchange
  {
    struct lnk_exchange *next;
    uint64_t origin;
    uint64_t number;
    pthread_cond_t wake;
    bool waiting; /* its thread waits on WAKE */
    bool sending; /* a byte of the call may have left */
    bool done;
    enum lnk_status status;
    char reason[LNK_REASON_SIZE];
    Mesh__Answer *answer; /* null before the first part */
    struct buf body;      /* of the answer */
    uint32_t ungranted;   /* bytes received since the last grant */
    uint32_t credit;      /* bytes of the call's body that may be sent */
  };

  struct lnk_link
  {
    struct net_address address;
    int socket;
    const struct lnk_options *options;
    atomic_size_t *buffered; /* of the pool */
    uint32_t users;          /* guarded by the pool's lock */
    clk_time used;           /* likewise */

    pthread_mutex_t lock; /* guards all that follows */
    pthread_cond_t writable;
    struct lnk_exchange *exchanges; /* oldest first */
    bool reading;                   /* a thread is in recv */
    bool writing;                   /* a thread is in send */
    bool broken;
    bool spoken;          /* a frame came from the peer */
    struct buf input;     /* owned by the reading thread while READING */
    struct buf pending;   /* grants, cancels, rest of a frame: not yet sent */
    clk_time stuck_since; /* first write that had to stop; 0: none */
    char reason[LNK_REASON_SIZE];
  };

  /* Takes over a connected socket on which Hello was sent.  */
  struct lnk_link *lnk_link_create (struct net_address address, int socket,
                                    const struct lnk_options *options,
                                    atomic_size_t *buffered);

  /* Closes the link; no exchange may be on it.  */
  void lnk_link_destroy (struct lnk_link *link);

  /* Returns whether the peer has closed the unused link or it has failed. */
  bool lnk_link_is_stale (struct lnk_link *link);

  /* Prepares an exchange and adds it to the link.  */
  void lnk_link_add (struct lnk_link *link, struct lnk_exchange *exchange,
                     const Mesh__CallId *id);

  /* Removes an exchange, done or not, and frees what it holds.  */
  void lnk_link_remove (struct lnk_link *link, struct lnk_exchange *exchange);

  /* Writes one frame until DEADLINE.  *SENT is set to its bytes that left. The
     rest of a frame that has partly left stays queued, so that one call's
     deadline does not break the link for the others.  */
  bool lnk_link_write (struct lnk_link *link, struct lnk_exchange *exchange,
                       const Mesh__Frame *frame, clk_time deadline,
                       size_t *sent);

  /* Waits until the exchange is done or, with FOR_CREDIT, has credit.  Returns
     false at the deadline.  */
  bool lnk_link_wait (struct lnk_link *link, struct lnk_exchange *exchange,
                      bool for_credit, clk_time deadline);

  /* Asks the peer to cancel the call; does not wait.  */
  void lnk_link_cancel (struct lnk_link *link, struct lnk_exchange *exchange);

  /* Fails every exchange on the link; with its lock held.  */
  void lnk_link_break (struct lnk_link *link, const char *reason);

  /* Delivers one frame to its exchange; with the lock held.  Returns false
     when the peer violates the protocol, after err_set.  Takes over parts of
     FRAME; the caller still frees it.  */
  bool lnk_dispatch (struct lnk_link *link, Mesh__Frame *frame);

#ifdef __cplusplus
}
#endif

#endif
