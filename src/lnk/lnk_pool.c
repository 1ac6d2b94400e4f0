/* Links by the address of the peer, with back-off after failed connects.  */

#include "lnk/lnk_pool.h"

#include "base/err.h"
#include "base/mem.h"
#include "wire/frm.h"

#include <errno.h>
#include <stdlib.h>
#include <unistd.h>

/* Links to one peer; measured in docs/measurements.md.  */
#define DEFAULT_PER_PEER 4

/* Bounds of the back-off after failed connects; full jitter.  */
#define BACK_OFF_BASE (50 * CLK_MILLISECOND)
#define BACK_OFF_MAX (2 * CLK_SECOND)

struct lnk_pool *
lnk_pool_create (const struct lnk_identity *identity)
{
  struct lnk_pool *pool = mem_alloc (1, sizeof *pool);

  pool->identity = *identity;
  pool->options.links_per_peer = DEFAULT_PER_PEER;
  pthread_mutex_init (&pool->lock, NULL);
  clk_init_condition (&pool->changed);
  rnd_init (&pool->random, rnd_system_seed ());
  return pool;
}

void
lnk_pool_set_options (struct lnk_pool *pool, const struct lnk_options *options)
{
  pool->options = *options;
  if (pool->options.links_per_peer < 1)
    pool->options.links_per_peer = 1;
  if (pool->options.links_per_peer > LNK_MAX_PER_PEER)
    pool->options.links_per_peer = LNK_MAX_PER_PEER;
}

void
lnk_pool_destroy (struct lnk_pool *pool)
{
  if (pool == NULL)
    return;
  for (size_t i = 0; i < LNK_PEER_BUCKETS; i++)
    while (pool->peers[i] != NULL)
      {
        struct lnk_peer *peer = pool->peers[i];

        for (uint32_t j = 0; j < peer->link_count; j++)
          lnk_link_destroy (peer->links[j]);
        pool->peers[i] = peer->next;
        free (peer);
      }
  for (size_t i = 0; i < pool->idle_count; i++)
    close (pool->idle[i].socket);
  pthread_cond_destroy (&pool->changed);
  pthread_mutex_destroy (&pool->lock);
  free (pool);
}

size_t
lnk_pool_count (struct lnk_pool *pool)
{
  size_t count;

  pthread_mutex_lock (&pool->lock);
  count = pool->link_count;
  pthread_mutex_unlock (&pool->lock);
  return count;
}

int
lnk_open (struct lnk_pool *pool, struct net_address address, clk_time deadline)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__Hello hello = MESH__HELLO__INIT;
  int socket = net_connect (address, deadline);
  size_t sent;

  if (socket < 0)
    return -1;
  hello.protocol = FRM_PROTOCOL;
  hello.mesh = pool->identity.mesh;
  hello.from = (char *)pool->identity.name;
  hello.incarnation = pool->identity.incarnation;
  frame.body_case = MESH__FRAME__BODY_HELLO;
  frame.hello = &hello;
  if (frm_write (socket, deadline, &frame, &sent) == FRM_OK)
    return socket;
  close (socket);
  return -1;
}

static struct lnk_peer **
find_peer (struct lnk_pool *pool, struct net_address address)
{
  uint32_t hash = (address.ip ^ address.port) * 2654435761u;
  struct lnk_peer **place = &pool->peers[hash >> 24];

  while (*place != NULL && !net_equal ((*place)->address, address))
    place = &(*place)->next;
  return place;
}

static struct lnk_peer *
get_peer (struct lnk_pool *pool, struct net_address address)
{
  struct lnk_peer **place = find_peer (pool, address);

  if (*place == NULL)
    {
      *place = mem_alloc (1, sizeof **place);
      (*place)->address = address;
    }
  return *place;
}

/* Takes the link out of its peer; frees it when nobody uses it.  */
static void
detach_link (struct lnk_pool *pool, struct lnk_peer *peer, uint32_t index)
{
  struct lnk_link *link = peer->links[index];

  peer->links[index] = peer->links[--peer->link_count];
  pool->link_count--;
  if (link->users == 0)
    lnk_link_destroy (link);
}

static bool
is_broken (struct lnk_link *link)
{
  bool broken;

  pthread_mutex_lock (&link->lock);
  broken = link->broken;
  pthread_mutex_unlock (&link->lock);
  return broken;
}

/* Closes unused links and forgets peers without links; once a second.  */
static void
sweep (struct lnk_pool *pool, clk_time now)
{
  clk_time limit = pool->options.idle_limit != 0 ? pool->options.idle_limit
                                                 : LNK_IDLE_LIMIT;

  if (now - pool->swept < (limit < CLK_SECOND ? limit : CLK_SECOND))
    return;
  pool->swept = now;
  for (size_t i = 0; i < LNK_PEER_BUCKETS; i++)
    for (struct lnk_peer **place = &pool->peers[i]; *place != NULL;)
      {
        struct lnk_peer *peer = *place;

        for (uint32_t j = peer->link_count; j > 0; j--)
          if (peer->links[j - 1]->users == 0
              && now - peer->links[j - 1]->used > limit)
            detach_link (pool, peer, j - 1);
        if (peer->link_count == 0 && peer->waiting == 0
            && now - peer->retry_at > limit)
          {
            *place = peer->next;
            free (peer);
          }
        else
          place = &peer->next;
      }
  for (size_t i = pool->idle_count; i > 0; i--)
    if (now - pool->idle[i - 1].used > limit)
      {
        close (pool->idle[i - 1].socket);
        pool->idle[i - 1] = pool->idle[--pool->idle_count];
      }
}

