/* Requests that are not calls (queries, fetches): one at a time on a
   connection.  */

#include "base/err.h"
#include "lnk/lnk_pool.h"
#include "wire/frm.h"

#include <sys/socket.h>
#include <unistd.h>

static bool
is_open (int socket)
{
  uint8_t byte;

  return recv (socket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) < 0;
}

/* Takes an idle connection to ADDRESS, or returns -1.  */
static int
take_idle (struct lnk_pool *pool, struct net_address address)
{
  int socket = -1;

  pthread_mutex_lock (&pool->lock);
  for (size_t i = pool->idle_count; i > 0 && socket < 0; i--)
    if (net_equal (pool->idle[i - 1].address, address))
      {
        socket = pool->idle[i - 1].socket;
        pool->idle[i - 1] = pool->idle[--pool->idle_count];
        if (!is_open (socket))
          {
            close (socket);
            socket = -1;
          }
      }
  pthread_mutex_unlock (&pool->lock);
  return socket;
}

static void
return_idle (struct lnk_pool *pool, struct net_address address, int socket)
{
  pthread_mutex_lock (&pool->lock);
  if (pool->idle_count < LNK_MAX_IDLE)
    {
      pool->idle[pool->idle_count].address = address;
      pool->idle[pool->idle_count].used = clk_now ();
      pool->idle[pool->idle_count++].socket = socket;
      socket = -1;
    }
  pthread_mutex_unlock (&pool->lock);
  if (socket >= 0)
    close (socket);
}

enum lnk_status
lnk_request (struct lnk_pool *pool, struct net_address address,
             const Mesh__Frame *request, clk_time deadline,
             Mesh__Frame **response)
{
  int socket = take_idle (pool, address);
  size_t sent;

  *response = NULL;
  if (socket < 0)
    socket = lnk_open (pool, address, deadline);
  if (socket < 0)
    return LNK_NOT_SENT;
  if (frm_write (socket, deadline, request, &sent) != FRM_OK)
    {
      close (socket);
      return sent == 0 ? LNK_NOT_SENT : LNK_LOST;
    }
  if (frm_read (socket, deadline, response) != FRM_OK)
    {
      close (socket);
      return LNK_LOST;
    }
  if ((*response)->body_case == MESH__FRAME__BODY_REFUSAL)
    {
      err_set ("peer refused the link: %s", (*response)->refusal->reason);
      frm_free (*response);
      *response = NULL;
      close (socket);
      return LNK_LOST;
    }
  return_idle (pool, address, socket);
  return LNK_OK;
}
