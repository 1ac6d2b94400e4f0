/* Admission at a gate.  */

#include "adm/adm.h"
#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

/* The service time is an average in which a new value weighs 1/8, so about
   20 calls after a change the estimate follows it.  */
#define EWMA_SHIFT 3

enum state
{
  STATE_FREE,
  STATE_QUEUED,
  STATE_RUNNING
};

struct entry
{
  struct adm_request request;
  uint64_t arrival;
  enum state state;
};

struct adm
{
  struct adm_limits limits;
  uint32_t rank[DOC_CLASS_COUNT]; /* 0 is preferred most */
  struct entry entries[ADM_TABLE_SIZE];
  int free[ADM_TABLE_SIZE];
  uint32_t free_count;
  int queue[ADM_MAX_QUEUED]; /* sorted, the next to run first */
  uint32_t queued;
  uint32_t queued_of[DOC_CLASS_COUNT];
  uint32_t running;
  uint32_t running_of[DOC_CLASS_COUNT];
  uint64_t arrivals;
  clk_time service_time[DOC_CLASS_COUNT];
};

static uint32_t
smaller (uint32_t left, uint32_t right)
{
  return left < right ? left : right;
}

static bool
is_before (const struct adm *adm, const struct entry *left,
           const struct entry *right)
{
  uint32_t left_rank = adm->rank[left->request.call_class];
  uint32_t right_rank = adm->rank[right->request.call_class];

  if (left_rank != right_rank)
    return left_rank < right_rank;
  if (left->request.deadline != right->request.deadline)
    return left->request.deadline < right->request.deadline;
  return left->arrival < right->arrival;
}

