/* Fetcher: threads that fetch documents and records from peers by TCP.  */

#include "ctl/ctl_fetcher.h"

#include "base/mem.h"
#include "base/thr.h"
#include "wire/frm.h"

#include <pthread.h>
#include <stdlib.h>

/* Shorter than DST_FETCH_TIMEOUT, after which a reply is ignored.  */
#define FETCH_LIMIT (2 * CLK_SECOND)
/* A join asks up to 5 peers at once.  */
#define THREADS 5
#define MAX_QUEUED 64

struct job
{
  struct net_address address;
  uint64_t id;
  struct snp_stamp held;
  bool want_document;
  bool want_members;
  bool push_self;
  struct mbr_member self;
};

struct ctl_fetcher
{
  struct lnk_pool *pool;
  struct ctl_inbox *inbox;
  struct ring *jobs;
  pthread_t threads[THREADS];
};

static Mesh__Frame *
run_job (struct ctl_fetcher *fetcher, const struct job *job)
{
  Mesh__Frame frame = MESH__FRAME__INIT;
  Mesh__FetchRequest request = MESH__FETCH_REQUEST__INIT;
  Mesh__Stamp held = MESH__STAMP__INIT;
  Mesh__Member record;
  Mesh__Member *records[] = { &record };
  Mesh__Frame *response;

  held.version = job->held.version;
  held.hash = job->held.hash;
  request.held = &held;
  request.want_document = job->want_document;
  request.want_members = job->want_members;
  if (job->push_self)
    {
      mbr_member_to_wire (&job->self, &record);
      request.n_members = 1;
      request.members = records;
    }
  frame.body_case = MESH__FRAME__BODY_FETCH_REQUEST;
  frame.fetch_request = &request;
  if (lnk_request (fetcher->pool, job->address, &frame,
                   clk_now () + FETCH_LIMIT, &response)
      != LNK_OK)
    return NULL;
  if (response->body_case == MESH__FRAME__BODY_FETCH_REPLY)
    return response;
  frm_free (response);
  return NULL;
}

static void *
run_jobs (void *context)
{
  struct ctl_fetcher *fetcher = context;
  struct job *job;

  while ((job = ring_pop (fetcher->jobs, CLK_NEVER)) != NULL)
    {
      struct ctl_event *event = ctl_event_create (CTL_FETCHED);

      event->id = job->id;
      event->frame = run_job (fetcher, job);
      ctl_inbox_post (fetcher->inbox, event);
      free (job);
    }
  return NULL;
}

struct ctl_fetcher *
ctl_fetcher_create (struct lnk_pool *pool, struct ctl_inbox *inbox)
{
  struct ctl_fetcher *fetcher = mem_alloc (1, sizeof *fetcher);

  fetcher->pool = pool;
  fetcher->inbox = inbox;
  fetcher->jobs = ring_create (MAX_QUEUED);
  for (int i = 0; i < THREADS; i++)
    thr_start (&fetcher->threads[i], run_jobs, fetcher);
  return fetcher;
}

void
ctl_fetcher_start (struct ctl_fetcher *fetcher,
                   const struct dst_action *action,
                   const struct mbr_member *self)
{
  struct job *job = mem_alloc (1, sizeof *job);
  struct ctl_event *event;

  job->address = action->address;
  job->id = action->id;
  job->held = action->stamp;
  job->want_document = action->want_document;
  job->want_members = action->want_members;
  job->push_self = action->push_self;
  job->self = *self;
  if (ring_push (fetcher->jobs, job))
    return;
  free (job);
  event = ctl_event_create (CTL_FETCHED);
  event->id = action->id;
  ctl_inbox_post (fetcher->inbox, event);
}

void
ctl_fetcher_destroy (struct ctl_fetcher *fetcher)
{
  struct job *job;

  ring_close (fetcher->jobs);
  for (int i = 0; i < THREADS; i++)
    pthread_join (fetcher->threads[i], NULL);
  while ((job = ring_pop (fetcher->jobs, 0)) != NULL)
    free (job);
  ring_destroy (fetcher->jobs);
  free (fetcher);
}