/* Returns the link with the fewest users, dropping broken ones.  Only the one
   to be used is asked whether the peer has closed it: that costs a system
   call.  */
static struct lnk_link *
find_link (struct lnk_pool *pool, struct lnk_peer *peer)
{
  for (;;)
    {
      uint32_t best = UINT32_MAX;

      for (uint32_t i = peer->link_count; i > 0; i--)
        if (is_broken (peer->links[i - 1]))
          {
            /* The link moved here, if any, was looked at before.  */
            detach_link (pool, peer, i - 1);
            if (best == peer->link_count)
              best = i - 1;
          }
        else if (best == UINT32_MAX
                 || peer->links[i - 1]->users < peer->links[best]->users)
          best = i - 1;
      if (best == UINT32_MAX)
        return NULL;
      if (peer->links[best]->users > 0
          || !lnk_link_is_stale (peer->links[best]))
        return peer->links[best];
      detach_link (pool, peer, best);
    }
}

static void
note_failure (struct lnk_pool *pool, struct lnk_peer *peer)
{
  clk_time limit = BACK_OFF_BASE << (peer->failures < 6 ? peer->failures : 6);

  if (limit > BACK_OFF_MAX)
    limit = BACK_OFF_MAX;
  peer->failures++;
  peer->retry_at
      = clk_now () + (clk_time)(rnd_unit (&pool->random) * (double)limit);
}

/* Opens a link; with the pool's lock held, which is released meanwhile.  */
static struct lnk_link *
add_link (struct lnk_pool *pool, struct lnk_peer *peer, clk_time deadline)
{
  struct lnk_link *link = NULL;
  int socket;

  peer->connecting++;
  pool->link_count++;
  pthread_mutex_unlock (&pool->lock);
  socket = lnk_open (pool, peer->address, deadline);
  pthread_mutex_lock (&pool->lock);
  peer->connecting--;
  if (socket < 0)
    {
      pool->link_count--;
      note_failure (pool, peer);
    }
  else
    {
      peer->failures = 0;
      link = lnk_link_create (peer->address, socket, &pool->options,
                              &pool->buffered);
      peer->links[peer->link_count++] = link;
    }
  pthread_cond_broadcast (&pool->changed);
  return link;
}

/* One round of lnk_acquire.  Returns false when it should be repeated.  */
static bool
try_acquire (struct lnk_pool *pool, struct lnk_peer *peer, clk_time deadline,
             struct lnk_link **link)
{
  struct timespec end = clk_to_timespec (deadline);
  clk_time now = clk_now ();
  bool may_open
      = peer->link_count + peer->connecting < pool->options.links_per_peer
        && pool->link_count < LNK_MAX_LINKS && now >= peer->retry_at;

  *link = find_link (pool, peer);
  if (*link != NULL && ((*link)->users == 0 || !may_open))
    return true;
  if (may_open)
    {
      *link = add_link (pool, peer, deadline);
      return true;
    }
  if (peer->connecting > 0)
    return pthread_cond_timedwait (&pool->changed, &pool->lock, &end)
           == ETIMEDOUT;
  if (pool->link_count >= LNK_MAX_LINKS)
    err_set ("all %d links are in use", LNK_MAX_LINKS);
  else
    err_set ("the last connect to this peer failed; waiting before the next");
  return true;
}

struct lnk_link *
lnk_acquire (struct lnk_pool *pool, struct net_address address,
             clk_time deadline)
{
  struct lnk_link *link = NULL;
  clk_time now = clk_now ();
  struct lnk_peer *peer;

  pthread_mutex_lock (&pool->lock);
  sweep (pool, now);
  peer = get_peer (pool, address);
  peer->waiting++;
  while (!try_acquire (pool, peer, deadline, &link))
    continue;
  peer->waiting--;
  if (link != NULL)
    {
      link->users++;
      link->used = now;
    }
  pthread_mutex_unlock (&pool->lock);
  return link;
}

void
lnk_release (struct lnk_pool *pool, struct lnk_link *link)
{
  struct lnk_peer *peer;
  bool attached = false;

  pthread_mutex_lock (&pool->lock);
  link->users--;
  link->used = clk_now ();
  peer = *find_peer (pool, link->address);
  for (uint32_t i = 0; peer != NULL && i < peer->link_count; i++)
    if (peer->links[i] == link)
      {
        attached = true;
        if (is_broken (link))
          detach_link (pool, peer, i);
        break;
      }
  if (!attached && link->users == 0)
    lnk_link_destroy (link);
  pthread_mutex_unlock (&pool->lock);
}