/* Returns the position in the queue that ENTRY takes.  */
static uint32_t
find_place (const struct adm *adm, const struct entry *entry)
{
  uint32_t low = 0;
  uint32_t high = adm->queued;

  while (low < high)
    {
      uint32_t middle = (low + high) / 2;

      if (is_before (adm, &adm->entries[adm->queue[middle]], entry))
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
insert (struct adm *adm, int handle)
{
  uint32_t place = find_place (adm, &adm->entries[handle]);

  memmove (&adm->queue[place + 1], &adm->queue[place],
           (adm->queued - place) * sizeof *adm->queue);
  adm->queue[place] = handle;
  adm->queued++;
  adm->queued_of[adm->entries[handle].request.call_class]++;
}

/* Takes the call at PLACE out of the queue; its entry stays.  */
static int
extract (struct adm *adm, uint32_t place)
{
  int handle = adm->queue[place];

  adm->queued--;
  adm->queued_of[adm->entries[handle].request.call_class]--;
  memmove (&adm->queue[place], &adm->queue[place + 1],
           (adm->queued - place) * sizeof *adm->queue);
  return handle;
}

static void
release (struct adm *adm, int handle)
{
  adm->entries[handle].state = STATE_FREE;
  adm->free[adm->free_count++] = handle;
}

static void
start (struct adm *adm, int handle)
{
  struct entry *entry = &adm->entries[handle];

  entry->state = STATE_RUNNING;
  adm->running++;
  adm->running_of[entry->request.call_class]++;
}

struct adm *
adm_create (const struct adm_limits *limits)
{
  struct adm *adm = mem_alloc (1, sizeof *adm);

  for (int handle = ADM_TABLE_SIZE - 1; handle >= 0; handle--)
    release (adm, handle);
  adm_set_limits (adm, limits);
  return adm;
}

void
adm_destroy (struct adm *adm)
{
  free (adm);
}

void
adm_set_limits (struct adm *adm, const struct adm_limits *limits)
{
  uint32_t count = adm->queued;
  int queue[ADM_MAX_QUEUED];

  adm->limits = *limits;
  adm->limits.slots = smaller (limits->slots, ADM_MAX_RUNNING);
  adm->limits.queue = smaller (limits->queue, ADM_MAX_QUEUED);
  for (uint32_t i = 0; i < DOC_CLASS_COUNT; i++)
    adm->rank[limits->preference[i]] = i;
  memcpy (queue, adm->queue, count * sizeof *queue);
  adm->queued = 0;
  memset (adm->queued_of, 0, sizeof adm->queued_of);
  for (uint32_t i = 0; i < count; i++)
    insert (adm, queue[i]);
}

/* Returns the calls of a tenant that run or wait.  */
static uint32_t
count_tenant (const struct adm *adm, uint64_t tenant)
{
  uint32_t count = 0;
  uint32_t left = adm->running + adm->queued;

  for (int i = 0; i < ADM_TABLE_SIZE && left > 0; i++)
    if (adm->entries[i].state != STATE_FREE)
      {
        left--;
        count += adm->entries[i].request.tenant == tenant;
      }
  return count;
}

/* Returns whether ENTRY, which takes PLACE in the queue, is expected to end
   by its deadline.  Without a running call it always may run: otherwise one
   slow period could leave an estimate that no call ever corrects.  */
static bool
can_meet_deadline (const struct adm *adm, const struct entry *entry,
                   uint32_t place, clk_time now)
{
  clk_time own = adm->service_time[entry->request.call_class];
  clk_time work = 0;

  if (entry->request.deadline <= now)
    return false;
  if (adm->running == 0)
    return true;
  if (adm->running >= adm->limits.slots)
    {
      for (uint32_t i = 0; i < place; i++)
        work += adm->service_time[adm->entries[adm->queue[i]]
                                      .request.call_class];
      /* Running calls are half done on average.  */
      for (int i = 0; i < DOC_CLASS_COUNT; i++)
        work += adm->service_time[i] * (clk_time)adm->running_of[i] / 2;
      work /= adm->limits.slots > 0 ? adm->limits.slots : 1;
    }
  return own + work <= entry->request.deadline - now;
}

/* Returns the waiting repeatable call that would run last, or -1.  */
static int
find_repeatable (const struct adm *adm)
{
  for (uint32_t i = adm->queued; i > 0; i--)
    if (adm->entries[adm->queue[i - 1]].request.call_class == DOC_IDEMPOTENT)
      return (int)i - 1;
  return -1;
}

/* Makes a place in the queue for a call of this class.  Returns whether there
   is one.  */
static bool
make_place (struct adm *adm, enum doc_class call_class, int *evicted)
{
  const struct adm_limits *limits = &adm->limits;
  uint32_t reserve = smaller (limits->once_reserve, limits->queue);
  int victim;

  if (call_class != DOC_AT_MOST_ONCE)
    return adm->queued < limits->queue
           && adm->queued_of[DOC_IDEMPOTENT] < limits->queue - reserve;
  if (adm->queued < limits->queue)
    return true;
  victim = find_repeatable (adm);
  if (victim < 0)
    return false;
  *evicted = extract (adm, (uint32_t)victim);
  release (adm, *evicted);
  return true;
}

static enum adm_status
check_limits (const struct adm *adm, const struct adm_request *request)
{
  uint32_t of_class = adm->running_of[request->call_class]
                      + adm->queued_of[request->call_class];
  uint32_t class_max = adm->limits.class_max[request->call_class];

  if (class_max > 0 && of_class >= class_max)
    return ADM_CLASS_FULL;
  if (request->tenant_max > 0
      && count_tenant (adm, request->tenant) >= request->tenant_max)
    return ADM_TENANT_FULL;
  return ADM_RUN;
}

enum adm_status
adm_offer (struct adm *adm, const struct adm_request *request, clk_time now,
           int *handle, int *evicted)
{
  enum adm_status status = check_limits (adm, request);
  struct entry entry = { .request = *request, .arrival = adm->arrivals };
  bool slot_free = adm->running < adm->limits.slots && adm->queued == 0;

  *handle = ADM_NONE;
  *evicted = ADM_NONE;
  if (status != ADM_RUN)
    return status;
  if (!can_meet_deadline (adm, &entry, find_place (adm, &entry), now))
    return ADM_TOO_LATE;
  if (!slot_free && !make_place (adm, request->call_class, evicted))
    return ADM_FULL;
  if (adm->free_count == 0)
    return ADM_FULL;
  *handle = adm->free[--adm->free_count];
  adm->arrivals++;
  entry.state = STATE_QUEUED;
  adm->entries[*handle] = entry;
  if (!slot_free)
    {
      insert (adm, *handle);
      return ADM_QUEUED;
    }
  start (adm, *handle);
  return ADM_RUN;
}

/* Returns whether a waiting call can end by its deadline if it starts now.
   Without a running call it may try, as in can_meet_deadline.  */
static bool
can_end (const struct adm *adm, const struct adm_request *request,
         clk_time now)
{
  clk_time needed
      = adm->running > 0 ? adm->service_time[request->call_class] : 0;

  return request->deadline > now && request->deadline - now >= needed;
}

int
adm_next (struct adm *adm, clk_time now)
{
  if (adm->running >= adm->limits.slots)
    return ADM_NONE;
  for (uint32_t i = 0; i < adm->queued; i++)
    if (can_end (adm, &adm->entries[adm->queue[i]].request, now))
      {
        int handle = extract (adm, i);

        start (adm, handle);
        return handle;
      }
  return ADM_NONE;
}

void
adm_finish (struct adm *adm, int handle, clk_time service_time)
{
  enum doc_class call_class = adm->entries[handle].request.call_class;
  clk_time *estimate = &adm->service_time[call_class];

  if (service_time >= 0 && *estimate == 0)
    *estimate = service_time;
  else if (service_time >= 0)
    *estimate += (service_time - *estimate) / (1 << EWMA_SHIFT);
  adm->running--;
  adm->running_of[call_class]--;
  release (adm, handle);
}

bool
adm_remove (struct adm *adm, int handle)
{
  for (uint32_t i = 0; i < adm->queued; i++)
    if (adm->queue[i] == handle)
      {
        release (adm, extract (adm, i));
        return true;
      }
  return false;
}

bool
adm_can_end (const struct adm *adm, int handle, clk_time now)
{
  return can_end (adm, &adm->entries[handle].request, now);
}

int
adm_expire (struct adm *adm, clk_time now)
{
  for (uint32_t i = 0; i < adm->queued; i++)
    if (adm->entries[adm->queue[i]].request.deadline <= now)
      {
        int handle = extract (adm, i);

        release (adm, handle);
        return handle;
      }
  return ADM_NONE;
}

uint32_t
adm_running (const struct adm *adm)
{
  return adm->running;
}

uint32_t
adm_queued (const struct adm *adm)
{
  return adm->queued;
}
